package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

func TestJobsOfStepsAreCompleted(t *testing.T) {
	f := newFixture(t, quickWorld())
	f.addRunners(3)
	o, _ := f.startOwner()
	after := step(3)
	after.After = []int{0}
	for i := range 10 {
		f.submit(o, job(fmt.Sprintf("j%d", i), gang(4), after))
	}
	for i := range 10 {
		f.waitForState(o, specs.JobID(fmt.Sprintf("j%d", i)), tasks.JobCompleted)
	}
	if got, want := f.fleet.StartCount(), 10*7; got != want {
		t.Errorf("%d starts, want %d", got, want)
	}
	f.checkNoViolations()
}

func TestOneIDIsOneJob(t *testing.T) {
	f := newFixture(t, quickWorld())
	f.addRunners(1)
	o, _ := f.startOwner()
	for range 3 {
		f.submit(o, job("j", step(1)))
	}
	f.waitForState(o, "j", tasks.JobCompleted)
	f.submit(o, job("j", step(1)))
	if got := f.fleet.StartCount(); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
}

func TestJobThatFailsTooOftenIsFailed(t *testing.T) {
	w := quickWorld()
	w.Fails = func(specs.RunnerID, specs.Ref, specs.Attempt) bool { return true }
	for _, s := range []specs.Step{step(1), gang(3)} {
		t.Run(fmt.Sprintf("Gang=%v", s.Gang), func(t *testing.T) {
			f := newFixture(t, w)
			f.addRunners(6)
			o, _ := f.startOwner()
			f.submit(o, job("j", s))
			f.waitForState(o, "j", tasks.JobFailed)
			if got, want := f.fleet.StartCount(), 3*s.Count; got > want {
				t.Errorf("%d starts, want at most %d", got, want)
			}
			f.checkNoViolations()
		})
	}
}

func TestCancelledJobStopsAndIsKnown(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return time.Minute }
	f := newFixture(t, w)
	f.addRunners(1)
	o, _ := f.startOwner()
	f.submit(o, job("j", step(6)))
	f.eventually("tasks run", func() bool { return f.fleet.StartCount() == 4 })
	if err := o.Cancel(context.Background(), specs.Caller{}, "j"); err != nil {
		t.Fatal(err)
	}
	f.waitForState(o, "j", tasks.JobCancelled)
	f.eventually("the runner is empty", func() bool { return o.runCount("w00") == 0 })
	if got := f.fleet.StartCount(); got != 4 {
		t.Errorf("%d starts after the cancel, want 4", got)
	}
}

func TestUnknownJobIsNotFoundByTheLeaderOnly(t *testing.T) {
	f := newFixture(t, quickWorld())
	former, _ := f.startOwner()
	f.eventually("the ledger is read", func() bool { _, err := former.Waiting("q"); return err == nil })
	if _, err := former.State(context.Background(), specs.Caller{}, "nope"); !errs.Is(err, errs.NotFound) {
		t.Errorf("the leader answers %v, want NotFound", err)
	}
	f.beginTerm()
	if _, err := former.State(context.Background(), specs.Caller{}, "nope"); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a former leader answers %v, want Unavailable", err)
	}
}

func TestNewLeaderAdoptsWhatRuns(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return 600 * time.Millisecond }
	f := newFixture(t, w)
	f.addRunners(2)
	former, stop := f.startOwner()
	f.submit(former, job("j", step(12)))
	f.eventually("tasks run", func() bool { return f.fleet.StartCount() == 8 })
	stop()
	next, _ := f.startOwner()
	f.waitForState(next, "j", tasks.JobCompleted)
	if got := f.fleet.StartCount(); got != 12 {
		t.Errorf("%d starts, want 12: running attempts are adopted, not repeated", got)
	}
	f.checkNoViolations()
}

