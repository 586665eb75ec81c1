package owner

import (
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// shrunken returns a runner with two placed runs of one core each whose starts were not sent, and whose capacity then shrinks to one
// core. The caller must hold o.mu.
func (f *fixture) shrunken(o *Owner) []*tasks.Run {
	f.t.Helper()
	r := o.addRunner(runner(0))
	r.Synced = true
	step := o.table.AddJob(job("j", step(2))).Occurrences[0].Steps[0]
	var runs []*tasks.Run
	for _, t := range step.Tasks {
		runs = append(runs, o.placeNext(t, r))
	}
	info := r.Info
	info.Capacity = oneCore()
	o.updateRunner(r, info)
	return runs
}

// TestShrunkenRunnerGetsNoStartThatExceedsIt guards against starts that were decided before a runner's capacity shrank, and are sent
// after it because their write took long.
func TestShrunkenRunnerGetsNoStartThatExceedsIt(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	o.directoryAt = f.clock.Now()
	o.noteConfirmed(f.clock.Now())
	runs := f.shrunken(o)
	sent := 0
	for _, run := range runs {
		o.dispatchStart(run)
		if run.Sent {
			sent++
		}
	}
	if used := runs[0].Runner.Used; sent != 1 || !used.Fits(oneCore()) {
		t.Errorf("%d starts were sent and %s are used, want 1 start that fits", sent, used)
	}
}

// TestUnansweredStartIsNotRepeatedOnAShrunkenRunner guards against a second try of a start that exceeds a capacity that has shrunk since
// the first: if the first was lost, the second would begin the task.
func TestUnansweredStartIsNotRepeatedOnAShrunkenRunner(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	o.directoryAt = f.clock.Now()
	o.noteConfirmed(f.clock.Now())
	for _, run := range f.shrunken(o) {
		run.Sent, run.Tries, run.SentFence = true, 1, run.Runner.Fence
		o.applyStartAnswer(run, o.startRequest(run), errs.New(errs.Lost, "no answer"))
		if run.Tries != 1 || !run.Runner.FencePending {
			t.Errorf("%d tries, fence pending: %v; want 1 try and a raised fence", run.Tries, run.Runner.FencePending)
		}
	}
}

// TestOvercommittedRunnerCountsAsFull guards against a runner whose capacity has shrunk below what runs on it taking free cores away from
// the gauge of all others.
func TestOvercommittedRunnerCountsAsFull(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	f.shrunken(o)
	other := o.addRunner(runner(1))
	other.Synced = true
	o.updateGauges(f.clock.Now())
	if got := o.counters.coresFree.Value(); got != int64(other.Info.Capacity.Cores/types.Core) {
		t.Errorf("%d free cores, want those of the other runner, %d", got, other.Info.Capacity.Cores/types.Core)
	}
}
