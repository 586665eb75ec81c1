package owner

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// Guards against discarded starts that neither a counter nor a gauge explains: their tasks are planned again at once, time after time.
func TestDiscardedStartsAreCountedByReason(t *testing.T) {
	for name, want := range map[string]discardReason{
		"Label": discardLabel, "Service": discardService, "Draining": discardOutOfService, "Capacity": discardCapacity,
	} {
		t.Run(name, func(t *testing.T) {
			o, run := placedBefore(t, runnerChanges()[name])
			o.dispatchStart(run)
			if got := o.discards.counters[want].Count(); got != 1 {
				t.Errorf("%d starts are counted as discarded for %s, want 1", got, want)
			}
		})
	}
}

// Guards against a task that is lost track of while all its starts are discarded, and against one that counts on after a start was sent.
func TestRepeatedDiscardsOfOneTaskAreMeasured(t *testing.T) {
	o, run := placedBefore(t, runnerChanges()["Service"])
	task, now := run.Task, o.config.Clock.Now()
	discard := func(task *tasks.Task) {
		o.discards.note(task, discardService, now.Add(-3*time.Second))
		o.discards.note(task, discardService, now.Add(-1500*time.Millisecond))
		o.discards.note(task, discardService, now)
	}
	discard(task)
	o.discards.updateLongest(now)
	if got := o.discards.longest.Value(); got != 3000 {
		t.Errorf("a task without a start for 3 s is reported with %d ms", got)
	}
	o.discards.noteSent(task)
	o.discards.updateLongest(now)
	if got := o.discards.longest.Value(); got != 0 {
		t.Errorf("a task whose start was sent is reported with %d ms", got)
	}
	discard(task)
	o.endJob(task.Step.Job, tasks.JobCancelled, "test")
	o.discards.updateLongest(now)
	if got := o.discards.longest.Value(); got != 0 {
		t.Errorf("a task of an ended job is reported with %d ms", got)
	}
}

// Guards against a task that had one start discarded and then waits for room: it would look like one whose starts are all discarded.
func TestOneDiscardIsNoSeries(t *testing.T) {
	o, run := placedBefore(t, runnerChanges()["Service"])
	now := o.config.Clock.Now()
	o.discards.note(run.Task, discardService, now.Add(-time.Minute))
	o.discards.updateLongest(now)
	if got := o.discards.longest.Value(); got != 0 {
		t.Errorf("a task with one discarded start, a minute ago, is reported with %d ms", got)
	}
	if got := o.discards.note(run.Task, discardService, now); got != 0 {
		t.Errorf("a discarded start a minute after the former one counts to a series of %s", got)
	}
}
