// Package order decides which waiting tasks start next, and where. It does no input or output.
//
// It answers the load in which more work waits than fits: work that can still be done in time goes first, by
// priority and by how little time it has left, large work behind small, so that the room serves as many callers as
// it can; work that is late already takes what is left over; gangs that do not fit keep the room that they will need
// from work behind them.
package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// Tiers of waiting work.
const (
	// inTime can still be done within its objective.
	inTime tier = iota
	// late can still be done within lateFactor times its objective.
	late
	// overdue is past that; callers gain nothing from it any more.
	overdue

	lateFactor = 3
	// maxSteps limits how many steps one plan looks at.
	maxSteps = 400
	// reservedShare limits the cores that gangs may keep free, as a part of the cores of their service.
	reservedShare = 0.2
	// sizePenaltyShare is the part of its service's cores on which a job's size is turned into time.
	sizePenaltyShare = 1.0 / 16
	// maxSizePenalty limits by how much a job goes behind smaller ones.
	maxSizePenalty = time.Minute
)

type (
	tier int

	// ranking compares two entries; the lesser is served first.
	ranking func(a, b entry) int

	// Limits are what a plan must keep to.
	Limits struct {
		// AdviceBudget is how much more work the advice service may be given now.
		AdviceBudget specs.AdviceBudget
		// TicketMargin is how long a ticket must still be valid when a start is decided, for the write of the
		// intent and the way to the runner.
		TicketMargin time.Duration
	}

	// Start is one task to start on a runner.
	Start struct {
		Task   *tasks.Task
		Runner *tasks.Runner
		Ticket agent.Ticket
		// TicketUntil is when the ticket ends; zero when the queue needs none.
		TicketUntil time.Time
	}

	// AdviceCall is a call for advice to make.
	AdviceCall struct {
		Step    *tasks.Step
		Runners []*tasks.Runner
	}

	// Plan is what one pass decided. Starts of one gang stand together, all or none.
	Plan struct {
		Starts      []Start
		AdviceCalls []AdviceCall
		// Idle tells that nothing waits.
		Idle bool
	}

	// pass is what one pass works with.
	pass struct {
		table         *tasks.Table
		limits        Limits
		now           time.Time
		runners       map[types.ServiceName][]*runnerCapacity
		byIncarnation map[tasks.Incarnation]*runnerCapacity
		reserved      map[types.ServiceName]types.MilliCores
		// cores is what the runners of each service have in all.
		cores map[types.ServiceName]types.MilliCores
		out   Plan
	}

	// runnerCapacity is a runner with what is left of it in this pass.
	runnerCapacity struct {
		runner *tasks.Runner
		free   types.Resources
	}

	// entry is a step with its place in the order.
	entry struct {
		step *tasks.Step
		tier tier
		// latestStart is when the step must start to be done in time.
		latestStart time.Time
		// rank orders the entries of one tier and priority: latest, put off by the size of the work.
		rank time.Time
	}
)

// MakePlan decides what starts now.
func MakePlan(t *tasks.Table, now time.Time, limits Limits) Plan {
	return plan(t, now, limits, byUrgency)
}

// plan decides what starts now, with the steps served in the given order.
func plan(t *tasks.Table, now time.Time, limits Limits, compare ranking) Plan {
	p := &pass{
		table:         t,
		limits:        limits,
		now:           now,
		runners:       make(map[types.ServiceName][]*runnerCapacity),
		byIncarnation: make(map[tasks.Incarnation]*runnerCapacity, len(t.Runners)),
		reserved:      make(map[types.ServiceName]types.MilliCores),
		cores:         make(map[types.ServiceName]types.MilliCores),
	}
	p.collectRunners()
	entries := p.sortedEntries(compare)
	p.out.Idle = len(entries) == 0
	if p.out.Idle {
		return p.out
	}
	for _, e := range entries {
		p.serve(e.step)
	}
	return p.out
}

// sortedEntries returns the open steps in the order in which they are served.
func (p *pass) sortedEntries(compare ranking) []entry {
	var out []entry
	for _, j := range p.table.Jobs {
		if j.Ending {
			continue
		}
		for _, o := range j.Occurrences {
			for _, s := range o.Steps {
				if s.CanStart() {
					out = append(out, p.newEntry(s))
				}
			}
		}
	}
	slices.SortFunc(out, compare)
	return out[:min(len(out), maxSteps)]
}

func (p *pass) newEntry(s *tasks.Step) entry {
	left := p.table.Times.RemainingPath(s)
	due := s.Occurrence.Due
	allowance := s.Job.Allowance()
	e := entry{step: s, latestStart: due.Add(allowance - left)}
	e.rank = e.latestStart.Add(p.sizePenalty(s))
	switch end := p.now.Add(left); {
	case !end.After(due.Add(allowance)):
		e.tier = inTime
	case !end.After(due.Add(lateFactor * allowance)):
		e.tier = late
	default:
		e.tier = overdue
	}
	return e
}

// sizePenalty returns how long the rest of the work would take on its part of the service's cores.
func (p *pass) sizePenalty(s *tasks.Step) time.Duration {
	cores := sizePenaltyShare * float64(p.cores[s.Job.Spec.Queue.Service])
	if cores == 0 {
		return 0
	}
	work := p.table.Times.RemainingWork(s.Occurrence).Seconds() / cores
	return time.Duration(min(work, maxSizePenalty.Seconds()) * float64(time.Second))
}

