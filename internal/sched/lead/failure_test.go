package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

var allSteps = []step{
	stepCommit, stepStart, stepStarted, stepRenew, stepClaim, stepLoad, stepFence, stepStop,
}

// kinds of work that a failure must not harm.
func mixedWork(r *rig) []types.Job {
	return []types.Job{
		r.job("idempotent", func(j *types.Job) { j.Batch.Count = 3 }),
		r.job("booking", func(j *types.Job) { j.Task.Booking = true; j.Batch.Count = 3 }),
		r.job("refund", func(j *types.Job) { j.Task.Idempotent = false; j.Task.Booking = true; j.Batch.Count = 3 }),
		r.job("long", func(j *types.Job) { j.Task.RunTime = 40 * time.Second }),
	}
}

func (r *rig) ended(jobs []types.Job) func() bool {
	return func() bool {
		for _, j := range jobs {
			switch r.state(j.ID) {
			case types.JobDone, types.JobUnknown:
			default:
				return false
			}
		}
		return true
	}
}

func (r *rig) wantState(id types.JobID, want types.JobState) {
	r.t.Helper()
	if got := r.state(id); got != want {
		r.t.Fatalf("job %s is %s, want %s", id, got, want)
	}
}

// failAt arms a lead to fail at the n-th pass of a step.
func failAt(m *member, at step, pass int, fail func()) {
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

func TestLeadKilledAtEachStep(t *testing.T) {
	for _, at := range allSteps {
		for pass := 1; pass <= 12; pass++ {
			t.Run(fmt.Sprintf("%s/%d", at, pass), func(t *testing.T) {
				r := newRig(t, 3)
				first := r.addLead(testSite, "e1")
				r.addLead(testSite, "e2")
				failAt(first, at, pass, func() { panic(killed{}) })
				r.until(10*time.Second, "a lead", r.hasLead)
				jobs := r.submitAll(mixedWork(r))
				r.until(3*time.Minute, "the end of all jobs", r.ended(jobs))
				for _, j := range jobs {
					r.wantState(j.ID, types.JobDone)
				}
			})
		}
	}
}

// submitAll submits jobs until each is accepted, whoever leads, and returns them.
func (r *rig) submitAll(jobs []types.Job) []types.Job {
	r.t.Helper()
	for _, j := range jobs {
		r.until(time.Minute, "acceptance of "+string(j.ID), func() bool {
			m := r.lead()
			if m == nil {
				return false
			}
			outcome := r.submit(m, j)
			r.step(m)
			known, err := outcome()
			delete(r.refused, j.ID)
			return known && err == nil
		})
	}
	return jobs
}

func TestLeadPausedPastItsLeaseAtEachStep(t *testing.T) {
	for _, at := range allSteps {
		for pass := 1; pass <= 3; pass++ {
			t.Run(fmt.Sprintf("%s/%d", at, pass), func(t *testing.T) {
				r := newRig(t, 3)
				first := r.addLead(testSite, "e1")
				r.addLead(testSite, "e2")
				failAt(first, at, pass, func() {
					first.paused = true
					for range int(10 * time.Second / tickPeriod) {
						r.clock.Advance(tickPeriod)
						r.step(r.leads[1])
						r.checkRecords()
					}
					first.paused = false
				})
				r.until(10*time.Second, "a lead", r.hasLead)
				jobs := r.submitAll(mixedWork(r))
				r.until(3*time.Minute, "the end of all jobs", r.ended(jobs))
				for _, j := range jobs {
					r.wantState(j.ID, types.JobDone)
				}
			})
		}
	}
}

func TestAnswersOfTheStoreAreLost(t *testing.T) {
	for lost := 1; lost <= 12; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			r := newRig(t, 3)
			r.addLead(testSite, "e1")
			r.addLead(testSite, "e2")
			r.store.Faults.LoseAnswers(lost)
			r.until(20*time.Second, "a lead", r.hasLead)
			r.store.Faults.LoseAnswers(lost)
			jobs := r.submitAll(mixedWork(r))
			r.store.Faults.LoseAnswers(lost)
			r.until(3*time.Minute, "the end of all jobs", r.ended(jobs))
			for _, j := range jobs {
				r.wantState(j.ID, types.JobDone)
			}
		})
	}
}

