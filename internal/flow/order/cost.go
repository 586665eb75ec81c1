package order

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// slownessWeight weighs a runner's slowness against the room that a start leaves on it.
	slownessWeight = 2.0
	// otherRackCost is the cost of a rack other than that of the task's data.
	otherRackCost = 1.0
	// sameRunnerCost is the cost of the runner on which the task's last attempt ended.
	sameRunnerCost = 4.0
)

// cost rates a runner for a task; the lowest wins. Among equal runners the fullest wins, so that large tasks
// find room elsewhere.
func cost(t *tasks.Task, r *runnerCapacity) float64 {
	c := freeShare(r.free.Sub(taskResources(t.Step)), r.runner.Info.Capacity)
	c += slownessWeight * (1/r.runner.Health.Speed - 1)
	if rack := t.Step.Spec.Rack; rack != "" && !r.runner.Has(rack) {
		c += otherRackCost
	}
	if t.Failures > 0 && t.Runner == r.runner.Info.ID {
		c += sameRunnerCost
	}
	return c
}

// freeShare returns the part of a runner that stays free.
func freeShare(free, capacity types.Resources) float64 {
	if capacity.Cores == 0 {
		return 0
	}
	return float64(free.Cores) / float64(capacity.Cores)
}
