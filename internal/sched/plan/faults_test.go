package plan_test

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

func TestUrgentWorkPreemptsTheFewestTasksThatCanCheckpoint(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(2, 4)
	small := f.job(types.ClassBatch, 4)
	small.Task.CanCheckpoint = true
	large := f.job(types.ClassBatch, 2)
	large.Task.CanCheckpoint = true
	large.Task.Resources = unit.Times(2)
	many, few := f.add(small), f.add(large)
	for _, k := range many.Tasks {
		f.startTask(k, f.worker(0))
	}
	for _, k := range few.Tasks {
		f.startTask(k, f.worker(1))
	}
	spec := f.job(types.ClassUrgent, 1)
	spec.Task.Resources = unit.Times(2)
	urgent := f.add(spec)
	got := assertCount[plan.PreemptAction](t, f.tick(), 1)
	if got[0].Task.Job() != few.Spec.ID || !got[0].Checkpoint || got[0].For != urgent.Tasks[0].ID {
		t.Fatalf("unexpected action %+v, want one large task to be preempted with a checkpoint for the urgent one", got[0])
	}
	f.tick()
	assertRunning(t, urgent, 1)
}

func TestWhatCannotCheckpointIsNotPreempted(t *testing.T) {
	kinds := map[string]func(j *types.Job){
		"idempotent work without checkpoints": func(*types.Job) {},
		"a booking":                           func(j *types.Job) { j.Task.Booking, j.Task.Idempotent = true, false },
		"urgent work":                         func(j *types.Job) { j.Class, j.Task.CanCheckpoint = types.ClassUrgent, true },
		"a service": func(j *types.Job) {
			j.Task.CanCheckpoint = true
			j.Batch, j.Service = nil, &types.Service{Name: "booking", Count: 2}
		},
		"a part of a gang": func(j *types.Job) {
			j.Task.CanCheckpoint = true
			j.Batch, j.Gang = nil, &types.Gang{Count: 2}
		},
	}
	for name, change := range kinds {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, noHeadroom)
			f.addWorkers(1, 2)
			spec := f.job(types.ClassBatch, 2)
			change(&spec)
			for _, k := range f.add(spec).Tasks {
				f.startTask(k, f.worker(0))
			}
			f.add(f.job(types.ClassUrgent, 1))
			assertCount[plan.PreemptAction](t, f.plan(), 0)
		})
	}
}

func TestCapacityOfAStopInFlightIsNotFreedTwiceNorTaken(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 5)
	spec := f.job(types.ClassBatch, 2)
	spec.Task.CanCheckpoint = true
	spec.Task.Resources = unit.Times(2)
	victims := f.add(spec)
	for _, k := range victims.Tasks {
		f.startTask(k, f.worker(0))
	}
	spec = f.job(types.ClassUrgent, 1)
	spec.Task.Resources = unit.Times(3)
	urgent := f.add(spec)
	// The headroom would allow this task on the worker, but the urgent one needs the capacity.
	tiny := f.job(types.ClassNormal, 1)
	tiny.Task.Resources = types.Resources{Cores: unit.Cores / 2, Memory: unit.Memory / 2}
	f.add(tiny)
	stopped := f.tables.Tasks[assertCount[plan.PreemptAction](t, f.plan(), 1)[0].Task]
	f.must(f.tables.Stop(stopped, "preempted"))
	actions := f.plan()
	assertCount[plan.PreemptAction](t, actions, 0)
	assertCount[plan.StartAction](t, actions, 0)
	f.must(f.tables.Finish(stopped, table.TaskWaiting, "checkpointed", f.now))
	got := assertCount[plan.StartAction](t, f.tick(), 1)
	if got[0].Task != urgent.Tasks[0].ID {
		t.Fatalf("the freed capacity went to %s, want the urgent task", got[0].Task)
	}
}

