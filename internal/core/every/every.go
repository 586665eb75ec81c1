// Package every runs functions at a fixed interval, or when they are woken, until a context ends, and waits that long.
package every

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run runs the step once per interval until ctx ends, and then returns nil. The first run is after one interval; runs
// don't overlap.
func Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, step func(ctx context.Context)) error {
	return RunWoken(ctx, clock, interval, step, nil, nil)
}

// RunWoken is Run that also runs woken for each signal on wake. No two runs of either function overlap.
func RunWoken(
	ctx context.Context, clock clockwork.Clock, interval time.Duration, step func(ctx context.Context),
	wake <-chan struct{}, woken func(ctx context.Context),
) error {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			step(ctx)
		case <-wake:
			woken(ctx)
		}
	}
}

// Sleep waits for d, or until ctx ends. It reports whether it has waited for all of d.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// Wake sends a signal on a channel of capacity one, unless one is pending.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
