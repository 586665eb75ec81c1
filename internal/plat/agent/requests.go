package agent

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// minPercent and maxPercent bound the progress of an attempt that runs.
const (
	minPercent = 1
	maxPercent = 99
)

// reachRunner returns a runner that can be called, with its due runs ended and its fence raised to the given one. The
// caller must hold f.mu.
func (f *Fleet) reachRunner(to Runner, fence Fence) (*runnerState, error) {
	s := f.runners[to.ID]
	if s == nil && !f.unreachable[to.ID] {
		return nil, f.absentRunnerError(to)
	}
	if s == nil || f.unreachable[to.ID] {
		return nil, errs.New(errs.Lost, "runner %s is unreachable", to.ID)
	}
	if s.isDark(f.clock.Now()) {
		return nil, errs.New(errs.Lost, "runner %s is restarting", to.ID)
	}
	f.endDueRuns(s)
	if fence < s.fence {
		return nil, errs.New(errs.Fenced, "fence %d is below the highest one seen, %d", fence, s.fence)
	}
	s.fence = fence
	return s, nil
}

// reachSameRunner is reachRunner for a call that waits on an incarnation of the runner, unless former is nil. It fails when that has
// been replaced. The caller must hold f.mu.
func (f *Fleet) reachSameRunner(to Runner, fence Fence, former *runnerState) (*runnerState, error) {
	if s := f.runners[to.ID]; former != nil && s != nil && s != former {
		return nil, errs.New(errs.Lost, "runner %s has restarted", to.ID)
	}
	return f.reachRunner(to, fence)
}

// RenewLeases extends the leases of a runner, and reports its state as soon as it has a result or the wait is over.
func (f *Fleet) RenewLeases(ctx context.Context, to Runner, r RenewRequest) (Report, error) {
	until := f.clock.Now().Add(r.Wait)
	var former *runnerState
	for {
		f.mu.Lock()
		s, err := f.reachSameRunner(to, r.Fence, former)
		if err != nil {
			f.mu.Unlock()
			f.awaitAnswer(ctx, to.ID)
			return Report{}, err
		}
		former = s
		f.extendLease(s, r.Deadline)
		f.acknowledgeResults(s, r.Acknowledged)
		next, changed := f.nextEndAt(s, until), s.changed
		if len(s.results) > 0 || !f.clock.Now().Before(until) {
			report := s.report(f.clock.Now())
			f.mu.Unlock()
			return report, nil
		}
		f.mu.Unlock()
		select {
		case <-changed:
		case <-f.clock.After(next.Sub(f.clock.Now())):
		case <-ctx.Done():
			return Report{}, errs.New(errs.Lost, "renewing the leases of %s: %v", to.ID, ctx.Err())
		}
	}
}

// acknowledgeResults discards the results up to a number. A task whose result Done is acknowledged must not start
// again, nor have started since it was done. The caller must hold f.mu.
func (f *Fleet) acknowledgeResults(s *runnerState, upTo ResultNumber) {
	for _, result := range s.results {
		if result.Number > upTo || result.Number <= s.expiredUpTo || result.Outcome != Done {
			continue
		}
		f.acknowledged[result.Ref] = true
		if result.Number > s.lastListed {
			f.unread[result.Ref] = true
		}
		if f.lastStartAt[result.Ref].After(f.doneAt[result.Ref]) {
			f.violations = append(f.violations, fmt.Sprintf("%s started again before its result was acknowledged", result.Ref))
		}
	}
	s.results = slices.DeleteFunc(s.results, func(result Result) bool { return result.Number <= upTo })
}

// extendLease extends the lease of a runner to the deadline, at most by MaxLeaseTTL from now. It never shortens the
// lease. The caller must hold f.mu.
func (f *Fleet) extendLease(s *runnerState, deadline Clock) {
	now := Clock(f.clock.Since(s.startedAt))
	s.leaseUntil = max(s.leaseUntil, min(deadline, now+Clock(f.world.MaxLeaseTTL)))
}

