package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

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
		// doneAt holds when tasks were done and doneBy by which start, doneCounts how many tasks of each job, acknowledged those whose
		// result a leader acknowledged before the lease expired, unread those of them that no report had listed, and lastStartAt when an attempt of a task last started.
		doneAt         map[specs.Ref]time.Time
		doneBy         map[specs.Ref]sentStart
		unread         map[specs.Ref]bool
		doneCounts     map[specs.JobID]int
		acknowledged   map[specs.Ref]bool
		lastStartAt    map[specs.Ref]time.Time
		violations     []string
		begun          []StartedAttempt
		startsToLose   int
		lostStartDelay time.Duration
		unreachable    map[specs.RunnerID]bool
		gangs          map[gangKey]*gang
		// crashes counts the crashes of runners under each task.
		crashes map[specs.Ref]int
		// restarts counts the runners that were started by Restart.
		restarts int
		// unstoppable counts the starts that isUnstoppable allows.
		unstoppable int
	}

	// StartedAttempt is an attempt that a runner started.
	StartedAttempt struct {
		Ref     specs.Ref
		Attempt specs.Attempt
		Runner  specs.RunnerID
		At      time.Time
		// Checkpoint is the state with which it was started.
		Checkpoint specs.Checkpoint
	}

	// FleetConfig defines how tasks behave, and the limits of the runners.
	FleetConfig struct {
		// RunTime returns how long an attempt runs.
		RunTime func(ref specs.Ref) time.Duration
		// Fails reports whether an attempt fails at its end; nil means never.
		Fails func(runner specs.RunnerID, ref specs.Ref, attempt specs.Attempt) bool
		// Crashes reports whether a task crashes each runner that begins it, shortly after that; nil means never. Another
		// runner starts at the address RestartDelay later, unless OnCrash is set, which then crashes the runner instead.
		Crashes      func(ref specs.Ref) bool
		RestartDelay time.Duration
		OnCrash      func(runner specs.RunnerID)
		// Takes returns the resources that a task occupies, for the check of capacities; nil turns the check off.
		Takes func(ref specs.Ref) types.Resources
		// GangSize returns the number of tasks of a gang step, or 0 for any other step; nil means that there are no
		// gangs.
		GangSize func(step specs.StepRef) int
		// GangTimeout is how long a member of a gang waits for the others.
		GangTimeout time.Duration
		// GangCheckpoint is the work after which each member of a gang saves its state; the members save one after the
		// other. Zero means that they save none.
		GangCheckpoint time.Duration
		// MaxLeaseTTL is the longest lease that a runner grants.
		MaxLeaseTTL time.Duration
		// StopTimeout is how long a stop takes.
		StopTimeout time.Duration
	}

	// runnerState is the state of one runner.
	runnerState struct {
		info Runner
		// entry is what the directory lists.
		entry Runner
		// startedAt lies ahead while the runner is dark after a reboot, which dark describes.
		startedAt  time.Time
		dark       RebootConfig
		fence      Fence
		leaseUntil Clock
		lastResult ResultNumber
		// lastListed is the last result that a report listed.
		lastListed ResultNumber
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
		start    sentStart
		attempt  specs.Attempt
		begunAt  time.Time
		endAt    time.Time
		willFail bool
		stopped  bool
		gang     *gang
		// from is the state with which the attempt was started.
		from specs.Checkpoint
	}
)

// NewFleet returns a fleet without runners.
func NewFleet(clock clockwork.Clock, w FleetConfig) *Fleet {
	return &Fleet{
		clock: clock, world: w, runners: make(map[specs.RunnerID]*runnerState), changed: make(chan struct{}),
		doneAt: make(map[specs.Ref]time.Time), doneCounts: make(map[specs.JobID]int), acknowledged: make(map[specs.Ref]bool), lastStartAt: make(map[specs.Ref]time.Time),
		doneBy: make(map[specs.Ref]sentStart), unread: make(map[specs.Ref]bool),
		unreachable: make(map[specs.RunnerID]bool), gangs: make(map[gangKey]*gang), crashes: make(map[specs.Ref]int),
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
	f.runners[info.ID] = newRunnerState(info, now)
	f.publishChange(Change{Runner: info})
}

func newRunnerState(info Runner, startedAt time.Time) *runnerState {
	return &runnerState{
		info: info, entry: info, startedAt: startedAt, runs: make(map[specs.Ref]*runState),
		highestAttempt: make(map[specs.Ref]specs.Attempt), changed: make(chan struct{}),
	}
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
	s.entry = s.info
	f.publishChange(Change{Runner: s.info})
	return s.info, true
}

// Crash ends a runner with everything that runs on it, and removes it from the directory.
func (f *Fleet) Crash(id specs.RunnerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.runners[id]; s != nil {
		delete(f.runners, id)
		f.loseRuns(s)
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
	return f.doneCounts[job]
}

// noteDone notes that a task was done. The caller must hold f.mu.
func (f *Fleet) noteDone(ref specs.Ref, run *runState) {
	if _, known := f.doneAt[ref]; !known {
		f.doneCounts[ref.Job]++
	}
	f.doneAt[ref], f.doneBy[ref] = run.endAt, run.start
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
		out = append(out, s.entry)
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
