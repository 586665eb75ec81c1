package plan

import (
	"container/heap"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

type (
	// teamQueue is a heap of one team's entries in a lane, the next to start on top.
	teamQueue struct {
		team    *table.Team
		share   float64
		lane    lane
		entries []*entry
	}

	// teamHeap is a heap of teams by the share of their quota that they occupy, the smallest on top.
	teamHeap []*teamQueue
)

// Len returns the number of entries.
func (q *teamQueue) Len() int { return len(q.entries) }

// Less orders entries as their lane does.
func (q *teamQueue) Less(i, j int) bool {
	return compareEntries(q.lane, q.entries[i], q.entries[j]) < 0
}

// Swap swaps two entries.
func (q *teamQueue) Swap(i, j int) { q.entries[i], q.entries[j] = q.entries[j], q.entries[i] }

// Push adds an entry.
func (q *teamQueue) Push(x any) { q.entries = append(q.entries, x.(*entry)) }

// Pop removes the last entry.
func (q *teamQueue) Pop() any {
	last := len(q.entries) - 1
	e := q.entries[last]
	q.entries = q.entries[:last]
	return e
}

// Len returns the number of teams.
func (h teamHeap) Len() int { return len(h) }

// Less puts the team with the smaller share first.
func (h teamHeap) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].team.ID < h[j].team.ID
}

// Swap swaps two teams.
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a team.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }

// Pop removes the last team.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h = (*h)[:last]
	return q
}

// startFromQueues starts one task, for the team that occupies the smallest share of its quota among those with a
// task that can start, and reports whether it started one. Entries that cannot start are removed from the queues.
func (t *tick) startFromQueues(queues *teamHeap) bool {
	for queues.Len() > 0 {
		q := (*queues)[0]
		if reason := t.laneBlockReason(q.lane); reason != "" {
			t.clearQueues(queues, reason)
			return false
		}
		started := t.tryStart(q.entries[0])
		if !started {
			heap.Pop(q)
		}
		if q.Len() == 0 {
			heap.Pop(queues)
		} else {
			q.share = t.share(q.team)
			heap.Fix(queues, 0)
		}
		if started {
			return true
		}
	}
	return false
}

// laneBlockReason returns why not even the smallest waiting task can start, or an empty string if one may. It
// never blocks the urgent lane.
func (t *tick) laneBlockReason(l lane) string {
	if l == laneUrgent {
		return ""
	}
	if !t.nonUrgent.Add(t.smallest).Fits(t.nonUrgentLimit) {
		return reasonHeadroom
	}
	// A job with a reservation may use workers that others may not.
	if len(t.tables.Reservations) == 0 && slices.ContainsFunc(t.failedFits, func(fit failedFit) bool { return fit.need.Fits(t.smallest) }) {
		return reasonNoCapacity
	}
	return ""
}

// clearQueues empties queues none of whose tasks can start, and records the reason for their entries.
func (t *tick) clearQueues(queues *teamHeap, reason string) {
	for _, q := range *queues {
		for _, e := range q.entries {
			if e.waitReason == "" {
				e.waitReason = reason
				t.recordUnplaced(e)
			}
		}
	}
	*queues = nil
}

// queueByTeam groups the entries of a lane by team.
func (t *tick) queueByTeam(l lane) teamHeap {
	entries := t.lanes.byLane[l]
	if len(entries) == 0 {
		return nil
	}
	index := make([]*teamQueue, len(t.plannedByTeam))
	var out teamHeap
	for _, e := range entries {
		team := e.job.Owner
		q := index[team.Index]
		if q == nil {
			q = &teamQueue{team: team, share: t.share(team), lane: l}
			index[team.Index] = q
			out = append(out, q)
		}
		q.entries = append(q.entries, e)
	}
	for _, q := range out {
		heap.Init(q)
	}
	heap.Init(&out)
	return out
}

// share returns the team's dominant share: the largest fraction of its quota that it occupies in any resource,
// planned starts included. A team without a quota is measured against the data centre's capacity.
func (t *tick) share(team *table.Team) float64 {
	used := team.Used.Add(t.plannedByTeam[team.Index])
	quota := team.Quota
	if quota.IsZero() {
		quota = t.capacity.total
	}
	return used.DominantShare(quota)
}
