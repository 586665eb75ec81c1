package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// storeFaultKinds returns the kinds of fault that StoreFaults adds.
func storeFaultKinds() []faultKind {
	return []faultKind{
		{"store refuses", (*faultSeries).refuseDaemons},
		{"store refuses writes", (*faultSeries).refuseWrites},
		{"store limited", (*faultSeries).limitRates},
		{"store loses answers", (*faultSeries).loseShareOfAnswers},
		{"store very slow", (*faultSeries).slowStore},
		{"store history dropped", (*faultSeries).dropHistory},
		{"store outage", (*faultSeries).interruptStore},
		{"store outage and losses", (*faultSeries).interruptStoreWithLosses},
		{"leader killed", (*faultSeries).killLeader},
		{"leader paused", (*faultSeries).pauseLeader},
		{"stop in turn", (*faultSeries).stopInTurn},
	}
}

// refuseDaemons refuses a third of the daemons, among them the leader every second time. Every second time their leases end at once.
func (s *faultSeries) refuseDaemons(ctx context.Context) {
	h := s.harness
	first, targets := s.rand.IntN(len(h.daemons)), []*daemon{}
	for i := range max(1, len(h.daemons)/3) {
		targets = append(targets, h.daemons[(first+i)%len(h.daemons)])
	}
	if leader := h.leader(); leader != nil && s.rand.IntN(2) == 0 {
		targets = append(targets, leader)
	}
	how, endsLeases := refusal(s.rand.IntN(int(refusalCount))), s.rand.IntN(2) == 0
	duration := s.randomRefusal()
	h.recordFault("store refuses", "%d daemons from %s to %s, how %d, leases ended %t, for %s",
		len(targets), targets[0].config.Name, targets[len(targets)-1].config.Name, how, endsLeases, duration)
	h.gate.setRefused(targets, how)
	if endsLeases {
		h.endLeases(targets)
	}
	every.Sleep(ctx, h.clock, duration)
	h.gate.serveAgain(targets)
}

// randomRefusal returns how long the store refuses daemons or limits its rates.
func (s *faultSeries) randomRefusal() time.Duration {
	return minFaultDuration + time.Duration(s.rand.Int64N(int64(maxRefusal-minFaultDuration)))
}

func (h *harness) endLeases(daemons []*daemon) {
	var keys []store.Key
	for _, d := range daemons {
		keys = append(keys, store.Key(memberPrefix+string(d.config.Name)))
	}
	if leader := h.leader(); leader != nil {
		for _, d := range daemons {
			if d == leader {
				keys = append(keys, elect.LeaderKey)
			}
		}
	}
	h.platform.Memory.EndLeases(keys...)
}

func (s *faultSeries) refuseWrites(ctx context.Context) {
	duration := s.randomRefusal()
	s.harness.recordFault("store refuses writes", "for %s", duration)
	s.harness.gate.setRefusesWrites(true)
	every.Sleep(ctx, s.harness.clock, duration)
	s.harness.gate.setRefusesWrites(false)
}

// limitRates limits the rate of writes, and every second time that of reads as well.
func (s *faultSeries) limitRates(ctx context.Context) {
	writes, reads := 1+s.rand.IntN(maxRateDivisor), 1
	if s.rand.IntN(2) == 0 {
		reads += s.rand.IntN(maxRateDivisor)
	}
	duration := s.randomRefusal()
	s.harness.recordFault("store limited", "to 1/%d of its writes and 1/%d of its reads, for %s", writes, reads, duration)
	s.harness.gate.divideRates(writes, reads)
	every.Sleep(ctx, s.harness.clock, duration)
	s.harness.gate.divideRates(1, 1)
}

func (s *faultSeries) loseShareOfAnswers(ctx context.Context) {
	duration := s.randomDuration()
	s.harness.recordFault("store loses answers", "%g of them, for %s", lossShare, duration)
	s.harness.gate.setLoses(true)
	every.Sleep(ctx, s.harness.clock, duration)
	s.harness.gate.setLoses(false)
}

func (s *faultSeries) slowStore(ctx context.Context) {
	duration := s.randomDuration()
	s.harness.recordFault("store very slow", "by %s, for %s", slowDelay, duration)
	s.harness.platform.Memory.Faults.SetDelay(slowDelay)
	every.Sleep(ctx, s.harness.clock, duration)
	s.harness.platform.Memory.Faults.SetDelay(0)
}

func (s *faultSeries) dropHistory(context.Context) {
	g := s.harness.gate
	s.harness.recordFault("store history dropped", "all")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.historyFrom = s.harness.platform.Memory.LastVersion()
}

// interruptStore takes the store down for outageTime. Leases pause meanwhile every second time.
func (s *faultSeries) interruptStore(ctx context.Context) {
	memory, pauses := s.harness.platform.Memory, s.rand.IntN(2) == 0
	s.harness.recordFault("store outage", "for %s, leases pause %t", outageTime, pauses)
	memory.Faults.SetDown(true)
	every.Sleep(ctx, s.harness.clock, outageTime)
	if pauses {
		memory.ExtendLeases(outageTime)
	}
	memory.Faults.SetDown(false)
}

// interruptStoreWithLosses takes the store down while leases pause. The store then loses answers for a while.
func (s *faultSeries) interruptStoreWithLosses(ctx context.Context) {
	h, duration := s.harness, s.randomDuration()
	h.recordFault("store outage and losses", "for %s, then answers are lost for %s", outageTime, duration)
	h.platform.Memory.Faults.SetDown(true)
	every.Sleep(ctx, h.clock, outageTime)
	h.platform.Memory.ExtendLeases(outageTime)
	h.gate.setLoses(true)
	h.platform.Memory.Faults.SetDown(false)
	every.Sleep(ctx, h.clock, duration)
	h.gate.setLoses(false)
}

func (s *faultSeries) killLeader(ctx context.Context) {
	s.killLeaderFor(ctx, s.randomDuration())
}

// killLeaderFor kills the daemon that leads, if one does, and starts it again after the outage.
func (s *faultSeries) killLeaderFor(ctx context.Context, outage time.Duration) {
	if d := s.harness.leader(); d != nil {
		s.harness.recordFault("leader killed", "%s, for %s", d.config.Name, outage)
		d.signal(syscall.SIGKILL, true)
		every.Sleep(ctx, s.harness.clock, outage)
		s.harness.ensureRunning(d)
	}
}

func (s *faultSeries) pauseLeader(ctx context.Context) {
	duration := s.randomDuration()
	if d := s.harness.leader(); d != nil {
		s.harness.recordFault("leader paused", "%s, for %s", d.config.Name, duration)
		d.signal(syscall.SIGSTOP, true)
		every.Sleep(ctx, s.harness.clock, duration)
		d.signal(syscall.SIGCONT, true)
	}
}

// stopInTurn stops the leader and starts it again, then its successor, and so on, until ctx ends or as many times as a third of the
// daemons.
func (s *faultSeries) stopInTurn(ctx context.Context) {
	for range max(1, len(s.harness.daemons)/3) {
		d := s.harness.leader()
		if d == nil || ctx.Err() != nil {
			return
		}
		s.harness.recordFault("stop in turn", "%s", d.config.Name)
		if d.terminate() {
			d.awaitExit()
			s.harness.ensureRunning(d)
		}
	}
}
