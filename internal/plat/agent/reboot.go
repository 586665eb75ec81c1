package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// holdSteps is the number of moments within HoldDelay at which held starts are carried out.
const holdSteps = 4

// sentStart is a start with the time of its call, and the boot that the runner had then.
type sentStart struct {
	StartRequest
	sentAt time.Time
	boot   specs.Boot
}

// RebootConfig describes the restart of a runner under its id.
type RebootConfig struct {
	// Dark is the time until the next incarnation answers. Calls made before fail with kind Lost.
	Dark time.Duration
	// Silent makes the calls that wait on the former incarnation, and those made while the runner is dark, fail only HoldDelay after the
	// next one first answers, as on connections whose packets are lost. Otherwise they fail at once, as on connections that are reset.
	Silent bool
	// HeldStarts is the number of starts sent while the runner is dark that the next incarnation carries out, within HoldDelay after
	// it first answers, as on connections whose opening packet is sent again.
	HeldStarts int
	HoldDelay  time.Duration
	// EntryDelay is the time from the first answer of the next incarnation until the directory lists it.
	EntryDelay time.Duration
}

// Reboot restarts a runner under its id and at its address. The next incarnation has a later boot, runs nothing and has no memory of
// requests to the former one: fence, attempts, results, leases and clock start anew. It carries out whatever arrives for the id, also
// what was sent to the former one. Reboot returns the next incarnation, or false when no runner has the id.
func (f *Fleet) Reboot(id specs.RunnerID, c RebootConfig) (Runner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.runners[id]
	if s == nil {
		return Runner{}, false
	}
	f.endDueRuns(s)
	info, startedAt := s.info, f.clock.Now().Add(c.Dark)
	info.Boot = max(specs.Boot(startedAt.UnixMilli()), info.Boot+1)
	info.Draining, info.Remaining = false, 0
	next := newRunnerState(info, startedAt)
	next.entry, next.dark = s.entry, c
	f.runners[id] = next
	f.loseRuns(s)
	go func() {
		<-f.clock.After(c.Dark + c.EntryDelay)
		f.listAgain(next)
	}()
	return info, true
}

// listAgain makes the directory list a runner as it is, unless it has been replaced or has crashed.
func (f *Fleet) listAgain(s *runnerState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runners[s.info.ID] != s {
		return
	}
	s.entry = s.info
	f.publishChange(Change{Runner: s.entry})
}

// Find returns a runner as it is, which the directory may not list yet, or false when no runner has the id.
func (f *Fleet) Find(id specs.RunnerID) (Runner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.runners[id]
	if s == nil {
		return Runner{}, false
	}
	return s.info, true
}

// loseRuns ends a runner's incarnation with everything that runs on it. The caller must hold f.mu.
func (f *Fleet) loseRuns(s *runnerState) {
	s.notifyWaiters()
	for ref := range s.runs {
		f.crashes[ref]++
	}
	for ref, run := range s.runs {
		if run.gang != nil {
			f.breakGang(run.gang, ref)
		}
	}
	clear(s.runs)
}

// isDark reports whether the runner has restarted and does not answer yet.
func (s *runnerState) isDark(now time.Time) bool {
	return now.Before(s.startedAt)
}

// deliverStart carries out a start, which may have to wait until its runner is no longer dark.
func (f *Fleet) deliverStart(ctx context.Context, to Runner, r sentStart) error {
	f.mu.Lock()
	s := f.runners[to.ID]
	if s == nil || !s.isDark(f.clock.Now()) || s.dark.HeldStarts == 0 {
		defer f.mu.Unlock()
		return f.beginAttempt(to, r)
	}
	s.dark.HeldStarts--
	held := s.dark.HoldDelay * time.Duration(s.dark.HeldStarts%holdSteps) / holdSteps
	silent, delay := s.dark.Silent, s.startedAt.Sub(f.clock.Now())+held
	f.mu.Unlock()
	carriedOut := make(chan error, 1)
	go func() {
		<-f.clock.After(delay)
		f.mu.Lock()
		defer f.mu.Unlock()
		carriedOut <- f.beginAttempt(to, r)
	}()
	if silent {
		select {
		case err := <-carriedOut:
			return err
		case <-ctx.Done():
		}
	}
	return errs.New(errs.Lost, "runner %s is restarting", to.ID)
}

// awaitAnswer waits until the connections to a runner that is dark and silent have found its next incarnation, or until ctx ends.
func (f *Fleet) awaitAnswer(ctx context.Context, id specs.RunnerID) {
	f.mu.Lock()
	s, now := f.runners[id], f.clock.Now()
	waits := s != nil && s.dark.Silent && s.isDark(now)
	f.mu.Unlock()
	if !waits {
		return
	}
	select {
	case <-f.clock.After(s.startedAt.Sub(now) + s.dark.HoldDelay):
	case <-ctx.Done():
	}
}

// noteSent returns a start that is sent to a runner now.
func (f *Fleet) noteSent(id specs.RunnerID, r StartRequest) sentStart {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := sentStart{StartRequest: r, sentAt: f.clock.Now()}
	if s := f.runners[id]; s != nil {
		out.boot = s.info.Boot
	}
	return out
}

// describe returns how a start reached its runner.
func (f *Fleet) describe(s *runnerState, r sentStart) string {
	now := f.clock.Now()
	out := fmt.Sprintf("attempt %d on %s, sent %s ago under fence %d", r.Attempt, s.info.ID, now.Sub(r.sentAt), r.Fence)
	if r.boot != s.info.Boot {
		out += fmt.Sprintf(" to its former boot; the present one has answered for %s", now.Sub(s.startedAt))
	}
	return out
}

// isUnstoppable reports whether no scheduler could have kept a start from running beside another one, or after it: it was sent to a
// former boot of its runner, whose fences and stops do not bind the present one, and the other had been sent when the present one first
// answered.
func isUnstoppable(s *runnerState, late, other sentStart) bool {
	return late.boot != s.info.Boot && !other.sentAt.IsZero() && other.sentAt.Before(s.startedAt)
}

// UnstoppableStarts returns the number of starts that violated no guarantee only since they were sent to a former boot of their runner.
func (f *Fleet) UnstoppableStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unstoppable
}
