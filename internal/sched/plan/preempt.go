package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// maxPreemptSearches bounds the searches for victims in one tick.
	maxPreemptSearches = 32
	// preemptMargin is how long before its latest start pressing work may preempt other tasks.
	preemptMargin = 10 * time.Minute
	// normalPreemptDelay is how long normal work waits before it may preempt batch work.
	normalPreemptDelay = time.Minute
	// victimMargin is the time that must remain to a victim with a deadline beyond its expected run time, unless
	// it is preempted for urgent work.
	victimMargin = time.Hour
)

// reclaimable is what a worker could free: the capacity of tasks whose stop is in flight or planned, and the
// tasks that may be preempted.
type reclaimable struct {
	stopping types.Resources
	// nonUrgent is the part of stopping that is occupied by work that is not urgent.
	nonUrgent types.Resources
	victims   []*table.Task
}

// preemptForUrgent frees capacity for each urgent task that found none.
func preemptForUrgent(t *tick) { t.freeCapacityFor(laneUrgent) }

// preemptForPressing frees capacity for work that would otherwise miss its deadline.
func preemptForPressing(t *tick) { t.freeCapacityFor(lanePressing) }

// preemptForNormal frees capacity for normal work that has waited for normalPreemptDelay.
func preemptForNormal(t *tick) { t.freeCapacityFor(laneNormal) }

// mayPreempt reports whether other tasks may be preempted for the entry now. Nothing is preempted this way for an
// all-at-once job; preemptForReservation does that.
func (t *tick) mayPreempt(e *entry) bool {
	if e.job.Spec.Gang != nil {
		return false
	}
	switch e.lane {
	case laneUrgent:
		return true
	case lanePressing:
		return t.now.Add(preemptMargin).After(e.latestStart)
	case laneNormal:
		return t.now.Sub(e.idleSince) >= normalPreemptDelay
	default:
		return false
	}
}

// isVictimFor reports whether a victim may be preempted for the entry. Urgent work may preempt all victims, even
// one that may then miss its deadline. Other work may preempt only batch work, and batch work with a deadline only
// if it can wait.
func (t *tick) isVictimFor(k *table.Task, e *entry) bool {
	if e.lane == laneUrgent {
		return true
	}
	if k.Job.Spec.Class != types.ClassBatch {
		return false
	}
	deadline := k.Job.Deadline
	return deadline.IsZero() || deadline.Sub(t.now) > t.runTime(k.Job)+victimMargin
}

// freeCapacityFor frees capacity for each entry of a lane that found none: first by waiting for stops in flight,
// else by preempting tasks that can checkpoint, on the worker where the fewest are needed. The capacity is held for
// the task for the rest of the tick.
func (t *tick) freeCapacityFor(l lane) {
	if len(t.preemptFor[l]) == 0 {
		return
	}
	if t.reclaimable == nil {
		t.reclaimable = t.reclaimableByWorker()
	}
	for _, e := range t.preemptFor[l] {
		t.releaseHeadroom(e)
		for e.remaining > 0 && t.preemptSearches < maxPreemptSearches {
			t.preemptSearches++
			if t.exceedsQuota(e) || (!t.holdStoppingCapacity(e) && !t.preempt(e)) {
				break
			}
			e.remaining--
		}
		if e.remaining > 0 {
			t.holdHeadroom(e)
		}
	}
}

// releaseHeadroom undoes holdHeadroom, before the entry's next task is counted with the capacity freed for it.
func (t *tick) releaseHeadroom(e *entry) {
	if e.holdsHeadroom {
		e.holdsHeadroom = false
		t.nonUrgent = t.nonUrgent.Sub(t.needOf(e))
	}
}

// exceedsHeadroom reports whether the entry's next task would use the headroom even after all stops in flight
// have ended. It is false for starts that may use the headroom.
func (t *tick) exceedsHeadroom(e *entry) bool {
	if e.lane == laneUrgent || t.exceedsNonUrgentLimit(e) {
		return false
	}
	return !t.nonUrgent.Sub(t.stopping).Add(t.needOf(e)).Fits(t.nonUrgentLimit)
}

// reclaimableByWorker returns what each open worker could free, by Worker.Index, and adds the stops in flight to
// t.stopping.
func (t *tick) reclaimableByWorker() []reclaimable {
	out := make([]reclaimable, len(t.capacity.list))
	for i := range t.capacity.list {
		wc := &t.capacity.list[i]
		if wc.isOpen() {
			out[i] = t.reclaimableOn(wc.worker)
			t.stopping = t.stopping.Add(out[i].nonUrgent)
		}
	}
	return out
}

// reclaimableOn returns what one worker could free, with the victims in the order in which they are preempted.
func (t *tick) reclaimableOn(w *table.Worker) reclaimable {
	var rc reclaimable
	for id := range w.Attempts {
		k := t.tables.Tasks[id]
		switch {
		case k.State == table.TaskStopping:
			rc.stopping = rc.stopping.Add(k.Need())
			if k.Job.Spec.Class != types.ClassUrgent {
				rc.nonUrgent = rc.nonUrgent.Add(k.Need())
			}
		case isVictim(k):
			rc.victims = append(rc.victims, k)
		}
	}
	slices.SortFunc(rc.victims, compareVictims)
	return rc
}

