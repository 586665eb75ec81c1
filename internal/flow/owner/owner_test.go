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
	b := newBed(t, quickWorld())
	b.addRunners(3)
	o, _ := b.lead()
	after := step(3)
	after.After = []int{0}
	for i := range 10 {
		b.submit(o, job(fmt.Sprintf("j%d", i), gang(4), after))
	}
	for i := range 10 {
		b.reaches(o, specs.JobID(fmt.Sprintf("j%d", i)), tasks.JobCompleted)
	}
	if got, want := b.fleet.Starts(), 10*7; got != want {
		t.Errorf("%d starts, want %d", got, want)
	}
	b.unbroken()
}

func TestOneIDIsOneJob(t *testing.T) {
	b := newBed(t, quickWorld())
	b.addRunners(1)
	o, _ := b.lead()
	for range 3 {
		b.submit(o, job("j", step(1)))
	}
	b.reaches(o, "j", tasks.JobCompleted)
	b.submit(o, job("j", step(1)))
	if got := b.fleet.Starts(); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
}

func TestJobThatFailsTooOftenIsFailed(t *testing.T) {
	w := quickWorld()
	w.Fails = func(specs.RunnerID, specs.Ref, specs.Attempt) bool { return true }
	for _, s := range []specs.Step{step(1), gang(3)} {
		t.Run(fmt.Sprintf("Gang=%v", s.Gang), func(t *testing.T) {
			b := newBed(t, w)
			b.addRunners(6)
			o, _ := b.lead()
			b.submit(o, job("j", s))
			b.reaches(o, "j", tasks.JobFailed)
			if got, want := b.fleet.Starts(), 3*s.Count; got > want {
				t.Errorf("%d starts, want at most %d", got, want)
			}
			b.unbroken()
		})
	}
}

func TestCancelledJobStopsAndIsKnown(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return time.Minute }
	b := newBed(t, w)
	b.addRunners(1)
	o, _ := b.lead()
	b.submit(o, job("j", step(6)))
	b.eventually("tasks run", func() bool { return b.fleet.Starts() == 4 })
	if err := o.Cancel(context.Background(), "j"); err != nil {
		t.Fatal(err)
	}
	b.reaches(o, "j", tasks.JobCancelled)
	b.eventually("the runner is empty", func() bool { return o.used("w00") == 0 })
	if got := b.fleet.Starts(); got != 4 {
		t.Errorf("%d starts after the cancel, want 4", got)
	}
}

func TestUnknownJobIsNotFoundByTheLeadOnly(t *testing.T) {
	b := newBed(t, quickWorld())
	former, _ := b.lead()
	b.eventually("the ledger is read", func() bool { _, err := former.Waiting("q"); return err == nil })
	if _, err := former.State(context.Background(), "nope"); !errs.Is(err, errs.NotFound) {
		t.Errorf("the lead answers %v, want NotFound", err)
	}
	b.elect()
	if _, err := former.State(context.Background(), "nope"); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a former lead answers %v, want Unavailable", err)
	}
}

func TestNewLeadTakesOverWhatRuns(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return 600 * time.Millisecond }
	b := newBed(t, w)
	b.addRunners(2)
	former, stop := b.lead()
	b.submit(former, job("j", step(12)))
	b.eventually("tasks run", func() bool { return b.fleet.Starts() == 8 })
	stop()
	next, _ := b.lead()
	b.reaches(next, "j", tasks.JobCompleted)
	if got := b.fleet.Starts(); got != 12 {
		t.Errorf("%d starts, want 12: nothing is thrown away", got)
	}
	b.unbroken()
}

func TestUnansweredStartsRunOnce(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return 300 * time.Millisecond }
	for _, late := range []time.Duration{10 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			b := newBed(t, w)
			b.addRunners(2)
			o, _ := b.lead()
			b.eventually("the ledger is read", func() bool { _, err := o.Waiting("q"); return err == nil })
			b.fleet.LoseStarts(5, late)
			b.submit(o, job("j", step(8)))
			b.reaches(o, "j", tasks.JobCompleted)
			b.unbroken()
		})
	}
}

