package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

var allSteps = []step{
	stepCommit, stepStart, stepStarted, stepRenew, stepClaim, stepLoad, stepFence, stepStop,
}

// mixedWork returns jobs of the kinds that a failure must not harm: idempotent work, bookings, work that must run
// at most once, and long tasks.
func mixedWork(f *fixture) []types.Job {
	return []types.Job{
		f.job("idempotent", func(j *types.Job) { j.Batch.Count = 3 }),
		f.job("booking", func(j *types.Job) { j.Task.Booking = true; j.Batch.Count = 3 }),
		f.job("refund", func(j *types.Job) { j.Task.Idempotent = false; j.Task.Booking = true; j.Batch.Count = 3 }),
		f.job("long", func(j *types.Job) { j.Task.RunTime = 40 * time.Second }),
	}
}

func (f *fixture) allEnded(jobs []types.Job) func() bool {
	return func() bool {
		for _, j := range jobs {
			switch f.state(j.ID) {
			case types.JobDone, types.JobUnknown:
			default:
				return false
			}
		}
		return true
	}
}

func (f *fixture) wantState(id types.JobID, want types.JobState) {
	f.t.Helper()
	if got := f.state(id); got != want {
		f.t.Fatalf("job %s is %s, want %s", id, got, want)
	}
}

// failAt calls fail when the daemon reaches a step for the n-th time, where n is pass.
func failAt(m *daemon, at step, pass int, fail func()) {
	m.hook = func(s step) {
		if s != at {
			return
		}
		pass--
		if pass == 0 {
			fail()
		}
	}
}

func TestLeaderKilledAtEachStep(t *testing.T) {
	for _, at := range allSteps {
		for pass := 1; pass <= 12; pass++ {
			t.Run(fmt.Sprintf("%s/%d", at, pass), func(t *testing.T) {
				f := newFixture(t, 3)
				first := f.addDaemon(testDataCentre, "e1")
				f.addDaemon(testDataCentre, "e2")
				failAt(first, at, pass, func() { panic(killed{}) })
				f.waitUntil(10*time.Second, "a leader", f.hasLeader)
				jobs := f.submitAll(mixedWork(f))
				f.waitUntil(3*time.Minute, "the end of all jobs", f.allEnded(jobs))
				for _, j := range jobs {
					f.wantState(j.ID, types.JobDone)
				}
			})
		}
	}
}

// submitAll submits each job to the current leader until it is accepted, and returns the jobs.
func (f *fixture) submitAll(jobs []types.Job) []types.Job {
	f.t.Helper()
	for _, j := range jobs {
		f.waitUntil(time.Minute, "acceptance of "+string(j.ID), func() bool {
			m := f.leader()
			if m == nil {
				return false
			}
			outcome := f.submit(m, j)
			f.tickDaemon(m)
			known, err := outcome()
			delete(f.refused, j.ID)
			return known && err == nil
		})
	}
	return jobs
}

func TestLeaderPausedPastItsLeaseAtEachStep(t *testing.T) {
	for _, at := range allSteps {
		for pass := 1; pass <= 3; pass++ {
			t.Run(fmt.Sprintf("%s/%d", at, pass), func(t *testing.T) {
				f := newFixture(t, 3)
				first := f.addDaemon(testDataCentre, "e1")
				f.addDaemon(testDataCentre, "e2")
				failAt(first, at, pass, func() {
					first.paused = true
					for range int(10 * time.Second / tickInterval) {
						f.clock.Advance(tickInterval)
						f.tickDaemon(f.daemons[1])
						f.checkRecords()
					}
					first.paused = false
				})
				f.waitUntil(10*time.Second, "a leader", f.hasLeader)
				jobs := f.submitAll(mixedWork(f))
				f.waitUntil(3*time.Minute, "the end of all jobs", f.allEnded(jobs))
				for _, j := range jobs {
					f.wantState(j.ID, types.JobDone)
				}
			})
		}
	}
}

func TestAnswersOfTheStoreAreLost(t *testing.T) {
	for lost := 1; lost <= 12; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			f := newFixture(t, 3)
			f.addDaemon(testDataCentre, "e1")
			f.addDaemon(testDataCentre, "e2")
			f.store.Faults.LoseAnswers(lost)
			f.waitUntil(20*time.Second, "a leader", f.hasLeader)
			f.store.Faults.LoseAnswers(lost)
			jobs := f.submitAll(mixedWork(f))
			f.store.Faults.LoseAnswers(lost)
			f.waitUntil(3*time.Minute, "the end of all jobs", f.allEnded(jobs))
			for _, j := range jobs {
				f.wantState(j.ID, types.JobDone)
			}
		})
	}
}

