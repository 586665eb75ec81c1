package order

import (
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// demand is what the tasks of a step need of a runner. Many steps have the same.
type demand struct {
	service   types.ServiceName
	label     specs.Label
	resources types.Resources
}

// hasRunner reports whether any runner that may get tasks could run one of the step if it were empty. Without one the step waits, and takes
// no turn of the plan: thousands of such steps must not keep those behind them from being served.
func (p *pass) hasRunner(s *tasks.Step) bool {
	service := s.Job.Spec.Queue.Service
	key := demand{service: service, label: s.Spec.Label, resources: taskResources(s)}
	known, ok := p.runnable[key]
	if !ok {
		known = slices.ContainsFunc(p.runners[service], func(r *runnerCapacity) bool { return canRun(s, r) })
		p.runnable[key] = known
	}
	return known
}