// Failures of several gang members in one attempt count once, also when the second one reaches a new leader.
func TestGangFailsOnceInAnAttempt(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	j := o.table.AddJob(job("j", gang(2)))
	first := specs.Ref{StepRef: specs.StepRef{Job: "j"}}
	second := first
	second.Index = 1
	failed := tasks.TaskChange{Ref: first, State: tasks.Waiting, Attempt: 1, Failures: 1, Faulted: 1, Runner: "w00"}
	placed := tasks.TaskChange{Ref: second, State: tasks.Placed, Attempt: 1, Runner: "w00"}
	o.table.Apply(tasks.Record{Task: &failed})
	o.table.Apply(tasks.Record{Task: &placed})
	o.adoptPlacedTasks()
	r := o.addRunner(runner(0))
	o.applyResult(r, agent.Result{Number: 1, Ref: second, Attempt: 1, Outcome: agent.Failed})
	if got := j.Occurrences[0].Steps[0].Failures(); got != 1 {
		t.Errorf("%d failures, want 1", got)
	}
}

// A job counts as waiting until a runner has begun it, even if a start was decided that was never sent.
func TestJobWaitsUntilARunnerBeginsIt(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.cancel()
	o.open = true
	j := o.table.AddJob(job("j", step(1)))
	r := o.addRunner(runner(0))
	o.recordStart(order.Start{Task: j.Occurrences[0].Steps[0].Tasks[0], Runner: r})
	run := j.Occurrences[0].Steps[0].Tasks[0].Run
	checkWaiting := func(what string, want int) {
		t.Helper()
		if got, err := o.Waiting("q"); err != nil || got != want {
			t.Errorf("%s: %d jobs wait (%v), want %d", what, got, err, want)
		}
	}
	checkWaiting("while its start is being written", 1)
	o.discardRun(run)
	checkWaiting("after its start was discarded", 1)
	o.recordStart(order.Start{Task: run.Task, Runner: r})
	o.applyStartAnswer(run.Task.Run, agent.StartRequest{}, nil)
	checkWaiting("once the runner has begun it", 0)
	o.applyResult(r, agent.Result{Number: 1, Ref: run.Key.Ref, Attempt: 2, Outcome: agent.Stopped})
	checkWaiting("after its run was stopped", 0)
}

func (o *Owner) runCount(id specs.RunnerID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.table.Runners[id].Runs)
}

// A new leader uses the advice that the daemons have cached instead of asking for all of it again.
func TestNewLeaderCollectsCachedAdvice(t *testing.T) {
	f := newFixture(t, quickWorld())
	f.addRunners(1)
	o := f.newOwner()
	asked := 0
	o.config.Advise = func(context.Context, specs.StepRef, specs.AdvicePolicy, []tasks.Incarnation) ([]agent.Permit, error) {
		asked++
		return nil, errs.New(errs.Unavailable, "the advice service is not reachable")
	}
	o.config.CollectCachedAdvice = func(_ context.Context, steps []specs.StepRef, add func([]CachedAdvice)) {
		incarnation := tasks.Incarnation{Runner: "w00", Boot: f.boot("w00")}
		permit := agent.Permit{Runner: "w00", Ticket: "T"}
		for _, s := range steps {
			add([]CachedAdvice{{Step: s, Asked: []tasks.Incarnation{incarnation}, Permits: []agent.Permit{permit}, Left: time.Minute}})
		}
	}
	former := f.newOwner()
	former.config.AdviceBudget = func() specs.AdviceBudget { return specs.AdviceBudget{} }
	stop := f.runOwner(former)
	j := job("j", step(2))
	j.Queue.Advice = &specs.AdvicePolicy{Validity: time.Second}
	f.submit(former, j)
	stop()
	o.config.Term = f.beginTerm()
	f.runOwner(o)
	f.waitForState(o, "j", tasks.JobCompleted)
	if asked != 0 {
		t.Errorf("%d calls for advice, want none", asked)
	}
}

// failingWatchDirectory is a directory whose watches fail.
type failingWatchDirectory struct {
	*agent.Fleet

	lists atomic.Int64
}

func (d *failingWatchDirectory) List(ctx context.Context) ([]agent.Runner, uint64, error) {
	d.lists.Add(1)
	return d.Fleet.List(ctx)
}

func (d *failingWatchDirectory) Changes(context.Context, uint64) ([]agent.Change, uint64, error) {
	return nil, 0, errs.New(errs.Lost, "the watch was interrupted")
}
