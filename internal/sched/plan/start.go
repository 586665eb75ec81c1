package plan

import (
	"fmt"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Reasons for waiting. They hold no figures, so that they change seldom.
const (
	whyQuota     = "the team's quota is used up"
	whyHeadroom  = "the rest of the data centre is kept for urgent work"
	whyRoom      = "no worker has room"
	whyGang      = "there is no room for all tasks at once"
	whyServices  = "the job does not fit beside the services that run"
	whyElsewhere = "the job's DataCentres leave out this one"
	whyTooBig    = "no worker of this data centre is large enough"
)

// miss is a need for which no room was found in this tick. Rooms only shrink within a tick.
type miss struct {
	need   types.Resources
	urgent bool
}

// startUrgent starts urgent tasks; what finds no room is left to preemption.
func startUrgent(t *tick) {
	t.startOldest(t.lanes.by[laneUrgent])
	t.fill(t.queues(laneUrgent))
}

// startOldest offers a start to the oldest job of each team that has waited for urgentPatience, the oldest
// first. Otherwise later and smaller tasks would take the room that is being made for a large one.
func (t *tick) startOldest(entries []*entry) {
	seen := make([]bool, len(t.teams))
	for _, e := range entries {
		if t.now.Sub(e.job.Accepted) < urgentPatience {
			return
		}
		if !seen[e.job.Owner.Index] {
			seen[e.job.Owner.Index] = true
			t.step(e)
		}
	}
}

// startPressing starts work that has to start soon. Meanwhile normal work gets every normalEvery-th start.
func startPressing(t *tick) {
	t.normal = t.queues(laneNormal)
	pressing := t.lanes.by[lanePressing]
	for len(pressing) > 0 {
		t.offerAged()
		if t.isTurn(normalEvery) && t.serve(&t.normal) {
			continue
		}
		if !t.step(pressing[0]) {
			pressing = pressing[1:]
		}
	}
}

// startOthers starts normal and batch work.
func startOthers(t *tick) {
	t.fill(t.normal)
	t.fill(t.queues(laneBatch))
}

// fill starts all tasks of the queues that can start.
func (t *tick) fill(queues teamHeap) {
	for {
		t.offerAged()
		if !t.serve(&queues) {
			return
		}
	}
}

// isTurn tells whether the next start is one of every so many. It counts all starts of the data centre,
// so that a turn also comes round when each tick starts only a few tasks.
func (t *tick) isTurn(every uint64) bool {
	return (t.tables.Starts+t.started)%every == every-1
}

// offerAged gives every agedEvery-th start to the job that has waited longest without one, so that no
// class starves.
func (t *tick) offerAged() {
	if len(t.lanes.aged) == 0 || !t.isTurn(agedEvery) {
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
	t.noteMiss(e)
	t.missed(e)
	t.claim(e)
	return false
}

// mayClaim tells whether an entry that only the headroom keeps from starting holds back what comes after
// it. Otherwise small tasks would take each bit that becomes free, and a large one would never start.
func (t *tick) mayClaim(e *entry) bool {
	if e.why != whyHeadroom || e.job.Spec.Gang != nil {
		return false
	}
	return e.lane == lanePressing || e.isAged(t.now) || (e.lane == laneNormal && t.now.Sub(e.idle) >= normalPatience)
}

// claim counts the next task of such an entry as if it had started.
func (t *tick) claim(e *entry) {
	if t.mayClaim(e) && !e.claimed {
		e.claimed = true
		t.plain = t.plain.Add(t.needOf(e))
	}
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
	if t.overQuota(e) {
		return whyQuota
	}
	need := t.needOf(e)
	if e.lane == laneUrgent || t.plain.Add(need).Fits(t.plainLimit) {
		return ""
	}
	if t.isWholeSite(e) {
		return ""
	}
	return whyHeadroom
}

// overQuota tells whether the entry's next start would exceed its team's quota.
func (t *tick) overQuota(e *entry) bool {
	team := e.job.Owner
	return !team.Room(t.teams[team.Index].Add(t.needOf(e)))
}

// needOf returns what the entry's next start takes.
func (t *tick) needOf(e *entry) types.Resources {
	need := e.job.Spec.Task.Resources
	if isWholeGang(e.job) {
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
		e.job.Spec.Class, policy, m.free, task.Need(), 100*t.share(e.job.Owner))
	t.occupy(e, i, 1)
	t.started++
	t.add(StartAction{Task: task.ID, Worker: m.worker.VM.ID, Reason: reason})
}

// occupy counts tasks of an entry in a room; a negative count gives back.
func (t *tick) occupy(e *entry, i, count int) {
	need := e.job.Spec.Task.Resources.Times(count)
	t.rooms.take(i, need)
	t.teams[e.job.Owner.Index] = t.teams[e.job.Owner.Index].Add(need)
	if e.lane != laneUrgent {
		t.plain = t.plain.Add(need)
	}
	e.noteSpread(t.rooms.list[i].worker, count)
}

// missed files an entry that found no room with the systems that make room.
func (t *tick) missed(e *entry) {
	if e.noted || (e.why != whyRoom && e.why != whyGang && e.why != whyHeadroom) {
		return
	}
	e.noted = true
	if t.mayPreempt(e) {
		t.stuck[e.lane] = append(t.stuck[e.lane], e)
	}
	isGang := e.job.Spec.Gang != nil
	isSingle := e.why == whyRoom && (e.isAged(t.now) || e.lane == lanePressing)
	if isGang || isSingle {
		t.wishes = append(t.wishes, e)
	}
}

// noteMiss remembers a size that found no room.
func (t *tick) noteMiss(e *entry) {
	if e.why == whyRoom && !t.isKnownMiss(e) {
		t.misses = append(t.misses, miss{need: e.job.Spec.Task.Resources, urgent: e.lane == laneUrgent})
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
