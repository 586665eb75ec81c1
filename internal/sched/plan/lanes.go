package plan

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Lanes of waiting jobs, in the order in which they are served.
const (
	laneUrgent lane = iota
	// lanePressing holds batch work and all-at-once jobs that have to start soon to meet their deadline.
	lanePressing
	laneNormal
	laneBatch
	laneCount
)

const (
	// agedAfter is how long a job goes without a start before every agedEvery-th start is offered to it.
	agedAfter = 5 * time.Minute
	agedEvery = 8
	// urgentPatience is how long an urgent job waits before it goes ahead of its team's share.
	urgentPatience = 500 * time.Millisecond
	// normalEvery is how many starts there are for each one that normal work gets while other work presses.
	normalEvery = 3
	// pressingMargin is added to the expected run time when the latest start is judged.
	pressingMargin = 10 * time.Minute
)

type (
	lane int

	// entry is a job that waits, as one tick sees it.
	entry struct {
		job  *table.Job
		lane lane
		// tasks are the job's waiting tasks, and next the number of those that are still to be tried.
		tasks []*table.Task
		next  int
		// latest is the latest start that meets the deadline; it is zero without a deadline.
		latest time.Time
		// idle is since when the job has had no start.
		idle time.Time
		// why tells why the job's next task did not start.
		why string
		// noted tells that the systems that make room know of the entry.
		noted bool
		// claimed tells that the entry's next task is counted against the headroom.
		claimed bool
		spread  *spread
	}

	// teamQueue is one team's entries in a lane, the first to be served first.
	teamQueue struct {
		team    *table.Team
		share   float64
		entries []*entry
	}

	// teamHeap orders teams by what they occupy in parts of their quota.
	teamHeap []*teamQueue

	// lanes holds all waiting jobs, and by lane those that may start now.
	lanes struct {
		all  []*entry
		aged []*entry
		by   [laneCount][]*entry
	}
)

// Len, Less, Swap, Push and Pop make the heap.
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

// Push is not used, since teams only leave the heap.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }

// Pop removes the last team.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	*h = (*h)[:last]
	return q
}

// file puts an entry into its lane and, when it has waited for long, into the list of aged jobs.
func (l *lanes) file(e *entry, now time.Time) {
	l.by[e.lane] = append(l.by[e.lane], e)
	if e.isAged(now) {
		l.aged = append(l.aged, e)
	}
}

// isAged tells whether a job has gone without a start for long. Urgent work goes first anyhow, and batch
// work with a deadline is moved to the pressing lane in time.
func (e *entry) isAged(now time.Time) bool {
	if e.lane == laneUrgent || (e.lane == laneBatch && !e.latest.IsZero()) {
		return false
	}
	return now.Sub(e.idle) >= agedAfter
}

func (l *lanes) reset() {
	l.all = l.all[:0]
	l.aged = l.aged[:0]
	for i := range l.by {
		l.by[i] = l.by[i][:0]
	}
}

func (l *lanes) sort() {
	for i := range l.by {
		slices.SortFunc(l.by[i], func(a, b *entry) int { return compareEntries(lane(i), a, b) })
	}
	slices.SortFunc(l.aged, func(a, b *entry) int {
		if c := a.idle.Compare(b.idle); c != 0 {
			return c
		}
		return compareIDs(a, b)
	})
}

// compareEntries orders a lane: by latest start where deadlines rule, else by acceptance.
func compareEntries(l lane, a, b *entry) int {
	if l == lanePressing || l == laneBatch {
		if c := compareLatest(a.latest, b.latest); c != 0 {
			return c
		}
	}
	if c := a.job.Accepted.Compare(b.job.Accepted); c != 0 {
		return c
	}
	return compareIDs(a, b)
}

// compareLatest puts jobs without a deadline last.
func compareLatest(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	default:
		return a.Compare(b)
	}
}

func compareIDs(a, b *entry) int {
	return strings.Compare(string(a.job.Spec.ID), string(b.job.Spec.ID))
}

// queues groups a sorted lane by team.
func (t *tick) queues(entries []*entry) teamHeap {
	if len(entries) == 0 {
		return nil
	}
	index := make([]*teamQueue, len(t.teams))
	var out teamHeap
	for _, e := range entries {
		team := e.job.Owner
		q := index[team.Index]
		if q == nil {
			q = &teamQueue{team: team, share: t.share(team)}
			index[team.Index] = q
			out = append(out, q)
		}
		q.entries = append(q.entries, e)
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
