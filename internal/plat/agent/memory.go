package agent

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

type (
	// Fleet is an in-memory stand-in for the platform's runners, their directory and the advice service. Tests make it
	// fail on demand, and it records every violation of the scheduler's guarantees that a runner can observe. It is
	// safe for concurrent use.
	Fleet struct {
		clock clockwork.Clock
		world FleetConfig

		mu      sync.Mutex
		runners map[specs.RunnerID]*runnerState
		changes []Change
		changed chan struct{}
		// doneAt holds when tasks were done, acknowledged those whose result a leader acknowledged before the lease
		// expired, and lastStartAt when an attempt of a task last started.
		doneAt         map[specs.Ref]time.Time
		acknowledged   map[specs.Ref]bool
		lastStartAt    map[specs.Ref]time.Time
		violations     []string
		begun          []StartedAttempt
		startsToLose   int
		lostStartDelay time.Duration
		unreachable    map[specs.RunnerID]bool
		gangs          map[gangKey]*gang
	}

	// StartedAttempt is an attempt that a runner started.
	StartedAttempt struct {
		Ref     specs.Ref
		Attempt specs.Attempt
		Runner  specs.RunnerID
		At      time.Time
	}

	// FleetConfig defines how tasks behave, and the limits of the runners.
	FleetConfig struct {
		// RunTime returns how long an attempt runs.
		RunTime func(ref specs.Ref) time.Duration
		// Fails reports whether an attempt fails at its end; nil means never.
		Fails func(runner specs.RunnerID, ref specs.Ref, attempt specs.Attempt) bool
		// Takes returns the resources that a task occupies, for the check of capacities; nil turns the check off.
		Takes func(ref specs.Ref) types.Resources
		// GangSize returns the number of tasks of a gang step, or 0 for any other step; nil means that there are no
		// gangs.
		GangSize func(step specs.StepRef) int
		// GangTimeout is how long a member of a gang waits for the others.
		GangTimeout time.Duration
		// MaxLeaseTTL is the longest lease that a runner grants.
		MaxLeaseTTL time.Duration
		// StopTimeout is how long a stop takes.
		StopTimeout time.Duration
	}

	// runnerState is the state of one runner.
	runnerState struct {
		info       Runner
		startedAt  time.Time
		fence      Fence
		leaseUntil Clock
		lastResult ResultNumber
		// expiredUpTo is the last result that was listed before the lease expired; no leader needs to know the results
		// up to it any more.
		expiredUpTo    ResultNumber
		runs           map[specs.Ref]*runState
		highestAttempt map[specs.Ref]specs.Attempt
		results        []Result
		changed        chan struct{}
	}

	// runState is the state of one attempt on a runner.
	runState struct {
		attempt  specs.Attempt
		endAt    time.Time
		willFail bool
		stopped  bool
		gang     *gang
	}
)

// NewFleet returns a fleet without runners.
func NewFleet(clock clockwork.Clock, w FleetConfig) *Fleet {
	return &Fleet{
		clock: clock, world: w, runners: make(map[specs.RunnerID]*runnerState), changed: make(chan struct{}),
		doneAt: make(map[specs.Ref]time.Time), acknowledged: make(map[specs.Ref]bool), lastStartAt: make(map[specs.Ref]time.Time),
		unreachable: make(map[specs.RunnerID]bool), gangs: make(map[gangKey]*gang),
	}
}

// Add starts a runner and adds it to the directory. A Boot of 0 is replaced by the current time in milliseconds.
func (f *Fleet) Add(info Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if info.Boot == 0 {
		info.Boot = specs.Boot(now.UnixMilli())
	}
	f.runners[info.ID] = &runnerState{
		info: info, startedAt: now, runs: make(map[specs.Ref]*runState),
		highestAttempt: make(map[specs.Ref]specs.Attempt), changed: make(chan struct{}),
	}
	f.publishChange(Change{Runner: info})
}

// Drain marks a runner as draining in the directory and returns its entry, or false when no runner has the id.
func (f *Fleet) Drain(id specs.RunnerID) (Runner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.runners[id]
	if s == nil {
		return Runner{}, false
	}
	s.info.Draining = true
	f.publishChange(Change{Runner: s.info})
	return s.info, true
}

// Crash ends a runner with everything that runs on it, and removes it from the directory.
func (f *Fleet) Crash(id specs.RunnerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.runners[id]; s != nil {
		delete(f.runners, id)
		for ref, run := range s.runs {
			if run.gang != nil {
				f.breakGang(run.gang, ref)
			}
		}
	}
	f.publishChange(Change{Runner: Runner{ID: id}, Gone: true})
}

// SetUnreachable makes a runner unreachable or reachable again. What it runs continues until its lease expires.
func (f *Fleet) SetUnreachable(id specs.RunnerID, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = unreachable
}

// LoseStarts makes the next count starts fail with kind Lost. They are still carried out, after the delay.
func (f *Fleet) LoseStarts(count int, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startsToLose, f.lostStartDelay = count, delay
}

// Violations returns the violations of the scheduler's guarantees that the runners observed.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// StartCount returns the number of attempts that the runners started.
func (f *Fleet) StartCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.begun)
}

// StartedAttempts returns the attempts that the runners started, in order.
func (f *Fleet) StartedAttempts() []StartedAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.begun)
}

// DoneCount returns the number of tasks of a job that are done.
func (f *Fleet) DoneCount(job specs.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.runners {
		f.endDueRuns(s)
	}
	n := 0
	for ref := range f.doneAt {
		if ref.Job == job {
			n++
		}
	}
	return n
}