// isVictim reports whether a task may be preempted: it runs, it can checkpoint, it is not urgent, and it is
// part of neither a service nor an all-at-once job.
func isVictim(k *table.Task) bool {
	spec := &k.Job.Spec
	return k.State == table.TaskRunning && spec.Task.CanCheckpoint &&
		spec.Batch != nil && spec.Class != types.ClassUrgent
}

// compareVictims puts the least urgent class first and, within a class, the task that started last.
func compareVictims(a, b *table.Task) int {
	if c := b.Job.Spec.Class.Rank() - a.Job.Spec.Class.Rank(); c != 0 {
		return c
	}
	if c := b.Started.Compare(a.Started); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

// holdStoppingCapacity holds capacity for the entry's next task on a worker whose stops in flight will free
// enough, and reports whether there is such a worker.
func (t *tick) holdStoppingCapacity(e *entry) bool {
	if t.exceedsHeadroom(e) {
		return false
	}
	need := e.job.Spec.Task.Resources
	for i := range t.capacity.list {
		wc := &t.capacity.list[i]
		if wc.isOpen() && t.mayUse(wc, e) && need.Fits(wc.free.Add(t.reclaimable[i].stopping)) {
			t.occupy(e, i, 1)
			e.waitReason = "room is being made by stops under way"
			return true
		}
	}
	return false
}

// preempt plans the preemption of the tasks that chooseVictims returns for the entry's next task, on the worker for
// which these are the fewest. It reports whether there is such a worker.
func (t *tick) preempt(e *entry) bool {
	need := e.job.Spec.Task.Resources
	best := none
	exceedsHeadroom := t.exceedsHeadroom(e)
	var chosen []*table.Task
	for i := range t.capacity.list {
		wc := &t.capacity.list[i]
		if !wc.isOpen() || !t.mayUse(wc, e) {
			continue
		}
		free := wc.free.Add(t.reclaimable[i].stopping)
		if exceedsHeadroom {
			// Free capacity of the worker does not help against the headroom limit: the victims alone have to free
			// as much as the task needs.
			free = types.Resources{}
		}
		found := t.chooseVictims(e, need, free, t.reclaimable[i].victims)
		if len(found) > 0 && (best == none || len(found) < len(chosen)) {
			best, chosen = i, found
		}
	}
	if best == none {
		return false
	}
	task := e.tasks[e.remaining-1]
	for _, k := range chosen {
		t.planPreemption(k, task, &t.reclaimable[best])
	}
	t.occupy(e, best, 1)
	e.waitReason = "room is being made by preemption"
	return true
}

// planPreemption plans the preemption of one victim for a task.
func (t *tick) planPreemption(victim, task *table.Task, rc *reclaimable) {
	rc.stopping = rc.stopping.Add(victim.Need())
	t.stopping = t.stopping.Add(victim.Need())
	rc.victims = slices.DeleteFunc(rc.victims, func(k *table.Task) bool { return k == victim })
	t.add(PreemptAction{
		Task:       victim.ID,
		Checkpoint: true,
		For:        task.ID,
		Reason: fmt.Sprintf("%s task needs %s and no worker has room; this %s task on %s can checkpoint and started last",
			task.Job.Spec.Class, task.Need(), victim.Job.Spec.Class, victim.Worker),
	})
}

// chooseVictims returns victims that together with the free capacity cover the need, or none if they are not enough.
// It takes them in the given order and leaves out again those that turn out not to be needed; another choice may
// have fewer.
func (t *tick) chooseVictims(e *entry, need, free types.Resources, victims []*table.Task) []*table.Task {
	var out []*table.Task
	for _, k := range victims {
		if need.Fits(free) {
			break
		}
		if t.isVictimFor(k, e) {
			out = append(out, k)
			free = free.Add(k.Need())
		}
	}
	if !need.Fits(free) {
		return nil
	}
	for i := len(out) - 1; i >= 0; i-- {
		if without := free.Sub(out[i].Need()); need.Fits(without) {
			free = without
			out = slices.Delete(out, i, i+1)
		}
	}
	return out
}

// preemptForReservation preempts tasks on the workers reserved for a job, as far as isVictimFor allows it.
func (t *tick) preemptForReservation(e *entry, r *table.Reservation) {
	if e == nil || e.remaining == 0 {
		return
	}
	need := e.job.Spec.Task.Resources
	for i := range t.capacity.list {
		wc := &t.capacity.list[i]
		count := r.Workers[wc.worker.VM.ID]
		if count == 0 || !wc.isOpen() {
			continue
		}
		rc := t.reclaimableOn(wc.worker)
		for _, k := range t.chooseVictims(e, need.Times(count), wc.free.Add(rc.stopping), rc.victims) {
			t.planPreemption(k, e.tasks[0], &rc)
		}
	}
}