func TestCapacityFreedForAnUrgentTaskIsNotTakenByALaterSmallerOne(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 4)
	spec := f.job(types.ClassBatch, 2)
	spec.Task.CanCheckpoint = true
	spec.Task.Resources = unit.Times(2)
	victims := f.add(spec)
	for _, k := range victims.Tasks {
		f.startTask(k, f.worker(0))
	}
	spec = f.job(types.ClassUrgent, 1)
	spec.Task.Resources = unit.Times(4)
	large := f.add(spec)
	for _, a := range assertCount[plan.PreemptAction](t, f.plan(), 2) {
		f.must(f.tables.Stop(f.tables.Tasks[a.Task], a.Reason))
	}
	f.advance(time.Second)
	// The team of the later job occupies a smaller part of its quota, so its share alone would put it first.
	f.addWorkers(1, 1)
	f.startTask(f.add(f.job(types.ClassNormal, 1)).Tasks[0], f.worker(1))
	spec = f.job(types.ClassUrgent, 1)
	spec.Team = "later"
	later := f.add(spec)
	for _, k := range victims.Tasks {
		f.must(f.tables.Finish(k, table.TaskWaiting, "checkpointed", f.now))
	}
	f.tick()
	assertRunning(t, large, 1)
	assertRunning(t, later, 0)
}

func TestGangsStartWholeOrNotAtAll(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(4, 4)
	f.startTask(f.add(f.job(types.ClassNormal, 1)).Tasks[0], f.worker(0))
	gang := f.add(f.gang(4, 4))
	f.tick()
	assertRunning(t, gang, 0)
	fits := f.add(f.gang(3, 4))
	f.tables.Unreserve(gang.Spec.ID)
	f.tick()
	assertRunning(t, fits, 3)
}

func TestAReservationDrainsWorkersForAGang(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(2, 4)
	running := f.add(f.job(types.ClassNormal, 1))
	f.startTask(running.Tasks[0], f.worker(0))
	gang := f.add(f.gang(2, 4))
	f.tick()
	if len(f.tables.Reservations) != 1 {
		t.Fatalf("%d reservations, want 1", len(f.tables.Reservations))
	}
	later := f.add(f.job(types.ClassNormal, 4))
	f.advance(time.Second)
	f.tick()
	assertRunning(t, later, 0)
	urgent := f.add(f.job(types.ClassUrgent, 1))
	f.tick()
	assertRunning(t, urgent, 1)
	f.endTask(urgent.Tasks[0], false)
	f.endTask(running.Tasks[0], false)
	f.tick()
	assertRunning(t, gang, 2)
	if len(f.tables.Reservations) != 0 {
		t.Fatal("the reservation still exists after the start")
	}
}

// TestTwoLargeGangsNeverHoldHalves checks that two gangs that each need all workers have a reservation one after the
// other, never at once, and that four of their tasks run in the end. It does not check that these belong to one gang.
func TestTwoLargeGangsNeverHoldHalves(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(4, 4)
	blocker := f.add(f.job(types.ClassNormal, 1))
	f.startTask(blocker.Tasks[0], f.worker(0))
	first, second := f.add(f.gang(4, 4)), f.add(f.gang(4, 4))
	seen := make(map[types.JobID]bool)
	for range 600 {
		f.tick()
		if len(f.tables.Reservations) > 1 {
			t.Fatal("two gangs have reservations at once")
		}
		for id := range f.tables.Reservations {
			seen[id] = true
		}
		f.advance(time.Second)
	}
	if len(seen) != 2 {
		t.Fatalf("%d gangs had a reservation, want both one after the other", len(seen))
	}
	f.endTask(blocker.Tasks[0], false)
	f.runTicks(2)
	if first.Counts.Running+second.Counts.Running != 4 {
		t.Fatalf("%d and %d tasks run, want 4 in total", first.Counts.Running, second.Counts.Running)
	}
}

func TestAGangThatLostATaskIsMadeWholeOrStopped(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(3, 4)
	gang := f.add(f.gang(2, 4))
	f.tick()
	blocker := f.add(f.job(types.ClassUrgent, 8))
	f.must(f.tables.Finish(gang.Tasks[0], table.TaskWaiting, "worker died", f.now))
	f.tick()
	assertRunning(t, blocker, 8)
	f.advance(30 * time.Second)
	assertCount[plan.PreemptAction](t, f.tick(), 0)
	f.advance(time.Minute)
	got := assertCount[plan.PreemptAction](t, f.tick(), 1)
	if got[0].Task != gang.Tasks[1].ID {
		t.Fatalf("unexpected action %+v, want the stop of the other task of the gang", got[0])
	}
}

// endAttempts runs count tasks of a kind of job on the n-th worker; they all succeed or all fail.
func (f *fixture) endAttempts(name string, n, count int, failed bool) {
	f.t.Helper()
	for range count {
		spec := f.job(types.ClassNormal, 1)
		spec.Name = name
		k := f.add(spec).Tasks[0]
		f.startTask(k, f.worker(n))
		f.endTask(k, failed)
		if failed {
			f.must(f.tables.Finish(k, table.TaskFailed, "", f.now))
		}
	}
}

