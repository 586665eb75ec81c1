package order

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// slownessWeight weighs a runner's slowness against the share of its capacity that stays free after a start.
	slownessWeight = 2.0
	// otherRackCost is the cost of a rack other than the one with the task's data, where it runs fastest.
	otherRackCost = 1.0
	// sameRunnerCost is the cost of the runner of the last attempt, for a task that has failed.
	sameRunnerCost = 4.0
)

// cost rates a runner for a task; the runner with the lowest cost is chosen. Among otherwise equal runners that is the
// fullest, so that other runners keep enough free capacity for large tasks.
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

// freeShare returns the fraction of a runner's cores that is free.
func freeShare(free, capacity types.Resources) float64 {
	if capacity.Cores == 0 {
		return 0
	}
	return float64(free.Cores) / float64(capacity.Cores)
}
