package order

import (
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

type (
	// demand is what the tasks of a step need of a runner. Many steps have the same.
	demand struct {
		service   types.ServiceName
		label     specs.Label
		resources types.Resources
	}

	// groupDemand is what those tasks of a step need that start together.
	groupDemand struct {
		demand
		// width is the number of tasks, perRunner how many of them may run on one runner, or 0.
		width     int
		perRunner int
	}
)

// demandOf returns what the tasks of the step need.
func demandOf(s *tasks.Step) demand {
	return demand{service: s.Job.Spec.Queue.Service, label: s.Spec.Label, resources: taskResources(s)}
}

// groupDemandOf returns what those tasks of the step need that start together.
func groupDemandOf(s *tasks.Step) groupDemand {
	key := groupDemand{demand: demandOf(s), width: 1}
	if s.Spec.Gang {
		key.width, key.perRunner = len(s.Tasks), s.Spec.PerRunner
	}
	return key
}

// hasRunner reports whether any runner that may get tasks could run one of the step if it were empty. Without one the step waits, and takes
// no turn of the plan: thousands of such steps must not keep those behind them from being served.
func (p *pass) hasRunner(s *tasks.Step) bool {
	return slices.ContainsFunc(p.largestCapacities(s), taskResources(s).Fits)
}

// largestCapacities returns the capacities of the runners of the step's group that no other of them exceeds. Most groups have few.
func (p *pass) largestCapacities(s *tasks.Step) []types.Resources {
	group := p.groupOf(s)
	out, ok := p.largest[group]
	if ok {
		return out
	}
	for _, r := range p.runnersFor(s) {
		capacity := r.runner.Info.Capacity
		if (group.label != "" && !r.runner.Has(group.label)) || slices.ContainsFunc(out, capacity.Fits) {
			continue
		}
		isSmaller := func(c types.Resources) bool { return c.Fits(capacity) }
		out = append(slices.DeleteFunc(out, isSmaller), capacity)
	}
	p.largest[group] = out
	return out
}

// runnersFor returns the runners of the step's service on which its tasks may be placed.
func (p *pass) runnersFor(s *tasks.Step) []*runnerCapacity {
	if p.needsSlow(s) {
		return p.available[s.Job.Spec.Queue.Service]
	}
	return p.runners[s.Job.Spec.Queue.Service]
}

// needsSlow reports whether the step can only start with the help of slow runners: the others could not hold it if they were empty,
// those in quarantine included.
func (p *pass) needsSlow(s *tasks.Step) bool {
	service := s.Job.Spec.Queue.Service
	if len(p.runners[service]) == len(p.available[service]) {
		return false
	}
	key := groupDemandOf(s)
	needed, ok := p.slowNeeded[key]
	if !ok {
		others := slices.Concat(p.runners[service], p.quarantined[service])
		needed = !couldHold(s, others, key.width) && couldHold(s, p.available[service], key.width)
		p.slowNeeded[key] = needed
	}
	return needed
}
