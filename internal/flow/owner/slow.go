package owner

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// minKnownRuns is how many run times of a queue must be known to tell a long task from a slow runner by them.
	minKnownRuns = 32
	// longMargin is how many times the longest known run time of its queue a task may take and still count as long by
	// itself.
	longMargin = 1.5
	// stallPercents limits the time without progress to the time in which a task usually advances by so many percent.
	stallPercents = 3
	// gangMoveOverhead is the time that moving a gang costs besides the work: the stops take 0.4 s, the next attempt has its
	// tickets and capacity 0.9 s later in three of four cases, and resuming takes up to 0.6 s.
	gangMoveOverhead = 1900 * time.Millisecond
)

// measureSpeed returns how fast the runner works: the median speed of its tasks, or the higher one of two, since not all tasks
// of a healthy runner are long at the same time. It returns false when the speed is not known: no task shows it, or only one
// that may be long by itself: one within the long ones of its queue, or one of which nothing but the caller's rough estimate tells
// how long it should take. Tasks that were as slow on another runner do not count. The caller must hold o.mu.
func (o *Owner) measureSpeed(r *tasks.Runner, now time.Time) (float64, bool) {
	var speeds []float64
	// isDoubtful is of the latest run that counts; it matters only if that is the only one.
	isDoubtful := false
	for _, run := range r.Runs {
		if !canMeasureProgress(run) {
			continue
		}
		projected, ok := o.projectedRunTime(run, now)
		if !ok {
			continue
		}
		run.Speed = min(float64(o.expectedRunTime(run))/float64(projected), maxSpeedRatio)
		if attemptCounter(run.Task).Moves > 0 {
			continue
		}
		speed, isKnown := o.relativeSpeed(run)
		speeds = append(speeds, speed)
		isDoubtful = !isKnown || o.mayBeLong(run, projected)
	}
	if len(speeds) == 0 || (len(speeds) == 1 && isDoubtful) {
		return 0, false
	}
	return median(speeds), true
}

// mayBeLong reports whether a run that will take the given time is longer than usual, but not longer than the long tasks of
// its queue. The caller must hold o.mu.
func (o *Owner) mayBeLong(run *tasks.Run, projected time.Duration) bool {
	if projected <= o.expectedRunTime(run) {
		return false
	}
	longest, runs := o.longestRunTime(run)
	return runs >= minKnownRuns && float64(projected) <= longMargin*float64(longest)
}

// stallLimit returns how long a run may make no progress: longer for a task so long that one percent of it takes a
// noticeable time, and for a gang at least as long as it would lose by a new start. The caller must hold o.mu.
func (o *Owner) stallLimit(run *tasks.Run, now time.Time) time.Duration {
	limit := stallTimeout
	if gained := run.Percent - run.First; gained > 0 {
		limit = max(limit, stallPercents*run.ProgressAt.Sub(run.FirstAt)/time.Duration(gained))
	}
	longest, runs := o.longestRunTime(run)
	if runs < minKnownRuns {
		longest = o.expectedRunTime(run)
	}
	limit = max(limit, stallPercents*longest/completePercent)
	if run.Task.Step.Spec.Gang {
		lost := now.Sub(run.LatestSave()) - now.Sub(run.ProgressAt)
		limit = max(limit, gangMoveOverhead+lost)
	}
	return limit << min(max(0, attemptCounter(run.Task).Stalls-suspectStalls), maxStallDoublings)
}

// remainingHere returns how long a run, or the slowest member of its gang, still takes on its present runner, given how long
// the whole run takes there. The caller must hold o.mu.
func (o *Owner) remainingHere(run *tasks.Run, total time.Duration, now time.Time) time.Duration {
	longest := remainingPart(run, total)
	if !run.Task.Step.Spec.Gang {
		return longest
	}
	for _, t := range run.Task.Step.Tasks {
		if t.Run == nil || !canMeasureProgress(t.Run) {
			continue
		}
		if memberTotal, ok := o.projectedRunTime(t.Run, now); ok {
			longest = max(longest, remainingPart(t.Run, memberTotal))
		}
	}
	return longest
}

// remainingElsewhere returns how long a run would still take if it, or its whole gang, was stopped and started elsewhere, given
// how long the whole run takes here, at the speed of its runner: a task that is long by itself is long there too, and one may
// be farther from its data there. The caller must hold o.mu.
func (o *Owner) remainingElsewhere(run *tasks.Run, total time.Duration, speed float64, now time.Time) time.Duration {
	usual := max(o.expectedRunTime(run), time.Duration(float64(total)*speed))
	usual = time.Duration(float64(usual) * o.distanceElsewhere(run, now) / o.distanceFactor(run))
	overhead := moveOverhead
	if run.Task.Step.Spec.Gang {
		overhead = gangMoveOverhead
		if saved := run.Task.Step.Saved; saved.Attempt == run.Key.Attempt {
			return overhead + now.Sub(run.LatestSave()) + remainingPart(run, usual)
		}
		return overhead + usual
	}
	if run.Checkpoint != "" {
		usual = remainingPart(run, usual)
	}
	return overhead + usual
}

// remainingPart returns the part of the total run time that is left according to the run's progress.
func remainingPart(run *tasks.Run, total time.Duration) time.Duration {
	return total * time.Duration(completePercent-run.Percent) / completePercent
}

// stopWithGang stops a run, and with it all members of its gang, which work only together: each saves its state at a stop,
// and none waits for the end of another. The caller must hold o.mu.
func (o *Owner) stopWithGang(run *tasks.Run, cause tasks.EndCause) {
	stopped := []*tasks.Task{run.Task}
	if run.Task.Step.Spec.Gang {
		stopped = run.Task.Step.Tasks
	}
	for _, t := range stopped {
		if t.Run != nil && t.Run.Key.Attempt == run.Key.Attempt {
			t.Run.StopCause = cause
			o.stopRun(t.Run)
		}
	}
}

// stalledRunners returns the runners on which a run, or its gang, is stalled: for a gang those of its members on which other
// tasks are stalled too, since one runner holds up the whole gang. If there are none, it is the runner of the run, unless the task
// has stalled on others before: a task that never makes progress must not quarantine runner after runner.
func stalledRunners(run *tasks.Run, now time.Time) []*tasks.Runner {
	var out []*tasks.Runner
	if run.Task.Step.Spec.Gang {
		for _, t := range run.Task.Step.Tasks {
			if t.Run != nil && hasOtherStalledRun(t.Run, now) && !slices.Contains(out, t.Run.Runner) {
				out = append(out, t.Run.Runner)
			}
		}
	}
	isRunnerSuspect := attemptCounter(run.Task).Stalls < suspectStalls || hasOtherStalledRun(run, now)
	if len(out) == 0 && isRunnerSuspect {
		return []*tasks.Runner{run.Runner}
	}
	return out
}

// hasOtherStalledRun reports whether a task of another step has made no progress on the runner of the run either.
func hasOtherStalledRun(run *tasks.Run, now time.Time) bool {
	for _, other := range run.Runner.Runs {
		if canMeasureProgress(other) && other.Task.Step != run.Task.Step && other.Percent < completePercent &&
			now.Sub(other.ProgressAt) >= stallTimeout {
			return true
		}
	}
	return false
}