func TestTasksOfAGoneRunnerRunElsewhereAfterItsLease(t *testing.T) {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return 200 * time.Millisecond }
	b := newBed(t, w)
	b.addRunners(1)
	o, _ := b.lead()
	b.submit(o, job("j", step(2)))
	b.eventually("tasks run", func() bool { return b.fleet.Starts() == 2 })
	b.fleet.Crash("w00")
	b.fleet.Add(runner(1))
	b.reaches(o, "j", tasks.JobCompleted)
	b.unbroken()
}

func TestRunnerThatFailsTasksRests(t *testing.T) {
	w := quickWorld()
	w.Fails = func(r specs.RunnerID, _ specs.Ref, _ specs.Attempt) bool { return r == "w00" }
	b := newBed(t, w)
	b.addRunners(4)
	o, _ := b.lead()
	for i := range 20 {
		b.submit(o, job(fmt.Sprintf("j%d", i), step(2)))
	}
	for i := range 20 {
		b.reaches(o, specs.JobID(fmt.Sprintf("j%d", i)), tasks.JobCompleted)
	}
	b.unbroken()
}

// A failure that a former lead has settled is listed again, since its runner was not told to forget it.
func TestRelistedFailureCountsOnce(t *testing.T) {
	for _, s := range []specs.Step{step(1), gang(2)} {
		t.Run(fmt.Sprintf("Gang=%v", s.Gang), func(t *testing.T) {
			b := newBed(t, quickWorld())
			o := b.owner()
			j := o.table.AddJob(job("j", s))
			ref := specs.Ref{StepRef: specs.StepRef{Job: "j"}}
			failed := tasks.TaskChange{Ref: ref, State: tasks.Waiting, Attempt: 1, Failures: 1, Faulted: 1, Runner: "w00"}
			o.table.Apply(tasks.Record{Task: &failed})
			r := o.unseen(runner(0))
			o.ended(r, agent.Result{Number: 1, Ref: ref, Attempt: 1, Outcome: agent.Failed})
			if got := j.Occurrences[0].Steps[0].Failures(); got != 1 {
				t.Errorf("%d failures, want 1", got)
			}
		})
	}
}

// The members of a gang that fail in one attempt are one failure, also when a new lead hears of the second.
func TestGangFailsOnceInAnAttempt(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	j := o.table.AddJob(job("j", gang(2)))
	first := specs.Ref{StepRef: specs.StepRef{Job: "j"}}
	second := first
	second.Index = 1
	failed := tasks.TaskChange{Ref: first, State: tasks.Waiting, Attempt: 1, Failures: 1, Faulted: 1, Runner: "w00"}
	placed := tasks.TaskChange{Ref: second, State: tasks.Placed, Attempt: 1, Runner: "w00"}
	o.table.Apply(tasks.Record{Task: &failed})
	o.table.Apply(tasks.Record{Task: &placed})
	o.adopt()
	r := o.unseen(runner(0))
	o.ended(r, agent.Result{Number: 1, Ref: second, Attempt: 1, Outcome: agent.Failed})
	if got := j.Occurrences[0].Steps[0].Failures(); got != 1 {
		t.Errorf("%d failures, want 1", got)
	}
}

// A runner forgets an end that is acknowledged, so the lead must not do so before it can't forget it itself.
func TestEndIsAcknowledgedOnlyOnceDurable(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	defer o.cancel()
	o.table.AddJob(job("j", step(1)))
	ref := specs.Ref{StepRef: specs.StepRef{Job: "j"}}
	o.table.Apply(tasks.Record{Task: &tasks.TaskChange{Ref: ref, State: tasks.Placed, Attempt: 1, Runner: "w00"}})
	r := o.unseen(runner(0))
	o.ended(r, agent.Result{Number: 1, Ref: ref, Attempt: 1, Outcome: agent.Done})
	if r.DurableResult != 0 {
		t.Errorf("end %d counts as durable, though it was not written", r.DurableResult)
	}
	for _, after := range o.pending.after {
		after()
	}
	if r.DurableResult != 1 {
		t.Errorf("end %d is the last durable one after the write, want 1", r.DurableResult)
	}
}