// byUrgency puts first what can still be done in time, by priority, by how little time it has left and how small
// it is.
func byUrgency(a, b entry) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(a.step.Job.Spec.Queue.Priority, b.step.Job.Spec.Queue.Priority),
		a.rank.Compare(b.rank),
		cmp.Compare(a.step.Ref.Job, b.step.Ref.Job),
		cmp.Compare(a.step.Ref.Step, b.step.Ref.Step),
	)
}

// collectRunners gathers the runners that may take tasks, by service, in a fixed order.
func (p *pass) collectRunners() {
	for _, r := range p.table.Runners {
		if r.Usable(p.now) {
			name := r.Info.Service
			capacity := &runnerCapacity{runner: r, free: r.Free()}
			p.runners[name] = append(p.runners[name], capacity)
			p.byIncarnation[r.Incarnation()] = capacity
			p.cores[name] += r.Info.Capacity.Cores
		}
	}
	for _, runners := range p.runners {
		slices.SortFunc(runners, func(a, b *runnerCapacity) int { return cmp.Compare(a.runner.Info.ID, b.runner.Info.ID) })
	}
}

// serve starts what fits of one step.
func (p *pass) serve(s *tasks.Step) {
	if s.Job.Spec.Queue.Advice != nil {
		p.serveAdvised(s)
		return
	}
	if runners := p.eligibleRunners(s); len(runners) > 0 {
		p.placeTasks(s, runners)
	}
}

// placeTasks starts what fits of the step on the runners; false means that room is lacking.
func (p *pass) placeTasks(s *tasks.Step, runners []*runnerCapacity) bool {
	if s.Spec.Gang {
		return p.serveGang(s, runners)
	}
	return p.serveEach(s, runners)
}

// eligibleRunners returns the runners that could run a task of the step when they are empty.
func (p *pass) eligibleRunners(s *tasks.Step) []*runnerCapacity {
	var out []*runnerCapacity
	for _, r := range p.runners[s.Job.Spec.Queue.Service] {
		if canRun(s, r) {
			out = append(out, r)
		}
	}
	return out
}

// canRun tells whether the runner could run a task of the step when it is empty.
func canRun(s *tasks.Step, r *runnerCapacity) bool {
	if s.Spec.Label != "" && !r.runner.Has(s.Spec.Label) {
		return false
	}
	return taskResources(s).Fits(r.runner.Info.Capacity)
}

// taskResources returns what a task of the step takes of a runner's capacity.
func taskResources(s *tasks.Step) types.Resources {
	n := s.Spec.Resources
	if s.Spec.Fills {
		n.Cores = 0
	}
	return n
}

// serveEach places the waiting tasks of the step one by one; false means that room is lacking.
func (p *pass) serveEach(s *tasks.Step, runners []*runnerCapacity) bool {
	var stale []*runnerCapacity
	hasCapacity := true
	for _, t := range s.Tasks {
		if t.State != tasks.Waiting || t.Run != nil || p.now.Before(t.NotBefore) {
			continue
		}
		r := p.bestRunner(t, runners)
		if r == nil {
			hasCapacity = false
			break
		}
		ticket, ok := p.ticket(s, r)
		if !ok {
			// The room is kept for the task, whose ticket is asked for.
			stale = append(stale, r)
			r.free = r.free.Sub(taskResources(s))
			continue
		}
		p.startTask(t, r, ticket)
	}
	p.renewTickets(s, stale, runners)
	return hasCapacity
}

func (p *pass) startTask(t *tasks.Task, r *runnerCapacity, ticket agent.Ticket) {
	r.free = r.free.Sub(taskResources(t.Step))
	until := t.Step.Advice.Answers[r.runner.Incarnation()].Until
	p.out.Starts = append(p.out.Starts, Start{Task: t, Runner: r.runner, Ticket: ticket, TicketUntil: until})
}

// bestRunner returns the runner with room on which the task should run, or nil.
func (p *pass) bestRunner(t *tasks.Task, runners []*runnerCapacity) *runnerCapacity {
	var best *runnerCapacity
	lowest := 0.0
	n := taskResources(t.Step)
	for _, r := range runners {
		if !n.Fits(r.free) || p.atPerRunnerLimit(t.Step, r) {
			continue
		}
		c := cost(t, r)
		if best == nil || c < lowest {
			best, lowest = r, c
		}
	}
	return best
}

// atPerRunnerLimit tells whether the runner has as many tasks of the step as the step allows.
func (p *pass) atPerRunnerLimit(s *tasks.Step, r *runnerCapacity) bool {
	return s.Spec.PerRunner > 0 && p.countTasks(s, r) >= s.Spec.PerRunner
}

// countTasks returns how many tasks of the step are on the runner, those planned in this pass included.
func (p *pass) countTasks(s *tasks.Step, r *runnerCapacity) int {
	n := 0
	for key := range r.runner.Runs {
		if key.Ref.StepRef == s.Ref {
			n++
		}
	}
	for _, start := range p.out.Starts {
		if start.Runner == r.runner && start.Task.Step == s {
			n++
		}
	}
	return n
}
