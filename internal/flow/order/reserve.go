package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// reservedShare limits the cores that gangs may reserve, as a fraction of the cores of their service.
	reservedShare = 0.2
	// refreshFactor is for how many times the gang tickets are kept valid, since it is not known which places become free first.
	refreshFactor = 2
	// maxRefreshed limits the runners that one call for fresh tickets names.
	maxRefreshed = 60
	// refreshAhead is how long before they expire tickets are replaced: about as long as a call for advice takes.
	refreshAhead = 700 * time.Millisecond
	// refreshDivisor is the part of the tickets, one in so many, that must expire for a call to be worth its fixed cost.
	refreshDivisor = 2
)

// nextPlace is capacity for one task of a gang on a runner that it is allowed.
type nextPlace struct {
	runner *runnerCapacity
	// lacks is what the runner lacks of the cores for this and the places before it; zero when it is free now.
	lacks types.MilliCores
}

// awaitPlaces does what a gang that does not fit can do now: it has its tickets refreshed, and reserves capacity for this pass. The gang
// reserves while a call for advice is in flight, too: finding more runners takes call after call, in which smaller work would take each
// place that becomes free.
func (p *pass) awaitPlaces(s *tasks.Step, runners []*runnerCapacity) {
	p.refreshTickets(s, runners)
	isReserved := p.reserveForGang(s, runners)
	p.noteWait(s, p.reasonWithoutPlace(s, runners, isReserved))
}

// reserveForGang reserves capacity for a gang that does not fit, for this pass: it subtracts the gang's resources from
// the free capacity of the runners that have the most free cores already, as many of them as hold the gang once they
// are empty. Work behind the gang starts there only if it fits beside the gang. It reserves nothing if the gangs of the
// service would then exceed reservedShare of its cores, and reports whether it did. The gang keeps the headroom of its
// organisation only if the runners could hold all of it.
func (p *pass) reserveForGang(s *tasks.Step, runners []*runnerCapacity) bool {
	if !p.claimReserved(s, len(s.Tasks)) {
		return false
	}
	if s.Job.Organisation != nil && couldHold(s, runners, len(s.Tasks)) {
		p.keepHeadroom(s, len(s.Tasks))
	}
	sorted := slices.Clone(runners)
	slices.SortStableFunc(sorted, func(a, b *runnerCapacity) int { return cmp.Compare(b.free.Cores, a.free.Cores) })
	left := len(s.Tasks)
	for _, r := range sorted {
		n := min(left, taskResources(s).CountIn(r.runner.Info.Capacity, specs.MaxWidth))
		r.free = r.free.Sub(taskResources(s).Times(n))
		left -= n
		if left == 0 {
			break
		}
	}
	return true
}

// claimReserved counts the cores of n tasks of a gang as reserved in this pass. It returns false, and counts nothing, if the
// gangs of the service would then exceed reservedShare of its cores.
func (p *pass) claimReserved(s *tasks.Step, n int) bool {
	service := s.Job.Spec.Queue.Service
	wanted := taskResources(s).Times(n).Cores
	if p.reserved[service]+wanted > types.MilliCores(reservedShare*float64(p.cores[service])) {
		return false
	}
	p.reserved[service] += wanted
	return true
}

// refreshTickets plans a call for new tickets for the runners with the next places of a gang that can still be done in time, if many of them
// are about to expire, so that the gang starts as soon as it fits. Asking only then would leave the places idle during the call.
func (p *pass) refreshTickets(s *tasks.Step, runners []*runnerCapacity) {
	if s.Job.Spec.Queue.Advice == nil || !p.canCallAdvice(s) || p.newEntry(s).tier != inTime {
		return
	}
	next := runnersOfNextPlaces(s, runners, refreshFactor*len(s.Tasks))
	expiring := 0
	for _, r := range next {
		if _, ok := s.Advice.Ticket(r.runner.Incarnation(), p.now.Add(refreshAhead)); !ok {
			expiring++
		}
	}
	if expiring > 0 && expiring >= len(next)/refreshDivisor {
		p.addAdviceCall(s, next, nil)
	}
}

// runnersOfNextPlaces returns the runners, maxRefreshed at most, that have the first count places for tasks of the step, those that lack the
// fewest cores first. It returns none if they would have fewer places even when empty.
func runnersOfNextPlaces(s *tasks.Step, runners []*runnerCapacity, count int) []*runnerCapacity {
	places := nextPlaces(s, runners)
	if len(places) < count {
		return nil
	}
	var out []*runnerCapacity
	found := make(map[*runnerCapacity]bool)
	for _, place := range places[:count] {
		if found[place.runner] {
			continue
		}
		found[place.runner] = true
		out = append(out, place.runner)
		if len(out) == maxRefreshed {
			break
		}
	}
	return out
}

// nextPlaces returns the places for tasks of the step on the runners, those that lack the fewest cores first.
func nextPlaces(s *tasks.Step, runners []*runnerCapacity) []nextPlace {
	need := taskResources(s)
	var out []nextPlace
	for _, r := range runners {
		most := need.CountIn(r.runner.Info.Capacity, specs.MaxWidth)
		if s.Spec.PerRunner > 0 {
			most = min(most, s.Spec.PerRunner)
		}
		for n := range most {
			lacks := need.Times(n+1).Cores - r.free.Cores
			out = append(out, nextPlace{runner: r, lacks: max(0, lacks)})
		}
	}
	slices.SortStableFunc(out, func(a, b nextPlace) int { return cmp.Compare(a.lacks, b.lacks) })
	return out
}
