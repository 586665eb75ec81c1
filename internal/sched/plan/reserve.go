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
	// maxDoublings bounds how often the timeout of a job's reservations doubles.
	maxDoublings = 6
	// maxWishes bounds the jobs that are weighed for a reservation in one tick.
	maxWishes = 8
	// maxReserved is the part of the workers, in thousandths, that are held for single tasks that press,
	// and again for those that have waited long.
	maxReserved = 50
)

// opening is the time from which a worker is expected to have room for one more task of a job.
type opening struct {
	at     time.Time
	worker types.VMID
}

// keepReservations marks the workers that are reserved, and drops reservations of jobs that no longer wait.
func keepReservations(t *tick) {
	for _, r := range sortedReservations(t.tables) {
		j, ok := t.tables.Jobs[r.Job]
		if !ok || j.Cancelled || j.Counts.Waiting == 0 {
			t.add(UnreserveAction{Job: r.Job, Reason: "the job waits no more"})
			continue
		}
		for id := range r.Workers {
			if w, ok := t.tables.Workers[id]; ok {
				t.rooms.of(w).holder = r.Job
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

// holder is what a reservation is for.
type holder int

// Holders of reservations.
const (
	holdGang holder = iota
	holdPressing
	holdAged
	holderCount
)

// reserve keeps workers for jobs that do not fit otherwise. Only one all-at-once job has a reservation at
// a time, so that two large ones never hold halves; a timeout passes it on. Single tasks of jobs that press
// or have waited long hold one worker each, up to a part of the workers.
func reserve(t *tick) {
	held := t.reviewReservations()
	single := max(1, len(t.rooms.list)*maxReserved/perMille)
	limits := [holderCount]int{holdGang: 1, holdPressing: single, holdAged: single}
	if len(t.wishes) == 0 || held == limits {
		return
	}
	slices.SortFunc(t.wishes, compareWishes)
	weighed := 0
	for _, e := range t.wishes {
		h := holderOf(e)
		if held[h] >= limits[h] || t.tables.Reservations[e.job.Spec.ID] != nil {
			continue
		}
		if weighed++; weighed > maxWishes {
			return
		}
		why := t.barrier(e)
		if e.next > 0 && (why == "" || (why == whyHeadroom && h == holdGang)) && t.reserveFor(e) {
			held[h]++
		}
	}
}

func holderOf(e *entry) holder {
	switch {
	case isWholeGang(e.job):
		return holdGang
	case e.lane == lanePressing:
		return holdPressing
	default:
		return holdAged
	}
}

// reviewReservations ends reservations that were used or timed out, and returns how many are left by holder.
func (t *tick) reviewReservations() [holderCount]int {
	var held [holderCount]int
	for _, r := range sortedReservations(t.tables) {
		e := t.entryOf(r.Job)
		switch {
		case e != nil && e.next < len(e.tasks):
			t.add(UnreserveAction{Job: r.Job, Reason: "the job starts"})
		case !t.now.Before(r.Until):
			t.add(UnreserveAction{Job: r.Job, Reason: "the reservation timed out"})
		case isHeldForGang(t.tables, r):
			t.preemptForReservation(e, r)
			held[holdGang]++
		case e != nil:
			held[holderOf(e)]++
		default:
			held[holdAged]++
		}
	}
	return held
}

func isHeldForGang(s *table.State, r *table.Reservation) bool {
	j, ok := s.Jobs[r.Job]
	return ok && isWholeGang(j)
}

func compareWishes(a, b *entry) int {
	if a.job.Reserved != b.job.Reserved {
		return a.job.Reserved - b.job.Reserved
	}
	if a.lane != b.lane {
		return int(a.lane) - int(b.lane)
	}
	return compareEntries(a.lane, a, b)
}

func (t *tick) entryOf(id types.JobID) *entry {
	for _, e := range t.lanes.all {
		if e.job.Spec.ID == id {
			return e
		}
	}
	return nil
}

// reserveFor reserves the workers that will have room for the job first, and tells whether there are enough.
func (t *tick) reserveFor(e *entry) bool {
	count := 1
	if isWholeGang(e.job) {
		count = e.next
	}
	found := t.openings(e)
	if len(found) < count {
		e.why = whyServices
		return false
	}
	held := make(map[types.VMID]int)
	for _, o := range found[:count] {
		held[o.worker]++
		t.rooms.of(t.tables.Workers[o.worker]).holder = e.job.Spec.ID
	}
	wait := t.policy.GangTimeout << min(e.job.Reserved, maxDoublings)
	t.add(ReserveAction{
		Job:     e.job.Spec.ID,
		Workers: held,
		Until:   t.now.Add(wait),
		Reason: fmt.Sprintf("%d tasks of %s at once, %d workers reserved for %s, expected to be free at %s",
			count, e.job.Spec.Task.Resources, len(held), wait, found[count-1].at.UTC().Format(time.RFC3339)),
	})
	return true
}

// openings returns when which worker is expected to have room for a further task, the earliest first.
func (t *tick) openings(e *entry) []opening {
	var out []opening
	for i := range t.rooms.list {
		if m := &t.rooms.list[i]; m.open() && t.admits(m, e) {
			out = append(out, t.openingsOf(m, e.job.Spec.Task.Resources)...)
		}
	}
	slices.SortStableFunc(out, func(a, b opening) int { return a.at.Compare(b.at) })
	return out
}

func (t *tick) openingsOf(m *room, need types.Resources) []opening {
	var out []opening
	at := t.now
	free := m.free
	fits := table.Fit(need, free)
	for range fits {
		out = append(out, opening{at: at, worker: m.worker.VM.ID})
	}
	for _, k := range t.endsOn(m.worker) {
		free = free.Add(k.Need())
		at = latestOf(t.now, t.endOf(k))
		for ; fits < table.Fit(need, free); fits++ {
			out = append(out, opening{at: at, worker: m.worker.VM.ID})
		}
	}
	return out
}

// endsOn returns a worker's tasks that are expected to end, the earliest first.
func (t *tick) endsOn(w *table.Worker) []*table.Task {
	var out []*table.Task
	for id := range w.Attempts {
		if k := t.tables.Tasks[id]; k.Job.Spec.Service == nil {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *table.Task) int {
		if c := t.endOf(a).Compare(t.endOf(b)); c != 0 {
			return c
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return out
}

func (t *tick) endOf(k *table.Task) time.Time {
	return k.Started.Add(t.runTime(k.Job))
}
