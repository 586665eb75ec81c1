package lend

import "github.com/magnoliawalk/magnoliawalk/internal/core/types"

// Expect makes the holder request the floor of a service's slots before the first request arrives.
func (o *Holder) Expect(service types.ServiceName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool(service)
}
