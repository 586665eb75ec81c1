package order

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// quietShareDivisor limits the runners that are kept free of further starts at the same time to a fraction of those of their
	// service, 1/quietShareDivisor, so that the work of other callers goes on beside tasks that may crash their runners.
	quietShareDivisor = 4
	// idleShareDivisor lets them be that fraction of the idle part of the service, 1/idleShareDivisor, if that is more.
	idleShareDivisor = 2
)

// runnerChoice is where a task starts.
type runnerChoice struct {
	// runner is nil when the task does not start now.
	runner *runnerCapacity
	// quiet is set when the runner gets no other starts for a while.
	quiet bool
	// waits is set when the task waits for a runner to settle.
	waits bool
}

// holdRunners keeps starts off one runner for each suspected task that waits, so that the runner settles. It comes before all other
// decisions, since suspected tasks are often late and served last.
func (p *pass) holdRunners() {
	for _, t := range p.table.SuspectedTasks() {
		s := t.Step
		if !p.isDue(t) || !s.CanStart() || !t.WaitsToStartApart(p.now) || !p.hasQuietSlot(s.Job.Spec.Queue.Service) {
			continue
		}
		if r := p.longestSettled(t, p.candidateRunners(s)); r != nil {
			p.keepQuiet(r)
			p.held[t] = r
		}
	}
}

// hasQuietSlot reports whether one more runner of the service may be kept free of further starts.
func (p *pass) hasQuietSlot(service types.ServiceName) bool {
	runners := len(p.runners[service])
	idle := 1.0
	if cores := p.cores[service]; cores > 0 {
		idle = max(0, float64(p.idleCores[service])/float64(cores))
	}
	return p.quiet[service] < max(1, runners/quietShareDivisor, int(idle*float64(runners)/idleShareDivisor))
}

// chooseRunner returns the runner on which the task starts. A task that may have crashed its runner before starts apart from
// other starts, so that a further crash tells of it alone. It waits for that, for a limited time.
func (p *pass) chooseRunner(t *tasks.Task, runners []*runnerCapacity) runnerChoice {
	if !t.IsSuspect() {
		return runnerChoice{runner: p.bestRunner(t, runners)}
	}
	r := p.held[t]
	switch {
	case r != nil && r.runner.IsSettled(p.now):
		p.release(r)
		return runnerChoice{runner: r, quiet: true}
	case t.WaitsToStartApart(p.now) && (r != nil || !p.hasQuietSlot(t.Step.Job.Spec.Queue.Service)):
		return runnerChoice{waits: true}
	default:
		return runnerChoice{runner: p.bestRunner(t, runners)}
	}
}

// release makes the free capacity of a runner that was held available again.
func (p *pass) release(r *runnerCapacity) {
	r.free = r.runner.Free()
	p.forgetFull()
	p.quiet[r.runner.Info.Service]--
}

// keepQuiet keeps further starts in this pass off the runner.
func (p *pass) keepQuiet(r *runnerCapacity) {
	if !(types.Resources{}).Fits(r.free) {
		// More was kept there than is free.
		p.forgetRoom()
	}
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

// longestSettled returns the runner with free capacity for the task that is the best to settle: of those that are settled already
// the one on which the smallest part of the cores is used, since what runs there is lost in a crash; else the one that has had no
// start for the longest time. It returns nil when there is none.
func (p *pass) longestSettled(t *tasks.Task, runners []*runnerCapacity) *runnerCapacity {
	var best *runnerCapacity
	for _, r := range runners {
		if p.fitsTask(t, r) && (best == nil || p.settlesBefore(r, best)) {
			best = r
		}
	}
	return best
}

func (p *pass) settlesBefore(a, b *runnerCapacity) bool {
	isSettled := a.runner.IsSettled(p.now)
	if isSettled != b.runner.IsSettled(p.now) {
		return isSettled
	}
	if isSettled {
		return freeShare(a.free, a.runner.Info.Capacity) > freeShare(b.free, b.runner.Info.Capacity)
	}
	return a.runner.LastStartAt.Before(b.runner.LastStartAt)
}

// fitsTask reports whether the runner has free capacity for the task.
func (p *pass) fitsTask(t *tasks.Task, r *runnerCapacity) bool {
	return taskResources(t.Step).Fits(r.free) && !p.atPerRunnerLimit(t.Step, r)
}
