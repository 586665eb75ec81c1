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
	// maxTimeoutDoublings bounds how often the timeout of a job's reservations doubles.
	maxTimeoutDoublings = 6
	// maxCandidates bounds the jobs that are considered for a reservation in one tick.
	maxCandidates = 8
	// maxReservedPermille is the part of the workers, in thousandths, that may be reserved for single pressing
	// tasks, and again for single tasks that are aged.
	maxReservedPermille = 50
)

// capacityForecast is the time from which a worker is expected to have capacity for one more task of a job.
type capacityForecast struct {
	at     time.Time
	worker types.VMID
}

// syncReservations marks the reserved workers in the capacity index and removes reservations of jobs that no
// longer wait.
func syncReservations(t *tick) {
	for _, r := range sortedReservations(t.tables) {
		j, ok := t.tables.Jobs[r.Job]
		if !ok || j.Cancelled || j.Counts.Waiting == 0 {
			t.add(UnreserveAction{Job: r.Job, Reason: "the job waits no more"})
			continue
		}
		for id := range r.Workers {
			if w, ok := t.tables.Workers[id]; ok {
				t.capacity.of(w).reservedFor = r.Job
			}
		}
	}
}

func sortedReservations(s *table.State) []*table.Reservation {
	out := make([]*table.Reservation, 0, len(s.Reservations))
	for _, r := range s.Reservations {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *table.Reservation) int { return strings.Compare(string(a.Job), string(b.Job)) })
	return out
}

// reservationKind is the kind of work that a reservation is for.
type reservationKind int

// Kinds of reservations.
const (
	reservationGang reservationKind = iota
	reservationPressing
	reservationAged
	reservationKindCount
)

// reserve reserves workers for jobs that do not fit otherwise. Only one all-at-once job has a reservation at a
// time, since two large ones could each hold half of what they need and neither would start; after the timeout
// another job gets the reservation. Pressing and aged jobs reserve one worker each for a single task, up to
// maxReservedPermille of the workers.
func reserve(t *tick) {
	counts := t.reviewReservations()
	maxSingle := max(1, len(t.capacity.list)*maxReservedPermille/permille)
	limits := [reservationKindCount]int{reservationGang: 1, reservationPressing: maxSingle, reservationAged: maxSingle}
	if len(t.candidates) == 0 || counts == limits {
		return
	}
	slices.SortFunc(t.candidates, compareCandidates)
	considered := 0
	for _, e := range t.candidates {
		kind := reservationKindOf(e)
		if counts[kind] >= limits[kind] || t.tables.Reservations[e.job.Spec.ID] != nil {
			continue
		}
		if considered++; considered > maxCandidates {
			return
		}
		reason := t.blockReason(e)
		if e.remaining > 0 && (reason == "" || (reason == reasonHeadroom && kind == reservationGang)) && t.reserveFor(e) {
			counts[kind]++
		}
	}
}

func reservationKindOf(e *entry) reservationKind {
	switch {
	case isWholeGang(e.job):
		return reservationGang
	case e.lane == lanePressing:
		return reservationPressing
	default:
		return reservationAged
	}
}

// reviewReservations removes reservations that were used or timed out, preempts tasks for those of all-at-once
// jobs, and returns how many are left of each kind.
func (t *tick) reviewReservations() [reservationKindCount]int {
	var counts [reservationKindCount]int
	for _, r := range sortedReservations(t.tables) {
		e := t.findEntry(r.Job)
		switch {
		case e != nil && e.remaining < len(e.tasks):
			t.add(UnreserveAction{Job: r.Job, Reason: "the job starts"})
		case !t.now.Before(r.Until):
			t.add(UnreserveAction{Job: r.Job, Reason: "the reservation timed out"})
		case isForGang(t.tables, r):
			t.preemptForReservation(e, r)
			counts[reservationGang]++
		case e != nil:
			counts[reservationKindOf(e)]++
		default:
			counts[reservationAged]++
		}
	}
	return counts
}

