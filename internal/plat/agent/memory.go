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
	// Fleet is a stand-in of the platform's runners, their directory and the advice service, with failures on
	// demand. It notes every broken promise that a runner can see. It is safe for concurrent use.
	Fleet struct {
		clock clockwork.Clock
		world World

		mu      sync.Mutex
		runners map[specs.RunnerID]*runnerState
		changes []Change
		changed chan struct{}
		// doneAt holds when tasks were done, noted those whose end a lead has acknowledged in time, and latest when an
		// attempt of a task last began.
		doneAt         map[specs.Ref]time.Time
		acknowledged   map[specs.Ref]bool
		lastStartAt    map[specs.Ref]time.Time
		violations     []string
		begun          []Begun
		startsToLose   int
		lostStartDelay time.Duration
		unreachable    map[specs.RunnerID]bool
		gangs          map[gangKey]*gang
	}

	// Begun is an attempt that a runner began.
	Begun struct {
		Ref     specs.Ref
		Attempt specs.Attempt
		Runner  specs.RunnerID
		At      time.Time
	}

	// World says how tasks behave.
	World struct {
		// RunTime returns how long an attempt runs.
		RunTime func(ref specs.Ref) time.Duration
		// Fails tells whether an attempt fails at its end; nil means never.
		Fails func(runner specs.RunnerID, ref specs.Ref, attempt specs.Attempt) bool
		// Takes returns what a task occupies, for the check of capacities; nil means nothing.
		Takes func(ref specs.Ref) types.Resources
		// Gang returns how many tasks a step has that only work together, or 0; nil means that there are none.
		Gang func(step specs.StepRef) int
		// GangTimeout is how long a member of a gang waits for the others.
		GangTimeout time.Duration
		// MaxLeaseTTL is the longest lease.
		MaxLeaseTTL time.Duration
		// StopTimeout is how long a stop takes.
		StopTimeout time.Duration
	}

	// runnerState is one runner.
	runnerState struct {
		info       Runner
		startedAt  time.Time
		fence      Fence
		leaseUntil Clock
		lastResult ResultNumber
		// expiredUpTo is the last end that was listed before the lease lapsed; nobody need know of it any more.
		expiredUpTo    ResultNumber
		runs           map[specs.Ref]*runState
		highestAttempt map[specs.Ref]specs.Attempt
		results        []Result
		changed        chan struct{}
	}

	runState struct {
		attempt  specs.Attempt
		endAt    time.Time
		willFail bool
		stopped  bool
		gang     *gang
	}
)

// NewFleet returns a fleet without runners.
func NewFleet(clock clockwork.Clock, w World) *Fleet {
	return &Fleet{
		clock: clock, world: w, runners: make(map[specs.RunnerID]*runnerState), changed: make(chan struct{}),
		doneAt: make(map[specs.Ref]time.Time), acknowledged: make(map[specs.Ref]bool), lastStartAt: make(map[specs.Ref]time.Time),
		unreachable: make(map[specs.RunnerID]bool), gangs: make(map[gangKey]*gang),
	}
}

// Add starts a runner and lists it.
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

// Drain lists a runner as draining; false means that there is none of that id.
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

// Crash ends a runner and all that runs on it, and takes it from the list.
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

// SetUnreachable makes a runner unreachable; what it runs goes on until its lease ends.
func (f *Fleet) SetUnreachable(id specs.RunnerID, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = unreachable
}

// LoseStarts makes the next starts go without an answer; they are carried out late by the time given.
func (f *Fleet) LoseStarts(count int, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startsToLose, f.lostStartDelay = count, delay
}

// Violations returns the broken promises that the runners saw.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Starts returns how many attempts the runners began.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.begun)
}

// Begun returns the attempts that the runners began, in order.
func (f *Fleet) Begun() []Begun {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.begun)
}

// Done returns how many tasks of a job were done.
func (f *Fleet) Done(job specs.JobID) int {
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

func (f *Fleet) publishChange(c Change) {
	f.changes = append(f.changes, c)
	close(f.changed)
	f.changed = make(chan struct{})
}

// List returns the runners.
func (f *Fleet) List(context.Context) ([]Runner, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Runner
	for _, s := range f.runners {
		out = append(out, s.info)
	}
	return out, uint64(len(f.changes)), nil
}

// Changes waits for changes of the list.
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

// Advise allows every runner.
func (f *Fleet) Advise(_ context.Context, _ specs.StepRef, runners []specs.RunnerID) ([]Permit, error) {
	var out []Permit
	for _, id := range runners {
		out = append(out, Permit{Runner: id, Ticket: "T"})
	}
	return out, nil
}

// reachRunner returns a runner that can be called. The caller holds the lock.
func (f *Fleet) reachRunner(to Runner, fence Fence) (*runnerState, error) {
	s := f.runners[to.ID]
	if s == nil || f.unreachable[to.ID] {
		return nil, errs.New(errs.Lost, "runner %s does not answer", to.ID)
	}
	f.endDueRuns(s)
	if fence < s.fence {
		return nil, errs.New(errs.Fenced, "fence %d is below %d", fence, s.fence)
	}
	s.fence = fence
	return s, nil
}

// RenewLeases extends the leases and reports.
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
			return Report{}, errs.New(errs.Lost, "holding %s: %v", to.ID, ctx.Err())
		}
	}
}

