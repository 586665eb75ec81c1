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
	// lanePressing holds batch work and all-at-once jobs that have to start soon to meet their deadline.
	lanePressing
	laneNormal
	laneBatch
	laneCount
)

const (
	// agingDelay is how long a job goes without a start before every agedTurn-th start is offered to it.
	agingDelay = 5 * time.Minute
	agedTurn   = 8
	// urgentPriorityDelay is how long an urgent job waits before it goes ahead of its team's share.
	urgentPriorityDelay = 500 * time.Millisecond
	// normalTurn is how many starts there are for each one that normal work gets while other work presses.
	normalTurn = 3
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
		tasks     []*table.Task
		remaining int
		// latestStart is the latest start that meets the deadline; it is zero without a deadline.
		latestStart time.Time
		// idleSince is since when the job has had no start.
		idleSince time.Time
		// waitReason tells why the job's next task did not start.
		waitReason string
		// recorded tells that the systems that make room know of the entry.
		recorded bool
		// holdsHeadroom tells that the entry's next task is counted against the headroom.
		holdsHeadroom bool
		spread        *spread
	}

	// lanes holds all waiting jobs, and by lane those that may start now.
	lanes struct {
		all    []*entry
		aged   []*entry
		byLane [laneCount][]*entry
	}
)

// add puts an entry into its lane and, when it has waited for long, into the list of aged jobs.
func (l *lanes) add(e *entry, now time.Time) {
	l.byLane[e.lane] = append(l.byLane[e.lane], e)
	if e.isAged(now) {
		l.aged = append(l.aged, e)
	}
}

// isAged tells whether a job has gone without a start for long. Urgent work goes first anyhow, and batch
// work with a deadline is moved to the pressing lane in time.
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

// sort orders the lanes that are served as a whole. The others are queued by team.
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

// compareEntries orders a lane: by latest start where deadlines rule, else by acceptance.
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