// publishChange adds a change to the history and wakes the calls of Changes. The caller must hold f.mu.
func (f *Fleet) publishChange(c Change) {
	f.changes = append(f.changes, c)
	close(f.changed)
	f.changed = make(chan struct{})
}

// List returns the runners and the version of the list.
func (f *Fleet) List(context.Context) ([]Runner, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Runner
	for _, s := range f.runners {
		out = append(out, s.info)
	}
	return out, uint64(len(f.changes)), nil
}

// Changes waits for changes after a version, or until ctx ends, and returns them with the version to continue from.
func (f *Fleet) Changes(ctx context.Context, after uint64) ([]Change, uint64, error) {
	for {
		f.mu.Lock()
		changes, changed := slices.Clone(f.changes[after:]), f.changed
		f.mu.Unlock()
		if len(changes) > 0 || ctx.Err() != nil {
			return changes, after + uint64(len(changes)), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Advise returns a permit for every runner.
func (f *Fleet) Advise(_ context.Context, _ specs.StepRef, runners []specs.RunnerID) ([]Permit, error) {
	var out []Permit
	for _, id := range runners {
		out = append(out, Permit{Runner: id, Ticket: "T"})
	}
	return out, nil
}

// reachRunner returns a runner that can be called, with its due runs ended and its fence raised to the given one. The
// caller must hold f.mu.
func (f *Fleet) reachRunner(to Runner, fence Fence) (*runnerState, error) {
	s := f.runners[to.ID]
	if s == nil || f.unreachable[to.ID] {
		return nil, errs.New(errs.Lost, "runner %s is unreachable", to.ID)
	}
	f.endDueRuns(s)
	if fence < s.fence {
		return nil, errs.New(errs.Fenced, "fence %d is below the highest one seen, %d", fence, s.fence)
	}
	s.fence = fence
	return s, nil
}

// RenewLeases extends the leases of a runner, and reports its state as soon as it has a result or the wait is over.
func (f *Fleet) RenewLeases(ctx context.Context, to Runner, r RenewRequest) (Report, error) {
	until := f.clock.Now().Add(r.Wait)
	for {
		f.mu.Lock()
		s, err := f.reachRunner(to, r.Fence)
		if err != nil {
			f.mu.Unlock()
			return Report{}, err
		}
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
	out := Report{Boot: s.info.Boot, Clock: Clock(now.Sub(s.startedAt)), Results: slices.Clone(s.results)}
	for ref, run := range s.runs {
		out.Running = append(out.Running, Running{Ref: ref, Attempt: run.attempt, Percent: 1})
	}
	return out
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
			f.doneAt[ref] = run.endAt
			f.endRun(s, ref, Done)
		}
	}
}

// endRun ends a run with an outcome, and with it the other members of its gang. The caller must hold f.mu.
func (f *Fleet) endRun(s *runnerState, ref specs.Ref, outcome Outcome) {
	run := s.runs[ref]
	s.addResult(ref, outcome)
	if run.gang != nil {
		f.breakGang(run.gang, ref)
	}
}

// Start starts an attempt, or loses the answer as LoseStarts demands.
func (f *Fleet) Start(_ context.Context, to Runner, r StartRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.startsToLose == 0 {
		return f.beginAttempt(to, r)
	}
	f.startsToLose--
	delay := f.lostStartDelay
	go func() {
		<-f.clock.After(delay)
		f.mu.Lock()
		defer f.mu.Unlock()
		// The caller was already told that the answer was lost, so the error has no receiver.
		_ = f.beginAttempt(to, r)
	}()
	return errs.New(errs.Lost, "the start was not answered")
}

// beginAttempt starts an attempt, or returns the error with which the runner refuses it. Repeating a start that was
// carried out changes nothing. The caller must hold f.mu.
func (f *Fleet) beginAttempt(to Runner, r StartRequest) error {
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
	f.begun = append(f.begun, StartedAttempt{Ref: r.Ref, Attempt: r.Attempt, Runner: s.info.ID, At: f.clock.Now()})
	run := &runState{attempt: r.Attempt, endAt: f.clock.Now().Add(f.world.RunTime(r.Ref))}
	run.willFail = f.world.Fails != nil && f.world.Fails(s.info.ID, r.Ref, r.Attempt)
	s.runs[r.Ref] = run
	if f.world.GangSize != nil && f.world.GangSize(r.Ref.StepRef) > 0 {
		f.joinGang(s, r.Ref, run, f.world.GangSize(r.Ref.StepRef))
	}
	s.notifyWaiters()
	return nil
}

// checkStart records the violations that a start causes: a task that is already done, one that already runs, or one
// that exceeds the runner's capacity. The caller must hold f.mu.
func (f *Fleet) checkStart(s *runnerState, r StartRequest) {
	if f.acknowledged[r.Ref] {
		f.violations = append(f.violations, fmt.Sprintf("%s starts after its result Done was acknowledged", r.Ref))
	}
	f.lastStartAt[r.Ref] = f.clock.Now()
	for _, other := range f.runners {
		f.endDueRuns(other)
		if other.runs[r.Ref] != nil {
			f.violations = append(f.violations, fmt.Sprintf("%s runs twice, on %s and %s", r.Ref, other.info.ID, s.info.ID))
		}
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

// Stop stops an attempt; it ends after StopTimeout. An attempt that has not started yet never will.
func (f *Fleet) Stop(_ context.Context, to Runner, r StopRequest) error {
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
