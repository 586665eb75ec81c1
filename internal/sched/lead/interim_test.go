package lead

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/claim"
)

func (f *fixture) inRole(want role) []*daemon {
	var out []*daemon
	for _, m := range f.daemons {
		if !m.dead && !m.paused && m.role == want {
			out = append(out, m)
		}
	}
	return out
}

// startOutage starts a long task under the first daemon and then takes the store down. The test decides what
// becomes of that daemon.
func startOutage(t *testing.T) (*fixture, types.Job, *daemon) {
	f := newFixture(t, 3)
	first := f.addDaemon(testDataCentre, "e1")
	f.addDaemon(testDataCentre, "e2")
	f.addDaemon(testDataCentre, "e3")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	long := f.job("long", func(j *types.Job) {
		j.Task.RunTime = 3 * time.Minute
		j.Task.Idempotent = false
		j.Task.Booking = true
	})
	f.accept(long)
	f.run(2 * time.Second)
	f.store.Faults.SetDown(true)
	f.run(2 * time.Second)
	return f, long, first
}

func TestInterimLeaderKeepsTasksThroughAnOutage(t *testing.T) {
	f, long, first := startOutage(t)
	first.dead = true
	f.waitUntil(10*time.Second, "an interim leader", func() bool { return len(f.inRole(roleInterim)) == 1 })
	m := f.inRole(roleInterim)[0]
	if e, leading := m.Leading(); !leading || !claim.IsInterim(e) || e <= first.epoch {
		t.Fatalf("epoch %d after %d, leading %v", e, first.epoch, leading)
	}
	f.run(2 * time.Minute)
	f.store.Faults.SetDown(false)
	f.waitUntil(10*time.Second, "a leader", f.hasLeader)
	if next := f.leader().epoch; next <= m.epochs[0] {
		t.Fatalf("epoch %d of the claim does not exceed %d", next, m.epochs[0])
	}
	f.waitUntil(3*time.Minute, "the end of the job", f.allEnded([]types.Job{long}))
	f.wantState(long.ID, types.JobDone)
}

func TestPausedLeaderReturnsDuringTheOutage(t *testing.T) {
	f, long, first := startOutage(t)
	first.paused = true
	f.waitUntil(10*time.Second, "an interim leader", func() bool { return len(f.inRole(roleInterim)) == 1 })
	f.run(5 * time.Second)
	first.paused = false
	f.waitUntil(15*time.Second, "the former leader to end its term", func() bool { return first.role == roleStandby })
	f.store.Faults.SetDown(false)
	f.waitUntil(10*time.Second, "a leader", f.hasLeader)
	f.waitUntil(3*time.Minute, "the end of the job", f.allEnded([]types.Job{long}))
	f.wantState(long.ID, types.JobDone)
}

func TestTwoInterimLeadersAreHarmless(t *testing.T) {
	f, long, first := startOutage(t)
	first.dead = true
	for _, m := range f.daemons[1:] {
		m.mu.Lock()
		m.interim.tries++
		m.becomeInterim()
		m.mu.Unlock()
	}
	starts := f.meter.Get(worker.KindStart, meter.Calls)
	stops := f.meter.Get(worker.KindStop, meter.Calls)
	f.run(time.Minute)
	if f.meter.Get(worker.KindStart, meter.Calls) != starts || f.meter.Get(worker.KindStop, meter.Calls) != stops {
		t.Fatal("an interim leader started or stopped something")
	}
	if n := len(f.inRole(roleInterim)); n != 1 {
		t.Fatalf("%d interim leaders are left, want 1", n)
	}
	f.store.Faults.SetDown(false)
	f.waitUntil(10*time.Second, "a leader", f.hasLeader)
	f.waitUntil(3*time.Minute, "the end of the job", f.allEnded([]types.Job{long}))
	f.wantState(long.ID, types.JobDone)
}

func TestSecondInterimLeaderAfterTheFirstDies(t *testing.T) {
	f, long, first := startOutage(t)
	first.dead = true
	f.waitUntil(10*time.Second, "an interim leader", func() bool { return len(f.inRole(roleInterim)) == 1 })
	f.inRole(roleInterim)[0].dead = true
	f.waitUntil(15*time.Second, "a second interim leader", func() bool { return len(f.inRole(roleInterim)) == 1 })
	f.run(time.Minute)
	f.store.Faults.SetDown(false)
	f.waitUntil(10*time.Second, "a leader", f.hasLeader)
	f.waitUntil(3*time.Minute, "the end of the job", f.allEnded([]types.Job{long}))
	f.wantState(long.ID, types.JobDone)
}

func TestHolderGoesOnThroughAnOutage(t *testing.T) {
	f, long, first := startOutage(t)
	f.run(time.Minute)
	if first.role != roleLeader {
		t.Fatalf("the holder of the claim has role %s, want Lead", first.role)
	}
	if len(f.inRole(roleInterim)) > 0 {
		t.Fatal("an interim leader took over although the holder of the claim is live")
	}
	f.store.Faults.SetDown(false)
	f.waitUntil(3*time.Minute, "the end of the job", f.allEnded([]types.Job{long}))
	f.wantState(long.ID, types.JobDone)
}
