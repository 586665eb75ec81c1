package order

import (
	"cmp"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// spareTickets is how many runners more than needed a call names when it renews tickets.
	spareTickets = 2
	// maxMarginDivisor limits the ticket margin to this fraction, 1/maxMarginDivisor, of a ticket's validity.
	maxMarginDivisor = 2
)

// serveAdvised starts as many tasks of the step as fit on the runners that the advice service allows, and plans a call
// for the advice that is missing.
func (p *pass) serveAdvised(s *tasks.Step) {
	runners, isAllowed := p.advisedRunners(s)
	switch {
	case !isAllowed:
		p.noteWait(s, WaitsForAdvice)
		p.requestAdvice(s, true)
	case !p.placeTasks(s, runners):
		p.requestAdvice(s, false)
	}
	if s.Advice.Pending > 0 {
		p.accountForAdvice(s)
	}
}

// accountForAdvice accounts for a step whose advice is in flight or requested: it takes the cores of the step's waiting tasks from
// those for which further calls for advice may be made, and records what the tasks will take of the organisation's headroom.
func (p *pass) accountForAdvice(s *tasks.Step) {
	wanted := p.wantedTasks(s)
	p.askable[s.Job.Spec.Queue.Service] -= taskResources(s).Times(wanted).Cores
	if s.Spec.Gang && p.allTasksWait(s) {
		p.keepForAdvice(s)
		return
	}
	p.addAsked(s, wanted)
}

// advisedRunners returns the runners on which the step may be placed, and whether the advice service allows any. For a step that is no
// gang it returns only those on which a task fits now, and for an idle gang none.
func (p *pass) advisedRunners(s *tasks.Step) (runners []*runnerCapacity, isAllowed bool) {
	if !s.Spec.Gang {
		return p.fittingAllowedRunners(s)
	}
	if p.isIdleGang(s) {
		return nil, p.hasAllowed(s)
	}
	runners = p.allowedRunners(s)
	return runners, len(runners) > 0
}

// allowedRunners returns the usable runners on which the advice service allows the step to run.
func (p *pass) allowedRunners(s *tasks.Step) []*runnerCapacity {
	out := make([]*runnerCapacity, 0, len(s.Advice.Allowed))
	for i := range s.Advice.Allowed {
		if r := p.everAllowed(s, i); r != nil && p.isAllowed(s, i, r) {
			out = append(out, r)
		}
	}
	return out
}

// hasAllowed reports whether allowedRunners returns any.
func (p *pass) hasAllowed(s *tasks.Step) bool {
	for i := range s.Advice.Allowed {
		if r := p.everAllowed(s, i); r != nil && p.isAllowed(s, i, r) {
			return true
		}
	}
	return false
}

// fittingAllowedRunners returns those of the allowed runners on which a task of the step fits now, and whether there are any allowed
// ones. Under overload nearly all of them are full.
func (p *pass) fittingAllowedRunners(s *tasks.Step) (fitting []*runnerCapacity, isAllowed bool) {
	if p.lacksRoom(s) {
		return nil, p.hasAllowed(s)
	}
	need := taskResources(s)
	for i := range s.Advice.Allowed {
		r := p.everAllowed(s, i)
		if r == nil || (isAllowed && !need.Fits(r.free)) || !p.isAllowed(s, i, r) {
			continue
		}
		isAllowed = true
		if need.Fits(r.free) {
			fitting = append(fitting, r)
		}
	}
	return fitting, isAllowed
}

// everAllowed returns the capacity of the runner that Advice.Allowed holds at the index, or nil when it may not get tasks.
func (p *pass) everAllowed(s *tasks.Step, index int) *runnerCapacity {
	r := p.table.AllowedRunner(&s.Advice, index)
	if r == nil {
		return nil
	}
	return p.usable(s, r)
}

// isAllowed reports whether the latest answer allowed the runner, which Advice.Allowed holds at the index, and it could run the step.
func (p *pass) isAllowed(s *tasks.Step, index int, r *runnerCapacity) bool {
	return canRun(s, r) && s.Advice.Answers[s.Advice.Allowed[index]].Allowed
}

// permit returns the answer with the ticket for a start on the runner, and whether the task may start there: the ticket must stay valid
// for the ticket margin. Queues without advice need no ticket, and the answer is empty.
func (p *pass) permit(s *tasks.Step, r *runnerCapacity) (tasks.RunnerAdvice, bool) {
	if !s.NeedsTicket() {
		return tasks.RunnerAdvice{}, true
	}
	// The margin follows from past writes and only shrinks after new ones. If it exceeded the validity, no ticket
	// would ever suffice, no task would start, and there would be no new writes to show that the slow ones are over.
	margin := min(p.limits.TicketMargin, s.Job.Spec.Queue.Advice.Validity/maxMarginDivisor)
	return s.Advice.Permit(r.runner.Incarnation(), p.now.Add(margin))
}

// renewTickets plans a call for new tickets for the stale runners, and for up to spareTickets others that have free
// capacity.
func (p *pass) renewTickets(s *tasks.Step, stale, runners []*runnerCapacity) {
	if len(stale) == 0 {
		return
	}
	named := slices.Clone(stale)
	for _, r := range runners {
		if len(named) >= len(stale)+spareTickets {
			break
		}
		if taskResources(s).Fits(r.free) {
			named = append(named, r)
		}
	}
	slices.SortFunc(named, func(a, b *runnerCapacity) int { return cmp.Compare(a.runner.Info.ID, b.runner.Info.ID) })
	p.addAdviceCall(s, slices.Compact(named), nil)
}
