package order

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// Reasons for which a gang waits.
const (
	// WaitsForAdvice means that no answer of the advice service allows a runner yet.
	WaitsForAdvice WaitReason = "Advice"
	// WaitsForPlaces means that too few tasks of the gang fit on the allowed runners.
	WaitsForPlaces WaitReason = "Places"
	// WaitsForShare is WaitsForPlaces for a gang that reserves nothing, since other gangs reserve all that gangs may.
	WaitsForShare WaitReason = "ReservedShare"
	// WaitsForKept means that the gang would fit if capacity were not kept for steps that are served before it.
	WaitsForKept WaitReason = "KeptForOthers"
	// WaitsForTickets means that the gang fits, but not on runners for which it has valid tickets.
	WaitsForTickets WaitReason = "Tickets"
	// WaitsForMembers means that members of the latest attempt have not ended, or may not start again yet.
	WaitsForMembers WaitReason = "Members"
	// WaitsForQuota means that the quota of the gang's organisation leaves too little.
	WaitsForQuota WaitReason = "Quota"
)

type (
	// WaitReason is why a gang could not start in a plan.
	WaitReason string

	// GangWait is a gang that could start by its state, and was not started by a plan.
	GangWait struct {
		Step   *tasks.Step
		Reason WaitReason
	}

	// Places tells where a gang could be placed by the free capacity of the runners, whatever is kept for other steps.
	Places struct {
		// Allowed and WithTicket count the usable runners that the gang is allowed, and those for which it has a valid ticket.
		Allowed, WithTicket int
		// FreeWithTicket, FreeAllowed and Free count the tasks that fit on runners with a valid ticket, on allowed ones, and on all.
		FreeWithTicket, FreeAllowed, Free int
		// FreeCores is the sum of the free cores of all usable runners of the service.
		FreeCores types.MilliCores
	}
)

// noteWait adds a gang that waits to the plan.
func (p *pass) noteWait(s *tasks.Step, reason WaitReason) {
	if s.Spec.Gang {
		p.out.GangWaits = append(p.out.GangWaits, GangWait{Step: s, Reason: reason})
	}
}

// reasonWithoutPlace returns why a gang does not fit on the allowed runners; isReserved tells whether it reserves capacity.
func (p *pass) reasonWithoutPlace(s *tasks.Step, runners []*runnerCapacity, isReserved bool) WaitReason {
	switch {
	case hasFreePlaces(s, runners):
		return WaitsForKept
	case !isReserved:
		return WaitsForShare
	default:
		return WaitsForPlaces
	}
}

// hasFreePlaces reports whether the gang would fit on the runners if nothing were kept for other steps.
func hasFreePlaces(s *tasks.Step, runners []*runnerCapacity) bool {
	left := len(s.Tasks)
	for _, r := range runners {
		left -= freePlaces(s, r.runner)
		if left <= 0 {
			return true
		}
	}
	return false
}

// freePlaces returns how many tasks of the step fit into the free capacity of a runner.
func freePlaces(s *tasks.Step, r *tasks.Runner) int {
	n := taskResources(s).CountIn(r.Free(), specs.MaxWidth)
	if s.Spec.PerRunner > 0 {
		n = min(n, s.Spec.PerRunner)
	}
	return max(n, 0)
}

// CountPlaces tells where the step could be placed now. Queues without advice allow all runners that could run the step.
func CountPlaces(t *tasks.Table, s *tasks.Step, now time.Time) Places {
	var out Places
	queue := &s.Job.Spec.Queue
	for _, r := range t.OrderedRunners() {
		if r.Info.Service != queue.Service || !r.Usable(now) {
			continue
		}
		n := 0
		if canRun(s, &runnerCapacity{runner: r}) {
			n = freePlaces(s, r)
		}
		out.Free += n
		out.FreeCores += max(0, r.Free().Cores)
		answer := s.Advice.Answers[r.Incarnation()]
		if queue.Advice != nil && !answer.Allowed {
			continue
		}
		out.Allowed++
		out.FreeAllowed += n
		if queue.Advice == nil || answer.Until.After(now) {
			out.WithTicket++
			out.FreeWithTicket += n
		}
	}
	return out
}