func (s *runnerState) report(now time.Time) Report {
	listed := s.results[:min(len(s.results), MaxListedResults)]
	if len(listed) > 0 {
		s.lastListed = max(s.lastListed, listed[len(listed)-1].Number)
	}
	out := Report{Boot: s.info.Boot, Clock: Clock(now.Sub(s.startedAt)), Results: slices.Clone(listed)}
	for ref, run := range s.runs {
		out.Running = append(out.Running, Running{Ref: ref, Attempt: run.attempt, Percent: run.percent(now), Checkpoint: run.checkpoint(ref, now)})
	}
	return out
}

// percent returns the progress of an attempt, at least 1 and less than 100. That of a gang is not modelled.
func (r *runState) percent(now time.Time) int {
	total := r.endAt.Sub(r.begunAt)
	if r.gang != nil || total <= 0 {
		return minPercent
	}
	return min(max(int(maxPercent*now.Sub(r.begunAt)/total), minPercent), maxPercent)
}

// nextEndAt returns when the next run on the runner may end by itself, at the latest the time until. The caller must
// hold f.mu.
func (f *Fleet) nextEndAt(s *runnerState, until time.Time) time.Time {
	for _, run := range s.runs {
		if run.endAt.Before(until) {
			until = run.endAt
		}
	}
	return until
}

// endDueRuns ends the runs on a runner that are due: all of them when the lease expired. The caller must hold f.mu.
func (f *Fleet) endDueRuns(s *runnerState) {
	now := f.clock.Now()
	expired := Clock(now.Sub(s.startedAt)) > s.leaseUntil
	if expired {
		s.expiredUpTo = s.lastResult
	}
	if !expired && !s.hasDueRun(now) {
		return
	}
	for ref, run := range maps.Clone(s.runs) {
		switch {
		case s.runs[ref] != run:
			// The run ended with another member of its gang.
		case expired:
			f.endRun(s, ref, LeaseExpired)
		case now.Before(run.endAt):
		case run.stopped:
			f.endRun(s, ref, Stopped)
		case run.willFail:
			f.endRun(s, ref, Failed)
		case run.gang != nil:
			f.endDueGang(s, ref, run)
		default:
			f.noteDone(ref, run)
			f.endRun(s, ref, Done)
		}
	}
}

func (s *runnerState) hasDueRun(now time.Time) bool {
	for _, run := range s.runs {
		if !now.Before(run.endAt) {
			return true
		}
	}
	return false
}

// endRun ends a run with an outcome, and with it the other members of its gang. The caller must hold f.mu.
func (f *Fleet) endRun(s *runnerState, ref specs.Ref, outcome Outcome) {
	run := s.runs[ref]
	s.addResult(ref, outcome, f.clock.Now())
	if run.gang != nil {
		f.breakGang(run.gang, ref)
	}
}

// Start starts an attempt, or loses the answer as LoseStarts or Reboot demands.
func (f *Fleet) Start(ctx context.Context, to Runner, r StartRequest) error {
	delay, isLost := f.takeLostStart()
	sent := f.noteSent(to.ID, r)
	if !isLost {
		err := f.deliverStart(ctx, to, sent)
		f.awaitAnswer(ctx, to.ID)
		return err
	}
	go func() {
		<-f.clock.After(delay)
		// The caller was already told that the answer was lost, so the error has no receiver.
		_ = f.deliverStart(context.Background(), to, sent)
	}()
	return errs.New(errs.Lost, "the start was not answered")
}

// takeLostStart reports whether the answer of a start is lost, and after which delay the start is carried out then.
func (f *Fleet) takeLostStart() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.startsToLose == 0 {
		return 0, false
	}
	f.startsToLose--
	return f.lostStartDelay, true
}