func TestSubmissionsAreRefusedWhileTheStoreIsDown(t *testing.T) {
	r := newRig(t, 2)
	r.addLead(testSite, "e1")
	r.until(2*time.Second, "a lead", r.hasLead)
	long := r.job("long", func(j *types.Job) { j.Task.RunTime = 2 * time.Minute })
	r.accept(long)
	r.run(time.Second)
	r.store.Faults.SetDown(true)
	outcome := r.submit(r.lead(), r.job("refused", nil))
	r.run(time.Second)
	if known, err := outcome(); !known || !errs.Is(err, errs.Unavailable) {
		t.Fatalf("got %v, %v", known, err)
	}
	r.run(3 * time.Minute)
	r.store.Faults.SetDown(false)
	r.until(20*time.Second, "the end of the long job", r.ended([]types.Job{long}))
	r.wantState(long.ID, types.JobDone)
}

func TestWorkerGoesAwayAndComesBackWithItsTasks(t *testing.T) {
	for _, down := range []time.Duration{2 * time.Second, 20 * time.Second, 2 * time.Minute} {
		t.Run(down.String(), func(t *testing.T) {
			r := newRig(t, 3)
			r.addLead(testSite, "e1")
			r.until(2*time.Second, "a lead", r.hasLead)
			jobs := r.submitAll(mixedWork(r))
			r.run(time.Second)
			w := r.workers["carthage-w00"]
			w.Faults.SetDown(true)
			r.run(down)
			w.Faults.SetDown(false)
			r.until(3*time.Minute, "the end of all jobs", r.ended(jobs))
		})
	}
}

// TestLeasesAreNotJudgedLapsedTooEarly cuts a worker off for each length around the lease, with a booking
// that would still run there.
func TestLeasesAreNotJudgedLapsedTooEarly(t *testing.T) {
	for down := 2 * time.Second; down <= 50*time.Second; down += 4 * time.Second {
		t.Run(down.String(), func(t *testing.T) {
			r := newRig(t, 2)
			r.addLead(testSite, "e1")
			r.until(2*time.Second, "a lead", r.hasLead)
			j := r.job("booking", func(j *types.Job) { j.Task.Booking = true; j.Task.RunTime = 2 * time.Minute })
			r.accept(j)
			r.run(down)
			w := r.workers["carthage-w00"]
			w.Faults.SetDown(true)
			r.run(down)
			w.Faults.SetDown(false)
			r.until(5*time.Minute, "the end of the booking", r.ended([]types.Job{j}))
		})
	}
}

func TestWorkerRestarts(t *testing.T) {
	r := newRig(t, 2)
	r.addLead(testSite, "e1")
	r.until(2*time.Second, "a lead", r.hasLead)
	jobs := r.submitAll(mixedWork(r))
	r.run(time.Second)
	for _, w := range r.workers {
		w.Crash()
	}
	r.until(3*time.Minute, "the end of all jobs", r.ended(jobs))
	r.wantState(jobs[2].ID, types.JobUnknown)
	r.wantState(jobs[0].ID, types.JobDone)
}

func TestCancellationWaveIsOneWrite(t *testing.T) {
	r := newRig(t, 4)
	m := r.addLead(testSite, "e1")
	r.until(2*time.Second, "a lead", r.hasLead)
	var jobs []types.Job
	for i := range 1000 {
		jobs = append(jobs, r.job(fmt.Sprintf("wave%d", i), func(j *types.Job) { j.Task.RunTime = time.Hour }))
	}
	for _, j := range jobs {
		r.submit(m, j)
	}
	r.run(5 * time.Second)
	before := r.writes()
	m.mu.Lock()
	for _, j := range jobs {
		if _, err := m.cancel(j.ID); err != nil {
			t.Fatal(err)
		}
	}
	m.mu.Unlock()
	r.tick()
	if wrote := r.writes() - before; wrote > 2 {
		t.Fatalf("a wave of cancellations took %d writes", wrote)
	}
	r.until(30*time.Second, "the end of all jobs", func() bool {
		for _, j := range jobs {
			if r.state(j.ID) != types.JobCancelled {
				return false
			}
		}
		return true
	})
}

