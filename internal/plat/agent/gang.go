package agent

import (
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// minResumedRun is the least time that an attempt runs: one that resumes from a state saved at the very end of the work must
// not be done before it has started.
const minResumedRun = 5 * time.Millisecond

type (
	// gangKey identifies one attempt of a gang.
	gangKey struct {
		step    specs.StepRef
		attempt specs.Attempt
	}

	// gang is one attempt of a step whose tasks can only run all at once.
	gang struct {
		members map[specs.Ref]*runnerState
		// working is set once every member has started, at workingAt.
		working   bool
		workingAt time.Time
		// from is the state with which the first member was started, and done the work that it holds.
		from specs.Checkpoint
		done time.Duration
		// interval is the work after which a member saves its state; zero means never.
		interval time.Duration
	}
)

// joinGang adds a run to its gang of width members. The gang starts to work when the last of them joins; a member
// waits for at most GangTimeout. The caller must hold f.mu.
func (f *Fleet) joinGang(s *runnerState, ref specs.Ref, run *runState, width int) {
	key := gangKey{step: ref.StepRef, attempt: run.attempt}
	g := f.gangs[key]
	if g == nil {
		g = &gang{members: make(map[specs.Ref]*runnerState), from: run.from, done: savedWork(run.from), interval: f.world.GangCheckpoint}
		f.gangs[key] = g
	}
	if run.from != g.from {
		f.violations = append(f.violations, fmt.Sprintf("attempt %d of %s is started with %q and with %q", run.attempt, ref.StepRef, g.from, run.from))
	}
	g.members[ref] = s
	run.gang = g
	now := f.clock.Now()
	run.endAt = now.Add(f.world.GangTimeout)
	if len(g.members) < width {
		return
	}
	g.working, g.workingAt = true, now
	end := now.Add(max(f.gangRunTime(g, ref.StepRef)-g.done, minResumedRun))
	for member, runner := range g.members {
		if r := runner.runs[member]; r != nil && r.gang == g {
			r.endAt = end
		}
		runner.notifyWaiters()
	}
}

// gangRunTime returns how long a gang runs without a break: as its first task would, unless a member crashes its runner.
func (f *Fleet) gangRunTime(g *gang, step specs.StepRef) time.Duration {
	for member := range g.members {
		if f.willCrash(member) {
			return crashingRunTime
		}
	}
	return f.world.RunTime(specs.Ref{StepRef: step})
}

// endDueGang ends the gang of a run that is due: as Done when every member ran to the end under its lease and none fails,
// else as GangBroken. A member that waited too long for the others ends as GangIncomplete, and they as GangBroken. The caller
// must hold f.mu.
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
		if runner.runs[member].willFail {
			f.endRun(runner, member, Failed)
			return
		}
	}
	for member, runner := range run.gang.members {
		f.noteDone(member, runner.runs[member])
		runner.addResult(member, Done, run.endAt)
	}
}

// allMembersLeased reports whether every member of a gang ran under its lease until a time. The caller must hold f.mu.
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

// breakGang ends the other members of a gang, of which one ended. The caller must hold f.mu.
func (f *Fleet) breakGang(g *gang, ended specs.Ref) {
	for member, runner := range g.members {
		if r := runner.runs[member]; member != ended && r != nil && r.gang == g {
			runner.addResult(member, GangBroken, f.clock.Now())
		}
	}
}

// addResult replaces a run by its result, with the state that it has saved until the given time. The caller must hold the fleet's lock.
func (s *runnerState) addResult(ref specs.Ref, outcome Outcome, at time.Time) {
	s.lastResult++
	run := s.runs[ref]
	result := Result{Number: s.lastResult, Ref: ref, Attempt: run.attempt, Outcome: outcome}
	if outcome != Done {
		result.Checkpoint = run.checkpoint(ref, earlier(at, run.endAt))
	}
	s.results = append(s.results, result)
	delete(s.runs, ref)
	s.notifyWaiters()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkpoint returns the latest state that a member of a gang has saved at a time, or the one with which it was started.
// The members save theirs one after the other, so that they differ.
func (r *runState) checkpoint(ref specs.Ref, at time.Time) specs.Checkpoint {
	g := r.gang
	if g == nil || g.interval == 0 || !g.working {
		return r.from
	}
	offset := time.Duration(ref.Index) * g.interval / time.Duration(len(g.members))
	worked := at.Sub(g.workingAt) - offset
	if worked < g.interval {
		return r.from
	}
	return specs.Checkpoint((g.done + offset + worked.Truncate(g.interval)).String())
}

// savedWork returns the work that a saved state of a gang holds.
func savedWork(c specs.Checkpoint) time.Duration {
	work, err := time.ParseDuration(string(c))
	if err != nil {
		return 0
	}
	return work
}

// notifyWaiters wakes the calls that wait for a change on the runner. The caller must hold the fleet's lock.
func (s *runnerState) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}
