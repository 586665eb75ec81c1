package order

import (
	"cmp"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// refreshFactor is for how many times the gang tickets are kept valid, since it is not known which places become free first.
	refreshFactor = 2
	// maxRefreshed limits the runners that one call for fresh tickets names.
	maxRefreshed = 60
	// refreshDivisor is the part of the tickets, one in so many, that must expire for a call to be worth its fixed cost.
	refreshDivisor = 2
	// maxPlacesPerRunner limits the places that are told apart on one runner: thousands of tiny tasks could fit there.
	maxPlacesPerRunner = 64
)

// nextPlace is capacity for one task of a gang on a runner that it is allowed.
type nextPlace struct {
	runner *runnerCapacity
	// lacks is what the runner lacks of the cores for this and the places before it; zero when it is free now.
	lacks types.MilliCores
	// index is the number of places before this one, on runners with lower ids or on the same one; it decides between equal places.
	index int
}

// refreshTickets plans a call for new tickets for the runners with the next places of a gang that can still be done in time, if many of them
// expire before the call is answered, so that the gang starts as soon as it fits. Asking only then would leave the places idle meanwhile.
func (p *pass) refreshTickets(s *tasks.Step, runners []*runnerCapacity) {
	if !p.mayRefresh(s) {
		return
	}
	next := runnersOfNextPlaces(s, runners, refreshFactor*len(s.Tasks))
	answered := p.now.Add(s.Job.Spec.Queue.Advice.CallDuration(len(next)) + p.limits.TicketMargin)
	expiring := 0
	for _, r := range next {
		if _, ok := s.Advice.Permit(r.runner.Incarnation(), answered); !ok {
			expiring++
		}
	}
	if expiring > 0 && expiring >= len(next)/refreshDivisor {
		p.addAdviceCall(s, next, nil)
	}
}

// mayRefresh reports whether new tickets may be requested for a gang that does not fit.
func (p *pass) mayRefresh(s *tasks.Step) bool {
	return s.NeedsTicket() && p.canCallAdvice(s) && p.newEntry(s).tier == inTime
}

// runnersOfNextPlaces returns the runners, maxRefreshed at most, that have the first count places for tasks of the step, those that lack the
// fewest cores first. It returns none if they would have fewer places even when empty.
func runnersOfNextPlaces(s *tasks.Step, runners []*runnerCapacity, count int) []*runnerCapacity {
	places := nextPlaces(s, runners)
	if len(places) < count {
		return nil
	}
	slices.SortFunc(places, func(a, b nextPlace) int { return cmp.Or(cmp.Compare(a.lacks, b.lacks), cmp.Compare(a.index, b.index)) })
	out := make([]*runnerCapacity, 0, min(count, maxRefreshed, len(runners)))
	for _, place := range places[:count] {
		if slices.Contains(out, place.runner) {
			continue
		}
		out = append(out, place.runner)
		if len(out) == maxRefreshed {
			break
		}
	}
	return out
}

// nextPlaces returns the places for tasks of the step on the runners, in no order.
func nextPlaces(s *tasks.Step, runners []*runnerCapacity) []nextPlace {
	need := taskResources(s)
	count := 0
	for _, r := range runners {
		count += placesWhenEmpty(s, r)
	}
	out := make([]nextPlace, 0, count)
	for _, r := range runners {
		for n := range placesWhenEmpty(s, r) {
			lacks := need.Times(n+1).Cores - r.free.Cores
			out = append(out, nextPlace{runner: r, lacks: max(0, lacks), index: len(out)})
		}
	}
	return out
}

// placesWhenEmpty returns how many tasks of the step fit on the runner when it is empty, at most maxPlacesPerRunner.
func placesWhenEmpty(s *tasks.Step, r *runnerCapacity) int {
	most := taskResources(s).CountIn(r.runner.Info.Capacity, maxPlacesPerRunner)
	if s.Spec.PerRunner > 0 {
		most = min(most, s.Spec.PerRunner)
	}
	return most
}
