package owner

import (
	"cmp"
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// retryBackoff is how long a task waits after a failed attempt or a rejected start, so that it does not start again
	// at once.
	retryBackoff = 100 * time.Millisecond
	// maxConsecutiveFailures is how many attempts may fail on a runner, with none done between them, before it is
	// quarantined.
	maxConsecutiveFailures = 2
	// minQuarantine and maxQuarantine bound how long a runner that failed tasks gets no new ones. The time doubles with
	// each further failure.
	minQuarantine = 1500 * time.Millisecond
	maxQuarantine = 8 * time.Second
)

// applyResult applies a result that a runner lists. It is acknowledged once it is durable. The caller must hold o.mu.
func (o *Owner) applyResult(r *tasks.Runner, result agent.Result) {
	if result.Number <= r.AppliedResult {
		return
	}
	r.AppliedResult = result.Number
	key := tasks.RunKey{Ref: result.Ref, Attempt: result.Attempt}
	run := r.Runs[key]
	var end earlyEnd
	if run != nil {
		run.ObserveCheckpoint(result.Checkpoint, o.config.Clock.Now())
		if result.Outcome != agent.Done {
			end = o.countEarlyEnd(run, result.Outcome)
		}
		r.RemoveRun(run)
	}
	o.updateHealth(r, run, result)
	if t := o.table.Task(result.Ref); t != nil {
		if run == nil && t.Step.Spec.Gang && result.Attempt > t.Step.Saved.Attempt {
			// Without a run it is not known whether the attempt made the state or was started with it, so it does not
			// replace another state of the same attempt.
			t.Step.Saved.Observe(result.Checkpoint, result.Attempt, o.config.Clock.Now())
		}
		o.applyOutcome(r, t, result, end)
	}
	o.onDurable(func() { r.DurableResult = max(r.DurableResult, result.Number) })
}

// updateHealth updates the expected run times and the health of the runner from a result. The caller must hold o.mu.
func (o *Owner) updateHealth(r *tasks.Runner, run *tasks.Run, result agent.Result) {
	now := o.config.Clock.Now()
	switch result.Outcome {
	case agent.Done:
		r.Health.ConsecutiveFailures = 0
		if run != nil {
			o.observeRunTime(run, now)
		}
	case agent.Failed:
		o.counters.runsFailed.Inc(1)
		r.Health.ConsecutiveFailures++
		if r.Health.ConsecutiveFailures >= maxConsecutiveFailures {
			quarantine := min(minQuarantine<<min(r.Health.ConsecutiveFailures-maxConsecutiveFailures, 3), maxQuarantine)
			r.Health.QuarantinedUntil = now.Add(quarantine)
			o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Int("Faults", r.Health.ConsecutiveFailures).Dur("Rest", quarantine).
				Msg("attempts keep failing on the runner; quarantining it")
		}
	default:
		// Stopped attempts and expired leases say nothing about the runner.
	}
}

// applyOutcome applies the result of an attempt to its task, the other members of its gang and its job. The caller
// must hold o.mu.
func (o *Owner) applyOutcome(r *tasks.Runner, t *tasks.Task, result agent.Result, end earlyEnd) {
	if t.State == tasks.Done || t.Step.Job.Ending || result.Attempt > t.Attempt {
		return
	}
	// A result that a former leader has applied may be listed again: its task waits, or has a later attempt.
	applied := result.Attempt < t.Attempt || t.State == tasks.Waiting
	if applied && (result.Outcome != agent.Done || t.State != tasks.Waiting) {
		return
	}
	switch {
	case result.Outcome == agent.Done && !t.Step.Spec.Service:
		o.recordDone(t)
	case result.Outcome == agent.Failed:
		o.recordFailure(t, result, end)
	default:
		o.requeue(t, result, end)
	}
	if result.Outcome != agent.Done && t.Step.Spec.Gang {
		t.Step.Break(result.Attempt, o.config.Clock.Now())
		o.stopOtherMembers(t, result.Attempt)
	}
	o.endJobIfFinished(t.Step.Job, t, end.loss)
	every.Wake(o.planWake)
}

// recordDone records that a task, or with it its whole gang, is done. The caller must hold o.mu.
func (o *Owner) recordDone(t *tasks.Task) {
	members := []*tasks.Task{t}
	if t.Step.Spec.Gang {
		members = t.Step.Tasks
	}
	for _, m := range members {
		if m.State == tasks.Done {
			continue
		}
		c := m.Change()
		c.State, c.Saved, c.Losses = tasks.Done, "", tasks.LossRecord{}
		o.record(tasks.Record{Task: c}, nil)
	}
}

