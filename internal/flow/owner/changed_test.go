package owner

import (
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// runnerChanges are changes of a runner's entry after which a task that requires the label a may not start there any more.
func runnerChanges() map[string]func(info *agent.Runner) {
	return map[string]func(info *agent.Runner){
		"Label":    func(info *agent.Runner) { info.Labels = []specs.Label{"b"} },
		"Service":  func(info *agent.Runner) { info.Service = "other" },
		"Draining": func(info *agent.Runner) { info.Draining = true },
		"Capacity": func(info *agent.Runner) { info.Capacity.Cores /= 8 },
	}
}

// placedBefore returns a run that was placed on a runner whose entry has changed since, and whose start was not sent.
func placedBefore(t *testing.T, change func(info *agent.Runner)) (*Owner, *tasks.Run) {
	t.Helper()
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	o.directoryAt = f.clock.Now()
	o.noteConfirmed(f.clock.Now())
	info := runner(0)
	info.Labels = []specs.Label{"a"}
	r := o.addRunner(info)
	r.Synced = true
	labelled := step(1)
	labelled.Label = "a"
	run := o.placeNext(o.table.AddJob(job("j", labelled)).Occurrences[0].Steps[0].Tasks[0], r)
	change(&info)
	o.updateRunner(r, info)
	return o, run
}

// Guards against a start that was decided by a runner's former entry and is sent after the entry has changed, since its write took long.
func TestStartIsDiscardedWhenTheRunnerNoLongerSuits(t *testing.T) {
	for name, change := range runnerChanges() {
		t.Run(name, func(t *testing.T) {
			o, run := placedBefore(t, change)
			if o.dispatchStart(run); run.Sent {
				t.Error("the start is sent")
			}
		})
	}
	t.Run("Unchanged", func(t *testing.T) {
		o, run := placedBefore(t, func(*agent.Runner) {})
		if o.dispatchStart(run); !run.Sent {
			t.Error("the start is not sent")
		}
	})
}

// Guards against a second try of such a start: if the first was lost, it would begin the task.
func TestUnansweredStartIsNotRepeatedWhenTheRunnerNoLongerSuits(t *testing.T) {
	for name, change := range runnerChanges() {
		t.Run(name, func(t *testing.T) {
			o, run := placedBefore(t, change)
			run.Sent, run.Tries, run.SentFence = true, 1, run.Runner.Fence
			o.applyStartAnswer(run, o.startRequest(run), errs.New(errs.Lost, "no answer"))
			if run.Tries != 1 || !run.Runner.FencePending {
				t.Errorf("%d tries, fence pending: %v; want 1 try and a raised fence", run.Tries, run.Runner.FencePending)
			}
		})
	}
}
