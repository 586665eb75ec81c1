package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// leaveMargin is how much earlier a runner is assumed to leave than it announced: its entry in the directory was read some
	// time after it was written, and a stop has to reach the runner.
	leaveMargin = 500 * time.Millisecond
	// maxLeaveTime is the expected time until the end of a run that goes on until its job is cancelled.
	maxLeaveTime = 24 * time.Hour
)

type (
	// leavingRun holds the facts by which it is decided what happens to a run on a runner that leaves.
	leavingRun struct {
		// untilLeave is the time until the runner leaves, untilEnd the expected time until the run ends.
		untilLeave time.Duration
		untilEnd   time.Duration
		// untilCheck is the time until the run is checked again, if that is longer than tickInterval.
		untilCheck time.Duration
		// measured means that untilEnd follows from the progress of the run, not from an estimate.
		measured bool
		// saves means that a stop saves what the run has done, or that it has nothing to save.
		saves bool
	}

	// leaveDecision is what happens to a run on a runner that leaves.
	leaveDecision int
)

const (
	// keepRunning leaves the run alone for now.
	keepRunning leaveDecision = iota
	// stopToMove stops the run, so that its task goes on elsewhere from its checkpoint.
	stopToMove
	// stopToRestart stops the run, so that its task starts from its beginning elsewhere.
	stopToRestart
)

// decide returns what happens to the run. What still runs on a runner when it leaves is lost, and starts elsewhere only once
// its lease has expired. So a run that is not expected to end in time is stopped: at the last moment, or at once if a stop saves
// nothing and the progress of the run shows that it will not end in time.
func (r leavingRun) decide(stopTimeout time.Duration) leaveDecision {
	isLastMoment := r.untilLeave <= stopTimeout+leaveMargin+max(r.untilCheck, tickInterval)
	switch {
	case r.untilEnd <= r.untilLeave-leaveMargin:
		return keepRunning
	case r.saves && isLastMoment:
		return stopToMove
	case r.saves:
		return keepRunning
	case isLastMoment || r.measured:
		return stopToRestart
	default:
		return keepRunning
	}
}

// stopRunsBeforeLeave stops the runs on a draining runner that will not end before it leaves. The caller must hold o.mu.
func (o *Owner) stopRunsBeforeLeave(r *tasks.Runner, now time.Time) {
	if r.LeavesAt.IsZero() || !r.Synced || !r.UnreachableSince.IsZero() {
		return
	}
	for _, run := range r.Runs {
		if !run.Confirmed || run.InDoubt || run.Stopping || run.Task == nil || run.Task.Run != run {
			continue
		}
		leaving := o.leavingRun(run, now)
		decision := leaving.decide(o.config.Bounds.StopTimeout)
		if decision == keepRunning {
			continue
		}
		o.config.Log.Info().Str("Runner", string(r.Info.ID)).Str("Task", run.Key.Ref.String()).Int("Percent", run.Percent).
			Dur("UntilLeave", leaving.untilLeave).Dur("UntilEnd", leaving.untilEnd).Bool("Saved", decision == stopToMove).
			Msg("stopping task that would not end before its runner leaves")
		o.counters.stopsBeforeLeave.Inc(1)
		o.stopWithGang(run, tasks.EndedRunnerLeft)
	}
}

// leavingRun returns the facts by which it is decided what happens to a run on a runner that leaves. The caller must hold o.mu.
func (o *Owner) leavingRun(run *tasks.Run, now time.Time) leavingRun {
	spec := run.Task.Step.Spec
	out := leavingRun{untilLeave: run.Runner.LeavesAt.Sub(now), untilCheck: o.tickDelay, saves: spec.Checkpoint || spec.Service}
	if spec.Service {
		out.untilEnd = maxLeaveTime
		return out
	}
	total, measured := o.projectedRunTime(run, now)
	if measured {
		out.measured = run.Percent-run.First >= minProgressPercent
		out.untilEnd = remainingPart(run, total)
		return out
	}
	out.untilEnd = o.expectedRemaining(run, now)
	return out
}
