package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// moving is a planner that hands every job that came from elsewhere over, and places none of its own.
type moving struct {
	to types.DataCentre
}

// Plan offers each waiting job.
func (p moving) Plan(s *table.State, _ time.Time) []plan.Action {
	var out []plan.Action
	for id := range s.Jobs {
		out = append(out, plan.HandOverAction{Job: id, To: p.to, Reason: "no room"})
	}
	return out
}

// leadOf returns the lead of a data centre.
func (r *rig) leadOf(site types.DataCentre) *member {
	for _, m := range r.leads {
		if !m.dead && !m.paused && m.site() == site && m.role == roleLead {
			return m
		}
	}
	return nil
}

// owners returns in how many data centres a job stands in the tables or has run.
func (r *rig) owners(id types.JobID) int {
	n := 0
	for _, site := range []types.DataCentre{testSite, otherSite} {
		m := r.leadOf(site)
		if m == nil {
			continue
		}
		if _, ok := m.state.Jobs[id]; ok {
			n++
		}
	}
	return n
}

func handoverRig(t *testing.T) *rig {
	r := newRig(t, 2)
	for i := range 2 {
		r.addWorker(otherSite, i)
	}
	for i := range 2 {
		r.addLead(testSite, fmt.Sprintf("a%d", i)).cfg.Planner = moving{to: otherSite}
		r.addLead(otherSite, fmt.Sprintf("b%d", i))
	}
	r.until(5*time.Second, "both leads", func() bool { return r.leadOf(testSite) != nil && r.leadOf(otherSite) != nil })
	return r
}

// wantMoved waits until the job has run once, in the other data centre.
func wantMoved(t *testing.T, r *rig, id types.JobID) {
	t.Helper()
	r.until(2*time.Minute, "the end of the job elsewhere", func() bool {
		if n := r.owners(id); n > 1 {
			t.Fatalf("job %s is in %d data centres", id, n)
		}
		m := r.leadOf(otherSite)
		if m == nil {
			return false
		}
		s, err := m.Status(r.ctx, id)
		return err == nil && s.State == types.JobDone
	})
	r.until(time.Minute, "the home to know of the move", func() bool {
		m := r.leadOf(testSite)
		if m == nil {
			return false
		}
		s, err := m.Status(r.ctx, id)
		return err == nil && s.State == types.JobMoved && s.Home == string(otherSite)
	})
	runs := 0
	for _, w := range r.workers {
		runs += len(w.Record())
	}
	if runs != 1 {
		t.Fatalf("the job ran %d times", runs)
	}
}

func handoverJob(r *rig) types.Job {
	return r.job("move", func(j *types.Job) { j.Task.Idempotent = false; j.Task.Booking = true })
}

func TestHandOver(t *testing.T) {
	r := handoverRig(t)
	j := handoverJob(r)
	r.submit(r.leadOf(testSite), j)
	wantMoved(t, r, j.ID)
}

func TestHandOverWithTheHomeLeadKilledAtEachStep(t *testing.T) {
	for _, at := range []step{stepCommit, stepOffer, stepTake} {
		for pass := 1; pass <= 4; pass++ {
			t.Run(fmt.Sprintf("%s/%d", at, pass), func(t *testing.T) {
				r := handoverRig(t)
				m := r.leadOf(testSite)
				j := handoverJob(r)
				outcome := r.submit(m, j)
				r.until(2*time.Second, "acceptance", func() bool { known, _ := outcome(); return known })
				failAt(m, at, pass, func() { panic(killed{}) })
				wantMoved(t, r, j.ID)
			})
		}
	}
}

func TestHandOverWithLostAnswers(t *testing.T) {
	for lost := 1; lost <= 8; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			r := handoverRig(t)
			j := handoverJob(r)
			outcome := r.submit(r.leadOf(testSite), j)
			r.until(2*time.Second, "acceptance", func() bool { known, _ := outcome(); return known })
			r.store.Faults.LoseAnswers(lost)
			r.net.LoseAnswers(lost % 3)
			wantMoved(t, r, j.ID)
		})
	}
}

func TestHandOverWithTheTakerGone(t *testing.T) {
	r := handoverRig(t)
	j := handoverJob(r)
	taker := r.leadOf(otherSite)
	failAt(taker, stepCommit, 1, func() { panic(killed{}) })
	r.submit(r.leadOf(testSite), j)
	wantMoved(t, r, j.ID)
}

func TestHandOverWhileParted(t *testing.T) {
	r := handoverRig(t)
	j := handoverJob(r)
	r.net.SetPartitioned(testSite, otherSite, true)
	r.submit(r.leadOf(testSite), j)
	r.run(20 * time.Second)
	if n := r.owners(j.ID); n > 0 {
		t.Fatalf("a job on its way is in the tables of %d data centres", n)
	}
	r.net.SetPartitioned(testSite, otherSite, false)
	wantMoved(t, r, j.ID)
}

func TestHandOverIsWithdrawnWhenNobodyIsThere(t *testing.T) {
	r := handoverRig(t)
	for _, m := range r.leads {
		m.dead = m.site() == otherSite
	}
	m := r.leadOf(testSite)
	j := handoverJob(r)
	r.submit(m, j)
	r.until(10*time.Second, "the offer to be withdrawn", func() bool {
		image := m.image.Jobs[j.ID]
		return image != nil && image.Hop > 0
	})
	m.cfg.Planner = plan.FirstFit{}
	r.until(time.Minute, "the end of the job here", func() bool {
		s, err := m.Status(r.ctx, j.ID)
		return err == nil && s.State == types.JobDone
	})
}

// TestJobComesBackBeforeTheMoveIsNoted hands a job back while the home has not heard that it was taken.
func TestJobComesBackBeforeTheMoveIsNoted(t *testing.T) {
	r := handoverRig(t)
	home, other := r.leadOf(testSite), r.leadOf(otherSite)
	other.cfg.Planner = moving{to: testSite}
	j := handoverJob(r)
	outcome := r.submit(home, j)
	r.until(2*time.Second, "acceptance", func() bool { known, _ := outcome(); return known })
	// The answer that the other data centre took the job is lost, and the job comes back meanwhile.
	r.net.LoseAnswers(1)
	r.until(time.Minute, "the job to come back", func() bool {
		image := home.image.Jobs[j.ID]
		return image != nil && image.Hop == 2
	})
	home.cfg.Planner = plan.FirstFit{}
	r.until(time.Minute, "the end of the job at home", func() bool {
		s, err := home.Status(r.ctx, j.ID)
		return err == nil && s.State == types.JobDone
	})
}
