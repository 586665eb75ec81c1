package plan

import (
	"fmt"

	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// isWholeGang reports whether the job's tasks start all at once. Once some tasks of a gang have ended, the others
// are started one by one.
func isWholeGang(j *table.Job) bool {
	return j.Spec.Gang != nil && j.Counts.Ended() == 0
}

// startGang starts all waiting tasks of an all-at-once job or none of them, and returns the reason if it starts none.
func (t *tick) startGang(e *entry) string {
	if !isWholeGang(e.job) {
		return t.startOne(e, t.packWorker(e), "pack")
	}
	if e.remaining < len(e.job.Waiting()) || t.fitCount(e) < e.remaining {
		return reasonGangCapacity
	}
	placements := make([]int, 0, e.remaining)
	for range e.remaining {
		i := t.packWorker(e)
		if i < 0 {
			break
		}
		t.occupy(e, i, 1)
		placements = append(placements, i)
	}
	for _, i := range placements {
		t.occupy(e, i, -1)
	}
	if len(placements) < e.remaining {
		return reasonGangCapacity
	}
	for n, i := range placements {
		t.planStart(e, e.tasks[n], i, "all at once")
	}
	e.remaining = 0
	return ""
}

// fitCount returns how many tasks of the entry fit into the free capacity it may use now.
func (t *tick) fitCount(e *entry) int {
	count := 0
	for i := range t.capacity.list {
		wc := &t.capacity.list[i]
		if wc.isOpen() && t.mayUse(wc, e) {
			count += table.Fit(e.job.Spec.Task.Resources, wc.free)
		}
	}
	return count
}

// stopIncompleteGangs stops the running tasks of an all-at-once job whose other tasks have not started within
// GangTimeout, if the tasks can checkpoint or are idempotent, so that a stop does no harm.
func stopIncompleteGangs(t *tick) {
	for _, e := range t.lanes.all {
		j := e.job
		if j.Spec.Gang == nil || e.remaining == 0 || j.Counts.Occupying() == 0 || j.Counts.Ended() > 0 {
			continue
		}
		mayStop := j.Spec.Task.CanCheckpoint || j.Spec.Task.Idempotent
		if !mayStop || t.now.Sub(e.idleSince) < t.policy.GangTimeout {
			continue
		}
		for _, k := range j.Tasks {
			if k.State == table.TaskRunning {
				t.add(PreemptAction{
					Task:       k.ID,
					Checkpoint: j.Spec.Task.CanCheckpoint,
					For:        e.tasks[0].ID,
					Reason:     fmt.Sprintf("%d tasks of the job found no room for %s; it runs as a whole or not at all", e.remaining, t.policy.GangTimeout),
				})
			}
		}
	}
}
