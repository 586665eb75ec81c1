package plan_test

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// roll submits a new revision of a running service and runs 200 ticks of one second, in none of which the service
// may have fewer running tasks than the floor.
func (f *fixture) roll(older *table.Job, floor int) *table.Job {
	f.t.Helper()
	spec := f.service(older.Spec.Service.Count, floor)
	spec.Revision = older.Spec.Revision + 1
	newer := f.add(spec)
	f.tables.Supersede(older, newer)
	for range 200 {
		f.tick()
		if running := older.Counts.Running + newer.Counts.Running; running < floor {
			f.t.Fatalf("%d tasks of the service run, fewer than the floor of %d", running, floor)
		}
		f.advance(time.Second)
	}
	return newer
}

func TestRollOutKeepsTheFloor(t *testing.T) {
	cases := map[string]struct {
		units, floor, want int
	}{
		"capacity for all beside the old ones":    {units: 8, floor: 4, want: 4},
		"no capacity beside the old ones":         {units: 1, floor: 3, want: 4},
		"no capacity and no task above the floor": {units: 1, floor: 4, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, envdoc.PlacementPolicy{UrgentHeadroom: 1})
			f.addWorkers(4, c.units)
			// The capacity of this worker makes up for the headroom; no task fits on it.
			f.tables.AddWorker(types.VM{ID: "x", Capacity: types.Resources{Cores: 100, Memory: 1024}}).Fenced = true
			older := f.add(f.service(4, c.floor))
			for i, k := range older.Tasks {
				f.startTask(k, f.worker(i))
			}
			newer := f.roll(older, c.floor)
			assertRunning(t, newer, c.want)
			assertRunning(t, older, 4-c.want)
			if c.want == 4 && older.State != types.JobCancelled {
				t.Errorf("the replaced job is %s, want Cancelled", older.State)
			}
		})
	}
}

func TestAFailingRevisionLeavesTheFloorRunning(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(4, 2)
	older := f.add(f.service(4, 3))
	f.tick()
	spec := f.service(4, 3)
	spec.Revision = 2
	newer := f.add(spec)
	f.tables.Supersede(older, newer)
	for range 120 {
		f.tick()
		for _, k := range newer.Tasks {
			if k.State == table.TaskRunning {
				f.endTask(k, true)
			}
		}
		if older.Counts.Running < 3 {
			t.Fatalf("%d tasks of the old revision run, the floor is 3", older.Counts.Running)
		}
		f.advance(time.Second)
	}
}

func TestALeavingWorkerIsDrainedAboveTheFloor(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(3, 4)
	service := f.add(f.service(3, 2))
	f.tick()
	spec := f.job(types.ClassBatch, 1)
	spec.Task.CanCheckpoint = true
	batch := f.add(spec)
	f.startTask(batch.Tasks[0], f.worker(0))
	plain := f.add(f.job(types.ClassBatch, 1))
	f.startTask(plain.Tasks[0], f.worker(0))
	f.worker(0).Health = table.WorkerLeaving
	got := assertCount[plan.PreemptAction](t, f.tick(), 2)
	for _, a := range got {
		if a.Task == plain.Tasks[0].ID {
			t.Error("work that cannot checkpoint was stopped")
		}
	}
	f.runTicks(3)
	assertRunning(t, service, 3)
	for _, k := range append(service.Tasks, batch.Tasks...) {
		if k.Worker == f.worker(0).VM.ID {
			t.Errorf("%s still runs on the leaving worker", k.ID)
		}
	}
}

func TestARevisionThatEndsSoonReplacesNothing(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(4, 8)
	older := f.add(f.service(4, 2))
	f.tick()
	spec := f.service(4, 2)
	spec.Revision = 2
	newer := f.add(spec)
	f.tables.Supersede(older, newer)
	for range 120 {
		f.tick()
		for _, k := range newer.Tasks {
			if k.State == table.TaskRunning && f.now.Sub(k.Started) >= 5*time.Second {
				f.endTask(k, true)
			}
		}
		assertRunning(t, older, 4)
		f.advance(time.Second)
	}
}

func TestATaskOfTheOldRevisionIsRestartedBelowTheFloor(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(4, 2)
	older := f.add(f.service(4, 4))
	f.tick()
	spec := f.service(4, 4)
	spec.Revision = 2
	spec.Task.Resources = unit.Times(3)
	f.tables.Supersede(older, f.add(spec))
	f.must(f.tables.Finish(older.Tasks[0], table.TaskWaiting, "worker died", f.now))
	f.tick()
	assertRunning(t, older, 4)
}

func TestALeavingWorkerKeepsWhatTheFloorNeeds(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(3, 4)
	service := f.add(f.service(3, 3))
	f.tick()
	f.worker(0).Health = table.WorkerLeaving
	assertCount[plan.PreemptAction](t, f.tick(), 0)
	assertRunning(t, service, 3)
}

func TestServicesAreLeftToTheCaller(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(4, 8)
	f.planner = plan.New(plan.Config{Policy: noHeadroom, ExternalServices: true})
	older := f.add(f.service(4, 1))
	f.tick()
	spec := f.service(4, 1)
	spec.Revision = 2
	newer := f.add(spec)
	f.tables.Supersede(older, newer)
	f.worker(0).Health = table.WorkerLeaving
	for range 30 {
		assertCount[plan.PreemptAction](t, f.tick(), 0)
		f.advance(time.Second)
	}
	assertRunning(t, older, 4)
	assertRunning(t, newer, 4)
}
