package plan

import (
	"container/heap"
	"fmt"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Reasons for waiting. They hold no figures, so that they change seldom.
const (
	whyQuota    = "the team's quota is used up"
	whyHeadroom = "the rest of the data centre is kept for urgent work"
	whyRoom     = "no worker has room"
	whyGang     = "there is no room for all tasks at once"
	whyTooBig   = "no worker of this data centre is large enough"
)

// miss is a need for which no room was found in this tick. Rooms only shrink within a tick.
type miss struct {
	need   types.Resources
	urgent bool
}

// startUrgent starts urgent tasks; what finds no room is left to preemption.
func startUrgent(t *tick) {
	t.fill(t.lanes.by[laneUrgent])
}

// startOthers starts the other lanes in their order.
func startOthers(t *tick) {
	pressing := t.lanes.by[lanePressing]
	for _, e := range pressing {
		for t.step(e) {
			t.offerAged()
		}
	}
	t.fill(t.lanes.by[laneNormal])
	t.fill(t.lanes.by[laneBatch])
}

// fill starts tasks of a lane, always for the team that occupies the least part of its quota.
func (t *tick) fill(entries []*entry) {
	queues := t.queues(entries)
	for queues.Len() > 0 {
		t.offerAged()
		q := queues[0]
		if !t.step(q.entries[0]) {
			q.entries = q.entries[1:]
		}
		if len(q.entries) == 0 {
			heap.Pop(&queues)
			continue
		}
		q.share = t.share(q.team)
		heap.Fix(&queues, 0)
	}
}

// offerAged gives every agedEvery-th start to the job that has waited longest without one, so that no
// class starves.
func (t *tick) offerAged() {
	if len(t.lanes.aged) == 0 || (t.tables.Starts+t.started)%agedEvery != agedEvery-1 {
		return
	}
	for i, e := range t.lanes.aged {
		if t.step(e) {
			t.lanes.aged = t.lanes.aged[i+1:]
			return
		}
	}
	t.lanes.aged = nil
}

// step starts the next task of an entry, or all of them for an all-at-once job, and tells whether it did.
func (t *tick) step(e *entry) bool {
	if e.next == 0 {
		return false
	}
	if e.why = t.barrier(e); e.why == "" {
		e.why = t.startNext(e)
	}
	if e.why == "" {
		return true
	}
	t.missed(e)
	return false
}

func (t *tick) startNext(e *entry) string {
	switch e.job.Spec.Workload().(type) {
	case types.Gang:
		return t.startGang(e)
	case types.Service:
		return t.startOne(e, t.spreadRoom(e), "spread")
	default:
		return t.startOne(e, t.packRoom(e), "pack")
	}
}

// barrier returns why the entry's next task may not start whatever the room, or nothing.
func (t *tick) barrier(e *entry) string {
	if !t.rooms.anyHolds(e.job.Spec.Task.Resources) {
		return whyTooBig
	}
	need := t.needOf(e)
	team := t.tables.Team(e.job.Spec.Team)
	if !team.Room(t.teams[team.ID].Add(need)) {
		return whyQuota
	}
	if e.lane == laneUrgent || t.plain.Add(need).Fits(t.plainLimit) {
		return ""
	}
	if t.isWholeSite(e) {
		return ""
	}
	return whyHeadroom
}

// needOf returns what the entry's next start takes.
func (t *tick) needOf(e *entry) types.Resources {
	need := e.job.Spec.Task.Resources
	if t.isWholeGang(e) {
		return need.Times(e.next)
	}
	return need
}

// isWholeSite tells whether a start is larger than the data centre without its headroom; it may use the
// headroom, since it would never happen otherwise.
func (t *tick) isWholeSite(e *entry) bool {
	return !t.needOf(e).Fits(t.plainLimit)
}

// startOne starts the entry's next task in a room.
func (t *tick) startOne(e *entry, i int, policy string) string {
	if i < 0 {
		return whyRoom
	}
	task := e.tasks[e.next-1]
	e.next--
	t.place(e, task, i, policy)
	return ""
}

// place plans the start of a task in a room.
func (t *tick) place(e *entry, task *table.Task, i int, policy string) {
	m := &t.rooms.list[i]
	reason := fmt.Sprintf("%s by %s: worker has %s free, task needs %s, team at %.0f%% of its quota",
		e.job.Spec.Class, policy, m.free, task.Need(), 100*t.share(e.job.Spec.Team))
	t.occupy(e, i, 1)
	t.started++
	t.add(StartAction{Task: task.ID, Worker: m.worker.VM.ID, Reason: reason})
}

// occupy counts tasks of an entry in a room; a negative count gives back.
func (t *tick) occupy(e *entry, i, count int) {
	need := e.job.Spec.Task.Resources.Times(count)
	t.rooms.take(i, need)
	t.teams[e.job.Spec.Team] = t.teams[e.job.Spec.Team].Add(need)
	if e.lane != laneUrgent {
		t.plain = t.plain.Add(need)
	}
	e.noteSpread(t.rooms.list[i].worker, count)
}

// missed files an entry that found no room with the systems that make room.
func (t *tick) missed(e *entry) {
	if e.why != whyRoom && e.why != whyGang {
		return
	}
	if e.job.Spec.Gang == nil {
		need := e.job.Spec.Task.Resources
		t.misses = append(t.misses, miss{need: need, urgent: e.lane == laneUrgent})
	}
	if e.lane == laneUrgent {
		t.stuck = append(t.stuck, e)
	}
	if e.job.Spec.Gang != nil || t.now.Sub(e.idle) >= agedAfter {
		t.wishes = append(t.wishes, e)
	}
}

// isKnownMiss tells whether a need at most as large found no room in this tick. A job with a reservation
// may use rooms that others may not.
func (t *tick) isKnownMiss(e *entry) bool {
	if t.tables.Reservations[e.job.Spec.ID] != nil {
		return false
	}
	for _, m := range t.misses {
		if m.need.Fits(e.job.Spec.Task.Resources) && (m.urgent || e.lane != laneUrgent) {
			return true
		}
	}
	return false
}
