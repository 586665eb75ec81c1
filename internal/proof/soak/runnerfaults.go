package soak

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// oldestRunner returns the runner that was added first: IDs count up, so it has the lowest. It waits while all runners restart.
func (s *faultSeries) oldestRunner() specs.RunnerID {
	// List of the stand-in always returns a nil error.
	runners, _, _ := s.harness.platform.Fleet.List(context.Background())
	for len(runners) == 0 {
		s.harness.clock.Sleep(pollInterval)
		runners, _, _ = s.harness.platform.Fleet.List(context.Background())
	}
	oldest := runners[0].ID
	for _, r := range runners {
		oldest = min(oldest, r.ID)
	}
	return oldest
}

func (s *faultSeries) makeRunnerUnreachable(ctx context.Context) {
	id, duration := s.oldestRunner(), s.randomDuration()
	s.harness.recordFault("runner cut", "%s, for %s", id, duration)
	s.harness.platform.Fleet.SetUnreachable(id, true)
	every.Sleep(ctx, s.harness.clock, duration)
	s.harness.platform.Fleet.SetUnreachable(id, false)
}

func (s *faultSeries) crashRunner(context.Context) {
	id := s.oldestRunner()
	s.harness.recordFault("runner crash", "%s", id)
	s.harness.restartRunner(id, 0)
}

func (s *faultSeries) drainRunner(ctx context.Context) {
	id := s.oldestRunner()
	s.harness.recordFault("runner drains", "%s", id)
	s.harness.retryChange(func() error { return s.harness.platform.DrainRunner(id) })
	every.Sleep(ctx, s.harness.clock, s.randomDuration())
	s.harness.restartRunner(id, 0)
}

func (s *faultSeries) delayStarts(context.Context) {
	s.harness.recordFault("starts late", "%d by %s", lostStarts, lateStartDelay)
	s.harness.platform.Fleet.LoseStarts(lostStarts, lateStartDelay)
}
