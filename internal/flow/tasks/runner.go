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
	// clockTolerance is how far below its bound a runner's clock may be without counting as gone back. Runners state
	// whole milliseconds.
	clockTolerance = agent.Clock(10 * time.Millisecond)
	// slowSpeed is the speed below which a runner counts as slow.
	slowSpeed = 0.4
)

type (
	// Runner is one incarnation of a runner, with the runs that occupy it.
	Runner struct {
		Info agent.Runner
		// Used is the sum of the resources of Runs.
		Used types.Resources
		Runs map[RunKey]*Run
		// Orphans counts the runs whose resources are not known.
		Orphans int
		// Synced is set once the runner has answered this leader, so that all of its runs are known.
		Synced bool
		// Listed is set while the directory lists the runner.
		Listed bool
		// EntryPending is set while the directory's entry of this boot has not been read: a lease renewal has found the boot, and all else
		// in Info is of the former one.
		EntryPending bool
		// LeavesAt is when a draining runner leaves at the earliest; zero when it is not draining or does not say.
		LeavesAt time.Time
		// Health rates how the runner executes its tasks.
		Health Health

		// Fence is the fencing token of the requests to the runner.
		Fence agent.Fence
		// AppliedResult is the last result that the tables contain; DurableResult the last one that is durable.
		AppliedResult agent.ResultNumber
		DurableResult agent.ResultNumber
		// Clock is the runner's clock at ClockAt, on this process's clock.
		Clock   agent.Clock
		ClockAt time.Time
		// Deadline is the latest lease deadline that any request to the runner asked for, on the runner's clock.
		Deadline agent.Clock
		// StartsSettled is set when a former leader has handed over that none of its starts on this boot can be under way.
		StartsSettled bool
		// FencePending is set while a fence that was raised to invalidate unanswered starts is not acknowledged yet.
		FencePending bool
		// UnreachableSince is when the lease renewals of the runner began to fail; zero while they succeed.
		UnreachableSince time.Time
		// Silent is set when the first renewal that failed got no answer, in contrast to one whose connection broke.
		Silent bool
		// Replaced is set once another runner, or another boot, was found to answer at the runner's address.
		Replaced bool
		// LastStartAt is when a start on the runner was last decided, or found; zero when there was none.
		LastStartAt time.Time
		// quietFor is the run for which other starts are kept off the runner; see KeepQuiet.
		quietFor *Run

		// position is the index of the runner in Table.OrderedRunners.
		position int
	}

	// Health rates a runner by the latest results and the progress of its tasks.
	Health struct {
		// ConsecutiveFailures counts the failed attempts since the last one that was done.
		ConsecutiveFailures int
		// QuarantinedUntil is when the quarantine ends, in which the runner gets no new tasks.
		QuarantinedUntil time.Time
		// Speed is how fast the runner works: 1 is as fast as expected, less is slower.
		Speed float64
		// Pace is the moving average of the expected run time of the runner's tasks divided by the actual one. It changes
		// slowly, so that a few long tasks count little.
		Pace float64
		// AssessedAt is when the progress of the runner's tasks was last checked.
		AssessedAt time.Time
	}
)

// NewRunner returns a listed runner without known runs.
func NewRunner(info agent.Runner, fence agent.Fence) *Runner {
	return &Runner{Info: info, Fence: fence, Listed: true, Runs: make(map[RunKey]*Run), Health: Health{Speed: 1, Pace: 1}}
}

// Position returns the index of the runner in the latest result of Table.OrderedRunners.
func (r *Runner) Position() int {
	return r.position
}

// Free returns the capacity that no run occupies.
func (r *Runner) Free() types.Resources {
	return r.Info.Capacity.Sub(r.Used)
}

// IsOvercommitted reports whether the runs take more than the runner has, as after its capacity has shrunk.
func (r *Runner) IsOvercommitted() bool {
	return !r.Used.Fits(r.Info.Capacity)
}

// Usable reports whether new tasks should be placed on the runner.
func (r *Runner) Usable(now time.Time) bool {
	return r.Available(now) && !r.Health.Slow()
}

// Available reports whether new tasks can be placed on the runner. One that is slow gets only tasks that no other could run.
func (r *Runner) Available(now time.Time) bool {
	return r.InService() && !r.Quarantined(now)
}

