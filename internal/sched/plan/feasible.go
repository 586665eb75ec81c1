package plan

import (
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Feasible returns an error of kind Impossible if the job can never run on the workers, with the reason and a
// change that would let it run. It is called when a job is submitted, with the workers of all data centres, and
// ignores what they currently run.
func Feasible(j *types.Job, workers []types.VM) error {
	need := j.Task.Resources
	sites := make(map[types.DataCentre]int)
	var allowed []types.VM
	for _, v := range workers {
		if len(j.Task.DataCentres) > 0 && !slices.Contains(j.Task.DataCentres, v.Site.DataCentre) {
			continue
		}
		allowed = append(allowed, v)
		sites[v.Site.DataCentre] += table.Fit(need, v.Capacity)
	}
	if len(allowed) == 0 {
		return errs.New(errs.Impossible,
			"none of the %d workers is in the job's DataCentres %v; list a data centre that has workers, or none",
			len(workers), j.Task.DataCentres)
	}
	maxFits := 0
	for _, fits := range sites {
		maxFits = max(maxFits, fits)
	}
	if maxFits == 0 {
		return errs.New(errs.Impossible,
			"a task needs %s and no worker is that large; at most %s would run on one worker", need, closestCapacity(need, allowed))
	}
	if j.Gang != nil && maxFits < j.Gang.Count {
		return errs.New(errs.Impossible,
			"all %d tasks have to start in one data centre and the largest holds %d; a Count of at most %d would run",
			j.Gang.Count, maxFits, maxFits)
	}
	return nil
}

// WithinQuota returns an error of kind Impossible if the team's whole quota is smaller than what the job has to
// run at once: all tasks of an all-at-once job or a service, one task of a batch. A zero quota allows any job.
func WithinQuota(j *types.Job, quota types.Resources) error {
	if quota.IsZero() {
		return nil
	}
	need := j.Task.Resources
	switch w := j.Workload().(type) {
	case types.Service:
		need = need.Times(w.Count)
	case types.Gang:
		need = need.Times(w.Count)
	default:
	}
	if !need.Fits(quota) {
		return errs.New(errs.Impossible,
			"the job needs %s at once and team %s has a quota of %s; a larger quota or a smaller job would run",
			need, j.Team, quota)
	}
	return nil
}

// closestCapacity returns the capacity of the worker that covers the most resources of the need.
func closestCapacity(need types.Resources, workers []types.VM) types.Resources {
	best := slices.MaxFunc(workers, func(a, b types.VM) int {
		return coveredCount(need, a.Capacity) - coveredCount(need, b.Capacity)
	})
	return best.Capacity
}

// coveredCount returns how many of the three needed resources a capacity covers.
func coveredCount(need, capacity types.Resources) int {
	n := 0
	for _, covered := range []bool{
		need.Cores <= capacity.Cores,
		need.Memory <= capacity.Memory,
		need.Accelerators <= capacity.Accelerators,
	} {
		if covered {
			n++
		}
	}
	return n
}
