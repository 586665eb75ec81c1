package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
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
	if err := o.Cancel(context.Background(), "j"); err != nil {
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
	if _, err := former.State(context.Background(), "nope"); !errs.Is(err, errs.NotFound) {
		t.Errorf("the leader answers %v, want NotFound", err)
	}
	f.beginTerm()
	if _, err := former.State(context.Background(), "nope"); !errs.Is(err, errs.Unavailable) {
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

func TestUnansweredStartsRunOnce(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return 300 * time.Millisecond }
	for _, late := range []time.Duration{10 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			f := newFixture(t, w)
			f.addRunners(2)
			o, _ := f.startOwner()
			f.eventually("the ledger is read", func() bool { _, err := o.Waiting("q"); return err == nil })
			f.fleet.LoseStarts(5, late)
			f.submit(o, job("j", step(8)))
			f.waitForState(o, "j", tasks.JobCompleted)
			f.checkNoViolations()
		})
	}
}

// A runner that cannot be reached may run its tasks until their leases expire on its own clock. They must start elsewhere
// only after that.
func TestTasksOfAnUnreachableRunnerRunElsewhereAfterItsLease(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return time.Minute }
	f := newFixture(t, w)
	f.addRunners(1)
	o, _ := f.startOwner()
	f.submit(o, job("j", step(2)))
	f.eventually("tasks run", func() bool { return f.fleet.StartCount() == 2 })
	f.fleet.SetUnreachable("w00", true)
	unreachableSince := time.Now()
	f.fleet.Add(runner(1))
	f.eventually("the tasks run elsewhere", func() bool { return f.fleet.StartCount() == 4 })
	// The last renewal that the runner received may be as old as one wait for results.
	if earliest := leaseTTL - longPollTimeout - longPollMargin; time.Since(unreachableSince) < earliest {
		t.Errorf("the tasks run elsewhere %s after the runner was last reached, want %s or more", time.Since(unreachableSince), earliest)
	}
	f.checkNoViolations()
}

// A crashed runner runs nothing, so its job is completed elsewhere.
func TestTasksOfACrashedRunnerRunElsewhere(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return 200 * time.Millisecond }
	f := newFixture(t, w)
	f.addRunners(1)
	o, _ := f.startOwner()
	f.submit(o, job("j", step(2)))
	f.eventually("tasks run", func() bool { return f.fleet.StartCount() == 2 })
	f.fleet.Crash("w00")
	f.fleet.Add(runner(1))
	f.waitForState(o, "j", tasks.JobCompleted)
	f.checkNoViolations()
}

// A runner that fails every task gets none during its quarantine, so it costs few attempts and all jobs are completed.
func TestRunnerThatFailsTasksIsQuarantined(t *testing.T) {
	w := quickWorld()
	w.Fails = func(r specs.RunnerID, _ specs.Ref, _ specs.Attempt) bool { return r == "w00" }
	f := newFixture(t, w)
	f.addRunners(4)
	o, _ := f.startOwner()
	for i := range 60 {
		f.submit(o, job(fmt.Sprintf("j%d", i), step(4)))
	}
	for i := range 60 {
		f.waitForState(o, specs.JobID(fmt.Sprintf("j%d", i)), tasks.JobCompleted)
	}
	f.checkNoViolations()
	checkQuarantine(t, f.fleet.StartedAttempts(), "w00", w.RunTime(specs.Ref{}))
}

// checkQuarantine checks that a runner on which every attempt fails after runTime started no more than fit on it twice
// within minQuarantine.
func checkQuarantine(t *testing.T, attempts []agent.StartedAttempt, id specs.RunnerID, runTime time.Duration) {
	t.Helper()
	slots := int(runner(0).Capacity.Cores / types.Core)
	var starts []time.Time
	for _, a := range attempts {
		if a.Runner == id {
			starts = append(starts, a.At)
		}
	}
	if len(starts) == 0 {
		t.Fatalf("no attempt started on %s", id)
	}
	early := 0
	for _, at := range starts {
		if at.Sub(starts[0]) < minQuarantine+runTime {
			early++
		}
	}
	if most := 2 * slots; early > most {
		t.Errorf("%d attempts started on %s before its quarantine ended, want at most %d", early, id, most)
	}
}

// A runner lists a failure again that a former leader has applied but not acknowledged. It must not count twice.
func TestRelistedFailureCountsOnce(t *testing.T) {
	for _, s := range []specs.Step{step(1), gang(2)} {
		t.Run(fmt.Sprintf("Gang=%v", s.Gang), func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newOwner()
			j := o.table.AddJob(job("j", s))
			ref := specs.Ref{StepRef: specs.StepRef{Job: "j"}}
			failed := tasks.TaskChange{Ref: ref, State: tasks.Waiting, Attempt: 1, Failures: 1, Faulted: 1, Runner: "w00"}
			o.table.Apply(tasks.Record{Task: &failed})
			r := o.addRunner(runner(0))
			o.applyResult(r, agent.Result{Number: 1, Ref: ref, Attempt: 1, Outcome: agent.Failed})
			if got := j.Occurrences[0].Steps[0].Failures(); got != 1 {
				t.Errorf("%d failures, want 1", got)
			}
		})
	}
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

