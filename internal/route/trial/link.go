package trial

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
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
func (d *delayedRunner) Call(ctx context.Context, to runner.Upstream, call runner.Call) (runner.Reply, error) {
	delay := d.delayTo(to.Site)
	if !d.waitDelay(ctx, delay) {
		return runner.Reply{}, errs.New(errs.Unknown, "sending to %s: %v", to.ID, ctx.Err())
	}
	reply, err := d.inner.Call(ctx, to, call)
	if !d.waitDelay(ctx, delay) {
		return runner.Reply{}, errs.New(errs.Unknown, "the answer of %s came late", to.ID)
	}
	return reply, err
}

// waitDelay waits for the delay; it returns false when ctx ends first.
func (d *delayedRunner) waitDelay(ctx context.Context, delay time.Duration) bool {
	return delay == 0 || every.Sleep(ctx, d.cell.Config.Clock, delay)
}

func (d *delayedRunner) delayTo(to types.Site) time.Duration {
	switch {
	case to.DataCentre == d.from.DataCentre:
		return 0
	case to.Region == d.from.Region:
		return d.cell.Config.Near
	default:
		return d.cell.Config.Far
	}
}
