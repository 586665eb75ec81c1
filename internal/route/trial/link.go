package trial

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

// delayedRunner delays calls and their answers by the distance to the runner.
type delayedRunner struct {
	cell  *Cell
	from  types.Site
	inner runner.Runner
}

func (c *Cell) newDelayedRunner(from types.Site, calls *meter.Meter) runner.Runner {
	return &delayedRunner{cell: c, from: from, inner: c.Runners.As(calls)}
}

// Call makes one call, with the one-way delay before it and again before its answer. It returns errs.Unknown when ctx
// ends during a delay.
func (l *delayedRunner) Call(ctx context.Context, to runner.Upstream, call runner.Call) (runner.Reply, error) {
	delay := l.delayTo(to.Site)
	if !l.waitDelay(ctx, delay) {
		return runner.Reply{}, errs.New(errs.Unknown, "sending to %s: %v", to.ID, ctx.Err())
	}
	reply, err := l.inner.Call(ctx, to, call)
	if !l.waitDelay(ctx, delay) {
		return runner.Reply{}, errs.New(errs.Unknown, "the answer of %s came late", to.ID)
	}
	return reply, err
}

// waitDelay waits for the delay; it returns false when ctx ends first.
func (l *delayedRunner) waitDelay(ctx context.Context, delay time.Duration) bool {
	if delay == 0 {
		return true
	}
	timer := l.cell.Config.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *delayedRunner) delayTo(to types.Site) time.Duration {
	switch {
	case to.DataCentre == l.from.DataCentre:
		return 0
	case to.Region == l.from.Region:
		return l.cell.Config.Near
	default:
		return l.cell.Config.Far
	}
}
