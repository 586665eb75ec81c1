package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// stallTime is how long a task may make no progress before it is started elsewhere.
	stallTime = 1500 * time.Millisecond
	// stallRest is how long a runner whose tasks stand still gets no new ones.
	stallRest = 3 * time.Second
	// assessPeriod is the least time between two looks at how fast a runner works.
	assessPeriod = 300 * time.Millisecond
	// leastGain and leastSpan are the progress, in percent, and the time from which a speed is told.
	leastGain = 4
	leastSpan = 200 * time.Millisecond
	// speedWeight is the weight of a new reading in a runner's speed.
	speedWeight = 0.3
	// idleWeight is how fast an empty runner is trusted again, each time that it is looked at.
	idleWeight = 0.1
	// highestRatio limits what one reading can say for a runner.
	highestRatio = 2.0
	// moveGain is how many times longer a task must have left where it is than elsewhere to be moved.
	moveGain = 2
	// moveCost is the time that a move takes besides the work.
	moveCost = 800 * time.Millisecond
	// whole is the progress of a task that is done, in percent.
	whole = 100
)

// assess learns from the progress of a runner's tasks whether it works, and how fast. The caller holds the lock.
func (o *Owner) assess(r *tasks.Runner, now time.Time) {
	if now.Sub(r.Health.Assessed) < assessPeriod {
		return
	}
	r.Health.Assessed = now
	sum, count := 0.0, 0
	for _, run := range r.Runs {
		if !watched(run) {
			continue
		}
		if now.Sub(run.ProgressAt) >= stallTime && run.Percent < whole {
			o.stalled(run, now)
			continue
		}
		if left, ok := o.implied(run, now); ok {
			sum += min(float64(o.expected(run))/float64(left), highestRatio)
			count++
		}
	}
	if count == 0 {
		r.Health.Speed += (1 - r.Health.Speed) * idleWeight
		return
	}
	r.Health.Speed += (sum/float64(count) - r.Health.Speed) * speedWeight
	if r.Health.Slow() {
		o.moveAway(r, now)
	}
}

// watched tells whether the progress of a run says something: the members of a gang wait for each other.
func watched(run *tasks.Run) bool {
	if !run.Confirmed || run.Stopping || run.Task == nil || run.Task.Run != run || run.Task.Step.Spec.Service {
		return false
	}
	if !run.Task.Step.Spec.Gang || run.Percent > 0 {
		return true
	}
	for _, m := range run.Task.Step.Tasks {
		if m.Run == nil || !m.Run.Confirmed {
			return false
		}
	}
	return true
}

// stalled moves a task away from a runner on which it stands still.
func (o *Owner) stalled(run *tasks.Run, now time.Time) {
	r := run.Runner
	if now.After(r.Health.QuarantinedUntil) {
		o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Str("Task", run.Key.Ref.String()).Int("Percent", run.Percent).
			Dur("Still", now.Sub(run.ProgressAt)).Msg("tasks on a runner stand still")
	}
	r.Health.QuarantinedUntil = now.Add(stallRest)
	o.stop(run)
}

// implied returns how long the whole task takes at the speed of its progress so far.
func (o *Owner) implied(run *tasks.Run, now time.Time) (time.Duration, bool) {
	gained, span := run.Percent-run.First, run.ProgressAt.Sub(run.FirstAt)
	if gained < leastGain {
		// Without progress the time that has passed is a lower bound.
		span = now.Sub(run.FirstAt)
		return span * whole / leastGain, span*whole/leastGain > 2*o.expected(run)
	}
	return span * whole / time.Duration(gained), span >= leastSpan
}

func (o *Owner) expected(run *tasks.Run) time.Duration {
	return o.table.Times.Expect(run.Task.Step.Job.Spec.Queue.Name, run.Task.Step.Spec.Estimate)
}

// moveAway stops the tasks on a slow runner that would be done much sooner elsewhere.
func (o *Owner) moveAway(r *tasks.Runner, now time.Time) {
	for _, run := range r.Runs {
		if !watched(run) || run.Task.Step.Spec.MayMiss > 0 {
			continue
		}
		total, ok := o.implied(run, now)
		if !ok {
			continue
		}
		left := total * time.Duration(whole-run.Percent) / whole
		elsewhere := moveCost + o.expected(run)
		if run.Checkpoint != "" {
			elsewhere = moveCost + o.expected(run)*time.Duration(whole-run.Percent)/whole
		}
		if left > moveGain*elsewhere {
			o.config.Log.Info().Str("Runner", string(r.Info.ID)).Str("Task", run.Key.Ref.String()).Int("Percent", run.Percent).
				Dur("Left", left).Dur("Elsewhere", elsewhere).Float64("Speed", r.Health.Speed).Msg("task moves away from a slow runner")
			o.stop(run)
		}
	}
}
