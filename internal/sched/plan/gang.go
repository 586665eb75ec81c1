package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// maxDoublings bounds how often the timeout of a job's reservations doubles.
const maxDoublings = 6

// opening is the time from which a worker is expected to have room for one more task of a job.
type opening struct {
	at     time.Time
	worker types.VMID
}

// isWholeGang tells whether the entry's tasks start all at once. The rest of a gang of which some tasks
// already ended is started one by one.
func (t *tick) isWholeGang(e *entry) bool {
	return e.job.Spec.Gang != nil && e.job.Counts.Ended() == 0
}

// startGang starts all waiting tasks of an all-at-once job, or none of them.
func (t *tick) startGang(e *entry) string {
	if !t.isWholeGang(e) {
		return t.startOne(e, t.packRoom(e), "pack")
	}
	if e.next < len(e.job.Waiting()) || t.fits(e) < e.next {
		return whyGang
	}
	places := make([]int, 0, e.next)
	for range e.next {
		i := t.packRoom(e)
		if i < 0 {
			break
		}
		t.occupy(e, i, 1)
		places = append(places, i)
	}
	for _, i := range places {
		t.occupy(e, i, -1)
	}
	if len(places) < e.next {
		return whyGang
	}
	for n, i := range places {
		t.place(e, e.tasks[n], i, "all at once")
	}
	e.next = 0
	return ""
}

// fits returns how many tasks of the entry the rooms hold now.
func (t *tick) fits(e *entry) int {
	total := 0
	for i := range t.rooms.list {
		m := &t.rooms.list[i]
		if m.open() && t.admits(m, e) {
			total += table.Fit(e.job.Spec.Task.Resources, m.free)
		}
	}
	return total
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

// reserve gives the one reservation of the data centre to a job that does not fit otherwise. As there is
// only one, two large jobs never hold halves; a timeout passes it on.
func reserve(t *tick) {
	wish := t.firstWish()
	for _, r := range sortedReservations(t.tables) {
		e := t.entryOf(r.Job)
		if e != nil && e.next == 0 && e.why == "" {
			t.add(UnreserveAction{Job: r.Job, Reason: "the job starts"})
			continue
		}
		if t.now.Before(r.Until) {
			t.preemptForReservation(e, r)
			return
		}
		if wish == nil || wish.job.Spec.ID != r.Job {
			t.add(UnreserveAction{Job: r.Job, Reason: "the reservation timed out"})
		}
	}
	if wish != nil {
		t.reserveFor(wish)
	}
}

// firstWish returns the job to reserve for: the one with the fewest vain reservations, then by lane and age.
func (t *tick) firstWish() *entry {
	if len(t.wishes) == 0 {
		return nil
	}
	return slices.MinFunc(t.wishes, func(a, b *entry) int {
		if a.job.Reserved != b.job.Reserved {
			return a.job.Reserved - b.job.Reserved
		}
		if a.lane != b.lane {
			return int(a.lane) - int(b.lane)
		}
		return compareEntries(a.lane, a, b)
	})
}

func (t *tick) entryOf(id types.JobID) *entry {
	for _, e := range t.lanes.all {
		if e.job.Spec.ID == id {
			return e
		}
	}
	return nil
}

// reserveFor reserves the workers that will have room for the job first.
func (t *tick) reserveFor(e *entry) {
	count := 1
	if t.isWholeGang(e) {
		count = e.next
	}
	found := t.openings(e)
	if len(found) < count {
		e.why = "the job does not fit beside the services that run"
		return
	}
	held := make(map[types.VMID]int)
	for _, o := range found[:count] {
		held[o.worker]++
	}
	wait := t.policy.GangTimeout << min(e.job.Reserved, maxDoublings)
	t.add(ReserveAction{
		Job:     e.job.Spec.ID,
		Workers: held,
		Until:   t.now.Add(wait),
		Reason: fmt.Sprintf("%d tasks of %s at once, %d workers reserved for %s, expected to be free at %s",
			count, e.job.Spec.Task.Resources, len(held), wait, found[count-1].at.UTC().Format(time.RFC3339)),
	})
}

// openings returns when which worker is expected to have room for a further task, the earliest first.
func (t *tick) openings(e *entry) []opening {
	var out []opening
	for i := range t.rooms.list {
		if m := &t.rooms.list[i]; m.open() {
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
	return k.Started.Add(t.tables.RunTime(k.Job))
}

// completeGangs stops the tasks of an all-at-once job that has waited longer than the timeout for the
// rest of its tasks, where a stop does no harm.
func completeGangs(t *tick) {
	for _, e := range t.lanes.all {
		j := e.job
		if j.Spec.Gang == nil || e.next == 0 || j.Counts.Occupying() == 0 || j.Counts.Ended() > 0 {
			continue
		}
		mayStop := j.Spec.Task.CanCheckpoint || j.Spec.Task.Idempotent
		if !mayStop || t.now.Sub(e.idle) < t.policy.GangTimeout {
			continue
		}
		for _, k := range j.Tasks {
			if k.State == table.TaskRunning {
				t.add(PreemptAction{
					Task:       k.ID,
					Checkpoint: j.Spec.Task.CanCheckpoint,
					For:        e.tasks[0].ID,
					Reason:     fmt.Sprintf("%d tasks of the job found no room for %s; it runs as a whole or not at all", e.next, t.policy.GangTimeout),
				})
			}
		}
	}
}
