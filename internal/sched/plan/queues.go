package plan

import (
	"container/heap"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

type (
	// teamQueue is a heap of one team's entries in a lane, the first to be served on top.
	teamQueue struct {
		team    *table.Team
		share   float64
		lane    lane
		entries []*entry
	}

	// teamHeap is a heap of teams by what they occupy in parts of their quota, the smallest on top.
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

// serve starts one task, for the team that occupies the least part of its quota and has one that can
// start. What cannot start leaves the queues.
func (t *tick) serve(queues *teamHeap) bool {
	for queues.Len() > 0 {
		q := (*queues)[0]
		if why := t.exhausted(q.lane); why != "" {
			t.dismiss(queues, why)
			return false
		}
		done := t.step(q.entries[0])
		if !done {
			heap.Pop(q)
		}
		if q.Len() == 0 {
			heap.Pop(queues)
		} else {
			q.share = t.share(q.team)
			heap.Fix(queues, 0)
		}
		if done {
			return true
		}
	}
	return false
}

// exhausted returns why not even the smallest task that waits could start, or nothing when it may.
func (t *tick) exhausted(l lane) string {
	if l == laneUrgent {
		return ""
	}
	if !t.plain.Add(t.smallest).Fits(t.plainLimit) {
		return whyHeadroom
	}
	// A job with a reservation may find room where others find none.
	if len(t.tables.Reservations) == 0 && slices.ContainsFunc(t.misses, func(m miss) bool { return m.need.Fits(t.smallest) }) {
		return whyRoom
	}
	return ""
}

// dismiss empties queues none of whose tasks can start.
func (t *tick) dismiss(queues *teamHeap, why string) {
	for _, q := range *queues {
		for _, e := range q.entries {
			if e.why == "" {
				e.why = why
				t.missed(e)
			}
		}
	}
	*queues = nil
}

// queues groups a lane by team.
func (t *tick) queues(l lane) teamHeap {
	entries := t.lanes.by[l]
	if len(entries) == 0 {
		return nil
	}
	index := make([]*teamQueue, len(t.teams))
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

// share returns the largest part of its quota that a team occupies in any resource; a team without a
// quota is measured by the data centre's capacity.
func (t *tick) share(team *table.Team) float64 {
	used := team.Used.Add(t.teams[team.Index])
	whole := team.Quota
	if whole.IsZero() {
		whole = t.rooms.capacity
	}
	return max(
		part(int64(used.Cores), int64(whole.Cores)),
		part(int64(used.Memory), int64(whole.Memory)),
		part(int64(used.Accelerators), int64(whole.Accelerators)),
	)
}

func part(used, whole int64) float64 {
	if used == 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(used) / float64(whole)
}
