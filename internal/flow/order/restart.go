package order

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// restartWindow is how long after the first early end of a gang's attempt its next place is prepared. The stops of the other
// members take 0.4 s, and their results arrive with the next answers; if they take longer, tickets would expire unused and
// capacity would be kept for nothing.
const restartWindow = time.Second

// prepareRestart prepares the next attempt of a gang of which some members have ended and the others are being stopped: it
// plans the call for tickets, so that they arrive while the last members end, and reserves the capacity that the gang's
// members free, so that later steps do not take it. It reserves none without a ticket or a call in flight.
func (p *pass) prepareRestart(s *tasks.Step, runners []*runnerCapacity) {
	if !p.isEnding(s) {
		return
	}
	ending := p.endingMembers(s)
	p.countAsFree(s, ending, 1)
	shares := p.planRestart(s, runners)
	p.countAsFree(s, ending, -1)
	p.keepForRestart(s, shares, ending)
}

// isEnding reports whether a member of the gang's latest attempt ended early within restartWindow, another attempt is
// allowed, and all members that have not ended are being stopped on reachable runners.
func (p *pass) isEnding(s *tasks.Step) bool {
	if s.BrokenAt.IsZero() || p.now.Sub(s.BrokenAt) >= restartWindow || s.Tasks[0].OutOfAttempts() {
		return false
	}
	for _, t := range s.Tasks {
		if t.Run == nil {
			continue
		}
		r := t.Run.Runner
		if !t.Run.StartCancelled || !r.Synced || !r.UnreachableSince.IsZero() {
			return false
		}
	}
	return true
}

// endingMembers counts the members of the gang that still occupy each runner that may get tasks.
func (p *pass) endingMembers(s *tasks.Step) map[*runnerCapacity]int {
	out := make(map[*runnerCapacity]int)
	for _, t := range s.Tasks {
		if t.Run == nil {
			continue
		}
		if r := p.capacityOf(s, t.Run.Runner.Incarnation()); r != nil {
			out[r]++
		}
	}
	return out
}

// countAsFree adds what the ending members occupy to the free capacity (sign 1), or takes it away again (sign -1).
func (p *pass) countAsFree(s *tasks.Step, ending map[*runnerCapacity]int, sign int) {
	for r, n := range ending {
		r.free = r.free.Add(taskResources(s).Times(sign * n))
		p.stepStarts[r.runner] -= sign * n
	}
}

// planRestart distributes the gang over runners for which it has tickets, else over those that a call in flight names, else
// over those that it is allowed, for which it then plans a call. It prefers the runners that the gang is on. It returns nil
// when the gang does not fit, or no call may be made.
func (p *pass) planRestart(s *tasks.Step, runners []*runnerCapacity) []gangShare {
	if shares := p.fitRestart(s, p.withTickets(s, runners)); shares != nil {
		return shares
	}
	if s.Advice.Pending > 0 {
		return p.fitRestart(s, p.askedRunners(s, runners))
	}
	shares := p.fitRestart(s, runners)
	if shares == nil {
		return nil
	}
	planned := len(p.out.AdviceCalls)
	p.renewGangTickets(s, shares, runners)
	if len(p.out.AdviceCalls) == planned {
		return nil
	}
	return shares
}

// fitRestart distributes the gang over those of the runners that it is on, or else over all of them.
func (p *pass) fitRestart(s *tasks.Step, runners []*runnerCapacity) []gangShare {
	var own []*runnerCapacity
	for _, r := range runners {
		if slices.ContainsFunc(s.Tasks, func(t *tasks.Task) bool { return t.Runner == r.runner.Info.ID }) {
			own = append(own, r)
		}
	}
	if shares := p.fitGang(s, own); shares != nil {
		return shares
	}
	return p.fitGang(s, runners)
}

// keepForRestart takes the part of the shares that is free now from the capacity that is free for the steps behind. It takes
// nothing if the gangs of the service would then exceed reservedShare of its cores.
func (p *pass) keepForRestart(s *tasks.Step, shares []gangShare, ending map[*runnerCapacity]int) {
	kept := make([]gangShare, 0, len(shares))
	count := 0
	for _, sh := range shares {
		if n := sh.count - ending[sh.runner]; n > 0 {
			kept = append(kept, gangShare{runner: sh.runner, count: n})
			count += n
		}
	}
	if p.claimReserved(s, count) {
		p.subtractShares(s, kept)
	}
}
