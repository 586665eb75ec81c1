package order

import (
	"cmp"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// namedFactor is how many times more room than needed is asked about, since room changes before tickets come.
	namedFactor = 4
	// leastNamed is how many runners are named at least.
	leastNamed = 12
	// spareTickets is how many more runners than needed are named when tickets are renewed.
	spareTickets = 2
	// mostMargin is the part of its validity that a ticket must still have at most, as one in so many.
	mostMargin = 2
)

// serveAdvised starts what fits of a step on the runners that the advice service allows it, and asks for the advice
// that it lacks.
func (p *pass) serveAdvised(s *tasks.Step) {
	rooms := p.allowed(s)
	switch {
	case len(rooms) == 0:
		p.inquire(s, unjudged)
	case !p.place(s, rooms):
		p.inquire(s, unjudgedWithRoom)
	}
}

// allowed returns the runners that the advice service allows the step.
func (p *pass) allowed(s *tasks.Step) []*room {
	var out []*room
	for _, l := range s.Advice.Allowed {
		r := p.lives[l]
		if r != nil && s.Advice.Answers[l].Allowed && suits(s, r) {
			out = append(out, r)
		}
	}
	return out
}

// unjudged tells whether the advice service was never asked whether the runner may run the step.
func unjudged(s *tasks.Step, r *room) bool {
	_, known := s.Advice.Answers[r.runner.Incarnation()]
	return !known
}

// unjudgedWithRoom tells the same, of a runner that has room for a task now.
func unjudgedWithRoom(s *tasks.Step, r *room) bool {
	return need(s).Fits(r.free) && unjudged(s, r)
}

// inquire asks about those runners that are wanted: as many as should hold the step, given the share that its queue is
// usually allowed. They are named in the order of their ids, so that work fills some and leaves others to gangs.
func (p *pass) inquire(s *tasks.Step, wants func(*tasks.Step, *room) bool) {
	if !p.mayAsk(s) {
		return
	}
	var unknown []*room
	for _, r := range p.rooms[s.Job.Spec.Queue.Service] {
		if wants(s, r) && suits(s, r) {
			unknown = append(unknown, r)
		}
	}
	share := p.table.Shares.Of(s.Job.Spec.Queue.Name)
	wanted := float64(s.WaitingTasks) * namedFactor
	for i, r := range unknown {
		if i+1 >= agent.MaxAdvised || (wanted <= 0 && i+1 >= leastNamed) {
			p.ask(s, unknown[:i+1])
			return
		}
		wanted -= share * float64(max(p.holds(s, r), 1))
	}
	p.ask(s, unknown)
}

// mayAsk tells whether a call on the step may be made now.
func (p *pass) mayAsk(s *tasks.Step) bool {
	return s.Advice.Pending == 0 && p.limits.AdviceBudget.Allows(s.Job.Spec.Queue.Advice.CallDuration(1))
}

func (p *pass) ask(s *tasks.Step, rooms []*room) {
	if s.Advice.Pending > 0 || len(rooms) == 0 {
		return
	}
	if !p.limits.AdviceBudget.Spend(s.Job.Spec.Queue.Advice.CallDuration(len(rooms))) {
		return
	}
	a := AdviceCall{Step: s}
	for _, r := range rooms {
		a.Runners = append(a.Runners, r.runner)
	}
	p.out.AdviceCalls = append(p.out.AdviceCalls, a)
}

// ticket returns the ticket for a start on the runner; queues without advice need none.
func (p *pass) ticket(s *tasks.Step, r *room) (agent.Ticket, bool) {
	if s.Job.Spec.Queue.Advice == nil {
		return "", true
	}
	// Slow writes in the past must not make every ticket look too short: only new writes tell that they are over.
	margin := min(p.limits.TicketMargin, s.Job.Spec.Queue.Advice.Validity/mostMargin)
	return s.Advice.Ticket(r.runner.Incarnation(), p.now.Add(margin))
}

// renew asks for new tickets for the runners, and for a few more that have room.
func (p *pass) renew(s *tasks.Step, stale, rooms []*room) {
	if len(stale) == 0 {
		return
	}
	named := slices.Clone(stale)
	for _, r := range rooms {
		if len(named) >= len(stale)+spareTickets {
			break
		}
		if need(s).Fits(r.free) {
			named = append(named, r)
		}
	}
	slices.SortFunc(named, func(a, b *room) int { return cmp.Compare(a.runner.Info.ID, b.runner.Info.ID) })
	p.ask(s, slices.Compact(named))
}
