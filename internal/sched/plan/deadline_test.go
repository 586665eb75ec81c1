package plan_test

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// withVictim returns a full worker whose batch task can checkpoint and has so long until its deadline.
func withVictim(t *testing.T, slack time.Duration) *bed {
	b := newBed(t, noHeadroom)
	b.workers(1, 2)
	spec := b.job(types.ClassBatch, 1)
	spec.Name = "victim"
	spec.Task.CanCheckpoint = true
	spec.Task.Resources = unit.Times(2)
	spec.Batch.Deadline = b.now.Add(slack)
	b.start(b.add(spec).Tasks[0], b.worker(0))
	return b
}

// addPressing adds work of a known kind that has to start within the time.
func addPressing(b *bed, within time.Duration) *table.Job {
	spec := b.job(types.ClassBatch, 1)
	spec.Batch.Deadline = b.now.Add(3*spec.Task.RunTime + within)
	return b.add(spec)
}

func TestPressingWorkPreemptsBatchWorkThatCanWait(t *testing.T) {
	t.Run("a victim that can wait", func(t *testing.T) {
		b := withVictim(t, 24*time.Hour)
		pressing := addPressing(b, 5*time.Minute)
		assertCount[plan.PreemptAction](t, b.tick(), 1)
		b.tick()
		assertRunning(t, pressing, 1)
	})
	t.Run("a victim that would be late itself", func(t *testing.T) {
		b := withVictim(t, 3*time.Hour+30*time.Minute)
		addPressing(b, 5*time.Minute)
		assertCount[plan.PreemptAction](t, b.tick(), 0)
	})
	t.Run("not before it has to", func(t *testing.T) {
		b := withVictim(t, 24*time.Hour)
		addPressing(b, 30*time.Minute)
		assertCount[plan.PreemptAction](t, b.tick(), 0)
	})
}

func TestPressingWorkMakesUpForTheHeadroom(t *testing.T) {
	b := newBed(t, envdoc.PlacementPolicy{UrgentHeadroom: 250})
	b.workers(2, 4)
	spec := b.job(types.ClassBatch, 1)
	spec.Name = "victim"
	spec.Task.CanCheckpoint = true
	spec.Task.Resources = unit.Times(4)
	b.start(b.add(spec).Tasks[0], b.worker(0))
	for _, k := range b.add(b.job(types.ClassNormal, 2)).Tasks {
		b.start(k, b.worker(1))
	}
	pressing := addPressing(b, 5*time.Minute)
	assertCount[plan.PreemptAction](t, b.tick(), 1)
	b.tick()
	assertRunning(t, pressing, 1)
}

func TestNormalWorkPreemptsBatchWorkAfterAWait(t *testing.T) {
	b := withVictim(t, 24*time.Hour)
	normal := b.add(b.job(types.ClassNormal, 1))
	assertCount[plan.PreemptAction](t, b.tick(), 0)
	b.pass(time.Minute)
	assertCount[plan.PreemptAction](t, b.tick(), 1)
	b.tick()
	assertRunning(t, normal, 1)
}

func TestNormalWorkGetsItsTurnBesidePressingWork(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(4, 4)
	for range 20 {
		addPressing(b, 5*time.Minute)
	}
	normal := b.add(b.job(types.ClassNormal, 20))
	b.tick()
	if got := normal.Counts.Running; got < 4 || got > 6 {
		t.Fatalf("%d of 15 starts went to normal work, want a third", got)
	}
}

func TestALargeTaskHoldsTheHeadroomThatItWaitsFor(t *testing.T) {
	b := newBed(t, envdoc.PlacementPolicy{UrgentHeadroom: 250})
	b.workers(2, 8)
	running := b.add(b.job(types.ClassBatch, 12))
	b.tick()
	assertRunning(t, running, 12)
	spec := b.job(types.ClassNormal, 1)
	spec.Task.Resources = unit.Times(3)
	large := b.add(spec)
	b.pass(2 * time.Minute)
	for i := range 3 {
		b.add(b.job(types.ClassNormal, 1))
		b.end(running.Tasks[i], false)
		b.tick()
	}
	assertRunning(t, large, 1)
}

func TestATaskThatOverrunsTellsOfItsKind(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(1, 3)
	slow := b.job(types.ClassBatch, 1)
	slow.Name = "slow"
	b.start(b.add(slow).Tasks[0], b.worker(0))
	b.pass(8 * time.Hour)
	again, exact := slow, b.job(types.ClassBatch, 1)
	again.ID = "carthage.1.again"
	again.Batch = &types.Batch{Count: 1, Deadline: b.now.Add(16 * time.Hour)}
	exact.Batch.Deadline = b.now.Add(12 * time.Hour)
	second := b.add(exact)
	first := b.add(again)
	b.tick()
	assertRunning(t, first, 1)
	assertRunning(t, second, 0)
}

func TestAKindThatWasNeverSeenIsTakenToRunLonger(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(1, 2)
	known := b.job(types.ClassBatch, 1)
	k := b.add(known).Tasks[0]
	b.start(k, b.worker(0))
	b.pass(time.Hour)
	b.end(k, false)
	known.ID = "carthage.1.known"
	known.Batch = &types.Batch{Count: 1, Deadline: b.now.Add(10 * time.Hour)}
	unseen := b.job(types.ClassBatch, 1)
	unseen.Name = "unseen"
	unseen.Batch.Deadline = b.now.Add(11 * time.Hour)
	second, first := b.add(known), b.add(unseen)
	b.start(b.add(b.job(types.ClassNormal, 1)).Tasks[0], b.worker(0))
	vm := b.worker(0).VM
	vm.Capacity = unit.Times(3)
	b.tables.AddWorker(vm)
	b.tick()
	assertRunning(t, first, 1)
	assertRunning(t, second, 0)
}

func TestManyTasksStartEarlierThanOne(t *testing.T) {
	b := newBed(t, noHeadroom)
	b.workers(1, 4)
	many, one := b.job(types.ClassBatch, 30), b.job(types.ClassBatch, 1)
	many.Batch.Deadline = b.now.Add(60 * time.Hour)
	one.Batch.Deadline = b.now.Add(50 * time.Hour)
	second, first := b.add(one), b.add(many)
	b.tick()
	assertRunning(t, first, 3)
	assertRunning(t, second, 0)
}

func TestAVainReservationIsHeldLongerTheNextTime(t *testing.T) {
	b := newBed(t, envdoc.PlacementPolicy{UrgentHeadroom: 1, GangTimeout: time.Minute})
	b.workers(2, 4)
	b.start(b.add(b.job(types.ClassNormal, 1)).Tasks[0], b.worker(0))
	gang := b.add(b.gang(2, 4))
	b.tick()
	first := b.tables.Reservations[gang.Spec.ID].Until.Sub(b.now)
	b.pass(first)
	b.settle(2)
	b.pass(-tickN)
	second := b.tables.Reservations[gang.Spec.ID].Until.Sub(b.now)
	if first != time.Minute || second != 2*time.Minute {
		t.Fatalf("the reservations last %s and %s, want 1m and 2m", first, second)
	}
}
