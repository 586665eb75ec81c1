package order

import (
	"cmp"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// gangSpareDivisor sets the number of spare runners that a call for a gang's tickets names: one for every
// gangSpareDivisor runners of the gang, since free capacity changes before the tickets arrive.
const gangSpareDivisor = 3

// gangShare is the number of tasks of a gang that start on one runner.
type gangShare struct {
	runner *runnerCapacity
	count  int
}

// serveGang starts all tasks of the step or none, and returns false when free capacity is lacking. For a gang that does
// not fit, it reserves capacity; for one whose members are ending, it prepares the next attempt.
func (p *pass) serveGang(s *tasks.Step, runners []*runnerCapacity) bool {
	if !p.allTasksWait(s) {
		p.noteWait(s, WaitsForMembers)
		p.prepareRestart(s, runners)
		return true
	}
	isAsking := s.Advice.Pending > 0
	if !p.mayFitGang(s) {
		p.awaitPlaces(s, runners)
		return isAsking
	}
	if shares, quiet := p.fitWithTickets(s, runners); shares != nil {
		p.startGang(s, shares, quiet)
		return true
	}
	fitting := runners
	if isAsking {
		fitting = p.askedRunners(s, runners)
	}
	if shares := p.fitGang(s, fitting); shares != nil {
		// The capacity stays reserved until the tickets arrive.
		p.noteWait(s, WaitsForTickets)
		p.subtractShares(s, shares)
		if !isAsking {
			p.renewGangTickets(s, shares, runners)
		}
		return true
	}
	p.awaitPlaces(s, runners)
	return isAsking
}

// startGang starts the tasks of the step on the runners of the shares, all of which have a valid ticket or need none.
func (p *pass) startGang(s *tasks.Step, shares []gangShare, quiet bool) {
	index := 0
	for _, sh := range shares {
		permit, _ := p.permit(s, sh.runner)
		for range sh.count {
			p.startTask(s.Tasks[index], sh.runner, permit, quiet)
			index++
		}
		if quiet {
			p.keepQuiet(sh.runner)
		}
	}
}

// fitWithTickets distributes the gang over runners for which it has tickets, and reports whether it starts there apart from
// other starts: a gang that may crash its runners does, if it fits on such ones.
func (p *pass) fitWithTickets(s *tasks.Step, runners []*runnerCapacity) (shares []gangShare, quiet bool) {
	ready := p.withTickets(s, runners)
	if s.Tasks[0].IsSuspect() {
		if shares := p.fitGang(s, p.settledRunners(ready)); shares != nil {
			return shares, true
		}
	}
	return p.fitGang(s, ready), false
}

// withTickets returns those of the runners on which a task fits now and for which the step has a valid ticket or needs none.
func (p *pass) withTickets(s *tasks.Step, runners []*runnerCapacity) []*runnerCapacity {
	need := taskResources(s)
	var out []*runnerCapacity
	for _, r := range runners {
		if !need.Fits(r.free) {
			continue
		}
		if _, ok := p.permit(s, r); ok {
			out = append(out, r)
		}
	}
	return out
}

// askedRunners returns those of the runners that the latest calls for advice on the step named.
func (p *pass) askedRunners(s *tasks.Step, runners []*runnerCapacity) []*runnerCapacity {
	for _, incarnation := range s.Advice.Asked {
		if r := p.capacityOf(s, incarnation); r != nil {
			r.askedFor = s
		}
	}
	var out []*runnerCapacity
	for _, r := range runners {
		if r.askedFor == s {
			out = append(out, r)
		}
	}
	return out
}

// renewGangTickets plans calls for tickets for all runners of the shares and for some spare ones; see gangSpareDivisor.
func (p *pass) renewGangTickets(s *tasks.Step, shares []gangShare, runners []*runnerCapacity) {
	var wanted []*runnerCapacity
	for _, sh := range shares {
		wanted = append(wanted, sh.runner)
	}
	spare := max(spareTickets, len(wanted)/gangSpareDivisor)
	for _, r := range runners {
		if spare == 0 {
			break
		}
		if !slices.Contains(wanted, r) && p.countFitting(s, r) > 0 {
			wanted = append(wanted, r)
			spare--
		}
	}
	p.addAdviceCall(s, wanted[:min(len(wanted), maxNamed(s))], placeOf(shares))
}

// allTasksWait reports whether every task of the gang waits and may start now.
func (p *pass) allTasksWait(s *tasks.Step) bool {
	for _, t := range s.Tasks {
		if !p.isDue(t) {
			return false
		}
	}
	return true
}

// fitGang distributes the gang over the runners, within one rack if the step prefers that and it is possible. It
// returns nil when the gang does not fit.
func (p *pass) fitGang(s *tasks.Step, runners []*runnerCapacity) []gangShare {
	if s.Spec.SameRack {
		if shares := p.fitOneRack(s, runners); shares != nil {
			return shares
		}
	}
	return p.fitAny(s, runners)
}

// fitOneRack distributes the gang over the runners of the first rack, by name, that has free capacity for all of it. It
// returns nil when there is none.
func (p *pass) fitOneRack(s *tasks.Step, runners []*runnerCapacity) []gangShare {
	racks := make(map[specs.Label][]*runnerCapacity)
	var names []specs.Label
	for _, r := range runners {
		rack := r.runner.Info.Rack
		if racks[rack] == nil {
			names = append(names, rack)
		}
		racks[rack] = append(racks[rack], r)
	}
	slices.Sort(names)
	for _, name := range names {
		if shares := p.fitAny(s, racks[name]); shares != nil {
			return shares
		}
	}
	return nil
}

// fitAny distributes the gang over the runners, those of the lowest cost first. It returns nil when the gang does not
// fit.
func (p *pass) fitAny(s *tasks.Step, runners []*runnerCapacity) []gangShare {
	type candidate struct {
		gangShare
		cost  float64
		index int
	}
	var fitting []candidate
	total := 0
	for i, r := range runners {
		if n := p.countFitting(s, r); n > 0 {
			fitting = append(fitting, candidate{gangShare: gangShare{runner: r, count: n}, cost: cost(s.Tasks[0], r), index: i})
			total += n
		}
	}
	left := len(s.Tasks)
	if total < left {
		return nil
	}
	slices.SortFunc(fitting, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.index, b.index))
	})
	var out []gangShare
	for _, c := range fitting {
		c.count = min(left, c.count)
		out = append(out, c.gangShare)
		left -= c.count
		if left == 0 {
			break
		}
	}
	return out
}

// countFitting returns how many more tasks of the step fit on the runner now.
func (p *pass) countFitting(s *tasks.Step, r *runnerCapacity) int {
	n := taskResources(s).CountIn(r.free, specs.MaxWidth)
	if s.Spec.PerRunner > 0 {
		n = min(n, s.Spec.PerRunner-p.countTasks(s, r))
	}
	return max(n, 0)
}

// subtractShares takes the resources of the shares from the capacity that is free for other steps in this pass.
func (p *pass) subtractShares(s *tasks.Step, shares []gangShare) {
	for _, sh := range shares {
		sh.runner.free = sh.runner.free.Sub(taskResources(s).Times(sh.count))
		p.claimHeadroom(s, sh.count)
	}
}
