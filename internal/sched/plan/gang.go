package plan

import (
	"fmt"

	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// isWholeGang tells whether the job's tasks start all at once. The rest of a gang of which some tasks
// already ended is started one by one.
func isWholeGang(j *table.Job) bool {
	return j.Spec.Gang != nil && j.Counts.Ended() == 0
}

// startGang starts all waiting tasks of an all-at-once job, or none of them.
func (t *tick) startGang(e *entry) string {
	if !isWholeGang(e.job) {
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
