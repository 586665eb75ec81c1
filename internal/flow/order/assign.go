package order

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// serve starts as many tasks of the step as fit.
func (p *pass) serve(s *tasks.Step) {
	clear(p.stepStarts)
	p.releasePlace(s)
	if s.NeedsTicket() {
		p.serveAdvised(s)
		return
	}
	if !p.hasRunner(s) {
		return
	}
	p.placeTasks(s, p.placeableRunners(s))
}

// placeableRunners returns the runners on which the step may be placed, for a step that is no gang only those on which a task may fit
// now, and for an idle gang none.
func (p *pass) placeableRunners(s *tasks.Step) []*runnerCapacity {
	switch {
	case !s.Spec.Gang:
		return runnable(s, p.roomyRunners(s))
	case p.isIdleGang(s):
		return nil
	default:
		return p.eligibleRunners(s)
	}
}

// placeTasks starts as many tasks of the step as fit on the runners, and returns false when free capacity is lacking.
func (p *pass) placeTasks(s *tasks.Step, runners []*runnerCapacity) bool {
	if s.Spec.Gang {
		return p.serveGang(s, runners)
	}
	return p.serveEach(s, runners)
}

// eligibleRunners returns the runners that could run a task of the step if they were empty.
func (p *pass) eligibleRunners(s *tasks.Step) []*runnerCapacity {
	return runnable(s, p.runnersFor(s))
}

// runnable returns those of the runners that could run a task of the step if they were empty.
func runnable(s *tasks.Step, runners []*runnerCapacity) []*runnerCapacity {
	var out []*runnerCapacity
	for _, r := range runners {
		if canRun(s, r) {
			out = append(out, r)
		}
	}
	return out
}

// canRun reports whether the runner could run a task of the step if it were empty. A start on any other runner is discarded.
func canRun(s *tasks.Step, r *runnerCapacity) bool {
	return r.runner.Serves(s) && taskResources(s).Fits(r.runner.Info.Capacity)
}

// taskResources returns the resources that a task of the step takes from a runner's capacity.
func taskResources(s *tasks.Step) types.Resources {
	n := s.Spec.Resources
	if s.Spec.Fills {
		n.Cores = 0
	}
	return n
}

// serveEach places the waiting tasks of the step one by one, and returns false when free capacity is lacking.
func (p *pass) serveEach(s *tasks.Step, runners []*runnerCapacity) bool {
	c := stepPlacement{runners: runners}
	for _, t := range s.Tasks {
		if p.isDue(t) && !p.placeTask(t, &c) {
			break
		}
	}
	p.renewTickets(s, c.stale, runners)
	return !c.lacksCapacity
}

// isDue reports whether the task waits and may start now.
func (p *pass) isDue(t *tasks.Task) bool {
	return t.State == tasks.Waiting && t.Run == nil && !p.now.Before(t.NotBefore)
}

// placeTask places one task, and returns false when free capacity or headroom is lacking.
func (p *pass) placeTask(t *tasks.Task, c *stepPlacement) bool {
	s := t.Step
	if !p.hasHeadroom(s, 1) {
		p.headroomOf(s).waits = true
		return false
	}
	choice := p.chooseRunner(t, c.runners)
	if choice.waits {
		return true
	}
	r := choice.runner
	if r == nil {
		c.lacksCapacity = true
		return false
	}
	permit, ok := p.permit(s, r)
	if !ok {
		// The capacity stays reserved for the task while a new ticket is requested.
		c.stale = append(c.stale, r)
		r.free = r.free.Sub(taskResources(s))
		p.claimHeadroom(s, 1)
	} else {
		p.startTask(t, r, permit, choice.quiet)
	}
	if choice.quiet {
		p.keepQuiet(r)
	}
	return true
}

// startTask adds the start of the task to the plan, under the ticket of the permit if it needs one.
func (p *pass) startTask(t *tasks.Task, r *runnerCapacity, permit tasks.RunnerAdvice, quiet bool) {
	r.free = r.free.Sub(taskResources(t.Step))
	p.claimHeadroom(t.Step, 1)
	p.stepStarts[r.runner]++
	p.askable[r.runner.Info.Service] -= taskResources(t.Step).Cores
	p.out.Starts = append(p.out.Starts, Start{Task: t, Runner: r.runner, Ticket: permit.Ticket, TicketUntil: permit.Until, Quiet: quiet})
}

// bestRunner returns the runner of the lowest cost that has free capacity for the task, or nil.
func (p *pass) bestRunner(t *tasks.Task, runners []*runnerCapacity) *runnerCapacity {
	var best *runnerCapacity
	lowest := 0.0
	for _, r := range runners {
		if !p.fitsTask(t, r) {
			continue
		}
		c := cost(t, r)
		if best == nil || c < lowest {
			best, lowest = r, c
		}
	}
	return best
}

// atPerRunnerLimit reports whether the runner has as many tasks of the step as the step's PerRunner limit allows.
func (p *pass) atPerRunnerLimit(s *tasks.Step, r *runnerCapacity) bool {
	return s.Spec.PerRunner > 0 && p.countTasks(s, r) >= s.Spec.PerRunner
}

// countTasks returns the number of tasks of the step that is being served on the runner, including those planned in this
// pass.
func (p *pass) countTasks(s *tasks.Step, r *runnerCapacity) int {
	n := 0
	for key := range r.runner.Runs {
		if key.Ref.StepRef == s.Ref {
			n++
		}
	}
	return n + p.stepStarts[r.runner]
}
