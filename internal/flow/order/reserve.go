package order

import (
	"cmp"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// reservedShare limits the cores that gangs may reserve, as a fraction of the cores of their service.
const reservedShare = 0.2

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

// claimReserved counts the cores of n tasks of a gang as reserved in this pass. It returns false, and counts nothing, if they may not be
// reserved.
func (p *pass) claimReserved(s *tasks.Step, n int) bool {
	if !p.mayReserve(s, n) {
		return false
	}
	p.reserved[s.Job.Spec.Queue.Service] += taskResources(s).Times(n).Cores
	return true
}

// mayReserve reports whether the gangs of the service, with n tasks of this one, reserve no more than reservedShare of its cores.
func (p *pass) mayReserve(s *tasks.Step, n int) bool {
	service := s.Job.Spec.Queue.Service
	wanted := taskResources(s).Times(n).Cores
	return p.reserved[service]+wanted <= types.MilliCores(reservedShare*float64(p.cores[service]))
}

// isIdleGang reports whether nothing can be done for the gang whatever runners it is allowed: it does not fit on all of them together, also
// if nothing were kept for others, may not reserve capacity, and needs no new tickets.
func (p *pass) isIdleGang(s *tasks.Step) bool {
	return p.allTasksWait(s) && !p.mayReserve(s, len(s.Tasks)) && !p.mayRefresh(s) && !p.mayFitGang(s) &&
		!hasFreePlaces(s, p.roomBesideRuns.find(p.classOf(s), p.runnersFor(s)))
}
