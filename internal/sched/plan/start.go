package plan

import (
	"fmt"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Reasons for waiting. They contain no figures, so that a job's reason changes rarely. They are written to audit
// records, so their texts must not change.
const (
	reasonQuota            = "the team's quota is used up"
	reasonHeadroom         = "the rest of the data centre is kept for urgent work"
	reasonNoCapacity       = "no worker has room"
	reasonGangCapacity     = "there is no room for all tasks at once"
	reasonServices         = "the job does not fit beside the services that run"
	reasonOtherDataCentres = "the job's DataCentres leave out this one"
	reasonTooLarge         = "no worker of this data centre is large enough"
)

// failedFit is a need that fitted on no worker in this tick. It stays true for the tick, in which free capacity
// only shrinks.
type failedFit struct {
	need   types.Resources
	urgent bool
}

// startUrgent starts urgent tasks; preemptForUrgent handles those that do not fit.
func startUrgent(t *tick) {
	t.startOldest(t.lanes.byLane[laneUrgent])
	t.startAll(t.queueByTeam(laneUrgent))
}

// startOldest tries the oldest job of each team that has waited for urgentPriorityDelay, the oldest first.
// Otherwise later and smaller tasks would take the capacity that is being freed for a large one.
func (t *tick) startOldest(entries []*entry) {
	tried := make([]bool, len(t.plannedByTeam))
	for _, e := range entries {
		if t.now.Sub(e.job.Accepted) < urgentPriorityDelay {
			return
		}
		if !tried[e.job.Owner.Index] {
			tried[e.job.Owner.Index] = true
			t.tryStart(e)
		}
	}
}

// startPressing starts pressing work. Meanwhile every normalTurn-th start goes to normal work.
func startPressing(t *tick) {
	t.normalQueues = t.queueByTeam(laneNormal)
	pressing := t.lanes.byLane[lanePressing]
	for len(pressing) > 0 {
		t.tryAged()
		if t.isTurn(normalTurn) && t.startFromQueues(&t.normalQueues) {
			continue
		}
		if !t.tryStart(pressing[0]) {
			pressing = pressing[1:]
		}
	}
}

// startOthers starts normal and batch work.
func startOthers(t *tick) {
	t.startAll(t.normalQueues)
	t.startAll(t.queueByTeam(laneBatch))
}

// startAll starts all tasks of the queues that can start.
func (t *tick) startAll(queues teamHeap) {
	for {
		t.tryAged()
		if !t.startFromQueues(&queues) {
			return
		}
	}
}

// isTurn reports whether the next start is the last of a group of n. It counts all starts of the data centre, so
// that the turn also comes when each tick starts only a few tasks.
func (t *tick) isTurn(n uint64) bool {
	return (t.tables.Starts+t.started)%n == n-1
}

// tryAged gives every agedTurn-th start to the job that has waited longest without one, so that no class starves.
func (t *tick) tryAged() {
	if len(t.lanes.aged) == 0 || !t.isTurn(agedTurn) {
		return
	}
	for i, e := range t.lanes.aged {
		if t.tryStart(e) {
			t.lanes.aged = t.lanes.aged[i+1:]
			return
		}
	}
	t.lanes.aged = nil
}

// tryStart starts the next task of an entry, or all of them for an all-at-once job, and reports whether it did.
func (t *tick) tryStart(e *entry) bool {
	if e.remaining == 0 {
		return false
	}
	if e.waitReason = t.blockReason(e); e.waitReason == "" {
		e.waitReason = t.startNext(e)
	}
	if e.waitReason == "" {
		return true
	}
	t.recordFailedFit(e)
	t.recordUnplaced(e)
	t.holdHeadroom(e)
	return false
}

// mayHoldHeadroom reports whether an entry that only the headroom keeps from starting blocks later entries.
// Otherwise small tasks would take each amount that becomes free, and a large one would never start.
func (t *tick) mayHoldHeadroom(e *entry) bool {
	if e.waitReason != reasonHeadroom || e.job.Spec.Gang != nil {
		return false
	}
	return e.lane == lanePressing || e.isAged(t.now) || (e.lane == laneNormal && t.now.Sub(e.idleSince) >= normalPreemptDelay)
}

// holdHeadroom counts the next task of an entry as if it had started, if mayHoldHeadroom allows it.
func (t *tick) holdHeadroom(e *entry) {
	if t.mayHoldHeadroom(e) && !e.holdsHeadroom {
		e.holdsHeadroom = true
		t.nonUrgent = t.nonUrgent.Add(t.needOf(e))
	}
}

// startNext starts the entry's next task, or all of a gang, and returns the reason if it does not.
func (t *tick) startNext(e *entry) string {
	switch e.job.Spec.Workload().(type) {
	case types.Gang:
		return t.startGang(e)
	case types.Service:
		return t.startOne(e, t.spreadWorker(e), "spread")
	default:
		return t.startOne(e, t.packWorker(e), "pack")
	}
}

// blockReason returns why the entry's next task may not start regardless of the free capacity of single workers,
// or an empty string: the team's quota or the headroom for urgent work.
func (t *tick) blockReason(e *entry) string {
	if t.exceedsQuota(e) {
		return reasonQuota
	}
	need := t.needOf(e)
	if e.lane == laneUrgent || t.nonUrgent.Add(need).Fits(t.nonUrgentLimit) {
		return ""
	}
	if t.exceedsNonUrgentLimit(e) {
		return ""
	}
	return reasonHeadroom
}

// exceedsQuota reports whether the entry's next start would exceed its team's quota.
func (t *tick) exceedsQuota(e *entry) bool {
	team := e.job.Owner
	return !team.HasQuotaFor(t.plannedByTeam[team.Index].Add(t.needOf(e)))
}

// needOf returns the resources of the entry's next start: of all its tasks for an all-at-once job.
func (t *tick) needOf(e *entry) types.Resources {
	need := e.job.Spec.Task.Resources
	if isWholeGang(e.job) {
		return need.Times(e.remaining)
	}
	return need
}

// exceedsNonUrgentLimit reports whether a start needs more than the whole data centre without its headroom. Such
// a start may use the headroom, since it would never happen otherwise.
func (t *tick) exceedsNonUrgentLimit(e *entry) bool {
	return !t.needOf(e).Fits(t.nonUrgentLimit)
}

// startOne starts the entry's next task on the worker with index i, or returns the reason if i is none.
func (t *tick) startOne(e *entry, i int, strategy string) string {
	if i < 0 {
		return reasonNoCapacity
	}
	task := e.tasks[e.remaining-1]
	e.remaining--
	t.planStart(e, task, i, strategy)
	return ""
}

// planStart plans the start of a task on the worker with index i.
func (t *tick) planStart(e *entry, task *table.Task, i int, strategy string) {
	wc := &t.capacity.list[i]
	reason := fmt.Sprintf("%s by %s: worker has %s free, task needs %s, team at %.0f%% of its quota",
		e.job.Spec.Class, strategy, wc.free, task.Need(), 100*t.share(e.job.Owner))
	t.occupy(e, i, 1)
	t.started++
	t.add(StartAction{Task: task.ID, Worker: wc.worker.VM.ID, Reason: reason})
}

// occupy counts tasks of an entry as placed on the worker with index i; a negative count undoes it.
func (t *tick) occupy(e *entry, i, count int) {
	need := e.job.Spec.Task.Resources.Times(count)
	t.capacity.allocate(i, need)
	t.plannedByTeam[e.job.Owner.Index] = t.plannedByTeam[e.job.Owner.Index].Add(need)
	if e.lane != laneUrgent {
		t.nonUrgent = t.nonUrgent.Add(need)
	}
	e.updateSpread(t.capacity.list[i].worker, count)
}

// recordUnplaced lists an entry that found no capacity for preemption and for a reservation, as far as the entry
// is entitled to them.
func (t *tick) recordUnplaced(e *entry) {
	if e.recorded || (e.waitReason != reasonNoCapacity && e.waitReason != reasonGangCapacity && e.waitReason != reasonHeadroom) {
		return
	}
	e.recorded = true
	if t.mayPreempt(e) {
		t.preemptFor[e.lane] = append(t.preemptFor[e.lane], e)
	}
	isGang := e.job.Spec.Gang != nil
	isSingle := e.waitReason == reasonNoCapacity && (e.isAged(t.now) || e.lane == lanePressing)
	if isGang || isSingle {
		t.candidates = append(t.candidates, e)
	}
}

// recordFailedFit records that the entry's size fits on no worker in this tick.
func (t *tick) recordFailedFit(e *entry) {
	if e.waitReason == reasonNoCapacity && !t.hasFailedFit(e) {
		t.failedFits = append(t.failedFits, failedFit{need: e.job.Spec.Task.Resources, urgent: e.lane == laneUrgent})
	}
}

// hasFailedFit reports whether a need at most as large fitted on no worker in this tick. It is false for a job
// with a reservation, which may use workers that others may not. For urgent work only failures of urgent work
// count, since it may use reserved workers.
func (t *tick) hasFailedFit(e *entry) bool {
	if t.tables.Reservations[e.job.Spec.ID] != nil {
		return false
	}
	for _, fit := range t.failedFits {
		if fit.need.Fits(e.job.Spec.Task.Resources) && (fit.urgent || e.lane != laneUrgent) {
			return true
		}
	}
	return false
}
