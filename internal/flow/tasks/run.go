package tasks

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// MaxRequestDelay is how long after it was sent a request may be carried out by a runner's next boot. It exceeds the time-outs of all
// requests to runners, with those of a relay.
const MaxRequestDelay = 4 * time.Second

type (
	// RunKey identifies one attempt of a task.
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
		// Organisation is the one that the run counts for, or nil; Counted is what it adds to Organisation.Running.
		Organisation *Organisation
		Counted      types.Resources
		// Orphan is set when Resources is not known, for example because the job has ended.
		Orphan bool
		// Sent is set once a start was sent, first at SentAt; that is zero when a former leader sent it. Confirmed is set once
		// the runner is known to run it, at ConfirmedAt.
		Sent        bool
		SentAt      time.Time
		Confirmed   bool
		ConfirmedAt time.Time
		// InDoubt is set while the runner has restarted since a start was sent, and no report of the present boot shows whether the
		// run is there. LossIfAbsent is what the loss of the former boot tells of the run, if it is not. Once DoubtEnds has passed, no
		// boot of the runner has it.
		InDoubt      bool
		LossIfAbsent Loss
		DoubtEnds    time.Time
		// LastSentAt is when a start was last sent. If a former leader sent it, it is when that one sends none any more, which may lie ahead.
		LastSentAt time.Time
		// SentFence is the highest fence under which a start was sent.
		SentFence agent.Fence
		// InFlight is set while a start was sent and has neither been answered nor timed out.
		InFlight bool
		// Tries counts the starts that were sent.
		Tries int
		// Ticket is the one under which the start is sent.
		Ticket agent.Ticket
		// TicketUntil is when the ticket expires; zero when there is none.
		TicketUntil time.Time
		// Stopping is set once a stop was sent, the last time at StopSent.
		Stopping bool
		StopSent time.Time
		// StopCause is why the run was stopped; empty when the reason is its job's or its task's state.
		StopCause EndCause
		// StartCancelled is set when the start must not be sent any more.
		StartCancelled bool
		Percent        int
		// ProgressAt is when Percent last changed.
		ProgressAt time.Time
		// Speed is how fast the run works, from its progress at the latest check; zero before there was any.
		Speed float64
		// First is the first reported progress in percent, at FirstAt.
		First   int
		FirstAt time.Time
		// StartCheckpoint is the state with which the run is started, also when its start is sent again; Checkpoint is the
		// latest that it has reported, or StartCheckpoint before.
		StartCheckpoint specs.Checkpoint
		Checkpoint      specs.Checkpoint
		// SavedAt is when the run first reported Checkpoint; zero while that is StartCheckpoint.
		SavedAt time.Time
	}
)

// Confirm records that the runner has begun the run.
func (r *Run) Confirm(at time.Time) {
	r.Confirmed, r.ConfirmedAt, r.ProgressAt = true, at, at
	if r.Task != nil {
		r.Task.Step.Job.Ran = true
	}
}

// Age returns how long the run may have been running when its runner was last known to be reachable, or until the given
// time if it still is. If a former leader sent its start, that is the time since this one learned that it runs.
func (r *Run) Age(at time.Time) time.Duration {
	if lost := r.Runner.UnreachableSince; !lost.IsZero() {
		at = lost
	}
	switch {
	case !r.SentAt.IsZero():
		return max(0, at.Sub(r.SentAt))
	case r.Confirmed:
		return max(0, at.Sub(r.ConfirmedAt))
	default:
		return 0
	}
}

// MayReachNextBoot reports whether a start of the run may be carried out by the runner's next boot, since it names the runner and not its
// boot. It may not if a report lists the run on this boot and no other start of it can be under way: only one was sent, or the last one
// MaxRequestDelay ago.
func (r *Run) MayReachNextBoot(now time.Time) bool {
	isUnlisted := r.FirstAt.IsZero()
	mayBeRepeated := r.Tries != 1 && now.Before(r.LastSentAt.Add(MaxRequestDelay))
	return r.Sent && (isUnlisted || mayBeRepeated)
}

// MoveToNextBoot moves a run to the runner's next boot, where it is in doubt until the given time at the latest, also if further boots
// follow: its start is not repeated. The loss is what that of the former boot tells of it.
func (r *Runner) MoveToNextBoot(run *Run, next *Runner, loss Loss, until time.Time) {
	isCurrent := run.Task != nil && run.Task.Run == run
	r.RemoveRun(run)
	if !run.InDoubt {
		run.InDoubt, run.LossIfAbsent, run.DoubtEnds = true, loss, until
	}
	run.Runner = next
	run.First, run.FirstAt = 0, time.Time{}
	next.AddRun(run)
	if r.quietFor == run {
		next.KeepQuiet(run)
	}
	if isCurrent {
		run.Task.Run = run
	}
}

// SettleOnBoot records that the runner's present boot has a run that was in doubt. It began there anew.
func (r *Run) SettleOnBoot(at time.Time) {
	r.InDoubt, r.LossIfAbsent, r.SentAt = false, Loss{}, at
	r.Percent, r.Speed = 0, 0
	r.Confirm(at)
	r.Runner.LastStartAt = at
}
