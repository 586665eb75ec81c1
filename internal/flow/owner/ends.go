package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// retryHold keeps a task that failed from starting again at once.
	retryHold = 100 * time.Millisecond
	// maxFaults is how many attempts may fail on a runner, with none done between them, before it is left alone.
	maxFaults = 2
	// firstRest and longestRest limit how long a runner that failed tasks gets no new ones.
	firstRest   = 1500 * time.Millisecond
	longestRest = 8 * time.Second
)

// ended takes in an end that a runner lists. It is acknowledged once it is durable. The caller holds the lock.
func (o *Owner) ended(r *tasks.Runner, e agent.Result) {
	if e.Number <= r.AppliedResult {
		return
	}
	r.AppliedResult = e.Number
	key := tasks.RunKey{Ref: e.Ref, Attempt: e.Attempt}
	run := r.Runs[key]
	if run != nil {
		r.RemoveRun(run)
	}
	o.judge(r, run, e)
	if t := o.table.Task(e.Ref); t != nil {
		o.settle(r, t, e)
	}
	o.then(func() { r.DurableResult = max(r.DurableResult, e.Number) })
}

// judge learns from an end how long tasks run and whether the runner is sound.
func (o *Owner) judge(r *tasks.Runner, run *tasks.Run, e agent.Result) {
	now := o.config.Clock.Now()
	switch e.Outcome {
	case agent.Done:
		r.Health.ConsecutiveFailures = 0
		if run != nil && run.Confirmed && run.Task != nil && run.Task.Checkpoint == "" {
			spec := run.Task.Step.Spec
			o.table.Times.ObserveRunTime(run.Task.Step.Job.Spec.Queue.Name, spec.Estimate, now.Sub(run.ConfirmedAt))
		}
	case agent.Failed:
		o.counters.failures.Inc(1)
		r.Health.ConsecutiveFailures++
		if r.Health.ConsecutiveFailures >= maxFaults {
			rest := min(firstRest<<min(r.Health.ConsecutiveFailures-maxFaults, 3), longestRest)
			r.Health.QuarantinedUntil = now.Add(rest)
			o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Int("Faults", r.Health.ConsecutiveFailures).Dur("Rest", rest).
				Msg("runner fails its tasks and gets no new ones")
		}
	default:
		// Stops and lapses say nothing about the runner.
	}
}

// settle carries out what the end of an attempt means for its task. The caller holds the lock.
func (o *Owner) settle(r *tasks.Runner, t *tasks.Task, e agent.Result) {
	if t.State == tasks.Done || t.Step.Job.Ending || e.Attempt > t.Attempt {
		return
	}
	// An end that a former lead settled already may be listed again: its task waits, or has a later attempt.
	settled := e.Attempt < t.Attempt || t.State == tasks.Waiting
	if settled && (e.Outcome != agent.Done || t.State != tasks.Waiting) {
		return
	}
	switch {
	case e.Outcome == agent.Done && !t.Step.Spec.Service:
		o.done(t)
	case e.Outcome == agent.Failed:
		o.failed(t, e)
	default:
		o.again(t, e)
	}
	if e.Outcome != agent.Done && t.Step.Spec.Gang {
		o.breakGang(t, e.Attempt)
	}
	o.finish(t.Step.Job, t)
	wake(o.planWake)
}

// done records that a task, or with it its gang, ran to its end.
func (o *Owner) done(t *tasks.Task) {
	members := []*tasks.Task{t}
	if t.Step.Spec.Gang {
		members = t.Step.Tasks
	}
	for _, m := range members {
		if m.State == tasks.Done {
			continue
		}
		c := m.Change()
		c.State, c.Saved = tasks.Done, ""
		o.record(tasks.Record{Task: c}, nil)
	}
}

// failed records an attempt that failed. The failures of a gang's members count once for each attempt.
func (o *Owner) failed(t *tasks.Task, e agent.Result) {
	c := t.Change()
	c.State = tasks.Waiting
	if !t.Step.Spec.Gang {
		c.Failures++
	} else if t.Step.Faulted() < e.Attempt {
		c.Faulted = e.Attempt
		c.Failures = t.Step.Failures() + 1
	}
	t.NotBefore = o.config.Clock.Now().Add(retryHold)
	o.config.Log.Info().Str("Task", t.Ref.String()).Int("Attempt", int(e.Attempt)).Int("Failures", c.Failures).
		Str("Runner", string(t.Runner)).Msg("attempt failed")
	o.record(tasks.Record{Task: c}, nil)
}

// again records that a task waits once more, with the state that it saved.
func (o *Owner) again(t *tasks.Task, e agent.Result) {
	c := t.Change()
	c.State = tasks.Waiting
	if e.Checkpoint != "" {
		c.Saved = e.Checkpoint
	}
	o.config.Log.Info().Str("Task", t.Ref.String()).Int("Attempt", int(e.Attempt)).Str("How", string(e.Outcome)).
		Str("Runner", string(t.Runner)).Msg("attempt ended early")
	o.record(tasks.Record{Task: c}, nil)
}

// breakGang stops the other members of an attempt, since they work only together, and hands them the state
// that the member saved.
func (o *Owner) breakGang(t *tasks.Task, attempt specs.Attempt) {
	for _, m := range t.Step.Tasks {
		if m == t {
			continue
		}
		if m.Run != nil && m.Run.Key.Attempt == attempt {
			o.stop(m.Run)
		}
	}
}

// finish ends the job when all of it is done, or a task of it may not be tried again.
func (o *Owner) finish(j *tasks.Job, t *tasks.Task) {
	switch {
	case j.Finished():
		o.end(j, tasks.JobCompleted, "all tasks are done")
	case t.State == tasks.Waiting && !t.Step.Spec.Service && o.spent(t):
		o.end(j, tasks.JobFailed, "task "+t.Ref.String()+" failed too often")
	}
}

// spent tells whether a task, or its gang, has failed as often as its queue allows.
func (o *Owner) spent(t *tasks.Task) bool {
	failures := t.Failures
	if t.Step.Spec.Gang {
		failures = t.Step.Failures()
	}
	limit := t.Step.Job.Spec.Queue.MaxAttempts
	return limit > 0 && failures >= limit
}