// recordFailure records an attempt that failed. The failures of a gang's members count once for each attempt, and the
// task starts again after retryBackoff at the earliest. The caller must hold o.mu.
func (o *Owner) recordFailure(t *tasks.Task, result agent.Result, end earlyEnd) {
	c := t.WaitingChange()
	if !t.Step.Spec.Gang {
		c.Failures++
	} else if t.Step.Faulted() < result.Attempt {
		c.Faulted = result.Attempt
		c.Failures = t.Step.Failures() + 1
	}
	t.EndedAt = o.config.Clock.Now()
	t.NotBefore = t.EndedAt.Add(retryBackoff)
	o.config.Log.Info().Str("Task", t.Ref.String()).Int("Attempt", int(result.Attempt)).Int("Failures", c.Failures).
		Str("Runner", string(t.Runner)).Float64("LostCoreSeconds", end.lost).Msg("attempt failed; requeueing its task")
	o.record(tasks.Record{Task: c}, nil)
}

// requeue records that a task waits again, with the checkpoint of the attempt if it has one. The caller must hold o.mu.
func (o *Owner) requeue(t *tasks.Task, result agent.Result, end earlyEnd) {
	c := t.WaitingChange()
	t.EndedAt = o.config.Clock.Now()
	switch {
	case end.loss.Counts:
		c.Losses.Add(end.loss, result.Attempt)
		t.NotBefore = t.EndedAt
		if t.Step.Spec.Service {
			t.NotBefore = t.NotBefore.Add(c.Losses.ServicePause())
		}
	case t.Step.Spec.Service && end.age >= lastingProofAge:
		c.Losses = tasks.LossRecord{}
	case end.age > tasks.QuietTime:
		// The attempt went on for long enough to show that the task does not crash its runner at its start.
		c.Losses.Suspect = false
	}
	if !t.Step.Spec.Gang && result.Checkpoint != "" {
		c.Saved = result.Checkpoint
	}
	if end.cause == tasks.EndedSlow && attemptCounter(t) == t {
		t.Moves++
	}
	o.config.Log.Info().Str("Task", t.Ref.String()).Int("Attempt", int(result.Attempt)).Str("How", string(result.Outcome)).
		Str("Cause", string(end.cause)).Dur("Age", end.age).Float64("LostCoreSeconds", end.lost).
		Int("Losses", int(c.Losses.Losses)).Int("Crashes", int(c.Losses.Crashes)).Str("Runner", string(t.Runner)).Msg("attempt ended early; requeueing its task")
	o.record(tasks.Record{Task: c}, nil)
}

// stopOtherMembers stops the other members of a gang's attempt, since they only work together. The caller must hold
// o.mu.
func (o *Owner) stopOtherMembers(t *tasks.Task, attempt specs.Attempt) {
	for _, m := range t.Step.Tasks {
		if m == t {
			continue
		}
		if m.Run != nil && m.Run.Key.Attempt == attempt {
			m.Run.StopCause = cmp.Or(m.Run.StopCause, tasks.EndedGangBroken)
			o.stopRun(m.Run)
		}
	}
}

// endJobIfFinished ends the job when all of its tasks are done, or when the task has no attempts left or has crashed too many
// runners, the last one in the given loss. A service ends only when it is cancelled. The caller must hold o.mu.
func (o *Owner) endJobIfFinished(j *tasks.Job, t *tasks.Task, loss tasks.Loss) {
	switch {
	case j.Finished():
		o.endJob(j, tasks.JobCompleted, "all tasks are done")
	case t.State == tasks.Waiting && !t.Step.Spec.Service && t.OutOfAttempts():
		o.endJob(j, tasks.JobFailed, "task "+t.Ref.String()+" has no attempts left")
	case loss.Counts && t.State == tasks.Waiting && !t.Step.Spec.Service && t.Losses.IsGivenUp(loss):
		o.counters.jobsCrashing.Inc(1)
		o.endJob(j, tasks.JobFailed, fmt.Sprintf("task %s was lost with %d runners, of which %d have crashed", t.Ref, t.Losses.Losses, t.Losses.Crashes))
	}
}