func TestAWorkerThatFailsEverythingIsQuarantinedProbedAndReleased(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(20, 4)
	f.endAttempts("payroll", 1, 9, false)
	f.endAttempts("payroll", 0, 5, true)
	got := assertCount[plan.QuarantineAction](t, f.tick(), 1)
	if got[0].Worker != f.worker(0).VM.ID {
		t.Fatalf("unexpected action %+v, want the quarantine of the worker that fails everything", got[0])
	}
	for _, w := range f.tables.Ordered()[1:] {
		w.Health = table.WorkerUnreachable
	}
	waiting := f.add(f.job(types.ClassNormal, 2))
	f.tick()
	assertRunning(t, waiting, 0)
	f.advance(time.Minute)
	assertCount[plan.ProbeAction](t, f.tick(), 1)
	assertCount[plan.StartAction](t, f.tick(), 1)
	assertRunning(t, waiting, 1)
	probe := waiting.Tasks[0]
	if !probe.State.Occupies() {
		probe = waiting.Tasks[1]
	}
	t.Run("a failed probe", func(t *testing.T) {
		f.endTask(probe, true)
		assertCount[plan.QuarantineAction](t, f.tick(), 1)
		f.advance(time.Minute)
		assertCount[plan.ProbeAction](t, f.tick(), 0)
		f.advance(time.Minute)
		assertCount[plan.ProbeAction](t, f.tick(), 1)
	})
	t.Run("a successful probe", func(t *testing.T) {
		assertCount[plan.StartAction](t, f.tick(), 1)
		for _, k := range waiting.Tasks {
			if k.State == table.TaskRunning {
				f.endTask(k, false)
			}
		}
		assertCount[plan.ReleaseAction](t, f.tick(), 1)
		if f.worker(0).Health != table.WorkerLive {
			t.Fatalf("the worker is %s, want live", f.worker(0).Health)
		}
	})
}

func TestAJobThatFailsEverywhereIsNotBlamedOnWorkers(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(10, 4)
	for n := range 10 {
		f.endAttempts("bad-release", n, 6, true)
	}
	assertCount[plan.QuarantineAction](t, f.tick(), 0)
}

func TestQuarantineIsCapped(t *testing.T) {
	// The policy allows a tenth of the workers in quarantine: 100 thousandths.
	f := newFixture(t, envdoc.PlacementPolicy{UrgentHeadroom: 1, MaxQuarantined: 100})
	f.addWorkers(20, 4)
	for n := range 20 {
		if n < 8 {
			f.endAttempts("payroll", n, 5, true)
			continue
		}
		f.endAttempts("payroll", n, 5, false)
	}
	f.runTicks(10)
	quarantined := 0
	for _, w := range f.tables.Ordered() {
		if w.Health == table.WorkerQuarantined {
			quarantined++
		}
	}
	if quarantined != 2 {
		t.Fatalf("%d of 20 workers are in quarantine, the policy allows 2", quarantined)
	}
}

func TestOnlyHarmlessWorkIsTriedOnAWorkerOnProbation(t *testing.T) {
	kinds := map[string]func(j *types.Job){
		"a booking":                func(j *types.Job) { j.Task.Booking = true },
		"work that must run once":  func(j *types.Job) { j.Task.Idempotent = false },
		"urgent work":              func(j *types.Job) { j.Class = types.ClassUrgent },
		"a part of a gang":         func(j *types.Job) { j.Batch, j.Gang = nil, &types.Gang{Count: 1} },
		"a task of a service":      func(j *types.Job) { j.Batch, j.Service = nil, &types.Service{Name: "booking", Count: 1} },
		"a kind that mostly fails": func(j *types.Job) { j.Name = "bad-release" },
	}
	for name, change := range kinds {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, noHeadroom)
			f.addWorkers(2, 4)
			f.endAttempts("bad-release", 1, 3, true)
			f.tables.Probe(f.worker(0), f.now)
			f.worker(1).Health = table.WorkerUnreachable
			spec := f.job(types.ClassNormal, 1)
			change(&spec)
			j := f.add(spec)
			f.tick()
			assertRunning(t, j, 0)
		})
	}
}
