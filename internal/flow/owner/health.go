package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// stallTimeout is how long a task may make no progress before it is stopped to start elsewhere; stallLimit extends it.
	stallTimeout = 1500 * time.Millisecond
	// suspectStalls is after how many stopped attempts the task, and not the runner, counts as the cause of a further one. From
	// then on its time without progress doubles with each, up to maxStallDoublings times.
	suspectStalls     = 2
	maxStallDoublings = 5
	// stallQuarantine is how long a runner whose tasks make no progress gets no new ones.
	stallQuarantine = 3 * time.Second
	// progressCheckInterval is the minimum time between two checks of how fast a runner works.
	progressCheckInterval = 300 * time.Millisecond
	// minProgressPercent and minProgressSpan are the least progress, in percent, and the least time from which a speed
	// is computed.
	minProgressPercent = 4
	minProgressSpan    = 200 * time.Millisecond
	// speedWeight is the weight of a new sample in a runner's speed.
	speedWeight = 0.3
	// idleSpeedWeight is the weight with which the speed of an idle runner returns to 1 at each check, so that the
	// runner is trusted again.
	idleSpeedWeight = 0.1
	// maxSpeedRatio limits the speed that one sample can give a runner.
	maxSpeedRatio = 2.0
	// minMoveRatio is how many times longer a task must still take on its runner than elsewhere to be moved.
	minMoveRatio = 2
	// moveOverhead is the time that a move costs besides the work.
	moveOverhead = 800 * time.Millisecond
	// completePercent is the progress of a task that is done, in percent.
	completePercent = 100
)

// checkProgress updates the speed of a runner from the progress of its tasks, stops the tasks that make none, and
// moves tasks off a slow runner. The caller must hold o.mu.
func (o *Owner) checkProgress(r *tasks.Runner, now time.Time) {
	if now.Sub(r.Health.AssessedAt) < progressCheckInterval {
		return
	}
	r.Health.AssessedAt = now
	for _, run := range r.Runs {
		if canMeasureProgress(run) && now.Sub(run.ProgressAt) >= o.stallLimit(run, now) && run.Percent < completePercent {
			o.stopStalledRun(run, now)
		}
	}
	wasSlow := r.Health.Slow()
	speed, ok := o.measureSpeed(r, now)
	if !ok {
		r.Health.Speed += (1 - r.Health.Speed) * idleSpeedWeight
	} else {
		r.Health.Speed += (speed - r.Health.Speed) * speedWeight
	}
	o.logSlowness(r, wasSlow)
	if ok && r.Health.Slow() {
		o.moveOffSlowRunner(r, speed, now)
	}
}

// logSlowness logs that a runner has begun or ceased to count as slow. The caller must hold o.mu.
func (o *Owner) logSlowness(r *tasks.Runner, wasSlow bool) {
	isSlow := r.Health.Slow()
	if isSlow == wasSlow {
		return
	}
	line := o.config.Log.Info().Str("Runner", string(r.Info.ID)).Float64("Speed", r.Health.Speed).Int("Runs", len(r.Runs))
	if isSlow {
		line.Msg("runner counts as slow; it gets only tasks that no other could run")
		return
	}
	line.Msg("runner no longer counts as slow")
}

// canMeasureProgress reports whether the progress of a run says something about its runner. Services have no
// progress, and the members of a gang make none before all have begun, since they wait for each other.
func canMeasureProgress(run *tasks.Run) bool {
	if !run.Confirmed || run.InDoubt || run.Stopping || run.Task == nil || run.Task.Run != run || run.Task.Step.Spec.Service {
		return false
	}
	if !run.Task.Step.Spec.Gang || run.Percent > 0 {
		return true
	}
	for _, m := range run.Task.Step.Tasks {
		if m.Run == nil || !m.Run.Confirmed || m.Run.InDoubt {
			return false
		}
	}
	return true
}

// stopStalledRun stops a run that makes no progress, or its whole gang, so that it starts elsewhere, and quarantines the
// runner that is the cause. The caller must hold o.mu.
func (o *Owner) stopStalledRun(run *tasks.Run, now time.Time) {
	r := run.Runner
	if now.After(r.Health.QuarantinedUntil) {
		o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Str("Task", run.Key.Ref.String()).Int("Percent", run.Percent).
			Dur("Still", now.Sub(run.ProgressAt)).Msg("task makes no progress; stopping it and quarantining its runner")
	}
	for _, stalled := range stalledRunners(run, now) {
		stalled.Health.QuarantinedUntil = now.Add(stallQuarantine)
	}
	attemptCounter(run.Task).Stalls++
	o.stopWithGang(run, tasks.EndedStalled)
}

// attemptCounter returns the task that counts the stalled and the moved attempts of a task, or of its gang.
func attemptCounter(t *tasks.Task) *tasks.Task {
	if t.Step.Spec.Gang {
		return t.Step.Tasks[0]
	}
	return t
}

// projectedRunTime returns how long the whole task takes at the speed of its progress so far; false means that it is
// too early to tell. The caller must hold o.mu.
func (o *Owner) projectedRunTime(run *tasks.Run, now time.Time) (time.Duration, bool) {
	gained, span := run.Percent-run.First, run.ProgressAt.Sub(run.FirstAt)
	if gained < minProgressPercent {
		// Without enough progress, the time that has passed gives a lower bound.
		span = now.Sub(run.FirstAt)
		return span * completePercent / minProgressPercent, span*completePercent/minProgressPercent > 2*o.expectedRunTime(run)
	}
	return span * completePercent / time.Duration(gained), span >= minProgressSpan
}

// moveOffSlowRunner stops the tasks on a slow runner, now working at the given speed, that would be done much sooner
// elsewhere; a member of a gang only with its whole gang. Tasks of a step with MayMiss stay, and those that no other runner could
// run. The caller must hold o.mu.
func (o *Owner) moveOffSlowRunner(r *tasks.Runner, speed float64, now time.Time) {
	for _, run := range r.Runs {
		if !canMeasureProgress(run) || run.Task.Step.Spec.MayMiss > 0 {
			continue
		}
		total, ok := o.projectedRunTime(run, now)
		if !ok {
			continue
		}
		remaining, elsewhere := o.remainingHere(run, total, now), o.remainingElsewhere(run, total, speed, now)
		if remaining > minMoveRatio*elsewhere && o.hasOtherRunner(run, now) {
			o.config.Log.Info().Str("Runner", string(r.Info.ID)).Str("Task", run.Key.Ref.String()).Int("Percent", run.Percent).
				Dur("Left", remaining).Dur("Elsewhere", elsewhere).Float64("Speed", r.Health.Speed).Msg("moving task off a slow runner")
			o.stopWithGang(run, tasks.EndedSlow)
		}
	}
}
