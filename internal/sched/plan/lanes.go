package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Lanes of waiting jobs, in the order in which they are served.
const (
	laneUrgent lane = iota
	// lanePressing holds batch and all-at-once jobs that are not urgent and have to start soon to meet their deadline.
	lanePressing
	laneNormal
	laneBatch
	laneCount
)

const (
	// agingDelay is how long a job must go without a start before every agedTurn-th start is offered to it.
	agingDelay = 5 * time.Minute
	agedTurn   = 8
	// urgentPriorityDelay is how long an urgent job waits before it is tried regardless of its team's share.
	urgentPriorityDelay = 500 * time.Millisecond
	// normalTurn makes every normalTurn-th start go to normal work while there is pressing work.
	normalTurn = 3
	// pressingMargin is added to the expected run time to decide whether a job has to start soon.
	pressingMargin = 10 * time.Minute
)

type (
	lane int

	// entry is a waiting job with its state in one tick.
	entry struct {
		job  *table.Job
		lane lane
		// tasks holds the job's waiting tasks that may start, and remaining counts those that have not started in this
		// tick. They start from the end: the next one is tasks[remaining-1].
		tasks     []*table.Task
		remaining int
		// latestStart is the latest start that meets the deadline; zero without a deadline.
		latestStart time.Time
		// idleSince is the job's last start, or its acceptance if that is later.
		idleSince time.Time
		// waitReason is why the job's next task did not start.
		waitReason string
		// recorded is set once recordUnplaced has listed the entry for preemption or a reservation.
		recorded bool
		// holdsHeadroom is set while the entry's next task is counted as if it had started, so that later entries
		// leave the capacity outside the headroom to it.
		holdsHeadroom bool
		spread        *spread
	}

	// lanes holds all waiting jobs, the aged ones among those that may start, and by lane those that may start.
	lanes struct {
		all    []*entry
		aged   []*entry
		byLane [laneCount][]*entry
	}
)

// add puts an entry into its lane and, if it is aged, into the list of aged jobs.
func (l *lanes) add(e *entry, now time.Time) {
	l.byLane[e.lane] = append(l.byLane[e.lane], e)
	if e.isAged(now) {
		l.aged = append(l.aged, e)
	}
}

// isAged reports whether a job has had no start for agingDelay. Urgent work is served first in any case, and
// batch work with a deadline moves to the pressing lane in time, so neither counts as aged.
func (e *entry) isAged(now time.Time) bool {
	if e.lane == laneUrgent || (e.lane == laneBatch && !e.latestStart.IsZero()) {
		return false
	}
	return now.Sub(e.idleSince) >= agingDelay
}

func (l *lanes) reset() {
	l.all = l.all[:0]
	l.aged = l.aged[:0]
	for i := range l.byLane {
		l.byLane[i] = l.byLane[i][:0]
	}
}

// sort sorts the urgent and the pressing lane and the aged jobs. The other lanes are queued by team.
func (l *lanes) sort() {
	for _, i := range []lane{laneUrgent, lanePressing} {
		slices.SortFunc(l.byLane[i], func(a, b *entry) int { return compareEntries(i, a, b) })
	}
	slices.SortFunc(l.aged, func(a, b *entry) int {
		if c := a.idleSince.Compare(b.idleSince); c != 0 {
			return c
		}
		return compareIDs(a, b)
	})
}

// compareEntries orders the entries of a lane: the pressing and the batch lane by latest start, then all by
// acceptance.
func compareEntries(l lane, a, b *entry) int {
	if l == lanePressing || l == laneBatch {
		if c := compareLatest(a.latestStart, b.latestStart); c != 0 {
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
