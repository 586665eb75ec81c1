package lead

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/claim"
)

func (r *rig) inRole(want role) []*member {
	var out []*member
	for _, m := range r.leads {
		if !m.dead && !m.paused && m.role == want {
			out = append(out, m)
		}
	}
	return out
}

// outage lets a lead run a long task, then takes the store and the lead away.
func outage(t *testing.T) (*rig, types.Job, *member) {
	r := newRig(t, 3)
	first := r.addLead(testSite, "e1")
	r.addLead(testSite, "e2")
	r.addLead(testSite, "e3")
	r.until(2*time.Second, "a lead", r.hasLead)
	long := r.job("long", func(j *types.Job) {
		j.Task.RunTime = 3 * time.Minute
		j.Task.Idempotent = false
		j.Task.Booking = true
	})
	r.accept(long)
	r.run(2 * time.Second)
	r.store.Faults.SetDown(true)
	r.run(2 * time.Second)
	return r, long, first
}

func TestInterimLeadKeepsTasksThroughAnOutage(t *testing.T) {
	r, long, first := outage(t)
	first.dead = true
	r.until(10*time.Second, "an interim lead", func() bool { return len(r.inRole(roleInterim)) == 1 })
	m := r.inRole(roleInterim)[0]
	if e, leading := m.Leading(); !leading || !claim.IsInterim(e) || e <= first.epoch {
		t.Fatalf("epoch %d after %d, leading %v", e, first.epoch, leading)
	}
	r.run(2 * time.Minute)
	r.store.Faults.SetDown(false)
	r.until(10*time.Second, "a lead", r.hasLead)
	if next := r.lead().epoch; next <= m.epochs[0] {
		t.Fatalf("epoch %d of the claim does not exceed %d", next, m.epochs[0])
	}
	r.until(3*time.Minute, "the end of the job", r.ended([]types.Job{long}))
	r.wantState(long.ID, types.JobDone)
}

func TestPausedLeadReturnsDuringTheOutage(t *testing.T) {
	r, long, first := outage(t)
	first.paused = true
	r.until(10*time.Second, "an interim lead", func() bool { return len(r.inRole(roleInterim)) == 1 })
	r.run(5 * time.Second)
	first.paused = false
	r.until(15*time.Second, "the old lead to give way", func() bool { return first.role == roleStandby })
	r.store.Faults.SetDown(false)
	r.until(10*time.Second, "a lead", r.hasLead)
	r.until(3*time.Minute, "the end of the job", r.ended([]types.Job{long}))
	r.wantState(long.ID, types.JobDone)
}

func TestTwoInterimLeadsAreHarmless(t *testing.T) {
	r, long, first := outage(t)
	first.dead = true
	for _, m := range r.leads[1:] {
		m.mu.Lock()
		m.interim.try++
		m.becomeInterim()
		m.mu.Unlock()
	}
	starts := r.meter.Get(worker.KindStart, meter.Calls)
	stops := r.meter.Get(worker.KindStop, meter.Calls)
	r.run(time.Minute)
	if r.meter.Get(worker.KindStart, meter.Calls) != starts || r.meter.Get(worker.KindStop, meter.Calls) != stops {
		t.Fatal("an interim lead started or stopped something")
	}
	if n := len(r.inRole(roleInterim)); n != 1 {
		t.Fatalf("%d interim leads are left", n)
	}
	r.store.Faults.SetDown(false)
	r.until(10*time.Second, "a lead", r.hasLead)
	r.until(3*time.Minute, "the end of the job", r.ended([]types.Job{long}))
	r.wantState(long.ID, types.JobDone)
}

func TestSecondInterimLeadAfterTheFirstDies(t *testing.T) {
	r, long, first := outage(t)
	first.dead = true
	r.until(10*time.Second, "an interim lead", func() bool { return len(r.inRole(roleInterim)) == 1 })
	r.inRole(roleInterim)[0].dead = true
	r.until(15*time.Second, "a second interim lead", func() bool { return len(r.inRole(roleInterim)) == 1 })
	r.run(time.Minute)
	r.store.Faults.SetDown(false)
	r.until(10*time.Second, "a lead", r.hasLead)
	r.until(3*time.Minute, "the end of the job", r.ended([]types.Job{long}))
	r.wantState(long.ID, types.JobDone)
}

func TestHolderGoesOnThroughAnOutage(t *testing.T) {
	r, long, first := outage(t)
	r.run(time.Minute)
	if first.role != roleLead {
		t.Fatalf("the holder is %s", first.role)
	}
	if len(r.inRole(roleInterim)) > 0 {
		t.Fatal("an interim lead stepped in beside a live holder")
	}
	r.store.Faults.SetDown(false)
	r.until(3*time.Minute, "the end of the job", r.ended([]types.Job{long}))
	r.wantState(long.ID, types.JobDone)
}