// beginAttempt starts an attempt, or returns the error with which the runner refuses it. Repeating a start that was
// carried out changes nothing. The caller must hold f.mu.
func (f *Fleet) beginAttempt(to Runner, r sentStart) error {
	s, err := f.reachRunner(to, r.Fence)
	if err != nil {
		return err
	}
	if run := s.runs[r.Ref]; run != nil && run.attempt == r.Attempt {
		return nil
	}
	if now := Clock(f.clock.Since(s.startedAt)); r.Deadline <= now {
		return errs.New(errs.Deadline, "the start of %s is late: its lease expired at %d ns, the clock is at %d ns", r.Ref, r.Deadline, now)
	}
	f.extendLease(s, r.Deadline)
	if r.Attempt <= s.highestAttempt[r.Ref] {
		return errs.New(errs.Conflict, "attempt %d of %s is not above the highest attempt seen", r.Attempt, r.Ref)
	}
	s.highestAttempt[r.Ref] = r.Attempt
	f.checkStart(s, r)
	f.begun = append(f.begun, StartedAttempt{Ref: r.Ref, Attempt: r.Attempt, Runner: s.info.ID, At: f.clock.Now(), Checkpoint: r.Checkpoint})
	begunAt := f.clock.Now()
	run := &runState{start: r, attempt: r.Attempt, from: r.Checkpoint, begunAt: begunAt, endAt: begunAt.Add(f.runTime(r.Ref))}
	run.willFail = f.world.Fails != nil && f.world.Fails(s.info.ID, r.Ref, r.Attempt)
	s.runs[r.Ref] = run
	if f.world.GangSize != nil && f.world.GangSize(r.Ref.StepRef) > 0 {
		f.joinGang(s, r.Ref, run, f.world.GangSize(r.Ref.StepRef))
	}
	s.notifyWaiters()
	f.crashUnder(s.info.ID, r.Ref, run)
	return nil
}

// checkStart records the violations that a start causes: a task that is already done, one that already runs, or one
// that exceeds the runner's capacity. The caller must hold f.mu.
func (f *Fleet) checkStart(s *runnerState, r sentStart) {
	if isUnstoppable(s, r, f.doneBy[r.Ref]) {
		f.unstoppable++
	} else {
		f.checkNotDone(s, r)
	}
	for _, other := range f.runners {
		f.endDueRuns(other)
		f.checkNotRunning(s, r, other)
	}
	if f.world.Takes == nil {
		return
	}
	used := f.world.Takes(r.Ref)
	for ref := range s.runs {
		used = used.Add(f.world.Takes(ref))
	}
	if !used.Fits(s.info.Capacity) {
		f.violations = append(f.violations, fmt.Sprintf("%s exceeds the free capacity of %s", r.Ref, s.info.ID))
	}
}

// checkNotDone records a violation if the result Done of a task that starts was acknowledged. The caller must hold f.mu.
func (f *Fleet) checkNotDone(s *runnerState, r sentStart) {
	f.lastStartAt[r.Ref] = f.clock.Now()
	if !f.acknowledged[r.Ref] {
		return
	}
	unread := ""
	if f.unread[r.Ref] {
		unread = ", before any report listed it"
	}
	f.violations = append(f.violations, fmt.Sprintf("%s starts after its result Done was acknowledged%s: %s", r.Ref, unread, f.describe(s, r)))
}

// checkNotRunning records a violation if a task that starts runs on a runner. The caller must hold f.mu.
func (f *Fleet) checkNotRunning(s *runnerState, r sentStart, other *runnerState) {
	run := other.runs[r.Ref]
	switch {
	case run == nil:
	case isUnstoppable(s, r, run.start) || isUnstoppable(other, run.start, r):
		f.unstoppable++
	default:
		f.violations = append(f.violations, fmt.Sprintf("%s runs twice: %s, and %s", r.Ref, f.describe(other, run.start), f.describe(s, r)))
	}
}

// Stop stops an attempt; it ends after StopTimeout. An attempt that has not started yet never will.
func (f *Fleet) Stop(ctx context.Context, to Runner, r StopRequest) error {
	err := f.stopAttempt(to, r)
	f.awaitAnswer(ctx, to.ID)
	return err
}

func (f *Fleet) stopAttempt(to Runner, r StopRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, err := f.reachRunner(to, r.Fence)
	if err != nil {
		return err
	}
	s.highestAttempt[r.Ref] = max(s.highestAttempt[r.Ref], r.Attempt)
	if run := s.runs[r.Ref]; run != nil && run.attempt == r.Attempt && !run.stopped {
		run.stopped, run.endAt = true, f.clock.Now().Add(f.world.StopTimeout)
	}
	return nil
}
