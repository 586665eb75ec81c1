// Package every runs a step again and again until a context ends.
package every

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run runs the step once per period until ctx ends. The first run comes after one period.
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
