package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// handoverPlanner is a planner that hands every job over and starts none.
type handoverPlanner struct {
	to types.DataCentre
}

// Plan returns a handover of each job in the tables.
func (p handoverPlanner) Plan(s *table.State, _ time.Time) []plan.Action {
	var out []plan.Action
	for id := range s.Jobs {
		out = append(out, plan.HandOverAction{Job: id, To: p.to, Reason: "no free capacity"})
	}
	return out
}

// leaderOf returns the leader of a data centre, or nil if there is none.
func (f *fixture) leaderOf(dc types.DataCentre) *daemon {
	for _, m := range f.daemons {
		if !m.dead && !m.paused && m.dataCentre() == dc && m.role == roleLeader {
			return m
		}
	}
	return nil
}

// ownerCount returns the number of data centres whose leader has the job in its tables.
func (f *fixture) ownerCount(id types.JobID) int {
	n := 0
	for _, dc := range []types.DataCentre{testDataCentre, otherDataCentre} {
		m := f.leaderOf(dc)
		if m == nil {
			continue
		}
		if _, ok := m.state.Jobs[id]; ok {
			n++
		}
	}
	return n
}

func newHandoverFixture(t *testing.T) *fixture {
	f := newFixture(t, 2)
	for i := range 2 {
		f.addWorker(otherDataCentre, i)
	}
	for i := range 2 {
		f.addDaemon(testDataCentre, fmt.Sprintf("a%d", i)).cfg.Planner = handoverPlanner{to: otherDataCentre}
		f.addDaemon(otherDataCentre, fmt.Sprintf("b%d", i))
	}
	f.waitUntil(5*time.Second, "both leaders", func() bool { return f.leaderOf(testDataCentre) != nil && f.leaderOf(otherDataCentre) != nil })
	return f
}

// wantMoved waits until the job has ended in the other data centre and its home knows of the move. It fails if
// the job was in both data centres at once or did not run exactly once.
func wantMoved(t *testing.T, f *fixture, id types.JobID) {
	t.Helper()
	f.waitUntil(2*time.Minute, "the end of the job elsewhere", func() bool {
		if n := f.ownerCount(id); n > 1 {
			t.Fatalf("job %s is in %d data centres", id, n)
		}
		m := f.leaderOf(otherDataCentre)
		if m == nil {
			return false
		}
		s, err := m.Status(f.ctx, id)
		return err == nil && s.State == types.JobDone
	})
	f.waitUntil(time.Minute, "the home to know of the move", func() bool {
		m := f.leaderOf(testDataCentre)
		if m == nil {
			return false
		}
		s, err := m.Status(f.ctx, id)
		return err == nil && s.State == types.JobMoved && s.Home == string(otherDataCentre)
	})
	runs := 0
	for _, w := range f.workers {
		runs += len(w.Record())
	}
	if runs != 1 {
		t.Fatalf("the job ran %d times", runs)
	}
}

func handoverJob(f *fixture) types.Job {
	return f.job("move", func(j *types.Job) { j.Task.Idempotent = false; j.Task.Booking = true })
}

func TestHandOver(t *testing.T) {
	f := newHandoverFixture(t)
	j := handoverJob(f)
	f.submit(f.leaderOf(testDataCentre), j)
	wantMoved(t, f, j.ID)
}

func TestHandOverWithTheHomeLeaderKilledAtEachStep(t *testing.T) {
	for _, at := range []step{stepCommit, stepOffer, stepTake} {
		for pass := 1; pass <= 4; pass++ {
			t.Run(fmt.Sprintf("%s/%d", at, pass), func(t *testing.T) {
				f := newHandoverFixture(t)
				m := f.leaderOf(testDataCentre)
				j := handoverJob(f)
				outcome := f.submit(m, j)
				f.waitUntil(2*time.Second, "acceptance", func() bool { known, _ := outcome(); return known })
				failAt(m, at, pass, func() { panic(killed{}) })
				wantMoved(t, f, j.ID)
			})
		}
	}
}

func TestHandOverWithLostAnswers(t *testing.T) {
	for lost := 1; lost <= 8; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			f := newHandoverFixture(t)
			j := handoverJob(f)
			outcome := f.submit(f.leaderOf(testDataCentre), j)
			f.waitUntil(2*time.Second, "acceptance", func() bool { known, _ := outcome(); return known })
			f.store.Faults.LoseAnswers(lost)
			f.net.LoseAnswers(lost % 3)
			wantMoved(t, f, j.ID)
		})
	}
}

func TestHandOverWithTheReceiverKilled(t *testing.T) {
	f := newHandoverFixture(t)
	j := handoverJob(f)
	receiver := f.leaderOf(otherDataCentre)
	failAt(receiver, stepCommit, 1, func() { panic(killed{}) })
	f.submit(f.leaderOf(testDataCentre), j)
	wantMoved(t, f, j.ID)
}

func TestHandOverDuringAPartition(t *testing.T) {
	f := newHandoverFixture(t)
	j := handoverJob(f)
	f.net.SetPartitioned(testDataCentre, otherDataCentre, true)
	f.submit(f.leaderOf(testDataCentre), j)
	f.run(20 * time.Second)
	if n := f.ownerCount(j.ID); n > 0 {
		t.Fatalf("a job in transfer is in the tables of %d data centres", n)
	}
	f.net.SetPartitioned(testDataCentre, otherDataCentre, false)
	wantMoved(t, f, j.ID)
}

func TestHandOverIsWithdrawnWhenNobodyIsThere(t *testing.T) {
	f := newHandoverFixture(t)
	for _, m := range f.daemons {
		m.dead = m.dataCentre() == otherDataCentre
	}
	m := f.leaderOf(testDataCentre)
	j := handoverJob(f)
	f.submit(m, j)
	f.waitUntil(10*time.Second, "the offer to be withdrawn", func() bool {
		committedJob := m.committedState.Jobs[j.ID]
		return committedJob != nil && committedJob.Hop > 0
	})
	m.cfg.Planner = plan.FirstFit{}
	f.waitUntil(time.Minute, "the end of the job here", func() bool {
		s, err := m.Status(f.ctx, j.ID)
		return err == nil && s.State == types.JobDone
	})
}

// TestJobComesBackBeforeTheMoveIsRecorded guards against a job that is lost or stuck because it is handed back to
// its home before the home knows that the other data centre accepted it.
func TestJobComesBackBeforeTheMoveIsRecorded(t *testing.T) {
	f := newHandoverFixture(t)
	home, other := f.leaderOf(testDataCentre), f.leaderOf(otherDataCentre)
	other.cfg.Planner = handoverPlanner{to: testDataCentre}
	j := handoverJob(f)
	outcome := f.submit(home, j)
	f.waitUntil(2*time.Second, "acceptance", func() bool { known, _ := outcome(); return known })
	// The reply of the other data centre is lost, and the job comes back meanwhile.
	f.net.LoseAnswers(1)
	f.waitUntil(time.Minute, "the job to come back", func() bool {
		committedJob := home.committedState.Jobs[j.ID]
		return committedJob != nil && committedJob.Hop == 2
	})
	home.cfg.Planner = plan.FirstFit{}
	f.waitUntil(time.Minute, "the end of the job at home", func() bool {
		s, err := home.Status(f.ctx, j.ID)
		return err == nil && s.State == types.JobDone
	})
}