// A runner discards a result that is acknowledged, so the leader must not acknowledge it before it is durable.
func TestResultIsAcknowledgedOnlyOnceDurable(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.cancel()
	o.table.AddJob(job("j", step(1)))
	ref := specs.Ref{StepRef: specs.StepRef{Job: "j"}}
	o.table.Apply(tasks.Record{Task: &tasks.TaskChange{Ref: ref, State: tasks.Placed, Attempt: 1, Runner: "w00"}})
	r := o.addRunner(runner(0))
	o.applyResult(r, agent.Result{Number: 1, Ref: ref, Attempt: 1, Outcome: agent.Done})
	if r.DurableResult != 0 {
		t.Errorf("result %d counts as durable, though it was not written", r.DurableResult)
	}
	for _, after := range o.pending.onDurable {
		after()
	}
	if r.DurableResult != 1 {
		t.Errorf("result %d is the last durable one after the write, want 1", r.DurableResult)
	}
}

// Attempts that a former leader started on a runner that this leader can't reach go on until their leases expire,
// which may have been asked for up to the maximum TTL.
func TestLeasesOfAnUnreachableRunnerMayHaveTheMaximumTTL(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.cancel()
	began := f.clock.Now()
	r := o.addRunner(runner(0))
	if r.LeaseExpired(began.Add(storeContactTimeout + quickWorld().MaxLeaseTTL)) {
		t.Error("the leases of a former leader count as expired too early")
	}
}

// A runner that left before the term was never listed in it, so no stop can be sent to it.
func TestNoStopGoesToARunnerOfUnknownAddress(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.cancel()
	j := o.table.AddJob(job("j", step(1)))
	run := o.addRunner(agent.Runner{ID: "gone"}).PlaceTask(j.Occurrences[0].Steps[0].Tasks[0], 1)
	run.Sent = true
	o.stopRun(run)
	if got := o.counters.stops.Count(); got != 0 {
		t.Errorf("%d stops were sent, want none", got)
	}
	if !run.StartCancelled {
		t.Error("the start of the run is not cancelled")
	}
}

// The directory may change a runner's entry at any moment, also between the preparation of a lease renewal and its
// sending. The race detector finds a renewal that reads the entry without the lock.
func TestEntryChangesWhileLeasesAreRenewed(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	o.config.Agents = instantRenewals{f.fleet}
	o.mu.Lock()
	o.applyEntry(runner(0))
	o.mu.Unlock()
	for i := range 2000 {
		info := runner(0)
		info.Draining = i%2 == 0
		o.mu.Lock()
		o.applyEntry(info)
		o.mu.Unlock()
	}
	o.cancel()
	o.loops.Wait()
}

// instantRenewals are runners that answer lease renewals at once.
type instantRenewals struct{ *agent.Fleet }

func (q instantRenewals) RenewLeases(context.Context, agent.Runner, agent.RenewRequest) (agent.Report, error) {
	return agent.Report{}, nil
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

// A new leader does not know what a run of an ended job occupies, so it must place nothing beside this orphan.
func TestNothingIsPlacedBesideAnOrphan(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.cancel()
	r := o.addRunner(runner(0))
	r.Synced = true
	ref := specs.Ref{StepRef: specs.StepRef{Job: "gone"}}
	report := agent.Report{Running: []agent.Running{{Ref: ref, Attempt: 1}}}
	o.applyReport(r, agent.RenewRequest{Fence: r.Fence}, report, f.clock.Now())
	if r.Usable(f.clock.Now()) {
		t.Error("a runner with an orphan is usable")
	}
	result := agent.Result{Number: 1, Ref: ref, Attempt: 1, Outcome: agent.Stopped}
	o.applyReport(r, agent.RenewRequest{Fence: r.Fence}, agent.Report{Results: []agent.Result{result}}, f.clock.Now())
	if !r.Usable(f.clock.Now()) {
		t.Error("a runner is not usable after its orphan ended")
	}
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

// A start that was sent under a fence which had been raised to invalidate another start must be invalidated, too.
func TestEveryUnansweredStartIsInvalidated(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.cancel()
	j := o.table.AddJob(job("j", step(1)))
	r := o.addRunner(runner(0))
	r.Synced = true
	placed := tasks.TaskChange{Ref: specs.Ref{StepRef: specs.StepRef{Job: "j"}}, State: tasks.Placed, Attempt: 1, Runner: "w00"}
	o.table.Apply(tasks.Record{Task: &placed})
	task := j.Occurrences[0].Steps[0].Tasks[0]
	run := r.PlaceTask(task, 1)
	run.Sent, run.Tries, run.SentFence = true, maxStartTries, r.Fence
	r.FencePending = true
	o.retryUnanswered(run)
	o.applyReport(r, agent.RenewRequest{Fence: r.Fence}, agent.Report{}, f.clock.Now())
	if task.State != tasks.Waiting || task.Run != nil {
		t.Errorf("the task is %s with run %v, want Waiting with none", task.State, task.Run)
	}
}

// A watch of the directory that failed may have missed changes, so the whole list is read again.
func TestDirectoryIsListedAfterAFailedWatch(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	d := &failingWatchDirectory{Fleet: f.fleet}
	o.config.Directory = d
	f.addRunners(1)
	done := make(chan struct{})
	go func() {
		o.directoryLoop()
		close(done)
	}()
	f.eventually("the list is read twice", func() bool { return d.lists.Load() >= 2 })
	o.cancel()
	<-done
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

// A term that is stopped before it began must not begin.
func TestStopBeforeRun(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	o.Stop()
	done := make(chan struct{})
	go func() {
		o.Run(context.Background())
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Error("Run goes on, though the term was stopped before it began")
	}
}
