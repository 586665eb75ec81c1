package soak

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
)

// faultStoreLinks sets a fault on the connections of one daemon, or of all, to the store.
func (s *faultSeries) faultStoreLinks(ctx context.Context, kind string, f linkFault) {
	targets := s.harness.daemons
	if s.rand.IntN(2) == 0 {
		targets = []*daemon{s.randomDaemon()}
	}
	duration := s.randomDuration()
	s.harness.recordFault(kind, "%d daemons from %s on, for %s", len(targets), targets[0].config.Name, duration)
	for _, d := range targets {
		d.storeProxy.setFault(f)
	}
	every.Sleep(ctx, s.harness.clock, duration)
	for _, d := range targets {
		d.storeProxy.setFault(linkFault{})
	}
}

func (s *faultSeries) randomDelay() time.Duration {
	return time.Duration(s.rand.Int64N(int64(maxChunkDelay)))
}

func (s *faultSeries) slowStoreLinks(ctx context.Context) {
	s.faultStoreLinks(ctx, "store slow", linkFault{delay: s.randomDelay()})
}

func (s *faultSeries) blockStoreLinks(ctx context.Context) {
	s.faultStoreLinks(ctx, "store silent", linkFault{holdRequests: true, holdAnswers: true})
}

func (s *faultSeries) blockStoreAnswers(ctx context.Context) {
	s.faultStoreLinks(ctx, "store answers held", linkFault{holdAnswers: true})
}

func (s *faultSeries) resetStoreLinks(context.Context) {
	d := s.randomDaemon()
	s.harness.recordFault("store connections reset", "%s", d.config.Name)
	d.storeProxy.resetConnections()
}

func (s *faultSeries) takeStoreDown(ctx context.Context) {
	duration := s.randomDuration()
	s.harness.recordFault("store down", "for %s", duration)
	s.harness.platform.Memory.Faults.SetDown(true)
	every.Sleep(ctx, s.harness.clock, duration)
	s.harness.platform.Memory.Faults.SetDown(false)
}

func (s *faultSeries) loseStoreAnswers(context.Context) {
	s.harness.recordFault("store answers lost", "%d calls", lostStoreAnswers)
	s.harness.platform.Memory.Faults.LoseAnswers(lostStoreAnswers)
}

// faultRunnerLinks sets a fault on the connections to all runners.
func (s *faultSeries) faultRunnerLinks(ctx context.Context, kind string, f linkFault) {
	duration := s.randomDuration()
	s.harness.recordFault(kind, "for %s", duration)
	s.harness.runnerProxy.setFault(f)
	every.Sleep(ctx, s.harness.clock, duration)
	s.harness.runnerProxy.setFault(linkFault{})
}

func (s *faultSeries) slowRunnerLinks(ctx context.Context) {
	s.faultRunnerLinks(ctx, "runners slow", linkFault{delay: s.randomDelay()})
}

func (s *faultSeries) blockRunnerAnswers(ctx context.Context) {
	s.faultRunnerLinks(ctx, "runner answers held", linkFault{holdAnswers: true})
}

func (s *faultSeries) resetRunnerLinks(context.Context) {
	s.harness.recordFault("runner connections reset", "all")
	s.harness.runnerProxy.resetConnections()
}
