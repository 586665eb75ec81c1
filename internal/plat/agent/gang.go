package agent

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

type (
	// gangKey names one attempt of a gang.
	gangKey struct {
		step    specs.StepRef
		attempt specs.Attempt
	}

	// gang is one attempt of a step whose tasks only work together.
	gang struct {
		members map[specs.Ref]*runnerState
		// working tells that every member has begun.
		working bool
	}
)

// joinGang adds a run to its gang; the last of its members sets all to work. The caller holds the lock.
func (f *Fleet) joinGang(s *runnerState, ref specs.Ref, run *runState, width int) {
	key := gangKey{step: ref.StepRef, attempt: run.attempt}
	g := f.gangs[key]
	if g == nil {
		g = &gang{members: make(map[specs.Ref]*runnerState)}
		f.gangs[key] = g
	}
	g.members[ref] = s
	run.gang = g
	now := f.clock.Now()
	run.endAt = now.Add(f.world.GangTimeout)
	if len(g.members) < width {
		return
	}
	g.working = true
	end := now.Add(f.world.RunTime(specs.Ref{StepRef: ref.StepRef}))
	for member, runner := range g.members {
		if r := runner.runs[member]; r != nil {
			r.endAt = end
		}
		runner.notifyWaiters()
	}
}

// endDueGang ends a gang as a whole once its time has come, or breaks it when a member of it waited too long. The
// caller holds the lock.
func (f *Fleet) endDueGang(s *runnerState, ref specs.Ref, run *runState) {
	if !run.gang.working {
		f.endRun(s, ref, GangIncomplete)
		return
	}
	if !f.allMembersLeased(run.gang, run.endAt) {
		f.endRun(s, ref, GangBroken)
		return
	}
	for member, runner := range run.gang.members {
		f.doneAt[member] = run.endAt
		runner.addResult(member, Done)
	}
}

// allMembersLeased tells whether every member of a gang ran until a time under its lease. The caller holds the lock.
func (f *Fleet) allMembersLeased(g *gang, until time.Time) bool {
	for member, runner := range g.members {
		if f.runners[runner.info.ID] != runner || runner.runs[member] == nil || runner.runs[member].gang != g {
			return false
		}
		if Clock(until.Sub(runner.startedAt)) > runner.leaseUntil {
			return false
		}
	}
	return true
}

// breakGang ends the other members of a gang of which one ended. The caller holds the lock.
func (f *Fleet) breakGang(g *gang, ended specs.Ref) {
	for member, runner := range g.members {
		if r := runner.runs[member]; member != ended && r != nil && r.gang == g {
			runner.addResult(member, GangBroken)
		}
	}
}

// addResult lists the end of a run.
func (s *runnerState) addResult(ref specs.Ref, outcome Outcome) {
	s.lastResult++
	s.results = append(s.results, Result{Number: s.lastResult, Ref: ref, Attempt: s.runs[ref].attempt, Outcome: outcome})
	delete(s.runs, ref)
	s.notifyWaiters()
}

// notifyWaiters has those look again that wait for a change on the runner.
func (s *runnerState) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}
