package plan_test

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// roll submits a new revision of a service that runs, and ticks until the new one runs alone.
func (b *bed) roll(older *table.Job, floor int) *table.Job {
	b.t.Helper()
	spec := b.service(older.Spec.Service.Count, floor)
	spec.Revision = older.Spec.Revision + 1
	newer := b.add(spec)
	b.tables.Supersede(older, newer)
	for range 200 {
		b.tick()
		if running := older.Counts.Running + newer.Counts.Running; running < floor {
			b.t.Fatalf("%d tasks of the service run, the floor is %d", running, floor)
		}
		b.pass(time.Second)
	}
	return newer
}

func TestRollOutKeepsTheFloor(t *testing.T) {
	cases := map[string]struct {
		units, floor, want int
	}{
		"room for all beside the old ones": {units: 8, floor: 4, want: 4},
		"no room beside the old ones":      {units: 1, floor: 3, want: 4},
		"no room and no spare task":        {units: 1, floor: 4, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, envdoc.PlacementPolicy{UrgentHeadroom: 1})
			b.workers(4, c.units)
			// The headroom is as large as this worker, which holds no task.
			b.tables.AddWorker(types.VM{ID: "x", Capacity: types.Resources{Cores: 100, Memory: 1024}}).Fenced = true
			older := b.add(b.service(4, c.floor))
			for i, k := range older.Tasks {
				b.start(k, b.worker(i))
			}
			newer := b.roll(older, c.floor)
			assertRunning(t, newer, c.want)
			assertRunning(t, older, 4-c.want)
			if c.want == 4 && older.State != types.JobCancelled {
				t.Errorf("the replaced job is %s", older.State)
			}
		})
	}
}

func TestAFailingRevisionLeavesTheFloorRunning(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(4, 2)
	older := b.add(b.service(4, 3))
	b.tick()
	spec := b.service(4, 3)
	spec.Revision = 2
	newer := b.add(spec)
	b.tables.Supersede(older, newer)
	for range 120 {
		b.tick()
		for _, k := range newer.Tasks {
			if k.State == table.TaskRunning {
				b.end(k, true)
			}
		}
		if older.Counts.Running < 3 {
			t.Fatalf("%d tasks of the old revision run, the floor is 3", older.Counts.Running)
		}
		b.pass(time.Second)
	}
}

func TestALeavingWorkerIsDrainedAboveTheFloor(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(3, 4)
	service := b.add(b.service(3, 2))
	b.tick()
	spec := b.job(types.ClassBatch, 1)
	spec.Task.CanCheckpoint = true
	batch := b.add(spec)
	b.start(batch.Tasks[0], b.worker(0))
	plain := b.add(b.job(types.ClassBatch, 1))
	b.start(plain.Tasks[0], b.worker(0))
	b.worker(0).Health = table.WorkerLeaving
	got := assertCount[plan.PreemptAction](t, b.tick(), 2)
	for _, a := range got {
		if a.Task == plain.Tasks[0].ID {
			t.Error("work that cannot checkpoint was stopped")
		}
	}
	b.settle(3)
	assertRunning(t, service, 3)
	for _, k := range append(service.Tasks, batch.Tasks...) {
		if k.Worker == b.worker(0).VM.ID {
			t.Errorf("%s still runs on the leaving worker", k.ID)
		}
	}
}

func TestARevisionThatEndsSoonReplacesNothing(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(4, 8)
	older := b.add(b.service(4, 2))
	b.tick()
	spec := b.service(4, 2)
	spec.Revision = 2
	newer := b.add(spec)
	b.tables.Supersede(older, newer)
	for range 120 {
		b.tick()
		for _, k := range newer.Tasks {
			if k.State == table.TaskRunning && b.now.Sub(k.Started) >= 5*time.Second {
				b.end(k, true)
			}
		}
		assertRunning(t, older, 4)
		b.pass(time.Second)
	}
}

func TestATaskOfTheOldRevisionIsRestartedBelowTheFloor(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(4, 2)
	older := b.add(b.service(4, 4))
	b.tick()
	spec := b.service(4, 4)
	spec.Revision = 2
	spec.Task.Resources = unit.Times(3)
	b.tables.Supersede(older, b.add(spec))
	b.must(b.tables.Finish(older.Tasks[0], table.TaskWaiting, "worker died", b.now))
	b.tick()
	assertRunning(t, older, 4)
}

func TestALeavingWorkerKeepsWhatTheFloorNeeds(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(3, 4)
	service := b.add(b.service(3, 3))
	b.tick()
	b.worker(0).Health = table.WorkerLeaving
	assertCount[plan.PreemptAction](t, b.tick(), 0)
	assertRunning(t, service, 3)
}

func TestServicesAreLeftToTheCaller(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(4, 8)
	b.planner = plan.New(plan.Config{Policy: noHeadroom, KeepServices: true})
	older := b.add(b.service(4, 1))
	b.tick()
	spec := b.service(4, 1)
	spec.Revision = 2
	newer := b.add(spec)
	b.tables.Supersede(older, newer)
	b.worker(0).Health = table.WorkerLeaving
	for range 30 {
		assertCount[plan.PreemptAction](t, b.tick(), 0)
		b.pass(time.Second)
	}
	assertRunning(t, older, 4)
	assertRunning(t, newer, 4)
}
