package soak

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// minRebootGap and maxRebootGap bound the time between two reboots of runners, minRebooted the number of runners of each.
	minRebootGap = 1400 * time.Millisecond
	maxRebootGap = 1800 * time.Millisecond
	minRebooted  = 2
	// maxDark bounds how long a rebooted runner does not answer, maxEntryDelay the time from then until it is registered.
	maxDark       = 800 * time.Millisecond
	maxEntryDelay = 600 * time.Millisecond
	// heldStarts is the number of starts sent to a runner in the dark that its next boot carries out, within minHoldDelay to maxHoldDelay.
	// earlyStarts is the number of starts right before the reboots whose answers are lost; they are carried out up to maxEarlyDelay later.
	heldStarts    = 8
	minHoldDelay  = 100 * time.Millisecond
	maxHoldDelay  = 300 * time.Millisecond
	earlyStarts   = 4
	maxEarlyDelay = 900 * time.Millisecond
	// Of the reboots, one in rebootsPerKill has the leader killed up to maxRebootGap later, and one in rebootsPerCut has each second
	// runner cut off up to maxCutDelay after it answers, until the leases that were asked for before have ended.
	rebootsPerKill = 3
	rebootsPerCut  = 2
	maxCutDelay    = time.Second
	cutTime        = maxLeaseTTL + time.Second
	// slowStopTimeout is how long a stop takes, which is the most that the daemons' settings allow.
	slowStopTimeout = 400 * time.Millisecond
	// longShare is the number of jobs of which one has tasks that run for seconds.
	longShare = 3
)

// longRunTime returns how long a task runs when some run for seconds. It depends only on the task's job ID and index.
func longRunTime(ref specs.Ref) time.Duration {
	const minMs, stepCount, stepMs = 2000, 5, 800
	h := fnv.New32()
	h.Write([]byte(ref.Job))
	sum := h.Sum32()
	if sum%longShare != 0 {
		return runTime(ref)
	}
	steps := (sum/longShare + uint32(ref.Index)) % stepCount
	return time.Duration(minMs+steps*stepMs) * time.Millisecond
}

// runTime returns how long the tasks of a run take.
func (c Config) runTime() func(specs.Ref) time.Duration {
	if c.RunnerReboots {
		return longRunTime
	}
	return runTime
}

// stopTimeout returns how long the stop of a task takes.
func (c Config) stopTimeout() time.Duration {
	if c.RunnerReboots {
		return slowStopTimeout
	}
	return stopTimeout
}

// rebootRunners restarts several runners at once under their ids, again and again until ctx ends. At times it kills a leader or cuts
// runners off soon after. A runner that is cut off is not restarted.
func (s *faultSeries) rebootRunners(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	cutUntil := make(map[specs.RunnerID]time.Time)
	for ctx.Err() == nil {
		every.Sleep(ctx, s.harness.clock, s.between(minRebootGap, maxRebootGap))
		earlyDelay, wait := s.between(0, maxEarlyDelay), s.between(0, maxEarlyDelay)
		if s.rand.IntN(2) == 0 {
			s.harness.platform.Fleet.LoseStarts(earlyStarts, earlyDelay)
			every.Sleep(ctx, s.harness.clock, min(wait, earlyDelay))
		}
		c := agent.RebootConfig{
			Dark: s.between(0, maxDark), Silent: s.rand.IntN(2) == 0, HeldStarts: heldStarts, HoldDelay: s.between(minHoldDelay, maxHoldDelay),
			EntryDelay: s.between(0, maxEntryDelay),
		}
		kills, killDelay := s.rand.IntN(rebootsPerKill) == 0, s.between(0, maxRebootGap)
		cuts, cutDelay := s.rand.IntN(rebootsPerCut) == 0, s.between(0, maxCutDelay)
		chosen := s.chooseRunners(cutUntil)
		s.harness.recordFault("runner reboots", "%v, dark for %s, silent %t, registered %s later", chosen, c.Dark, c.Silent, c.EntryDelay)
		for i, id := range chosen {
			group.Go(func() { s.harness.rebootRunner(id, c) })
			if !cuts || i%2 != 0 {
				continue
			}
			cutUntil[id] = s.harness.clock.Now().Add(c.Dark + cutDelay + cutTime)
			group.Go(func() { s.cutOff(ctx, id, c.Dark+cutDelay) })
		}
		if kills {
			group.Go(func() {
				every.Sleep(ctx, s.harness.clock, killDelay)
				s.killLeaderFor(ctx, minFaultDuration)
			})
		}
	}
}

// between returns a random time from shortest to longest.
func (s *faultSeries) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.rand.Int64N(int64(longest-shortest)))
}

// chooseRunners returns at least minRebooted runners, if so many are not cut off.
func (s *faultSeries) chooseRunners(cutUntil map[specs.RunnerID]time.Time) []specs.RunnerID {
	// List of the stand-in always returns a nil error.
	runners, _, _ := s.harness.platform.Fleet.List(context.Background())
	slices.SortFunc(runners, func(a, b agent.Runner) int { return cmp.Compare(a.ID, b.ID) })
	count := minRebooted + s.rand.IntN(max(s.harness.config.Runners-minRebooted, 1))
	var out []specs.RunnerID
	for _, i := range s.rand.Perm(len(runners)) {
		if id := runners[i].ID; len(out) < count && s.harness.clock.Now().After(cutUntil[id]) {
			out = append(out, id)
		}
	}
	return out
}

// rebootRunner restarts a runner under its id, and registers it once it answers, after the delay for its entry.
func (h *harness) rebootRunner(id specs.RunnerID, c agent.RebootConfig) {
	if _, ok := h.platform.Fleet.Reboot(id, c); !ok {
		return
	}
	h.clock.Sleep(c.Dark + c.EntryDelay)
	h.retryChange(func() error { return h.platform.RegisterAgain(id) })
}

// cutOff makes a runner unreachable for cutTime, after a delay.
func (s *faultSeries) cutOff(ctx context.Context, id specs.RunnerID, delay time.Duration) {
	every.Sleep(ctx, s.harness.clock, delay)
	s.harness.recordFault("rebooted runner cut", "%s, for %s", id, cutTime)
	s.harness.platform.Fleet.SetUnreachable(id, true)
	every.Sleep(ctx, s.harness.clock, cutTime)
	s.harness.platform.Fleet.SetUnreachable(id, false)
}
