package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// expectedRunTime returns the expected run time of the run's task where it runs. The caller must hold o.mu.
func (o *Owner) expectedRunTime(run *tasks.Run) time.Duration {
	usual := o.table.Times.Expect(run.Task.Step.Job.Spec.Queue.Name, run.Task.Step.Spec.Estimate)
	return time.Duration(float64(usual) * o.distanceFactor(run))
}

// longestRunTime returns the longest known run time of tasks like the run's, as it would be where the run is, and from how many
// runs it is known. The caller must hold o.mu.
func (o *Owner) longestRunTime(run *tasks.Run) (time.Duration, int) {
	longest, runs := o.table.Times.Within(run.Task.Step.Job.Spec.Queue.Name, run.Task.Step.Spec.Estimate, 1)
	return time.Duration(float64(longest) * o.distanceFactor(run)), runs
}

// expectedRemaining returns how much longer the run is expected to run, from the time that it has run for. The caller must hold
// o.mu.
func (o *Owner) expectedRemaining(run *tasks.Run, now time.Time) time.Duration {
	factor := o.distanceFactor(run)
	ran := time.Duration(float64(now.Sub(run.ConfirmedAt)) / factor)
	left := o.table.Times.Remaining(run.Task.Step.Job.Spec.Queue.Name, run.Task.Step.Spec.Estimate, ran)
	return time.Duration(float64(left) * factor)
}

// distanceFactor returns how many times as long the run takes because of where it runs: away from the rack of its data, or as a
// member of a gang on several racks that should share one. The caller must hold o.mu.
func (o *Owner) distanceFactor(run *tasks.Run) float64 {
	factor := 1.0
	if rack := run.Task.Step.Spec.Rack; rack != "" && !run.Runner.Has(rack) {
		factor *= o.farFactor()
	}
	if o.isSpread(run) {
		factor *= o.farFactor()
	}
	return factor
}

// farFactor returns Bounds.FarFactor, at least 1.
func (o *Owner) farFactor() float64 {
	return max(o.config.Bounds.FarFactor, 1)
}

// isSpread reports whether the run belongs to a gang that should share one rack and runs on several. The caller must hold o.mu.
func (o *Owner) isSpread(run *tasks.Run) bool {
	step := run.Task.Step
	if !step.Spec.Gang || !step.Spec.SameRack {
		return false
	}
	for _, t := range step.Tasks {
		// The members' runs may have ended already.
		r := o.table.Runners[t.Runner]
		if r != nil && t.Attempt == run.Key.Attempt && r.Info.Rack != run.Runner.Info.Rack {
			return true
		}
	}
	return false
}

// distanceElsewhere returns the distanceFactor that the run would have if it was stopped and started elsewhere. A gang that is
// spread now is taken to be spread again. The caller must hold o.mu.
func (o *Owner) distanceElsewhere(run *tasks.Run, now time.Time) float64 {
	factor := 1.0
	if rack := run.Task.Step.Spec.Rack; rack != "" && !o.hasRoomOnRack(run, rack, now) {
		factor *= o.farFactor()
	}
	if o.isSpread(run) {
		factor *= o.farFactor()
	}
	return factor
}

// hasRoomOnRack reports whether another runner on the rack has room for the run's task. The caller must hold o.mu.
func (o *Owner) hasRoomOnRack(run *tasks.Run, rack specs.Label, now time.Time) bool {
	return o.acceptsOther(run, now, func(r *tasks.Runner) bool { return r.Has(rack) && run.Resources.Fits(r.Free()) })
}

// hasOtherRunner reports whether another runner that should get tasks could run the run's task if it were empty. The caller must hold
// o.mu.
func (o *Owner) hasOtherRunner(run *tasks.Run, now time.Time) bool {
	return o.acceptsOther(run, now, func(*tasks.Runner) bool { return true })
}

// acceptsOther is hasOtherRunner for the runners that are accepted. The caller must hold o.mu.
func (o *Owner) acceptsOther(run *tasks.Run, now time.Time, accepts func(r *tasks.Runner) bool) bool {
	label := run.Task.Step.Spec.Label
	for _, r := range o.table.Runners {
		if r == run.Runner || r.Info.Service != run.Runner.Info.Service || (label != "" && !r.Has(label)) {
			continue
		}
		if r.Usable(now) && run.Resources.Fits(r.Info.Capacity) && accepts(r) {
			return true
		}
	}
	return false
}
