package plan

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Apply carries out an action that changes only the tables and reports whether the action was of that kind:
// quarantine, probe, release, reservations and reasons for waiting. It calls no worker and does not use the
// store. The caller must own the state.
func Apply(s *table.State, a Action, now time.Time) bool {
	switch a := a.(type) {
	case QuarantineAction:
		if w, ok := s.Workers[a.Worker]; ok {
			s.Quarantine(w, now)
		}
	case ProbeAction:
		if w, ok := s.Workers[a.Worker]; ok {
			s.Probe(w, now)
		}
	case ReleaseAction:
		if w, ok := s.Workers[a.Worker]; ok {
			s.Release(w)
		}
	case ReserveAction:
		s.Reserve(&table.Reservation{Job: a.Job, Workers: a.Workers, Since: now, Until: a.Until})
	case UnreserveAction:
		s.Unreserve(a.Job)
	case WaitAction:
		if j, ok := s.Jobs[a.Job]; ok {
			j.Reason = a.Reason
			j.ReasonAt = now
		}
	default:
		return false
	}
	return true
}
