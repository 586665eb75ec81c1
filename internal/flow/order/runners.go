package order

import (
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// askAheadShare is the fraction of a service's cores that may be asked about beyond the free ones.
const askAheadShare = 0.25

// runnerCapacity is a runner with the capacity that is still free in this pass.
type runnerCapacity struct {
	runner *tasks.Runner
	free   types.Resources
	// isSlow is set on a slow runner unless it counts among pass.runners: it gets only tasks that need slow runners.
	isSlow bool
	// askedFor is the step for which askedRunners has last found the runner among those asked about.
	askedFor *tasks.Step
}

// collectRunners collects the runners that may get tasks.
func (p *pass) collectRunners() {
	ordered := p.table.OrderedRunners()
	p.capacities = make([]runnerCapacity, len(ordered))
	for i, r := range ordered {
		name := r.Info.Service
		switch {
		case r.Available(p.now):
			p.capacities[i] = runnerCapacity{runner: r, free: r.Free(), isSlow: r.Health.Slow()}
			p.available[name] = append(p.available[name], &p.capacities[i])
		case r.InService() && !r.Health.Slow():
			p.quarantined[name] = append(p.quarantined[name], &runnerCapacity{runner: r})
		}
	}
	for service, available := range p.available {
		p.runners[service] = withoutSlow(available)
		if len(p.runners[service]) == 0 && len(p.quarantined[service]) == 0 {
			p.runners[service] = available
		}
		for _, r := range p.runners[service] {
			r.isSlow = false
			p.addCapacity(r)
		}
	}
}

// withoutSlow returns those of the runners that are not slow.
func withoutSlow(runners []*runnerCapacity) []*runnerCapacity {
	isSlow := func(r *runnerCapacity) bool { return r.isSlow }
	if !slices.ContainsFunc(runners, isSlow) {
		return runners
	}
	return slices.DeleteFunc(slices.Clone(runners), isSlow)
}

// addCapacity adds a runner to the sums over its service and over all.
func (p *pass) addCapacity(c *runnerCapacity) {
	r := c.runner
	name := r.Info.Service
	p.cores[name] += r.Info.Capacity.Cores
	p.idleCores[name] += max(0, r.Free().Cores)
	p.capacity = p.capacity.Add(r.Info.Capacity)
	p.addToAskable(r)
	if r.IsQuiet(p.now) {
		p.keepQuiet(c)
	}
}

// addToAskable adds the cores of a runner for which calls for advice may be made: the free ones, and a share of all, since
// that many are freed while tickets are valid. More calls would bring tickets that expire unused, and under overload
// most of the waiting steps would make some.
func (p *pass) addToAskable(r *tasks.Runner) {
	ahead := types.MilliCores(askAheadShare * float64(r.Info.Capacity.Cores))
	p.askable[r.Info.Service] += max(0, r.Free().Cores) + ahead
}

// capacityOf returns the capacity of an incarnation of a runner, or nil when it may not get tasks of the step or is no longer the
// current one.
func (p *pass) capacityOf(s *tasks.Step, i tasks.Incarnation) *runnerCapacity {
	r := p.table.Runners[i.Runner]
	if r == nil || r.Info.Boot != i.Boot || !r.Serves(s) {
		return nil
	}
	return p.usable(s, r)
}

// usable returns the capacity of a runner of the table, or nil when it may not get tasks of the step.
func (p *pass) usable(s *tasks.Step, r *tasks.Runner) *runnerCapacity {
	c := &p.capacities[r.Position()]
	if c.runner == nil || (c.isSlow && !p.needsSlow(s)) {
		return nil
	}
	return c
}
