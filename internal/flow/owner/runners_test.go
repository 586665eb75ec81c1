package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

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
	if earliest := leaseTTL - longPollTimeout - maxRenewMargin; time.Since(unreachableSince) < earliest {
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

// unreadableDirectory returns errors while it is unreadable.
type unreadableDirectory struct {
	agent.Directory
	unreadable atomic.Bool
}

func (d *unreadableDirectory) List(ctx context.Context) ([]agent.Runner, uint64, error) {
	if d.unreadable.Load() {
		return nil, 0, errs.New(errs.Unavailable, "the directory is unreadable")
	}
	return d.Directory.List(ctx)
}

func (d *unreadableDirectory) Changes(ctx context.Context, after uint64) ([]agent.Change, uint64, error) {
	if d.unreadable.Load() {
		return nil, after, errs.New(errs.Unavailable, "the directory is unreadable")
	}
	return d.Directory.Changes(ctx, after)
}

// A leader that cannot read the directory does not know which runners are draining. It must start nothing until it can
// read it again.
func TestNothingStartsWithoutTheDirectory(t *testing.T) {
	f := newFixture(t, quickWorld())
	f.addRunners(2)
	o := f.newOwner()
	directory := &unreadableDirectory{Directory: f.fleet}
	o.config.Directory = directory
	f.runOwner(o)
	f.submit(o, job("before", step(1)))
	f.waitForState(o, "before", tasks.JobCompleted)
	directory.unreadable.Store(true)
	time.Sleep(maxDirectoryAge + changesTimeout)
	f.submit(o, job("meanwhile", step(1)))
	time.Sleep(5 * listDelay)
	if got := f.fleet.StartCount(); got != 1 {
		t.Errorf("%d starts, want only the one before the directory became unreadable", got)
	}
	directory.unreadable.Store(false)
	f.waitForState(o, "meanwhile", tasks.JobCompleted)
}

// pagedDirectory returns the changes of the directory in pages, each after a delay, and counts the calls.
type pagedDirectory struct {
	agent.Directory
	page  int
	total int
	// read is set once the list has been read and its changes are asked for.
	read atomic.Bool
}

func (d *pagedDirectory) List(context.Context) ([]agent.Runner, uint64, error) {
	return []agent.Runner{runner(0)}, 1, nil
}

// Changes returns the next page of total changes; the last one says that the runner is draining.
func (d *pagedDirectory) Changes(ctx context.Context, after uint64) ([]agent.Change, uint64, error) {
	d.read.Store(true)
	if int(after) > d.total {
		<-ctx.Done()
		return nil, after, nil
	}
	var out []agent.Change
	for n := int(after); n <= d.total && len(out) < d.page; n++ {
		r := runner(0)
		r.Draining = n == d.total
		out = append(out, agent.Change{Runner: r})
	}
	return out, after + uint64(len(out)), nil
}

// The runners of a large deployment change the directory faster than pages with a pause between them could follow. The
// leader must not fall behind, or it starts tasks on runners that are leaving.
func TestDirectoryWithManyChangesIsFollowed(t *testing.T) {
	f := newFixture(t, quickWorld())
	clock := clockwork.NewFakeClock()
	f.clock = clock
	o := f.newOwner()
	directory := &pagedDirectory{page: manyChanges, total: 50 * manyChanges}
	o.config.Directory = directory
	f.runOwner(o)
	f.eventually("the list was read", func() bool {
		if directory.read.Load() {
			return true
		}
		clock.Advance(listDelay)
		return false
	})
	// The clock stands still from here on, so a pause between two pages would not end.
	f.eventually("the last change is known", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		r := o.table.Runners["w00"]
		return r != nil && r.Info.Draining
	})
}
