package owner

import (
	"maps"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// unprovenLoss holds the runs of a runner that was out of reach until their leases expired. Whether it has crashed, or was only cut
// off, shows when it can be reached again, or when a later runner is found at its address.
type unprovenLoss struct {
	runner tasks.Incarnation
	// since is when the runner became unreachable.
	since time.Time
	// ifCrashed holds what the loss tells of each run whose loss counts, should the runner have crashed.
	ifCrashed map[*tasks.Run]tasks.Loss
}

// noteUnprovenLoss notes the runs of a runner that was out of reach until their leases expired, with what that tells of each. The
// caller must hold o.mu.
func (o *Owner) noteUnprovenLoss(r *tasks.Runner, losses map[*tasks.Run]tasks.Loss) {
	now := o.config.Clock.Now()
	maps.DeleteFunc(o.unprovenLosses, func(_ types.Address, l unprovenLoss) bool { return now.Sub(l.since) >= clearingAge })
	if len(losses) == 0 || r.Info.Address == "" {
		return
	}
	culprit := soleSuspect(r, now)
	loss := unprovenLoss{runner: r.Incarnation(), since: now, ifCrashed: make(map[*tasks.Run]tasks.Loss, len(losses))}
	if !r.UnreachableSince.IsZero() {
		loss.since = r.UnreachableSince
	}
	for run := range losses {
		loss.ifCrashed[run] = lossInCrash(run, culprit, false, now)
	}
	o.unprovenLosses[r.Info.Address] = loss
}

// noteIncarnation confirms the loss of a former runner at an address where the directory lists a later one. The caller must hold o.mu.
func (o *Owner) noteIncarnation(info agent.Runner) {
	loss, ok := o.unprovenLosses[info.Address]
	if ok && loss.runner.Boot != 0 && info.Boot > loss.runner.Boot {
		o.confirmLoss(info.Address)
	}
}

// confirmLoss counts an unproven loss at the address, if there is one, as the certain crash of its runner. A task that waits is given
// up if that was one crash too many; one that has started again may go on. The caller must hold o.mu.
func (o *Owner) confirmLoss(address types.Address) {
	lost, ok := o.unprovenLosses[address]
	if !ok {
		return
	}
	delete(o.unprovenLosses, address)
	o.config.Log.Warn().Str("Runner", string(lost.runner.Runner)).Str("Address", string(address)).Int("Counted", len(lost.ifCrashed)).
		Dur("Silent", o.config.Clock.Since(lost.since)).Msg("a runner whose leases expired while it was silent has crashed; counting the crash now")
	for run, loss := range lost.ifCrashed {
		t := run.Task
		if o.table.Task(t.Ref) != t || t.State == tasks.Done || t.Step.Job.Ending {
			continue
		}
		c := t.Change()
		c.Losses.ConfirmCrash(loss)
		o.record(tasks.Record{Task: c}, nil)
		o.endJobIfFinished(t.Step.Job, t, loss)
	}
}
