package order

import (
	"cmp"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// askedCapacityFactor is how many times more room than needed is asked about, since room changes before tickets come.
	askedCapacityFactor = 4
	// minAskedRunners is how many runners are named at least.
	minAskedRunners = 12
	// spareTickets is how many more runners than needed are named when tickets are renewed.
	spareTickets = 2
	// maxMarginDivisor is the part of its validity that a ticket must still have at most, as one in so many.
	maxMarginDivisor = 2
)

// serveAdvised starts what fits of a step on the runners that the advice service allows it, and asks for the advice
// that it lacks.
func (p *pass) serveAdvised(s *tasks.Step) {
	runners := p.allowedRunners(s)
	switch {
	case len(runners) == 0:
		p.requestAdvice(s, hasNoAdvice)
	case !p.placeTasks(s, runners):
		p.requestAdvice(s, fitsWithoutAdvice)
	}
}

// allowedRunners returns the runners that the advice service allows the step.
func (p *pass) allowedRunners(s *tasks.Step) []*runnerCapacity {
	var out []*runnerCapacity
	for _, l := range s.Advice.Allowed {
		r := p.byIncarnation[l]
		if r != nil && s.Advice.Answers[l].Allowed && canRun(s, r) {
			out = append(out, r)
		}
	}
	return out
}

// hasNoAdvice tells whether the advice service was never asked whether the runner may run the step.
func hasNoAdvice(s *tasks.Step, r *runnerCapacity) bool {
	_, known := s.Advice.Answers[r.runner.Incarnation()]
	return !known
}

// fitsWithoutAdvice tells the same, of a runner that has room for a task now.
func fitsWithoutAdvice(s *tasks.Step, r *runnerCapacity) bool {
	return taskResources(s).Fits(r.free) && hasNoAdvice(s, r)
}

// requestAdvice asks about those runners that are wanted: as many as should hold the step, given the share that its queue is
// usually allowed. They are named in the order of their ids, so that work fills some and leaves others to gangs.
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
	for i, r := range unknown {
		if i+1 >= agent.MaxAdvised || (wanted <= 0 && i+1 >= minAskedRunners) {
			p.addAdviceCall(s, unknown[:i+1])
			return
		}
		wanted -= share * float64(max(p.countFitting(s, r), 1))
	}
	p.addAdviceCall(s, unknown)
}

// canCallAdvice tells whether a call on the step may be made now.
func (p *pass) canCallAdvice(s *tasks.Step) bool {
	return s.Advice.Pending == 0 && p.limits.AdviceBudget.Allows(s.Job.Spec.Queue.Advice.CallDuration(1))
}

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

// ticket returns the ticket for a start on the runner; queues without advice need none.
func (p *pass) ticket(s *tasks.Step, r *runnerCapacity) (agent.Ticket, bool) {
	if s.Job.Spec.Queue.Advice == nil {
		return "", true
	}
	// Slow writes in the past must not make every ticket look too short: only new writes tell that they are over.
	margin := min(p.limits.TicketMargin, s.Job.Spec.Queue.Advice.Validity/maxMarginDivisor)
	return s.Advice.Ticket(r.runner.Incarnation(), p.now.Add(margin))
}

// renewTickets asks for new tickets for the runners, and for a few more that have room.
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
