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
	// putOffShare is the part of its service's cores on which a job's size is turned into time.
	putOffShare = 1.0 / 16
	// maxPutOff limits by how much a job goes behind smaller ones.
	maxPutOff = time.Minute
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
		table    *tasks.Table
		limits   Limits
		now      time.Time
		rooms    map[types.ServiceName][]*room
		lives    map[tasks.Incarnation]*room
		reserved map[types.ServiceName]types.MilliCores
		// cores is what the runners of each service have in all.
		cores map[types.ServiceName]types.MilliCores
		out   Plan
	}

	// room is a runner with what is left of it in this pass.
	room struct {
		runner *tasks.Runner
		free   types.Resources
	}

	// entry is a step with its place in the order.
	entry struct {
		step *tasks.Step
		tier tier
		// latest is when the step must start to be done in time.
		latest time.Time
		// rank orders the entries of one tier and priority: latest, put off by the size of the work.
		rank time.Time
	}
)

// MakePlan decides what starts now.
func MakePlan(t *tasks.Table, now time.Time, limits Limits) Plan {
	return plan(t, now, limits, byUrgency)
}

// plan decides what starts now, with the steps served in the given order.
func plan(t *tasks.Table, now time.Time, limits Limits, before ranking) Plan {
	p := &pass{
		table:    t,
		limits:   limits,
		now:      now,
		rooms:    make(map[types.ServiceName][]*room),
		lives:    make(map[tasks.Incarnation]*room, len(t.Runners)),
		reserved: make(map[types.ServiceName]types.MilliCores),
		cores:    make(map[types.ServiceName]types.MilliCores),
	}
	p.collect()
	entries := p.entries(before)
	p.out.Idle = len(entries) == 0
	if p.out.Idle {
		return p.out
	}
	for _, e := range entries {
		p.serve(e.step)
	}
	return p.out
}

// entries returns the open steps in the order in which they are served.
func (p *pass) entries(before ranking) []entry {
	var out []entry
	for _, j := range p.table.Jobs {
		if j.Ending {
			continue
		}
		for _, o := range j.Occurrences {
			for _, s := range o.Steps {
				if s.CanStart() {
					out = append(out, p.entry(s))
				}
			}
		}
	}
	slices.SortFunc(out, before)
	return out[:min(len(out), maxSteps)]
}

func (p *pass) entry(s *tasks.Step) entry {
	left := p.table.Times.RemainingPath(s)
	due := s.Occurrence.Due
	allowance := s.Job.Allowance()
	e := entry{step: s, latest: due.Add(allowance - left)}
	e.rank = e.latest.Add(p.putOff(s))
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

// putOff returns how long the rest of the work would take on its part of the service's cores.
func (p *pass) putOff(s *tasks.Step) time.Duration {
	cores := putOffShare * float64(p.cores[s.Job.Spec.Queue.Service])
	if cores == 0 {
		return 0
	}
	work := p.table.Times.RemainingWork(s.Occurrence).Seconds() / cores
	return time.Duration(min(work, maxPutOff.Seconds()) * float64(time.Second))
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

// collect gathers the runners that may take tasks, by service, in a fixed order.
func (p *pass) collect() {
	for _, r := range p.table.Runners {
		if r.Usable(p.now) {
			name := r.Info.Service
			free := &room{runner: r, free: r.Free()}
			p.rooms[name] = append(p.rooms[name], free)
			p.lives[r.Incarnation()] = free
			p.cores[name] += r.Info.Capacity.Cores
		}
	}
	for _, rooms := range p.rooms {
		slices.SortFunc(rooms, func(a, b *room) int { return cmp.Compare(a.runner.Info.ID, b.runner.Info.ID) })
	}
}

// serve starts what fits of one step.
func (p *pass) serve(s *tasks.Step) {
	if s.Job.Spec.Queue.Advice != nil {
		p.serveAdvised(s)
		return
	}
	if rooms := p.eligible(s); len(rooms) > 0 {
		p.place(s, rooms)
	}
}

// place starts what fits of the step on the runners; false means that room is lacking.
func (p *pass) place(s *tasks.Step, rooms []*room) bool {
	if s.Spec.Gang {
		return p.serveGang(s, rooms)
	}
	return p.serveEach(s, rooms)
}

// eligible returns the runners that could run a task of the step when they are empty.
func (p *pass) eligible(s *tasks.Step) []*room {
	var out []*room
	for _, r := range p.rooms[s.Job.Spec.Queue.Service] {
		if suits(s, r) {
			out = append(out, r)
		}
	}
	return out
}

// suits tells whether the runner could run a task of the step when it is empty.
func suits(s *tasks.Step, r *room) bool {
	if s.Spec.Label != "" && !r.runner.Has(s.Spec.Label) {
		return false
	}
	return need(s).Fits(r.runner.Info.Capacity)
}

// need returns what a task of the step takes of a runner's capacity.
func need(s *tasks.Step) types.Resources {
	n := s.Spec.Resources
	if s.Spec.Fills {
		n.Cores = 0
	}
	return n
}

// serveEach places the waiting tasks of the step one by one; false means that room is lacking.
func (p *pass) serveEach(s *tasks.Step, rooms []*room) bool {
	var stale []*room
	served := true
	for _, t := range s.Tasks {
		if t.State != tasks.Waiting || t.Run != nil || p.now.Before(t.NotBefore) {
			continue
		}
		r := p.best(t, rooms)
		if r == nil {
			served = false
			break
		}
		ticket, ok := p.ticket(s, r)
		if !ok {
			// The room is kept for the task, whose ticket is asked for.
			stale = append(stale, r)
			r.free = r.free.Sub(need(s))
			continue
		}
		p.start(t, r, ticket)
	}
	p.renew(s, stale, rooms)
	return served
}

func (p *pass) start(t *tasks.Task, r *room, ticket agent.Ticket) {
	r.free = r.free.Sub(need(t.Step))
	until := t.Step.Advice.Answers[r.runner.Incarnation()].Until
	p.out.Starts = append(p.out.Starts, Start{Task: t, Runner: r.runner, Ticket: ticket, TicketUntil: until})
}

// best returns the runner with room on which the task should run, or nil.
func (p *pass) best(t *tasks.Task, rooms []*room) *room {
	var found *room
	lowest := 0.0
	n := need(t.Step)
	for _, r := range rooms {
		if !n.Fits(r.free) || p.crowded(t.Step, r) {
			continue
		}
		c := cost(t, r)
		if found == nil || c < lowest {
			found, lowest = r, c
		}
	}
	return found
}

// crowded tells whether the runner has as many tasks of the step as the step allows.
func (p *pass) crowded(s *tasks.Step, r *room) bool {
	return s.Spec.PerRunner > 0 && p.count(s, r) >= s.Spec.PerRunner
}

// count returns how many tasks of the step are on the runner, those planned in this pass included.
func (p *pass) count(s *tasks.Step, r *room) int {
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
