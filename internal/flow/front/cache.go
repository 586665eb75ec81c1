package front

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/owner"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// maxCachedSteps limits the steps of which a daemon caches the advice.
	maxCachedSteps = 600
	// collectTimeout limits the collection of cached advice from all daemons.
	collectTimeout = 400 * time.Millisecond
)

type (
	// RecallArgs names the steps of which a new leader collects the cached advice.
	RecallArgs struct{ Steps []specs.StepRef }

	// RecallReply holds the advice that a daemon has cached.
	RecallReply struct{ Notes []owner.CachedAdvice }

	// adviceCache holds the advice that a daemon got from the service, so that a new leader need not request it again.
	// It is safe for concurrent use.
	adviceCache struct {
		mu          sync.Mutex
		byStep      map[specs.StepRef]*cacheEntry
		oldestFirst []specs.StepRef
	}

	cacheEntry struct {
		advice owner.CachedAdvice
		until  time.Time
	}
)

func newAdviceCache() adviceCache {
	return adviceCache{byStep: make(map[specs.StepRef]*cacheEntry)}
}

// add caches the answer to a call. It replaces the earlier answers about the same runners. When more than
// maxCachedSteps steps are cached, those that were added first are removed.
func (c *adviceCache) add(step specs.StepRef, asked []tasks.Incarnation, permits []agent.Permit, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.byStep[step]
	if former == nil {
		c.oldestFirst = append(c.oldestFirst, step)
		former = &cacheEntry{advice: owner.CachedAdvice{Step: step}}
	}
	advice := owner.CachedAdvice{Step: step, Asked: asked, Permits: permits}
	named := make(map[specs.RunnerID]bool, len(asked))
	for _, incarnation := range asked {
		named[incarnation.Runner] = true
	}
	for _, incarnation := range former.advice.Asked {
		if !named[incarnation.Runner] {
			advice.Asked = append(advice.Asked, incarnation)
		}
	}
	for _, p := range former.advice.Permits {
		if !named[p.Runner] {
			advice.Permits = append(advice.Permits, p)
		}
	}
	c.byStep[step] = &cacheEntry{advice: advice, until: until}
	for len(c.oldestFirst) > maxCachedSteps {
		delete(c.byStep, c.oldestFirst[0])
		c.oldestFirst = c.oldestFirst[1:]
	}
}

// find returns the cached advice on the steps, with the validity that is left at now.
func (c *adviceCache) find(steps []specs.StepRef, now time.Time) []owner.CachedAdvice {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []owner.CachedAdvice
	for _, s := range steps {
		if entry := c.byStep[s]; entry != nil {
			advice := entry.advice
			advice.Left = entry.until.Sub(now)
			out = append(out, advice)
		}
	}
	return out
}

// Recall returns the advice on the steps that this daemon has cached.
func (s *Service) Recall(args *RecallArgs, reply *RecallReply) error {
	reply.Notes = s.front.adviceCache.find(args.Steps, s.front.config.Clock.Now())
	return nil
}

// collectCachedAdvice collects the advice on the steps that the daemons have cached. It calls add once for each daemon
// that answers within collectTimeout, from several goroutines.
func (f *Front) collectCachedAdvice(ctx context.Context, steps []specs.StepRef, add func([]owner.CachedAdvice)) {
	limited, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range f.adviceDaemons() {
		wg.Go(func() { f.collectFrom(limited, m, steps, add) })
	}
	wg.Wait()
}

func (f *Front) collectFrom(ctx context.Context, m peer.Target, steps []specs.StepRef, add func([]owner.CachedAdvice)) {
	if m.VM == f.config.Self.VM {
		add(f.adviceCache.find(steps, f.config.Clock.Now()))
		return
	}
	reply := &RecallReply{}
	if err := f.config.Peers.Call(ctx, m, methodRecall, &RecallArgs{Steps: steps}, reply); err != nil {
		f.config.Log.Debug().Err(err).Str("VM", string(m.VM)).Msg("could not collect the cached advice of a peer; continuing without it")
		return
	}
	add(reply.Notes)
}
