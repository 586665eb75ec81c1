package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// minReadyTime is how long a task of a new revision has to run before it replaces one of the old revision.
const minReadyTime = 10 * time.Second

// rollOut stops tasks of replaced revisions. It never takes a service below its floor of running tasks, and
// keeps the full count as long as the new tasks fit beside the old ones.
func rollOut(t *tick) {
	if t.keepServices {
		return
	}
	for _, newer := range sortedRolls(t.tables) {
		older, ok := t.tables.Jobs[newer.Supersedes]
		if !ok || older.Counts.Waiting+older.Counts.Occupying() == 0 || newer.Cancelled || newer.Spec.Service == nil {
			continue
		}
		t.rollService(older, newer)
	}
}

func sortedRolls(s *table.State) []*table.Job {
	out := make([]*table.Job, 0, len(s.Rolls))
	for _, j := range s.Rolls {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *table.Job) int { return strings.Compare(string(a.Spec.ID), string(b.Spec.ID)) })
	return out
}

// rollService stops as many tasks of the older revision as the ready tasks of the newer one allow, and gives up
// its waiting tasks once the newer revision is fully ready.
func (t *tick) rollService(older, newer *table.Job) {
	ready := t.countReady(newer)
	running := older.Counts.Running + ready
	count := newer.Spec.Service.Count
	if ready >= count {
		t.giveUpReplaced(older, newer)
	}
	spare := running - count
	reason := fmt.Sprintf("revision %d has %d of %d tasks running", newer.Spec.Revision, ready, count)
	if spare <= 0 && t.isBlocked(newer) && older.Counts.Stopping == 0 {
		spare = min(1, running-floorOf(newer))
		reason += fmt.Sprintf(" and no room beside the old ones; %d run, the floor is %d", running, floorOf(newer))
	}
	t.stopReplaced(older, newer, spare, reason)
}

// countReady returns how many of the job's tasks have run for at least minReadyTime.
func (t *tick) countReady(j *table.Job) int {
	n := 0
	for _, k := range j.Tasks {
		if k.State == table.TaskRunning && t.now.Sub(k.Started) >= minReadyTime {
			n++
		}
	}
	return n
}

// isBlocked reports whether a task of the job could not start in this tick, other than for being larger than any
// worker.
func (t *tick) isBlocked(j *table.Job) bool {
	e := t.findEntry(j.Spec.ID)
	return e != nil && e.remaining > 0 && e.waitReason != "" && e.waitReason != reasonTooLarge
}

func (t *tick) stopReplaced(older, newer *table.Job, count int, reason string) {
	for _, k := range older.Tasks {
		if count <= 0 {
			return
		}
		if k.State == table.TaskRunning {
			t.add(PreemptAction{Task: k.ID, Checkpoint: k.Job.Spec.Task.CanCheckpoint, For: newer.Tasks[0].ID, Reason: reason})
			count--
		}
	}
}

// giveUpReplaced gives up the waiting tasks of a revision that is fully replaced.
func (t *tick) giveUpReplaced(older, newer *table.Job) {
	for _, k := range older.Waiting() {
		t.add(GiveUpAction{Task: k.ID, Reason: fmt.Sprintf("replaced by revision %d", newer.Spec.Revision)})
	}
}

func floorOf(j *table.Job) int {
	if j.Spec.Service == nil {
		return 0
	}
	return j.Spec.Service.Floor
}

// drainLeaving stops tasks on workers that are leaving, to be started elsewhere: tasks of a service one at a time
// and never below its floor, and batch work that can checkpoint.
func drainLeaving(t *tick) {
	for _, w := range t.tables.Ordered() {
		if w.Health != table.WorkerLeaving {
			continue
		}
		for _, k := range t.runningOn(w) {
			if t.mayDrain(k) {
				t.add(PreemptAction{
					Task:       k.ID,
					Checkpoint: k.Job.Spec.Task.CanCheckpoint,
					Reason:     "worker " + string(w.VM.ID) + " is leaving",
				})
			}
		}
	}
}

// mayDrain reports whether the task can be stopped without harm now.
func (t *tick) mayDrain(k *table.Task) bool {
	c := k.Job.Counts
	switch w := k.Job.Spec.Workload().(type) {
	case types.Service:
		if t.keepServices {
			return false
		}
		isFirst := t.firstRunning(k.Job, table.WorkerLeaving) == k
		return isFirst && c.Stopping+c.Waiting+c.Intended == 0 && c.Running > w.Floor
	case types.Batch:
		return k.Job.Spec.Task.CanCheckpoint
	default:
		return false
	}
}

// firstRunning returns the job's first running task on a worker of the given health, or nil.
func (t *tick) firstRunning(j *table.Job, h table.Health) *table.Task {
	for _, k := range j.Tasks {
		if w, ok := t.tables.Workers[k.Worker]; ok && k.State == table.TaskRunning && w.Health == h {
			return k
		}
	}
	return nil
}

// runningOn returns the tasks that run on a worker, sorted by ID.
func (t *tick) runningOn(w *table.Worker) []*table.Task {
	var out []*table.Task
	for id := range w.Attempts {
		if k := t.tables.Tasks[id]; k.State == table.TaskRunning {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *table.Task) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