// InService reports whether the runner is known, listed, reachable and stays, so that it can run tasks.
func (r *Runner) InService() bool {
	return r.Synced && r.Orphans == 0 && r.Listed && !r.EntryPending && !r.Info.Draining && r.UnreachableSince.IsZero()
}

// Quarantined reports whether the runner gets no new tasks for a while, since attempts kept failing or standing still there.
func (r *Runner) Quarantined(now time.Time) bool {
	return now.Before(r.Health.QuarantinedUntil)
}

// Slow reports whether the runner is so slow that tasks should be placed elsewhere if any other runner could run them.
func (h *Health) Slow() bool {
	return h.Speed < slowSpeed
}

// Has reports whether the runner has a label.
func (r *Runner) Has(label specs.Label) bool {
	for _, l := range r.Info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Serves reports whether the runner belongs to the service to which the step's queue is sent, and has the label that the step requires.
func (r *Runner) Serves(s *Step) bool {
	return r.Info.Service == s.Job.Spec.Queue.Service && (s.Spec.Label == "" || r.Has(s.Spec.Label))
}

// PlaceTask adds a run of a task to the runner and makes it the task's current run. The cores of a step with Fills
// occupy none of the runner's; they do count for the organisation.
func (r *Runner) PlaceTask(t *Task, attempt specs.Attempt) *Run {
	key := RunKey{Ref: t.Ref, Attempt: attempt}
	resources := t.Step.Spec.Resources
	if t.Step.Spec.Fills {
		resources.Cores = 0
	}
	run := &Run{
		Key: key, Task: t, Runner: r, Resources: resources, StartCheckpoint: t.Checkpoint, Checkpoint: t.Checkpoint,
		Organisation: t.Step.Job.Organisation, Counted: t.Step.Spec.Resources,
	}
	r.AddRun(run)
	t.Run = run
	return run
}

// RemoveRun removes a run from the runner and its task, and frees its resources. It does nothing when the run is not
// on the runner.
func (r *Runner) RemoveRun(run *Run) {
	if r.Runs[run.Key] != run {
		return
	}
	delete(r.Runs, run.Key)
	r.Used = r.Used.Sub(run.Resources)
	run.Organisation.subtract(run.Counted)
	if run.Orphan {
		r.Orphans--
	}
	if run.Task != nil && run.Task.Run == run {
		run.Task.Run = nil
	}
}

// Now returns a lower bound of the runner's clock, given that it may be slow by one part in ClockDrift.
func (r *Runner) Now(at time.Time) agent.Clock {
	elapsed := at.Sub(r.ClockAt)
	return r.Clock + agent.Clock(elapsed-elapsed/ClockDrift)
}

// LeaseExpired reports whether every lease that was ever asked for has certainly expired.
func (r *Runner) LeaseExpired(at time.Time) bool {
	return r.Now(at) > r.Deadline
}

// AddRun adds a run, which need not belong to a task in the tables.
func (r *Runner) AddRun(run *Run) {
	r.Runs[run.Key] = run
	r.Used = r.Used.Add(run.Resources)
	run.Organisation.add(run.Counted)
	if run.Orphan {
		r.Orphans++
	}
}

// ObserveClock records the runner's clock as an answer states it that was received now, to a request that was sent at sentAt.
// A value below the known lower bound for now was on its way for long, and is ignored. One below the bound for sentAt shows
// that the clock went back, as after a suspension of the runner's VM: leases last longer there than was assumed, and their
// deadlines must be counted from the clock as it is. ObserveClock reports whether the clock went back.
func (r *Runner) ObserveClock(clock agent.Clock, sentAt, now time.Time) bool {
	wentBack := clock+clockTolerance < r.Now(sentAt)
	if wentBack || clock >= r.Now(now) {
		r.Clock, r.ClockAt = clock, now
	}
	return wentBack
}

// TimeOf returns when the runner's clock showed the given value, on this process's clock, but not after now.
func (r *Runner) TimeOf(clock agent.Clock, now time.Time) time.Time {
	at := r.ClockAt.Add(time.Duration(clock - r.Clock))
	if at.After(now) {
		return now
	}
	return at
}

// ExtendLease returns the deadline of a lease that begins now, on the runner's clock, and raises Deadline to it.
func (r *Runner) ExtendLease(at time.Time, length time.Duration) agent.Clock {
	deadline := r.Now(at) + agent.Clock(length)
	r.Deadline = max(r.Deadline, deadline)
	return deadline
}
