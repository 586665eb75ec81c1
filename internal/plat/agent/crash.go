package agent

import (
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// crashDelay is how long a task works before it crashes its runner.
	crashDelay = 10 * time.Millisecond
	// crashingRunTime is how long an attempt runs that crashes its runner, unless it is ended before: it must not be done when a busy
	// machine carries the crash out late.
	crashingRunTime = time.Hour
)

// Restart crashes a runner with everything that runs on it. After the delay, another runner starts at its address.
func (f *Fleet) Restart(id specs.RunnerID, after time.Duration) {
	f.mu.Lock()
	s := f.runners[id]
	f.mu.Unlock()
	if s == nil {
		return
	}
	f.Crash(id)
	go func() {
		<-f.clock.After(after)
		next := s.info
		next.ID, next.Boot = f.nextID(id), 0
		f.Add(next)
	}()
}

// nextID returns the id of the runner that follows the given one at its address.
func (f *Fleet) nextID(id specs.RunnerID) specs.RunnerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restarts++
	return specs.RunnerID(fmt.Sprintf("%.3s-%d", id, f.restarts))
}

func (f *Fleet) willCrash(ref specs.Ref) bool {
	return f.world.Crashes != nil && f.world.Crashes(ref)
}

// runTime returns how long an attempt runs unless it is ended before.
func (f *Fleet) runTime(ref specs.Ref) time.Duration {
	if f.willCrash(ref) {
		return crashingRunTime
	}
	return f.world.RunTime(ref)
}

// crashUnder crashes the runner shortly after it began an attempt, if the task does that and the attempt still runs then.
func (f *Fleet) crashUnder(id specs.RunnerID, ref specs.Ref, run *runState) {
	if !f.willCrash(ref) {
		return
	}
	go func() {
		<-f.clock.After(crashDelay)
		f.mu.Lock()
		s := f.runners[id]
		isRunning := s != nil && s.runs[ref] == run
		f.mu.Unlock()
		if !isRunning {
			return
		}
		if f.world.OnCrash != nil {
			f.world.OnCrash(id)
			return
		}
		f.Restart(id, f.world.RestartDelay)
	}()
}

// absentRunnerError returns the error of a call to a runner that is not there. The caller must hold f.mu.
func (f *Fleet) absentRunnerError(to Runner) error {
	for _, s := range f.runners {
		if s.info.Address == to.Address && !f.unreachable[s.info.ID] {
			return errs.New(errs.NotFound, "runner %s answers at the address of %s", s.info.ID, to.ID)
		}
	}
	return errs.New(errs.Lost, "runner %s is unreachable", to.ID)
}

// MostCrashes returns how many runners crashed under the task of the job under which the most did.
func (f *Fleet) MostCrashes(job specs.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for ref, n := range f.crashes {
		if ref.Job == job {
			most = max(most, n)
		}
	}
	return most
}
