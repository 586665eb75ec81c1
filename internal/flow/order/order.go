// Package order decides which waiting tasks start next, and on which runners. It does no input or output.
//
// Its rules are made for a load in which more work waits than fits. Work that can still be done in time goes first, by
// priority and by how little time it has left, large work behind small, so that the capacity serves as many callers as
// possible. Work that is late already gets the capacity that is left over.
//
// MakePlan makes a plan in one pass over the tables:
//
//   - runners.go collects the runners that may get tasks, and rank.go ranks the steps that can start by their tier, priority
//     and slack. room.go tells which of them take a turn of the plan, and rest.go serves those that rank too late for one.
//   - index.go finds the runners with room for a step without a look at the others.
//   - shares.go divides what is left between the organisations with surplus work, quota.go keeps each within its quota.
//   - assign.go places the tasks of a step one by one, where cost.go rates a runner lowest: the fullest one, against
//     fragmentation. quiet.go keeps tasks apart that may crash their runner.
//   - service.go starts the tasks of services again that have been without a run for long, whatever else waits.
//   - gang.go is the gang scheduling: all tasks of a step start together, or none. A gang that does not fit reserves
//     capacity (reserve.go); work behind it is backfilled where it fits beside the reservation. One that waits for tickets
//     keeps its place (place.go), and one that breaks has its next attempt prepared (restart.go).
//   - advice.go plans the calls to the advice service, without whose tickets most steps may not start; refresh.go
//     has those of waiting gangs renewed before they expire.
//   - wait.go says why gangs do not start.
//
// Nothing is preempted: what runs goes on until its end, unless its runner leaves or is slow. backlog.go and ahead.go measure the
// work that is accepted, for the admission of further jobs.
package order

