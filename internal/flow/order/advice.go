package order

import (
	"cmp"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// askedCapacityFactor is how many times the needed capacity is asked about, since free capacity changes before
	// the tickets arrive.
	askedCapacityFactor = 4
	// minAskedRunners is the least number of runners that a call names, if there are that many.
	minAskedRunners = 12
	// spareTickets is how many runners more than needed a call names when it renews tickets.
	spareTickets = 2
	// maxMarginDivisor limits the ticket margin to this fraction, 1/maxMarginDivisor, of a ticket's validity.
	maxMarginDivisor = 2
)

// serveAdvised starts as many tasks of the step as fit on the runners that the advice service allows, and plans a call
// for the advice that is missing.
func (p *pass) serveAdvised(s *tasks.Step) {
	runners := p.allowedRunners(s)
	switch {
	case len(runners) == 0:
		p.requestAdvice(s, hasNoAdvice)
	case !p.placeTasks(s, runners):
		p.requestAdvice(s, fitsWithoutAdvice)
	}
}

// allowedRunners returns the usable runners on which the advice service allows the step to run.
func (p *pass) allowedRunners(s *tasks.Step) []*runnerCapacity {
	var out []*runnerCapacity
	for _, incarnation := range s.Advice.Allowed {
		r := p.capacityOf(incarnation)
		if r != nil && s.Advice.Answers[incarnation].Allowed && canRun(s, r) {
			out = append(out, r)
		}
	}
	return out
}

// hasNoAdvice reports whether the advice service was never asked whether the runner may run the step.
func hasNoAdvice(s *tasks.Step, r *runnerCapacity) bool {
	_, known := s.Advice.Answers[r.runner.Incarnation()]
	return !known
}

// fitsWithoutAdvice reports whether the runner has free capacity for a task of the step now and the advice service was
// never asked about it.
func fitsWithoutAdvice(s *tasks.Step, r *runnerCapacity) bool {
	return taskResources(s).Fits(r.free) && hasNoAdvice(s, r)
}

// requestAdvice plans a call for advice on the runners for which include returns true: as many as should hold the
// waiting tasks askedCapacityFactor times, given the share of the runners that its queue is usually allowed, but at
// least minAskedRunners and at most agent.MaxAdvised. The call names them in the order of their ids, so that work fills
// some runners and leaves others to gangs.
func (p *pass) requestAdvice(s *tasks.Step, include func(*tasks.Step, *runnerCapacity) bool) {
	if !p.canCallAdvice(s) {
		return
	}
	var unknown []*runnerCapacity
	for _, r := range p.runners[s.Job.Spec.Queue.Service] {
		if include(s, r) && canRun(s, r) {
			unknown = append(unknown, r)
		}
	}
	share := p.table.Shares.Of(s.Job.Spec.Queue.Name)
	wanted := float64(s.WaitingTasks) * askedCapacityFactor
	named := 0
	for named < min(len(unknown), agent.MaxAdvised) && (wanted > 0 || named < minAskedRunners) {
		wanted -= share * float64(max(p.countFitting(s, unknown[named]), 1))
		named++
	}
	p.addAdviceCall(s, unknown[:named])
}

// canCallAdvice reports whether a call for advice on the step may be made now: none is in flight, and the budget allows
// a call.
func (p *pass) canCallAdvice(s *tasks.Step) bool {
	return s.Advice.Pending == 0 && p.limits.AdviceBudget.Allows(s.Job.Spec.Queue.Advice.CallDuration(1))
}

// addAdviceCall adds a call for advice on the runners to the plan, unless one is in flight or the budget is spent.
func (p *pass) addAdviceCall(s *tasks.Step, runners []*runnerCapacity) {
	if s.Advice.Pending > 0 || len(runners) == 0 {
		return
	}
	if !p.limits.AdviceBudget.Spend(s.Job.Spec.Queue.Advice.CallDuration(len(runners))) {
		return
	}
	call := AdviceCall{Step: s}
	for _, r := range runners {
		call.Runners = append(call.Runners, r.runner)
	}
	p.out.AdviceCalls = append(p.out.AdviceCalls, call)
}

// ticket returns the ticket for a start on the runner, and whether the task may start there: the ticket must stay valid
// for the ticket margin. Queues without advice need no ticket.
func (p *pass) ticket(s *tasks.Step, r *runnerCapacity) (agent.Ticket, bool) {
	if s.Job.Spec.Queue.Advice == nil {
		return "", true
	}
	// The margin follows from past writes and only shrinks after new ones. If it exceeded the validity, no ticket
	// would ever suffice, no task would start, and there would be no new writes to show that the slow ones are over.
	margin := min(p.limits.TicketMargin, s.Job.Spec.Queue.Advice.Validity/maxMarginDivisor)
	return s.Advice.Ticket(r.runner.Incarnation(), p.now.Add(margin))
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
	p.addAdviceCall(s, slices.Compact(named))
}
