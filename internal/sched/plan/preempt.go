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
	// preemptBefore is how long before its latest start pressing work may preempt.
	preemptBefore = 10 * time.Minute
	// normalPatience is how long normal work waits before it may preempt batch work.
	normalPatience = time.Minute
	// victimSlack is how long a victim with a deadline must be able to wait, unless the work is urgent.
	victimSlack = time.Hour
)

// load is what a worker could free: what is being stopped, and the tasks that may be preempted.
type load struct {
	stopping types.Resources
	// plain is the part of stopping that belongs to work that is not urgent.
	plain   types.Resources
	victims []*table.Task
}

// preemptForUrgent makes room for each urgent task that found none.
func preemptForUrgent(t *tick) { t.makeRoom(laneUrgent) }

// preemptForPressing makes room for work that would miss its deadline.
func preemptForPressing(t *tick) { t.makeRoom(lanePressing) }

// preemptForNormal makes room for normal work that has waited longer than its patience.
func preemptForNormal(t *tick) { t.makeRoom(laneNormal) }

// mayPreempt tells whether other work may be preempted for the entry now.
func (t *tick) mayPreempt(e *entry) bool {
	if e.job.Spec.Gang != nil {
		return false
	}
	switch e.lane {
	case laneUrgent:
		return true
	case lanePressing:
		return t.now.Add(preemptBefore).After(e.latest)
	case laneNormal:
		return t.now.Sub(e.idle) >= normalPatience
	default:
		return false
	}
}

// yields tells whether a task may be preempted for the entry: it is of a less urgent class, or it is batch
// work that can wait while the entry cannot. Only urgent work preempts what may then miss its deadline.
func (t *tick) yields(k *table.Task, e *entry) bool {
	if e.lane == laneUrgent {
		return true
	}
	if k.Job.Spec.Class != types.ClassBatch {
		return false
	}
	deadline := k.Job.Deadline
	return deadline.IsZero() || deadline.Sub(t.now) > t.runTime(k.Job)+victimSlack
}

// makeRoom makes room for each entry of a lane that found none: first by waiting for stops that are under
// way, else by preempting the fewest tasks that can checkpoint. The room is held for the task.
func (t *tick) makeRoom(l lane) {
	if len(t.stuck[l]) == 0 {
		return
	}
	if t.held == nil {
		t.held = t.loads()
	}
	for _, e := range t.stuck[l] {
		t.unclaim(e)
		for e.next > 0 && t.searches < maxPreemptSearches {
			t.searches++
			if t.overQuota(e) || (!t.claimStopping(e) && !t.preempt(e)) {
				break
			}
			e.next--
		}
		if e.next > 0 {
			t.claim(e)
		}
	}
}

// unclaim takes back what an entry holds of the headroom, before it is counted with the room made for it.
func (t *tick) unclaim(e *entry) {
	if e.claimed {
		e.claimed = false
		t.plain = t.plain.Sub(t.needOf(e))
	}
}

// overHeadroom tells whether the entry's next task would take from the headroom even when all stops under
// way have ended.
func (t *tick) overHeadroom(e *entry) bool {
	if e.lane == laneUrgent || t.isWholeSite(e) {
		return false
	}
	return !t.plain.Sub(t.stopping).Add(t.needOf(e)).Fits(t.plainLimit)
}

func (t *tick) loads() []load {
	out := make([]load, len(t.rooms.list))
	for i := range t.rooms.list {
		m := &t.rooms.list[i]
		if m.open() {
			out[i] = t.loadOf(m.worker)
			t.stopping = t.stopping.Add(out[i].plain)
		}
	}
	return out
}

func (t *tick) loadOf(w *table.Worker) load {
	var l load
	for id := range w.Attempts {
		k := t.tables.Tasks[id]
		switch {
		case k.State == table.TaskStopping:
			l.stopping = l.stopping.Add(k.Need())
			if k.Job.Spec.Class != types.ClassUrgent {
				l.plain = l.plain.Add(k.Need())
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

// claimStopping holds room on a worker whose stops under way will be enough.
func (t *tick) claimStopping(e *entry) bool {
	if t.overHeadroom(e) {
		return false
	}
	need := e.job.Spec.Task.Resources
	for i := range t.rooms.list {
		m := &t.rooms.list[i]
		if m.open() && t.admits(m, e) && need.Fits(m.free.Add(t.held[i].stopping)) {
			t.occupy(e, i, 1)
			e.why = "room is being made by stops under way"
			return true
		}
	}
	return false
}

// preempt stops the fewest tasks of one worker that make room for the entry's next task.
func (t *tick) preempt(e *entry) bool {
	need := e.job.Spec.Task.Resources
	best := closed
	isOver := t.overHeadroom(e)
	var chosen []*table.Task
	for i := range t.rooms.list {
		m := &t.rooms.list[i]
		if !m.open() || !t.admits(m, e) {
			continue
		}
		free := m.free.Add(t.held[i].stopping)
		if isOver {
			// The victims alone have to make up for the task, whatever the worker has left.
			free = types.Resources{}
		}
		found := t.victimsFor(e, need, free, t.held[i].victims)
		if len(found) > 0 && (best == closed || len(found) < len(chosen)) {
			best, chosen = i, found
		}
	}
	if best == closed {
		return false
	}
	task := e.tasks[e.next-1]
	for _, k := range chosen {
		t.stopFor(k, task, &t.held[best])
	}
	t.occupy(e, best, 1)
	e.why = "room is being made by preemption"
	return true
}

// stopFor plans the preemption of one task.
func (t *tick) stopFor(victim, task *table.Task, l *load) {
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

// victimsFor returns the fewest tasks whose end makes room for the need, or none when they are not enough.
func (t *tick) victimsFor(e *entry, need, free types.Resources, victims []*table.Task) []*table.Task {
	var out []*table.Task
	for _, k := range victims {
		if need.Fits(free) {
			break
		}
		if t.yields(k, e) {
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
	if e == nil || e.next == 0 {
		return
	}
	need := e.job.Spec.Task.Resources
	for i := range t.rooms.list {
		m := &t.rooms.list[i]
		count := r.Workers[m.worker.VM.ID]
		if count == 0 || !m.open() {
			continue
		}
		l := t.loadOf(m.worker)
		for _, k := range t.victimsFor(e, need.Times(count), m.free.Add(l.stopping), l.victims) {
			t.stopFor(k, e.tasks[0], &l)
		}
	}
}
