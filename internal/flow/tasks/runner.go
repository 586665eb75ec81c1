package tasks

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// ClockDrift is the part by which a runner's clock may be slow, as one in so many.
	ClockDrift = 40
	// slowSpeed is the speed below which a runner is left alone.
	slowSpeed = 0.4
)

type (
	// Runner is one boot of a runner, with what occupies it.
	Runner struct {
		Info agent.Runner
		// Used is what the runs on it occupy.
		Used types.Resources
		Runs map[RunKey]*Run
		// Orphans counts the runs of which it is not known what they occupy.
		Orphans int
		// Synced tells that the runner has answered this lead, so that all of its runs are known.
		Synced bool
		// Listed tells that the directory lists the runner.
		Listed bool
		// Health is the judgement of what the runner does with its tasks.
		Health Health

		// Fence is the fencing token of orders to the runner.
		Fence agent.Fence
		// AppliedResult is the last end that the tables hold; DurableResult the last that is stored.
		AppliedResult agent.ResultNumber
		DurableResult agent.ResultNumber
		// Clock is the runner's clock at ClockAt, on this process's clock.
		Clock   agent.Clock
		ClockAt time.Time
		// Deadline is the latest lease that any order to the runner asked for.
		Deadline agent.Clock
		// FencePending tells that the fence was raised to make unanswered orders void, and not yet answered.
		FencePending bool
		// UnreachableSince is when the calls to the runner began to fail; zero while they succeed.
		UnreachableSince time.Time
	}

	// RunKey names one attempt.
	RunKey struct {
		Ref     specs.Ref
		Attempt specs.Attempt
	}

	// Run is one attempt that occupies a runner.
	Run struct {
		Key    RunKey
		Task   *Task
		Runner *Runner
		// Resources is what the run occupies.
		Resources types.Resources
		// Orphan tells that Resources is not known, as of a job that has ended.
		Orphan bool
		// Sent tells that a start was sent; Confirmed that the runner runs it, since ConfirmedAt.
		Sent        bool
		Confirmed   bool
		ConfirmedAt time.Time
		// SentFence is the highest fence under which a start was sent.
		SentFence agent.Fence
		// InFlight tells that a start was sent and neither answered nor given up.
		InFlight bool
		// Tries counts the starts that were sent.
		Tries int
		// Ticket is the one under which the start is sent.
		Ticket agent.Ticket
		// TicketUntil is when the ticket ends; zero when there is none.
		TicketUntil time.Time
		// Stopping tells that a stop was ordered.
		Stopping bool
		StopSent time.Time
		// StartCancelled tells that the start must not be sent any more.
		StartCancelled bool
		Percent        int
		// ProgressAt is when Percent last grew.
		ProgressAt time.Time
		// First is the first progress that was seen, at FirstAt.
		First      int
		FirstAt    time.Time
		Checkpoint specs.Checkpoint
	}

	// Health is the record of a runner's latest ends.
	Health struct {
		// ConsecutiveFailures counts failed ends since the last one that was done.
		ConsecutiveFailures int
		// QuarantinedUntil keeps new tasks away up to a time.
		QuarantinedUntil time.Time
		// Speed is how fast the runner works: 1 is as expected, less is slower.
		Speed float64
		// Assessed is when the runner's tasks were last looked at.
		Assessed time.Time
	}
)

// NewRunner returns a runner on which nothing is known to run.
func NewRunner(info agent.Runner, fence agent.Fence) *Runner {
	return &Runner{Info: info, Fence: fence, Listed: true, Runs: make(map[RunKey]*Run), Health: Health{Speed: 1}}
}

// Free returns what is not occupied.
func (r *Runner) Free() types.Resources {
	return r.Info.Capacity.Sub(r.Used)
}

// Usable tells whether new tasks may be placed on the runner.
func (r *Runner) Usable(now time.Time) bool {
	return r.Synced && r.Orphans == 0 && r.Listed && !r.Info.Draining && r.UnreachableSince.IsZero() && !now.Before(r.Health.QuarantinedUntil) &&
		!r.Health.Slow()
}

// Slow tells whether the runner works so slowly that tasks are better off elsewhere.
func (h *Health) Slow() bool {
	return h.Speed < slowSpeed
}

// Has tells whether the runner has a label.
func (r *Runner) Has(label specs.Label) bool {
	for _, l := range r.Info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// PlaceTask adds a run of a task to the runner.
func (r *Runner) PlaceTask(t *Task, attempt specs.Attempt) *Run {
	key := RunKey{Ref: t.Ref, Attempt: attempt}
	resources := t.Step.Spec.Resources
	if t.Step.Spec.Fills {
		resources.Cores = 0
	}
	run := &Run{Key: key, Task: t, Runner: r, Resources: resources, Checkpoint: t.Checkpoint}
	r.Runs[key] = run
	r.Used = r.Used.Add(resources)
	t.Run = run
	return run
}

// Confirm notes that the runner has begun the run.
func (r *Run) Confirm(at time.Time) {
	r.Confirmed, r.ConfirmedAt, r.ProgressAt = true, at, at
	if r.Task != nil {
		r.Task.Step.Job.Ran = true
	}
}

// RemoveRun frees what a run occupied.
func (r *Runner) RemoveRun(run *Run) {
	if r.Runs[run.Key] != run {
		return
	}
	delete(r.Runs, run.Key)
	r.Used = r.Used.Sub(run.Resources)
	if run.Orphan {
		r.Orphans--
	}
	if run.Task != nil && run.Task.Run == run {
		run.Task.Run = nil
	}
}

// Now estimates the runner's clock from below, given that it may be slow by one part in ClockDrift.
func (r *Runner) Now(at time.Time) agent.Clock {
	elapsed := at.Sub(r.ClockAt)
	return r.Clock + agent.Clock(elapsed-elapsed/ClockDrift)
}

// LeaseExpired tells whether every lease that was ever asked for has surely ended.
func (r *Runner) LeaseExpired(at time.Time) bool {
	return r.Now(at) > r.Deadline
}

// AddRun adds a run that belongs to no task in the tables.
func (r *Runner) AddRun(run *Run) {
	r.Runs[run.Key] = run
	r.Used = r.Used.Add(run.Resources)
	if run.Orphan {
		r.Orphans++
	}
}

// ObserveClock notes the runner's clock.
func (r *Runner) ObserveClock(clock agent.Clock, at time.Time) {
	if clock >= r.Now(at) {
		r.Clock, r.ClockAt = clock, at
	}
}

// ExtendLease returns the deadline of a lease that begins now, and remembers that it was asked for.
func (r *Runner) ExtendLease(at time.Time, length time.Duration) agent.Clock {
	deadline := r.Now(at) + agent.Clock(length)
	r.Deadline = max(r.Deadline, deadline)
	return deadline
}
