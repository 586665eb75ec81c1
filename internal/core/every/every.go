// Package every runs a function at a fixed interval until a context ends.
package every

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run runs the step once per interval until ctx ends, and then returns nil. The first run is after one interval; runs
// don't overlap.
func Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, step func(ctx context.Context)) error {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			step(ctx)
		}
	}
}
