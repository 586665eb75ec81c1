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
	// preemptMargin is how long before its latest start pressing work may preempt.
	preemptMargin = 10 * time.Minute
	// normalPreemptDelay is how long normal work waits before it may preempt batch work.
	normalPreemptDelay = time.Minute
	// victimMargin is how long a victim with a deadline must be able to wait, unless the work is urgent.
	victimMargin = time.Hour
)

// reclaimable is what a worker could free: what is being stopped, and the tasks that may be preempted.
type reclaimable struct {
	stopping types.Resources
	// nonUrgent is the part of stopping that belongs to work that is not urgent.
	nonUrgent types.Resources
	victims   []*table.Task
}

// preemptForUrgent makes room for each urgent task that found none.
func preemptForUrgent(t *tick) { t.freeCapacityFor(laneUrgent) }

// preemptForPressing makes room for work that would miss its deadline.
func preemptForPressing(t *tick) { t.freeCapacityFor(lanePressing) }

// preemptForNormal makes room for normal work that has waited longer than its patience.
func preemptForNormal(t *tick) { t.freeCapacityFor(laneNormal) }

// mayPreempt tells whether other work may be preempted for the entry now.
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

// isVictimFor tells whether a task may be preempted for the entry: it is of a less urgent class, or it is batch
// work that can wait while the entry cannot. Only urgent work preempts what may then miss its deadline.
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

// freeCapacityFor makes room for each entry of a lane that found none: first by waiting for stops that are under
// way, else by preempting the fewest tasks that can checkpoint. The room is held for the task.
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

// releaseHeadroom takes back what an entry holds of the headroom, before it is counted with the room made for it.
func (t *tick) releaseHeadroom(e *entry) {
	if e.holdsHeadroom {
		e.holdsHeadroom = false
		t.nonUrgent = t.nonUrgent.Sub(t.needOf(e))
	}
}

// exceedsHeadroom tells whether the entry's next task would take from the headroom even when all stops under
// way have ended.
func (t *tick) exceedsHeadroom(e *entry) bool {
	if e.lane == laneUrgent || t.exceedsNonUrgentLimit(e) {
		return false
	}
	return !t.nonUrgent.Sub(t.stopping).Add(t.needOf(e)).Fits(t.nonUrgentLimit)
}

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

func (t *tick) reclaimableOn(w *table.Worker) reclaimable {
	var l reclaimable
	for id := range w.Attempts {
		k := t.tables.Tasks[id]
		switch {
		case k.State == table.TaskStopping:
			l.stopping = l.stopping.Add(k.Need())
			if k.Job.Spec.Class != types.ClassUrgent {
				l.nonUrgent = l.nonUrgent.Add(k.Need())
			}
		case isVictim(k):
			l.victims = append(l.victims, k)
		}
	}
	slices.SortFunc(l.victims, compareVictims)
	return l
}

// isVictim tells whether a task may be preempted: it runs, it can checkpoint, it is not urgent, and it is
// part of neither a service nor an all-at-once job.
func isVictim(k *table.Task) bool {
	spec := &k.Job.Spec
	return k.State == table.TaskRunning && spec.Task.CanCheckpoint &&
		spec.Batch != nil && spec.Class != types.ClassUrgent
}

// compareVictims puts the least urgent class first, then the task that started last.
func compareVictims(a, b *table.Task) int {
	if c := b.Job.Spec.Class.Rank() - a.Job.Spec.Class.Rank(); c != 0 {
		return c
	}
	if c := b.Started.Compare(a.Started); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

// holdStoppingCapacity holds room on a worker whose stops under way will be enough.
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

// preempt stops the fewest tasks of one worker that make room for the entry's next task.
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
			// The victims alone have to make up for the task, whatever the worker has left.
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

// planPreemption plans the preemption of one task.
func (t *tick) planPreemption(victim, task *table.Task, l *reclaimable) {
	l.stopping = l.stopping.Add(victim.Need())
	t.stopping = t.stopping.Add(victim.Need())
	l.victims = slices.DeleteFunc(l.victims, func(k *table.Task) bool { return k == victim })
	t.add(PreemptAction{
		Task:       victim.ID,
		Checkpoint: true,
		For:        task.ID,
		Reason: fmt.Sprintf("%s task needs %s and no worker has room; this %s task on %s can checkpoint and started last",
			task.Job.Spec.Class, task.Need(), victim.Job.Spec.Class, victim.Worker),
	})
}

// chooseVictims returns the fewest tasks whose end makes room for the need, or none when they are not enough.
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

// preemptForReservation preempts less urgent tasks on the workers reserved for a job.
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
		l := t.reclaimableOn(wc.worker)
		for _, k := range t.chooseVictims(e, need.Times(count), wc.free.Add(l.stopping), l.victims) {
			t.planPreemption(k, e.tasks[0], &l)
		}
	}
}