// What a former lead started on a runner that this lead can't reach runs on until its leases have ended.
func TestLeasesOfAnUnseenRunnerMayBeTheLongest(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	defer o.cancel()
	began := b.clock.Now()
	r := o.unseen(runner(0))
	if r.LeaseExpired(began.Add(loneLead + quickWorld().MaxLeaseTTL)) {
		t.Error("the leases of a former lead are taken to have ended too early")
	}
}

// A runner that left before the term was never listed to the lead.
func TestNoStopGoesToARunnerOfUnknownAddress(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	defer o.cancel()
	j := o.table.AddJob(job("j", step(1)))
	run := o.unseen(agent.Runner{ID: "gone"}).PlaceTask(j.Occurrences[0].Steps[0].Tasks[0], 1)
	run.Sent = true
	o.stop(run)
	if got := o.counters.stops.Count(); got != 0 {
		t.Errorf("%d stops were sent, want none", got)
	}
	if !run.StartCancelled {
		t.Error("the run is still wanted")
	}
}

// The directory may change a runner's entry at any moment, also between the decision on a hold and its sending.
func TestEntryChangesWhileItsRunnerIsHeld(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	o.config.Agents = quickHolds{b.fleet}
	o.mu.Lock()
	o.seen(runner(0))
	o.mu.Unlock()
	for i := range 2000 {
		info := runner(0)
		info.Draining = i%2 == 0
		o.mu.Lock()
		o.seen(info)
		o.mu.Unlock()
	}
	o.cancel()
	o.loops.Wait()
}

// quickHolds are runners that answer holds at once.
type quickHolds struct{ *agent.Fleet }

func (q quickHolds) RenewLeases(context.Context, agent.Runner, agent.RenewRequest) (agent.Report, error) {
	return agent.Report{}, nil
}

// A job waits until a runner has begun it, also when a start was decided that was never sent.
func TestJobWaitsUntilARunnerBeginsIt(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	defer o.cancel()
	o.open = true
	j := o.table.AddJob(job("j", step(1)))
	r := o.unseen(runner(0))
	o.start(order.Start{Task: j.Occurrences[0].Steps[0].Tasks[0], Runner: r})
	run := j.Occurrences[0].Steps[0].Tasks[0].Run
	waits := func(what string, want int) {
		t.Helper()
		if got, err := o.Waiting("q"); err != nil || got != want {
			t.Errorf("%s: %d jobs wait (%v), want %d", what, got, err, want)
		}
	}
	waits("while its start is being written", 1)
	o.drop(run)
	waits("after its start was dropped", 1)
	o.start(order.Start{Task: run.Task, Runner: r})
	o.started(run.Task.Run, agent.StartRequest{}, nil)
	waits("once the runner has begun it", 0)
	o.ended(r, agent.Result{Number: 1, Ref: run.Key.Ref, Attempt: 2, Outcome: agent.Stopped})
	waits("after its run was stopped", 0)
}

// What a run of an ended job occupies is not known to a new lead.
func TestNothingIsPlacedBesideAStranger(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	defer o.cancel()
	r := o.unseen(runner(0))
	r.Synced = true
	ref := specs.Ref{StepRef: specs.StepRef{Job: "gone"}}
	report := agent.Report{Running: []agent.Running{{Ref: ref, Attempt: 1}}}
	o.report(r, agent.RenewRequest{Fence: r.Fence}, report, b.clock.Now())
	if r.Usable(b.clock.Now()) {
		t.Error("a runner with a stranger takes tasks")
	}
	end := agent.Result{Number: 1, Ref: ref, Attempt: 1, Outcome: agent.Stopped}
	o.report(r, agent.RenewRequest{Fence: r.Fence}, agent.Report{Results: []agent.Result{end}}, b.clock.Now())
	if !r.Usable(b.clock.Now()) {
		t.Error("a runner takes no tasks after its stranger ended")
	}
}

