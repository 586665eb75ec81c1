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
		members map[specs.Ref]*stand
		// working tells that every member has begun.
		working bool
	}
)

// join adds a run to its gang; the last of its members sets all to work. The caller holds the lock.
func (f *Fleet) join(s *stand, ref specs.Ref, run *standRun, width int) {
	key := gangKey{step: ref.StepRef, attempt: run.attempt}
	g := f.gangs[key]
	if g == nil {
		g = &gang{members: make(map[specs.Ref]*stand)}
		f.gangs[key] = g
	}
	g.members[ref] = s
	run.gang = g
	now := f.clock.Now()
	run.until = now.Add(f.world.GangTimeout)
	if len(g.members) < width {
		return
	}
	g.working = true
	end := now.Add(f.world.RunTime(specs.Ref{StepRef: ref.StepRef}))
	for member, at := range g.members {
		if r := at.runs[member]; r != nil {
			r.until = end
		}
		at.wake()
	}
}

// turnGang ends a gang as a whole once its time has come, or breaks it when a member of it waited too long. The
// caller holds the lock.
func (f *Fleet) turnGang(s *stand, ref specs.Ref, run *standRun) {
	if !run.gang.working {
		f.end(s, ref, GangIncomplete)
		return
	}
	if !f.sound(run.gang, run.until) {
		f.end(s, ref, GangBroken)
		return
	}
	for member, at := range run.gang.members {
		f.done[member] = run.until
		at.list(member, Done)
	}
}

// sound tells whether every member of a gang ran until a time under its lease. The caller holds the lock.
func (f *Fleet) sound(g *gang, until time.Time) bool {
	for member, at := range g.members {
		if f.runners[at.info.ID] != at || at.runs[member] == nil || at.runs[member].gang != g {
			return false
		}
		if Clock(until.Sub(at.born)) > at.lease {
			return false
		}
	}
	return true
}

// breakGang ends the other members of a gang of which one ended. The caller holds the lock.
func (f *Fleet) breakGang(g *gang, ended specs.Ref) {
	for member, at := range g.members {
		if r := at.runs[member]; member != ended && r != nil && r.gang == g {
			at.list(member, GangBroken)
		}
	}
}

// list lists the end of a run.
func (s *stand) list(ref specs.Ref, how Outcome) {
	s.last++
	s.ends = append(s.ends, Result{Number: s.last, Ref: ref, Attempt: s.runs[ref].attempt, Outcome: how})
	delete(s.runs, ref)
	s.wake()
}

// wake has those look again that wait for a change on the runner.
func (s *stand) wake() {
	close(s.ended)
	s.ended = make(chan struct{})
}
