package feed

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// linkShareDivisor limits what a daemon sends of catalogs to one part in so many of its link, so that orders, lease
// renewals and requests pass beside it.
const linkShareDivisor = 2

// pacer limits the rate at which bytes are sent. It is safe for concurrent use.
type pacer struct {
	clock clockwork.Clock
	// rate is in bytes per second; 0 or less means no limit.
	rate float64

	mu     sync.Mutex
	freeAt time.Time
}

// reserve returns how long to wait before so many bytes are sent.
func (p *pacer) reserve(bytes int) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	wait := p.freeAt.Sub(now)
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return wait
}