func (o *Owner) used(id specs.RunnerID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.table.Runners[id].Runs)
}

// A new lead uses the advice that the daemons remember instead of asking for all of it again.
func TestNewLeadRecallsAdvice(t *testing.T) {
	b := newBed(t, quickWorld())
	b.addRunners(1)
	o := b.owner()
	asked := 0
	o.config.Advise = func(context.Context, specs.StepRef, specs.AdvicePolicy, []tasks.Incarnation) ([]agent.Permit, error) {
		asked++
		return nil, errs.New(errs.Unavailable, "the advice service is away")
	}
	o.config.CollectCachedAdvice = func(_ context.Context, steps []specs.StepRef, take func([]CachedAdvice)) {
		life := tasks.Incarnation{Runner: "w00", Boot: b.boot("w00")}
		permit := agent.Permit{Runner: "w00", Ticket: "T"}
		for _, s := range steps {
			take([]CachedAdvice{{Step: s, Asked: []tasks.Incarnation{life}, Permits: []agent.Permit{permit}, Left: time.Minute}})
		}
	}
	former := b.owner()
	former.config.AdviceBudget = func() specs.AdviceBudget { return specs.AdviceBudget{} }
	stop := b.run(former)
	j := job("j", step(2))
	j.Queue.Advice = &specs.AdvicePolicy{Validity: time.Second}
	b.submit(former, j)
	stop()
	o.config.Term = b.elect()
	b.run(o)
	b.reaches(o, "j", tasks.JobCompleted)
	if asked != 0 {
		t.Errorf("%d calls for advice, want none", asked)
	}
}

// A start that was sent under a fence which was raised for another one must become void, too.
func TestEveryUnansweredStartBecomesVoid(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	defer o.cancel()
	j := o.table.AddJob(job("j", step(1)))
	r := o.unseen(runner(0))
	r.Synced = true
	placed := tasks.TaskChange{Ref: specs.Ref{StepRef: specs.StepRef{Job: "j"}}, State: tasks.Placed, Attempt: 1, Runner: "w00"}
	o.table.Apply(tasks.Record{Task: &placed})
	task := j.Occurrences[0].Steps[0].Tasks[0]
	run := r.PlaceTask(task, 1)
	run.Sent, run.Tries, run.SentFence = true, maxTries, r.Fence
	r.FencePending = true
	o.unanswered(run)
	o.report(r, agent.RenewRequest{Fence: r.Fence}, agent.Report{}, b.clock.Now())
	if task.State != tasks.Waiting || task.Run != nil {
		t.Errorf("the task is %s with run %v, want Waiting with none", task.State, task.Run)
	}
}

// A watch of the directory that failed may have missed changes, so the list is read again.
func TestDirectoryIsListedAfterAFailedWatch(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	d := &deafDirectory{Fleet: b.fleet}
	o.config.Directory = d
	b.addRunners(1)
	done := make(chan struct{})
	go func() {
		o.listLoop()
		close(done)
	}()
	b.eventually("the list is read twice", func() bool { return d.lists.Load() >= 2 })
	o.cancel()
	<-done
}

// deafDirectory is a directory whose watches fail.
type deafDirectory struct {
	*agent.Fleet

	lists atomic.Int64
}

func (d *deafDirectory) List(ctx context.Context) ([]agent.Runner, uint64, error) {
	d.lists.Add(1)
	return d.Fleet.List(ctx)
}

func (d *deafDirectory) Changes(context.Context, uint64) ([]agent.Change, uint64, error) {
	return nil, 0, errs.New(errs.Lost, "the watch was cut")
}

// A term that is lost before it began must not begin.
func TestStopBeforeRun(t *testing.T) {
	b := newBed(t, quickWorld())
	o := b.owner()
	o.Stop()
	done := make(chan struct{})
	go func() {
		o.Run(context.Background())
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(waitLimit):
		t.Error("a term that was stopped before it began goes on")
	}
}