import (
	"math"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// maxSteps limits the number of steps that one plan serves by their rank; see pass.takesTurn.
const maxSteps = 400

type (
	// Limits are the bounds of a plan.
	Limits struct {
		// AdviceBudget is the work that the advice service may still be given now.
		AdviceBudget specs.AdviceBudget
		// TicketMargin is how long a ticket must still be valid when a start is decided. It covers the write of the
		// intent and the call to the runner.
		TicketMargin time.Duration
		// ServeRest means that the plan also serves some of the steps that rank too late for its turns, from Resume on, which is
		// Plan.Resume of the plan before.
		ServeRest bool
		Resume    specs.StepRef
	}

	// Start is a decision to start a task on a runner.
	Start struct {
		Task   *tasks.Task
		Runner *tasks.Runner
		Ticket agent.Ticket
		// TicketUntil is when the ticket expires; zero when the queue needs none.
		TicketUntil time.Time
		// Quiet is set when no other task may start on the runner for a while, since this one may crash it.
		Quiet bool
	}

	// AdviceCall is a call to the advice service that the caller of MakePlan must make.
	AdviceCall struct {
		Step    *tasks.Step
		Runners []*tasks.Runner
		// Place is the capacity on which a gang fits now, when the call requests its tickets; nil for other calls.
		Place []tasks.PlaceShare
	}

	// Plan is the result of one planning pass. It holds the starts of either all tasks of a gang, one after the other,
	// or of none.
	Plan struct {
		Starts      []Start
		AdviceCalls []AdviceCall
		// Idle means that no step waits for a start.
		Idle bool
		// Unserved is the number of steps that wait for a start and that the plan did not come to.
		Unserved int
		// Resume is the step after which the next plan goes on with those that rank too late for its turns.
		Resume specs.StepRef
		// GangWaits holds the gangs that were served and do not start.
		GangWaits []GangWait
		// WaitingForQuota holds the organisations with a step that would start if their quota had room.
		WaitingForQuota []*tasks.Organisation
	}

	// pass is the state of one planning pass.
	pass struct {
		table  *tasks.Table
		limits Limits
		now    time.Time
		// capacities holds a runnerCapacity for each runner of the table, in its order; those that may not get tasks are
		// empty.
		capacities []runnerCapacity
		// available holds those that may get tasks, by service, in the order of their ids; runners holds those of them that are not
		// slow, or all of a service if there are no others.
		available map[types.ServiceName][]*runnerCapacity
		runners   map[types.ServiceName][]*runnerCapacity
		// quarantined holds the runners that are not slow and may get tasks again once their quarantine ends.
		quarantined map[types.ServiceName][]*runnerCapacity

		reserved map[types.ServiceName]types.MilliCores
		// cores is the sum of the cores of the usable runners of each service.
		cores map[types.ServiceName]types.MilliCores
		// idleCores is the sum of the free cores of the usable runners of each service at the begin of the pass.
		idleCores map[types.ServiceName]types.MilliCores
		// askable is for how many cores of each service calls for advice may still be made; see addToAskable.
		askable map[types.ServiceName]types.MilliCores
		// stepStarts counts the starts of the step that is being served, by runner.
		stepStarts map[*tasks.Runner]int
		// capacity is that of all usable runners.
		capacity  types.Resources
		headrooms map[*tasks.Organisation]*headroom
		// mostUrgent is the lowest priority number of the jobs in the table; it is not set if there are no organisations.
		mostUrgent int
		// lastHeadroom is the one that was looked up last, most often by the same step.
		lastHeadroom *headroom
		// places holds the capacity that is kept for gangs that wait for tickets, until they are served.
		places map[*tasks.Step][]keptPlace
		// quiet counts the runners of each service that are kept free of further starts for tasks that may crash them.
		quiet map[types.ServiceName]int
		// held holds the runners that wait to be settled, by the suspected task for which they do.
		held map[*tasks.Task]*runnerCapacity
		// services is what the services of each organisation occupy; nil until it is needed.
		services map[*tasks.Organisation]types.Resources
		// stepsLeft is how many more steps the plan serves, and rest holds those that rank too late for that.
		stepsLeft int
		rest      []entry
		// counts is reused for the number of tasks that fit on each of several runners.
		counts []int
		// largest holds the capacities of each group of runners that no other of the group exceeds.
		largest map[runnerGroup][]types.Resources
		// slowNeeded tells of each demand met so far whether it needs slow runners.
		slowNeeded map[groupDemand]bool
		// room holds the runners by what is free on them in this pass, roomBesideRuns by what no run occupies.
		room           roomIndex
		roomBesideRuns roomIndex
		// looksAtAll makes the pass look at all runners for each step, instead of at those that the indexes name.
		looksAtAll bool
		// full holds, for each group of runners, the least resources for which none of them has room any more.
		full map[runnerGroup][]types.Resources
		out  Plan
	}

	// stepPlacement is the state of placing the tasks of one step, one by one.
	stepPlacement struct {
		runners []*runnerCapacity
		// stale holds the runners on which capacity is kept for tasks that need a new ticket there.
		stale []*runnerCapacity
		// lacksCapacity is set once a task fits on none of the runners.
		lacksCapacity bool
	}
)

// MakePlan decides which tasks start now, and which calls for advice are made. The caller must not change the table
// meanwhile; MakePlan itself does not change it.
func MakePlan(t *tasks.Table, now time.Time, limits Limits) Plan {
	return plan(t, now, limits, byUrgency)
}

// plan is MakePlan with the steps served in the order of the given ranking.
func plan(t *tasks.Table, now time.Time, limits Limits, compare ranking) Plan {
	return newPass(t, now, limits).run(compare)
}

// run makes the plan.
func (p *pass) run(compare ranking) Plan {
	if p.out.Idle = !hasWaitingStep(p.table); p.out.Idle {
		return p.out
	}
	p.collectRunners()
	if len(p.table.Organisations) > 0 {
		p.mostUrgent = mostUrgent(p.table)
	}
	entries := p.entries()
	p.holdRunners()
	entries = p.serveServices(entries, compare)
	p.keepPlaces(entries, compare)
	p.serveAll(entries, compare)
	p.out.WaitingForQuota = p.waitingForQuota()
	return p.out
}

// mostUrgent returns the lowest priority number of the jobs in the table.
func mostUrgent(t *tasks.Table) int {
	lowest := math.MaxInt
	for _, j := range t.Jobs {
		lowest = min(lowest, j.Spec.Queue.Priority)
	}
	return lowest
}

func newPass(t *tasks.Table, now time.Time, limits Limits) *pass {
	return &pass{
		table:       t,
		limits:      limits,
		now:         now,
		available:   make(map[types.ServiceName][]*runnerCapacity),
		quarantined: make(map[types.ServiceName][]*runnerCapacity),
		runners:     make(map[types.ServiceName][]*runnerCapacity),
		reserved:    make(map[types.ServiceName]types.MilliCores),
		cores:       make(map[types.ServiceName]types.MilliCores),
		askable:     make(map[types.ServiceName]types.MilliCores),
		idleCores:   make(map[types.ServiceName]types.MilliCores),

		stepStarts: make(map[*tasks.Runner]int),
		headrooms:  make(map[*tasks.Organisation]*headroom),
		places:     make(map[*tasks.Step][]keptPlace),
		quiet:      make(map[types.ServiceName]int),
		held:       make(map[*tasks.Task]*runnerCapacity),
		stepsLeft:  maxSteps,
		largest:    make(map[runnerGroup][]types.Resources),
		slowNeeded: make(map[groupDemand]bool),
		full:       make(map[runnerGroup][]types.Resources),

		room:           newRoomIndex(freeNow),
		roomBesideRuns: newRoomIndex(freeBesideRuns),
	}
}

// entries returns the steps whose tasks can start, in no order.
func (p *pass) entries() []entry {
	out := make([]entry, 0, len(p.table.Jobs))
	for _, j := range p.table.Jobs {
		if j.Ending {
			continue
		}
		for _, o := range j.Created() {
			for _, s := range o.Steps {
				if s.CanStart() {
					out = append(out, p.newEntry(s))
				}
			}
		}
	}
	return out
}

// hasWaitingStep reports whether tasks of some step can start.
func hasWaitingStep(t *tasks.Table) bool {
	for _, j := range t.Jobs {
		for _, o := range j.Created() {
			for _, s := range o.Steps {
				if s.CanStart() {
					return true
				}
			}
		}
	}
	return false
}
