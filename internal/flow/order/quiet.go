package order

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// quietShareDivisor limits the runners that are kept free of further starts at the same time to a fraction of those of their
// service, 1/quietShareDivisor, so that the work of other callers goes on beside tasks that may crash their runners.
const quietShareDivisor = 8

// runnerChoice is where a task starts.
type runnerChoice struct {
	// runner is nil when the task does not start now.
	runner *runnerCapacity
	// quiet is set when the runner gets no other starts for a while.
	quiet bool
	// waits is set when the task waits for a runner that has had no other start for a while.
	waits bool
}

// chooseRunner returns the runner on which the task starts. A task that may have crashed its runner before starts apart from
// other starts, so that a further crash tells of it alone. It waits for that, for a limited time if it may have crashed only one
// runner.
func (p *pass) chooseRunner(t *tasks.Task, runners []*runnerCapacity) runnerChoice {
	if !t.IsSuspect() {
		return runnerChoice{runner: p.bestRunner(t, runners)}
	}
	service := t.Step.Job.Spec.Queue.Service
	hasSlot := p.quiet[service] < max(1, len(p.runners[service])/quietShareDivisor)
	if hasSlot {
		if r := p.emptiestRunner(t, p.settledRunners(runners)); r != nil {
			return runnerChoice{runner: r, quiet: true}
		}
	}
	if !t.MustStartApart(p.now) {
		return runnerChoice{runner: p.bestRunner(t, runners)}
	}
	if r := p.longestSettled(t, runners); r != nil {
		if hasSlot {
			p.keepQuiet(r)
		}
		return runnerChoice{waits: true}
	}
	return runnerChoice{}
}

// keepQuiet keeps further starts in this pass off the runner.
func (p *pass) keepQuiet(r *runnerCapacity) {
	r.free = types.Resources{}
	p.quiet[r.runner.Info.Service]++
}

// settledRunners returns those of the runners that have had no start for a while, in this pass or before.
func (p *pass) settledRunners(runners []*runnerCapacity) []*runnerCapacity {
	var out []*runnerCapacity
	for _, r := range runners {
		if r.runner.IsSettled(p.now) && !p.startsOn(r) {
			out = append(out, r)
		}
	}
	return out
}

// startsOn reports whether this pass starts a task on the runner.
func (p *pass) startsOn(r *runnerCapacity) bool {
	for _, s := range p.out.Starts {
		if s.Runner == r.runner {
			return true
		}
	}
	return false
}

// emptiestRunner returns the runner with free capacity for the task on which the smallest part of the cores is used, since what
// runs there is lost in a crash; nil when there is none.
func (p *pass) emptiestRunner(t *tasks.Task, runners []*runnerCapacity) *runnerCapacity {
	var best *runnerCapacity
	for _, r := range runners {
		if !p.fitsTask(t, r) {
			continue
		}
		if best == nil || freeShare(r.free, r.runner.Info.Capacity) > freeShare(best.free, best.runner.Info.Capacity) {
			best = r
		}
	}
	return best
}

// longestSettled returns the runner with free capacity for the task that has had no start for the longest time; nil when there
// is none.
func (p *pass) longestSettled(t *tasks.Task, runners []*runnerCapacity) *runnerCapacity {
	var best *runnerCapacity
	for _, r := range runners {
		if !p.fitsTask(t, r) || p.startsOn(r) {
			continue
		}
		if best == nil || r.runner.LastStartAt.Before(best.runner.LastStartAt) {
			best = r
		}
	}
	return best
}

// fitsTask reports whether the runner has free capacity for the task.
func (p *pass) fitsTask(t *tasks.Task, r *runnerCapacity) bool {
	return taskResources(t.Step).Fits(r.free) && !p.atPerRunnerLimit(t.Step, r)
}
