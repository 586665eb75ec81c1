package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Bounds of the exponential backoff between the attempts of a failed task.
const (
	minRetryBackoff = time.Second
	maxRetryBackoff = time.Minute
)

// admit puts each waiting job into its lane and gives up tasks that failed too often.
func admit(t *tick) {
	for _, j := range t.tables.Waiting() {
		if j.Cancelled || t.isReplaced(j) {
			continue
		}
		tasks := t.startable(j)
		if len(tasks) == 0 {
			continue
		}
		t.entries = append(t.entries, entry{job: j, tasks: tasks, remaining: len(tasks), idleSince: latestOf(j.Accepted, j.LastStart)})
		t.enqueue(&t.entries[len(t.entries)-1])
	}
	t.lanes.sort()
}

// enqueue puts an entry into its lane, unless it cannot start in this tick in any case: free capacity, quotas
// and headroom only shrink within a tick.
func (t *tick) enqueue(e *entry) {
	e.latestStart = t.latestStart(e.job)
	e.lane = t.laneOf(e)
	t.lanes.all = append(t.lanes.all, e)
	t.updateSmallest(e)
	if !allowedHere(e.job, t.tables.DataCentre) {
		e.waitReason = reasonOtherDataCentres
		return
	}
	if e.waitReason = t.noFitReason(e.job.Spec.Task.Resources); e.waitReason == "" {
		e.waitReason = t.blockReason(e)
	}
	if e.waitReason == "" || t.mayHoldHeadroom(e) {
		t.lanes.add(e, t.now)
		return
	}
	t.recordUnplaced(e)
}

// updateSmallest lowers t.smallest to the entry's need in each resource. It ignores urgent work.
func (t *tick) updateSmallest(e *entry) {
	if e.lane == laneUrgent {
		return
	}
	need := e.job.Spec.Task.Resources
	if t.smallest.Cores == 0 {
		t.smallest = need
		return
	}
	t.smallest = types.Resources{
		Cores:        min(t.smallest.Cores, need.Cores),
		Memory:       min(t.smallest.Memory, need.Memory),
		Accelerators: min(t.smallest.Accelerators, need.Accelerators),
	}
}

// noFitReason returns why tasks of a size cannot start anywhere in this tick, or an empty string if they may.
// The answer is cached for each size.
func (t *tick) noFitReason(need types.Resources) string {
	reason, known := t.noFitReasons[need]
	if known {
		return reason
	}
	switch {
	case !t.capacity.fitsAnyEmpty(need):
		reason = reasonTooLarge
	case !t.capacity.fitsAnyFree(need):
		reason = reasonNoCapacity
	}
	t.noFitReasons[need] = reason
	return reason
}

// isReplaced reports whether a newer revision of the job's service has replaced its waiting tasks: the running
// tasks of both revisions reach the floor of the newer one, which has not failed.
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

// startable returns the waiting tasks that may start now. Those that failed too often are given up, and those
// whose backoff has not passed are left out.
func (t *tick) startable(j *table.Job) []*table.Task {
	waiting := j.Waiting()
	if j.Retries() == 0 {
		return waiting
	}
	var out []*table.Task
	for _, k := range waiting {
		switch {
		case k.Failures == 0:
			out = append(out, k)
		case t.isFinalFailure(k):
			t.add(GiveUpAction{Task: k.ID, Reason: t.finalFailureReason(k)})
		case !t.now.Before(k.Queued.Add(retryBackoff(k.Failures))):
			out = append(out, k)
		}
	}
	return out
}

// isFinalFailure reports whether a failed task is not retried. Tasks of services are always retried.
func (t *tick) isFinalFailure(k *table.Task) bool {
	spec := k.Job.Spec
	if spec.Service != nil {
		return false
	}
	return !spec.Task.Idempotent || k.Failures >= t.policy.MaxAttempts
}

func (t *tick) finalFailureReason(k *table.Task) string {
	if !k.Job.Spec.Task.Idempotent {
		return fmt.Sprintf("the task failed and is not idempotent: %s", k.Reason)
	}
	return fmt.Sprintf("%d of %d attempts failed: %s", k.Failures, t.policy.MaxAttempts, k.Reason)
}

func retryBackoff(failures int) time.Duration {
	backoff := minRetryBackoff
	for i := 1; i < failures && backoff < maxRetryBackoff; i++ {
		backoff *= 2
	}
	return min(backoff, maxRetryBackoff)
}

// latestStart returns the latest time at which the job's next task can start for the job to meet its deadline,
// or the zero time if it has none. A batch whose tasks cannot all run at once needs several rounds of the
// expected run time.
func (t *tick) latestStart(j *table.Job) time.Time {
	if j.Deadline.IsZero() {
		return time.Time{}
	}
	rounds := 1
	if j.Spec.Batch != nil && j.Counts.Waiting > 1 {
		parallel := max(1, table.Fit(j.Spec.Task.Resources, t.nonUrgentLimit))
		rounds = max(1, (j.Counts.Waiting+parallel-1)/parallel)
	}
	return j.Deadline.Add(-time.Duration(rounds) * t.runTime(j))
}

// laneOf returns the entry's lane: by class, and by how soon the job has to start to meet its deadline.
func (t *tick) laneOf(e *entry) lane {
	switch e.job.Spec.Class {
	case types.ClassUrgent:
		return laneUrgent
	case types.ClassNormal, types.ClassBatch:
	}
	if !e.latestStart.IsZero() && !t.now.Add(pressingMargin+t.runTime(e.job)).Before(e.latestStart) {
		return lanePressing
	}
	if e.job.Spec.Class == types.ClassNormal {
		return laneNormal
	}
	return laneBatch
}

func allowedHere(j *table.Job, site types.DataCentre) bool {
	return allowedIn(&j.Spec, site)
}

// allowedIn reports whether the job may run in a data centre. An empty DataCentres allows all.
func allowedIn(j *types.Job, site types.DataCentre) bool {
	sites := j.Task.DataCentres
	return len(sites) == 0 || slices.Contains(sites, site)
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