func TestSubmissionsAreRefusedWhileTheStoreIsDown(t *testing.T) {
	f := newFixture(t, 2)
	f.addDaemon(testDataCentre, "e1")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	long := f.job("long", func(j *types.Job) { j.Task.RunTime = 2 * time.Minute })
	f.accept(long)
	f.run(time.Second)
	f.store.Faults.SetDown(true)
	outcome := f.submit(f.leader(), f.job("refused", nil))
	f.run(time.Second)
	if known, err := outcome(); !known || !errs.Is(err, errs.Unavailable) {
		t.Fatalf("outcome known: %v, error: %v; want a known outcome with an error of kind Unavailable", known, err)
	}
	f.run(3 * time.Minute)
	f.store.Faults.SetDown(false)
	f.waitUntil(20*time.Second, "the end of the long job", f.allEnded([]types.Job{long}))
	f.wantState(long.ID, types.JobDone)
}

func TestWorkerGoesAwayAndComesBackWithItsTasks(t *testing.T) {
	for _, down := range []time.Duration{2 * time.Second, 20 * time.Second, 2 * time.Minute} {
		t.Run(down.String(), func(t *testing.T) {
			f := newFixture(t, 3)
			f.addDaemon(testDataCentre, "e1")
			f.waitUntil(2*time.Second, "a leader", f.hasLeader)
			jobs := f.submitAll(mixedWork(f))
			f.run(time.Second)
			w := f.workers["carthage-w00"]
			w.Faults.SetDown(true)
			f.run(down)
			w.Faults.SetDown(false)
			f.waitUntil(3*time.Minute, "the end of all jobs", f.allEnded(jobs))
		})
	}
}

// TestLeasesAreNotTreatedAsExpiredTooEarly guards against running a booking twice because its lease is taken as
// expired too early. A worker that runs the booking is unreachable for each of several times around the lease,
// and then returns.
func TestLeasesAreNotTreatedAsExpiredTooEarly(t *testing.T) {
	for down := 2 * time.Second; down <= 50*time.Second; down += 4 * time.Second {
		t.Run(down.String(), func(t *testing.T) {
			f := newFixture(t, 2)
			f.addDaemon(testDataCentre, "e1")
			f.waitUntil(2*time.Second, "a leader", f.hasLeader)
			j := f.job("booking", func(j *types.Job) { j.Task.Booking = true; j.Task.RunTime = 2 * time.Minute })
			f.accept(j)
			f.run(down)
			w := f.workers["carthage-w00"]
			w.Faults.SetDown(true)
			f.run(down)
			w.Faults.SetDown(false)
			f.waitUntil(5*time.Minute, "the end of the booking", f.allEnded([]types.Job{j}))
		})
	}
}

func TestWorkerRestarts(t *testing.T) {
	f := newFixture(t, 2)
	f.addDaemon(testDataCentre, "e1")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	jobs := f.submitAll(mixedWork(f))
	f.run(time.Second)
	for _, w := range f.workers {
		w.Crash()
	}
	f.waitUntil(3*time.Minute, "the end of all jobs", f.allEnded(jobs))
	f.wantState(jobs[2].ID, types.JobUnknown)
	f.wantState(jobs[0].ID, types.JobDone)
}

// TestTaskThatCrashesWorkersIsGivenUp guards against an idempotent task that is started again and again, and restarts each VM on which it
// runs.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	f := newFixture(t, 3)
	f.addDaemon(testDataCentre, "e1")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	j := f.job("crashing", func(*types.Job) {})
	f.submitAll([]types.Job{j})
	starts := 0
	f.waitUntil(5*time.Minute, "the failure of the job", func() bool {
		for _, w := range f.workers {
			if runs := w.Record(); len(runs) > 0 && !runs[len(runs)-1].Phase.Ended() {
				starts++
				w.Crash()
			}
		}
		return f.state(j.ID) == types.JobFailed
	})
	if most := envdoc.Default().Placement.MaxAttempts; starts > most {
		t.Errorf("the task crashed %d workers, want at most %d", starts, most)
	}
}

func TestCancellationWaveIsOneWrite(t *testing.T) {
	f := newFixture(t, 4)
	m := f.addDaemon(testDataCentre, "e1")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	var jobs []types.Job
	for i := range 1000 {
		jobs = append(jobs, f.job(fmt.Sprintf("wave%d", i), func(j *types.Job) { j.Task.RunTime = time.Hour }))
	}
	for _, j := range jobs {
		f.submit(m, j)
	}
	f.run(5 * time.Second)
	before := f.writes()
	m.mu.Lock()
	for _, j := range jobs {
		if _, err := m.cancel(j.ID); err != nil {
			t.Fatal(err)
		}
	}
	m.mu.Unlock()
	f.tick()
	if wrote := f.writes() - before; wrote > 2 {
		t.Fatalf("a wave of cancellations took %d writes", wrote)
	}
	f.waitUntil(30*time.Second, "the end of all jobs", func() bool {
		for _, j := range jobs {
			if f.state(j.ID) != types.JobCancelled {
				return false
			}
		}
		return true
	})
}

