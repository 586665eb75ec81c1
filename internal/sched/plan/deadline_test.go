package plan_test

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// newVictimFixture returns a fixture with one worker, filled by a batch task that can checkpoint and whose deadline
// is untilDeadline from now.
func newVictimFixture(t *testing.T, untilDeadline time.Duration) *fixture {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 2)
	spec := f.job(types.ClassBatch, 1)
	spec.Name = "victim"
	spec.Task.CanCheckpoint = true
	spec.Task.Resources = unit.Times(2)
	spec.Batch.Deadline = f.now.Add(untilDeadline)
	f.startTask(f.add(spec).Tasks[0], f.worker(0))
	return f
}

// addPressing adds a batch task whose latest start is within from now. Its kind has no observed run times, so that
// the expected run time is three times the declared one.
func addPressing(f *fixture, within time.Duration) *table.Job {
	spec := f.job(types.ClassBatch, 1)
	spec.Batch.Deadline = f.now.Add(3*spec.Task.RunTime + within)
	return f.add(spec)
}

func TestPressingWorkPreemptsBatchWorkThatCanWait(t *testing.T) {
	t.Run("a victim that can wait", func(t *testing.T) {
		f := newVictimFixture(t, 24*time.Hour)
		pressing := addPressing(f, 5*time.Minute)
		assertCount[plan.PreemptAction](t, f.tick(), 1)
		f.tick()
		assertRunning(t, pressing, 1)
	})
	t.Run("a victim that would be late itself", func(t *testing.T) {
		f := newVictimFixture(t, 3*time.Hour+30*time.Minute)
		addPressing(f, 5*time.Minute)
		assertCount[plan.PreemptAction](t, f.tick(), 0)
	})
	t.Run("more than the margin before the latest start", func(t *testing.T) {
		f := newVictimFixture(t, 24*time.Hour)
		addPressing(f, 30*time.Minute)
		assertCount[plan.PreemptAction](t, f.tick(), 0)
	})
}

func TestPressingWorkMakesUpForTheHeadroom(t *testing.T) {
	f := newFixture(t, envdoc.PlacementPolicy{UrgentHeadroom: 250})
	f.addWorkers(2, 4)
	spec := f.job(types.ClassBatch, 1)
	spec.Name = "victim"
	spec.Task.CanCheckpoint = true
	spec.Task.Resources = unit.Times(4)
	f.startTask(f.add(spec).Tasks[0], f.worker(0))
	for _, k := range f.add(f.job(types.ClassNormal, 2)).Tasks {
		f.startTask(k, f.worker(1))
	}
	pressing := addPressing(f, 5*time.Minute)
	assertCount[plan.PreemptAction](t, f.tick(), 1)
	f.tick()
	assertRunning(t, pressing, 1)
}

func TestNormalWorkPreemptsBatchWorkAfterAWait(t *testing.T) {
	f := newVictimFixture(t, 24*time.Hour)
	normal := f.add(f.job(types.ClassNormal, 1))
	assertCount[plan.PreemptAction](t, f.tick(), 0)
	f.advance(time.Minute)
	assertCount[plan.PreemptAction](t, f.tick(), 1)
	f.tick()
	assertRunning(t, normal, 1)
}

func TestNormalWorkGetsItsTurnBesidePressingWork(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(4, 4)
	for range 20 {
		addPressing(f, 5*time.Minute)
	}
	normal := f.add(f.job(types.ClassNormal, 20))
	f.tick()
	if got := normal.Counts.Running; got < 4 || got > 6 {
		t.Fatalf("%d of 15 starts went to normal work, want a third", got)
	}
}

func TestALargeTaskHoldsTheHeadroomThatItWaitsFor(t *testing.T) {
	f := newFixture(t, envdoc.PlacementPolicy{UrgentHeadroom: 250})
	f.addWorkers(2, 8)
	running := f.add(f.job(types.ClassBatch, 12))
	f.tick()
	assertRunning(t, running, 12)
	spec := f.job(types.ClassNormal, 1)
	spec.Task.Resources = unit.Times(3)
	large := f.add(spec)
	f.advance(2 * time.Minute)
	for i := range 3 {
		f.add(f.job(types.ClassNormal, 1))
		f.endTask(running.Tasks[i], false)
		f.tick()
	}
	assertRunning(t, large, 1)
}

func TestATaskThatOverrunsRaisesTheEstimateOfItsKind(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 3)
	slow := f.job(types.ClassBatch, 1)
	slow.Name = "slow"
	f.startTask(f.add(slow).Tasks[0], f.worker(0))
	f.advance(8 * time.Hour)
	again, exact := slow, f.job(types.ClassBatch, 1)
	again.ID = "carthage.1.again"
	again.Batch = &types.Batch{Count: 1, Deadline: f.now.Add(16 * time.Hour)}
	exact.Batch.Deadline = f.now.Add(12 * time.Hour)
	second := f.add(exact)
	first := f.add(again)
	f.tick()
	assertRunning(t, first, 1)
	assertRunning(t, second, 0)
}

func TestAKindThatWasNeverSeenIsTakenToRunLonger(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 2)
	known := f.job(types.ClassBatch, 1)
	k := f.add(known).Tasks[0]
	f.startTask(k, f.worker(0))
	f.advance(time.Hour)
	f.endTask(k, false)
	known.ID = "carthage.1.known"
	known.Batch = &types.Batch{Count: 1, Deadline: f.now.Add(10 * time.Hour)}
	unseen := f.job(types.ClassBatch, 1)
	unseen.Name = "unseen"
	unseen.Batch.Deadline = f.now.Add(11 * time.Hour)
	second, first := f.add(known), f.add(unseen)
	f.startTask(f.add(f.job(types.ClassNormal, 1)).Tasks[0], f.worker(0))
	vm := f.worker(0).VM
	vm.Capacity = unit.Times(3)
	f.tables.AddWorker(vm)
	f.tick()
	assertRunning(t, first, 1)
	assertRunning(t, second, 0)
}

func TestManyTasksStartEarlierThanOne(t *testing.T) {
	f := newFixture(t, noHeadroom)
	f.addWorkers(1, 4)
	many, one := f.job(types.ClassBatch, 30), f.job(types.ClassBatch, 1)
	many.Batch.Deadline = f.now.Add(60 * time.Hour)
	one.Batch.Deadline = f.now.Add(50 * time.Hour)
	second, first := f.add(one), f.add(many)
	f.tick()
	assertRunning(t, first, 3)
	assertRunning(t, second, 0)
}

func TestAVainReservationIsHeldLongerTheNextTime(t *testing.T) {
	f := newFixture(t, envdoc.PlacementPolicy{UrgentHeadroom: 1, GangTimeout: time.Minute})
	f.addWorkers(2, 4)
	f.startTask(f.add(f.job(types.ClassNormal, 1)).Tasks[0], f.worker(0))
	gang := f.add(f.gang(2, 4))
	f.tick()
	first := f.tables.Reservations[gang.Spec.ID].Until.Sub(f.now)
	f.advance(first)
	f.runTicks(2)
	f.advance(-tickInterval)
	second := f.tables.Reservations[gang.Spec.ID].Until.Sub(f.now)
	if first != time.Minute || second != 2*time.Minute {
		t.Fatalf("the reservations are valid for %s and %s, want 1m and 2m", first, second)
	}
}