// acknowledgeResults forgets the ends up to a number. A task whose end as done is acknowledged must not begin again, nor
// have begun since. The caller holds the lock.
func (f *Fleet) acknowledgeResults(s *runnerState, upTo ResultNumber) {
	for _, e := range s.results {
		if e.Number > upTo || e.Number <= s.expiredUpTo || e.Outcome != Done {
			continue
		}
		f.acknowledged[e.Ref] = true
		if f.lastStartAt[e.Ref].After(f.doneAt[e.Ref]) {
			f.violations = append(f.violations, fmt.Sprintf("%s began again before its end was acknowledged", e.Ref))
		}
	}
	s.results = slices.DeleteFunc(s.results, func(e Result) bool { return e.Number <= upTo })
}

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

// nextEndAt returns when something on the runner may end by itself.
func (f *Fleet) nextEndAt(s *runnerState, until time.Time) time.Time {
	for _, run := range s.runs {
		if run.endAt.Before(until) {
			until = run.endAt
		}
	}
	return until
}

// endDueRuns carries out what is due on a runner.
func (f *Fleet) endDueRuns(s *runnerState) {
	now := f.clock.Now()
	expired := Clock(now.Sub(s.startedAt)) > s.leaseUntil
	if expired {
		s.expiredUpTo = s.lastResult
	}
	for ref, run := range maps.Clone(s.runs) {
		switch {
		case s.runs[ref] != run:
			// It ended with another member of its gang.
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

func (f *Fleet) endRun(s *runnerState, ref specs.Ref, outcome Outcome) {
	run := s.runs[ref]
	s.addResult(ref, outcome)
	if run.gang != nil {
		f.breakGang(run.gang, ref)
	}
}

// Start starts an attempt.
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
		// Nobody waits for the answer any more.
		_ = f.beginAttempt(to, r)
	}()
	return errs.New(errs.Lost, "the start was not answered")
}

func (f *Fleet) beginAttempt(to Runner, r StartRequest) error {
	s, err := f.reachRunner(to, r.Fence)
	if err != nil {
		return err
	}
	if run := s.runs[r.Ref]; run != nil && run.attempt == r.Attempt {
		return nil
	}
	if now := Clock(f.clock.Since(s.startedAt)); r.Deadline <= now {
		return errs.New(errs.Deadline, "the start of %s is late: its lease ended at %d, it is %d", r.Ref, r.Deadline, now)
	}
	f.extendLease(s, r.Deadline)
	if r.Attempt <= s.highestAttempt[r.Ref] {
		return errs.New(errs.Conflict, "attempt %d of %s is old", r.Attempt, r.Ref)
	}
	s.highestAttempt[r.Ref] = r.Attempt
	f.checkStart(s, r)
	f.begun = append(f.begun, Begun{Ref: r.Ref, Attempt: r.Attempt, Runner: s.info.ID, At: f.clock.Now()})
	run := &runState{attempt: r.Attempt, endAt: f.clock.Now().Add(f.world.RunTime(r.Ref))}
	run.willFail = f.world.Fails != nil && f.world.Fails(s.info.ID, r.Ref, r.Attempt)
	s.runs[r.Ref] = run
	if f.world.Gang != nil && f.world.Gang(r.Ref.StepRef) > 0 {
		f.joinGang(s, r.Ref, run, f.world.Gang(r.Ref.StepRef))
	}
	s.notifyWaiters()
	return nil
}

// checkStart notes a start that breaks a promise.
func (f *Fleet) checkStart(s *runnerState, r StartRequest) {
	if f.acknowledged[r.Ref] {
		f.violations = append(f.violations, fmt.Sprintf("%s starts after it was done", r.Ref))
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
		f.violations = append(f.violations, fmt.Sprintf("%s does not fit on %s", r.Ref, s.info.ID))
	}
}

// Stop stops an attempt.
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