func isForGang(s *table.State, r *table.Reservation) bool {
	j, ok := s.Jobs[r.Job]
	return ok && isWholeGang(j)
}

// compareCandidates puts jobs with fewer unused reservations first, then orders by lane and within the lane.
func compareCandidates(a, b *entry) int {
	if a.job.Reservations != b.job.Reservations {
		return a.job.Reservations - b.job.Reservations
	}
	if a.lane != b.lane {
		return int(a.lane) - int(b.lane)
	}
	return compareEntries(a.lane, a, b)
}

func (t *tick) findEntry(id types.JobID) *entry {
	for _, e := range t.lanes.all {
		if e.job.Spec.ID == id {
			return e
		}
	}
	return nil
}

// reserveFor reserves the workers that are expected to have capacity for the job first, and reports whether there
// are enough. The timeout doubles with each reservation that the job had without a start.
func (t *tick) reserveFor(e *entry) bool {
	count := 1
	if isWholeGang(e.job) {
		count = e.remaining
	}
	forecast := t.forecastCapacity(e)
	if len(forecast) < count {
		e.waitReason = reasonServices
		return false
	}
	workers := make(map[types.VMID]int)
	for _, f := range forecast[:count] {
		workers[f.worker]++
		t.capacity.of(t.tables.Workers[f.worker]).reservedFor = e.job.Spec.ID
	}
	timeout := t.policy.GangTimeout << min(e.job.Reservations, maxTimeoutDoublings)
	t.add(ReserveAction{
		Job:     e.job.Spec.ID,
		Workers: workers,
		Until:   t.now.Add(timeout),
		Reason: fmt.Sprintf("%d tasks of %s at once, %d workers reserved for %s, expected to be free at %s",
			count, e.job.Spec.Task.Resources, len(workers), timeout, forecast[count-1].at.UTC().Format(time.RFC3339)),
	})
	return true
}

// forecastCapacity returns when which worker is expected to have capacity for a further task of the entry, the
// earliest first.
func (t *tick) forecastCapacity(e *entry) []capacityForecast {
	var out []capacityForecast
	for i := range t.capacity.list {
		if wc := &t.capacity.list[i]; wc.isOpen() && t.mayUse(wc, e) {
			out = append(out, t.forecastOn(wc, e.job.Spec.Task.Resources)...)
		}
	}
	slices.SortStableFunc(out, func(a, b capacityForecast) int { return a.at.Compare(b.at) })
	return out
}

// forecastOn returns the forecasts of one worker: what is free now, and what its tasks free as they end.
func (t *tick) forecastOn(wc *workerCapacity, need types.Resources) []capacityForecast {
	var out []capacityForecast
	at := t.now
	free := wc.free
	fits := table.Fit(need, free)
	for range fits {
		out = append(out, capacityForecast{at: at, worker: wc.worker.VM.ID})
	}
	for _, k := range t.endingTasks(wc.worker) {
		free = free.Add(k.Need())
		at = latestOf(t.now, t.expectedEnd(k))
		for ; fits < table.Fit(need, free); fits++ {
			out = append(out, capacityForecast{at: at, worker: wc.worker.VM.ID})
		}
	}
	return out
}

// endingTasks returns a worker's tasks that are expected to end, which those of services are not, the earliest
// first.
func (t *tick) endingTasks(w *table.Worker) []*table.Task {
	var out []*table.Task
	for id := range w.Attempts {
		if k := t.tables.Tasks[id]; k.Job.Spec.Service == nil {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *table.Task) int {
		if c := t.expectedEnd(a).Compare(t.expectedEnd(b)); c != 0 {
			return c
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return out
}

// expectedEnd returns when the task's attempt is expected to end; the time may have passed.
func (t *tick) expectedEnd(k *table.Task) time.Time {
	return k.Started.Add(t.runTime(k.Job))
}