func TestRackAndLeadGoTogether(t *testing.T) {
	r := newRig(t, 10)
	r.addLead(testSite, "e1")
	r.addLead(testSite, "e2")
	r.until(2*time.Second, "a lead", r.hasLead)
	jobs := r.submitAll(mixedWork(r))
	r.run(time.Second)
	rack := func(down bool) {
		for id, vm := range r.vms {
			if vm.Site.Rack == "rack0" {
				r.workers[id].Faults.SetDown(down)
			}
		}
	}
	rack(true)
	r.lead().dead = true
	r.until(2*time.Minute, "the work that may run twice to end elsewhere", func() bool {
		return r.state(jobs[0].ID) == types.JobDone
	})
	// An earlier lead might still renew what stands on the rack, so a booking is not moved yet.
	r.run(time.Minute)
	r.wantState(jobs[1].ID, types.JobRunning)
	rack(false)
	r.until(3*time.Minute, "the end of all jobs", r.ended(jobs))
	r.wantState(jobs[1].ID, types.JobDone)
}

func TestBookingOnADestroyedWorkerIsRunAgain(t *testing.T) {
	r := newRig(t, 2)
	r.addLead(testSite, "e1")
	r.addLead(testSite, "e2")
	r.until(2*time.Second, "a lead", r.hasLead)
	j := r.job("booking", func(j *types.Job) { j.Task.Booking = true; j.Task.RunTime = 10 * time.Second })
	r.accept(j)
	r.run(time.Second)
	r.workers["carthage-w00"].Faults.SetDown(true)
	r.list.Remove("carthage-w00")
	r.lead().dead = true
	r.run(5 * time.Minute)
	r.wantState(j.ID, types.JobRunning)
	r.until(10*time.Minute, "the end of the booking", r.ended([]types.Job{j}))
	r.wantState(j.ID, types.JobDone)
}

func TestDataCentreCutFromTheStore(t *testing.T) {
	for name, parted := range map[string]bool{"alone": false, "and from the others": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3)
			r.addWorker(otherSite, 0)
			r.addLead(testSite, "e1")
			r.addLead(testSite, "e2")
			r.addLead(otherSite, "f1")
			r.until(2*time.Second, "both leads", func() bool { return r.leadOf(testSite) != nil && r.leadOf(otherSite) != nil })
			long := r.job("long", func(j *types.Job) { j.Task.RunTime = time.Minute; j.Task.Idempotent = false })
			r.accept(long)
			r.run(time.Second)
			before := r.leadOf(testSite).epoch
			r.store.Faults.SetPartitioned(testSite, true)
			r.net.SetPartitioned(testSite, otherSite, parted)
			r.run(20 * time.Second)
			if r.leadOf(testSite) == nil || r.leadOf(otherSite) == nil {
				t.Fatal("a data centre lost its lead")
			}
			r.store.Faults.SetPartitioned(testSite, false)
			r.net.SetPartitioned(testSite, otherSite, false)
			r.until(2*time.Minute, "the end of the job", r.ended([]types.Job{long}))
			r.wantState(long.ID, types.JobDone)
			if after := r.leadOf(testSite).epoch; after <= before {
				t.Fatalf("epoch %d follows %d", after, before)
			}
		})
	}
}

func TestWorkerThatFailsEverything(t *testing.T) {
	r := newRig(t, 2)
	r.addLead(testSite, "e1")
	r.until(2*time.Second, "a lead", r.hasLead)
	r.workers["carthage-w00"].FailEverything(true)
	j := r.job("idempotent", func(j *types.Job) { j.Batch.Count = 3 })
	refund := r.job("refund", func(j *types.Job) { j.Task.Idempotent = false; j.Batch.Count = 3 })
	r.submitAll([]types.Job{j, refund})
	r.until(3*time.Minute, "the refund's failure", func() bool { return r.state(refund.ID) == types.JobFailed })
	r.workers["carthage-w00"].FailEverything(false)
	r.until(3*time.Minute, "the end of the other job", func() bool {
		s := r.state(j.ID)
		return s == types.JobDone || s == types.JobFailed
	})
}
