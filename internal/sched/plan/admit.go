package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Waits between the attempts of a task that failed.
const (
	retryBase = time.Second
	retryMax  = time.Minute
)

// admit files each waiting job in its lane and gives up tasks that failed too often.
func admit(t *tick) {
	for _, j := range t.tables.Waiting() {
		if j.Cancelled || t.isReplaced(j) {
			continue
		}
		tasks := t.startable(j)
		if len(tasks) == 0 {
			continue
		}
		e := &entry{job: j, tasks: tasks, next: len(tasks), idle: latestOf(j.Accepted, j.LastStart)}
		e.latest = t.latestStart(j)
		e.lane = t.laneOf(e)
		if !allowedHere(j, t.tables.DataCentre) {
			e.why = "the job's DataCentres leave out " + string(t.tables.DataCentre)
			e.next = 0
		}
		t.lanes.file(e, t.now)
	}
	t.lanes.sort()
}

// isReplaced tells whether the job's service keeps its count without the job's waiting tasks.
func (t *tick) isReplaced(j *table.Job) bool {
	if j.SupersededBy == "" {
		return false
	}
	newer, ok := t.tables.Jobs[j.SupersededBy]
	if !ok || newer.State == types.JobFailed {
		return false
	}
	return j.Counts.Running+newer.Counts.Running >= floorOf(newer)
}

// startable returns the waiting tasks that may be tried now, and gives up those that failed too often.
func (t *tick) startable(j *table.Job) []*table.Task {
	waiting := j.Waiting()
	first := slices.IndexFunc(waiting, func(k *table.Task) bool { return k.Failures > 0 })
	if first < 0 {
		return waiting
	}
	var out []*table.Task
	for _, k := range waiting {
		switch {
		case k.Failures == 0:
			out = append(out, k)
		case t.isHopeless(k):
			t.add(GiveUpAction{Task: k.ID, Reason: t.hopeless(k)})
		case !t.now.Before(k.Queued.Add(retryWait(k.Failures))):
			out = append(out, k)
		}
	}
	return out
}

// isHopeless tells whether a task that failed is not tried again. Services are always tried again.
func (t *tick) isHopeless(k *table.Task) bool {
	spec := k.Job.Spec
	if spec.Service != nil {
		return false
	}
	return !spec.Task.Idempotent || k.Failures >= t.policy.MaxAttempts
}

func (t *tick) hopeless(k *table.Task) string {
	if !k.Job.Spec.Task.Idempotent {
		return fmt.Sprintf("the task failed and is not idempotent: %s", k.Reason)
	}
	return fmt.Sprintf("%d of %d attempts failed: %s", k.Failures, t.policy.MaxAttempts, k.Reason)
}

func retryWait(failures int) time.Duration {
	wait := retryBase
	for i := 1; i < failures && wait < retryMax; i++ {
		wait *= 2
	}
	return min(wait, retryMax)
}

// latestStart returns when the job's next task must start at the latest so that the job meets its
// deadline, or zero when it has none. Many tasks that cannot all run at once need several rounds.
func (t *tick) latestStart(j *table.Job) time.Time {
	deadline := deadlineOf(&j.Spec)
	if deadline.IsZero() {
		return time.Time{}
	}
	rounds := 1
	if j.Spec.Batch != nil {
		wide := max(1, table.Fit(j.Spec.Task.Resources, t.plainLimit))
		rounds = max(1, (j.Counts.Waiting+wide-1)/wide)
	}
	return deadline.Add(-time.Duration(rounds) * t.tables.RunTime(j))
}

func (t *tick) laneOf(e *entry) lane {
	switch e.job.Spec.Class {
	case types.ClassUrgent:
		return laneUrgent
	case types.ClassNormal, types.ClassBatch:
	}
	if !e.latest.IsZero() && !t.now.Add(pressingMargin+t.tables.RunTime(e.job)).Before(e.latest) {
		return lanePressing
	}
	if e.job.Spec.Class == types.ClassNormal {
		return laneNormal
	}
	return laneBatch
}

func deadlineOf(j *types.Job) time.Time {
	switch w := j.Workload().(type) {
	case types.Batch:
		return w.Deadline
	case types.Gang:
		return w.Deadline
	default:
		return time.Time{}
	}
}

func allowedHere(j *table.Job, site types.DataCentre) bool {
	sites := j.Spec.Task.DataCentres
	return len(sites) == 0 || slices.Contains(sites, site)
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