func TestRackAndLeaderFailTogether(t *testing.T) {
	f := newFixture(t, 10)
	f.addDaemon(testDataCentre, "e1")
	f.addDaemon(testDataCentre, "e2")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	jobs := f.submitAll(mixedWork(f))
	f.run(time.Second)
	setRackDown := func(down bool) {
		for id, vm := range f.vms {
			if vm.Site.Rack == "rack0" {
				f.workers[id].Faults.SetDown(down)
			}
		}
	}
	setRackDown(true)
	f.leader().dead = true
	f.waitUntil(2*time.Minute, "the work that may run twice to end elsewhere", func() bool {
		return f.state(jobs[0].ID) == types.JobDone
	})
	// An earlier leader might still renew the leases of the tasks on the rack, so a booking is not moved yet.
	f.run(time.Minute)
	f.wantState(jobs[1].ID, types.JobRunning)
	setRackDown(false)
	f.waitUntil(3*time.Minute, "the end of all jobs", f.allEnded(jobs))
	f.wantState(jobs[1].ID, types.JobDone)
}

func TestBookingOnADestroyedWorkerIsRunAgain(t *testing.T) {
	f := newFixture(t, 2)
	f.addDaemon(testDataCentre, "e1")
	f.addDaemon(testDataCentre, "e2")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	j := f.job("booking", func(j *types.Job) { j.Task.Booking = true; j.Task.RunTime = 10 * time.Second })
	f.accept(j)
	f.run(time.Second)
	f.workers["carthage-w00"].Faults.SetDown(true)
	f.list.Remove("carthage-w00")
	f.leader().dead = true
	f.run(5 * time.Minute)
	f.wantState(j.ID, types.JobRunning)
	f.waitUntil(10*time.Minute, "the end of the booking", f.allEnded([]types.Job{j}))
	f.wantState(j.ID, types.JobDone)
}

func TestDataCentrePartitionedFromTheStore(t *testing.T) {
	for name, partitioned := range map[string]bool{"alone": false, "and from the others": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3)
			f.addWorker(otherDataCentre, 0)
			f.addDaemon(testDataCentre, "e1")
			f.addDaemon(testDataCentre, "e2")
			f.addDaemon(otherDataCentre, "f1")
			f.waitUntil(2*time.Second, "both leaders", func() bool { return f.leaderOf(testDataCentre) != nil && f.leaderOf(otherDataCentre) != nil })
			long := f.job("long", func(j *types.Job) { j.Task.RunTime = time.Minute; j.Task.Idempotent = false })
			f.accept(long)
			f.run(time.Second)
			before := f.leaderOf(testDataCentre).epoch
			f.store.Faults.SetPartitioned(testDataCentre, true)
			f.net.SetPartitioned(testDataCentre, otherDataCentre, partitioned)
			f.run(20 * time.Second)
			if f.leaderOf(testDataCentre) == nil || f.leaderOf(otherDataCentre) == nil {
				t.Fatal("a data centre lost its leader")
			}
			f.store.Faults.SetPartitioned(testDataCentre, false)
			f.net.SetPartitioned(testDataCentre, otherDataCentre, false)
			f.waitUntil(2*time.Minute, "the end of the job", f.allEnded([]types.Job{long}))
			f.wantState(long.ID, types.JobDone)
			if after := f.leaderOf(testDataCentre).epoch; after <= before {
				t.Fatalf("epoch %d follows %d", after, before)
			}
		})
	}
}

func TestWorkerThatFailsEverything(t *testing.T) {
	f := newFixture(t, 2)
	f.addDaemon(testDataCentre, "e1")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	f.workers["carthage-w00"].FailEverything(true)
	j := f.job("idempotent", func(j *types.Job) { j.Batch.Count = 3 })
	refund := f.job("refund", func(j *types.Job) { j.Task.Idempotent = false; j.Batch.Count = 3 })
	f.submitAll([]types.Job{j, refund})
	f.waitUntil(3*time.Minute, "the refund's failure", func() bool { return f.state(refund.ID) == types.JobFailed })
	f.workers["carthage-w00"].FailEverything(false)
	f.waitUntil(3*time.Minute, "the end of the other job", func() bool {
		s := f.state(j.ID)
		return s == types.JobDone || s == types.JobFailed
	})
}
