package order

import (
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// placeShareLimit limits the cores that gangs keep while calls for their tickets are in flight, as a fraction of the cores of their
// service.
const placeShareLimit = 0.2

// keptPlace is the capacity that a gang keeps in one pass.
type keptPlace struct {
	runner *runnerCapacity
	count  int
}

// keepPlaces reserves, for each gang that waits for tickets, the capacity on which it fitted when the tickets were requested.
// A call for tickets takes about half a second, in which small urgent tasks would otherwise take that capacity each time.
func (p *pass) keepPlaces(entries []entry, compare ranking) {
	var waiting []entry
	for _, e := range entries {
		if e.tier != overdue && len(e.step.Advice.Place) > 0 && p.isPlaceNeeded(e.step) {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, compare)
	cores := make(map[types.ServiceName]types.MilliCores)
	for _, e := range waiting {
		s := e.step
		service := s.Job.Spec.Queue.Service
		wanted := taskResources(s).Times(len(s.Tasks)).Cores
		if cores[service]+wanted > types.MilliCores(placeShareLimit*float64(p.cores[service])) {
			continue
		}
		cores[service] += wanted
		p.keepPlace(s)
	}
}

// isPlaceNeeded reports whether a call for the tickets of the gang's place is in flight, or one of the tickets is valid.
func (p *pass) isPlaceNeeded(s *tasks.Step) bool {
	if s.Advice.Pending > 0 {
		return true
	}
	for _, share := range s.Advice.Place {
		if _, ok := s.Advice.Permit(share.Incarnation, p.now); ok {
			return true
		}
	}
	return false
}

// keepPlace takes the gang's place from the free capacity until the gang is served.
func (p *pass) keepPlace(s *tasks.Step) {
	for _, share := range s.Advice.Place {
		r := p.capacityOf(s, share.Incarnation)
		if r == nil {
			continue
		}
		r.free = r.free.Sub(taskResources(s).Times(share.Count))
		p.places[s] = append(p.places[s], keptPlace{runner: r, count: share.Count})
	}
}

// releasePlace adds the place that the step keeps to the free capacity again, so that the step can start there.
func (p *pass) releasePlace(s *tasks.Step) {
	if len(p.places[s]) == 0 {
		return
	}
	p.forgetFull()
	for _, kept := range p.places[s] {
		kept.runner.free = kept.runner.free.Add(taskResources(s).Times(kept.count))
	}
	delete(p.places, s)
}

// placeOf returns the shares as the place that the gang keeps while the calls for its tickets are in flight.
func placeOf(shares []gangShare) []tasks.PlaceShare {
	out := make([]tasks.PlaceShare, 0, len(shares))
	for _, sh := range shares {
		out = append(out, tasks.PlaceShare{Incarnation: sh.runner.runner.Incarnation(), Count: sh.count})
	}
	return out
}
