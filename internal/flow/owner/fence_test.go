package owner

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Guards against one term after the other that ends because a single runner holds a fence that no leader has issued.
func TestForeignFenceOfARunnerKeepsTheTerm(t *testing.T) {
	const foreign agent.Fence = 1 << 60
	f := newFixture(t, quickWorld())
	f.addRunners(2)
	o := f.newOwner()
	var ended atomic.Bool
	o.config.OnFenced = func(string) { ended.Store(true) }
	f.runOwner(o)
	f.submit(o, job("before", step(8)))
	info := runner(0)
	info.Boot = f.boot("w00")
	if _, err := f.fleet.RenewLeases(context.Background(), info, agent.RenewRequest{Fence: foreign}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(longPollTimeout)
	f.submit(o, job("after", step(8)))
	f.waitForState(o, "before", tasks.JobCompleted)
	f.waitForState(o, "after", tasks.JobCompleted)
	if ended.Load() {
		t.Error("the term ended although the store holds its epoch")
	}
}

// Guards against a leader that goes on after a runner has refused its fence, and the store shows, or another runner as well, that a later one leads.
func TestFenceOfALaterLeaderEndsTheTerm(t *testing.T) {
	cases := map[string]struct {
		refusals  int
		raised    bool
		readFails bool
		ends      bool
	}{
		"StoreHoldsALaterEpoch":           {refusals: 1, raised: true, ends: true},
		"StoreHoldsThisEpoch":             {refusals: 2},
		"StoreIsSilentAndOneRunnerSays":   {refusals: 1, raised: true, readFails: true},
		"StoreIsSilentAndTwoRunnersSayIt": {refusals: 2, raised: true, readFails: true, ends: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newOwner()
			defer o.Stop()
			reads := &readStore{Batcher: o.config.Store}
			reads.fails.Store(c.readFails)
			o.config.Store = reads
			ended := make(chan string, 1)
			o.config.OnFenced = func(reason string) { ended <- reason }
			if c.raised {
				f.beginTerm()
			}
			o.mu.Lock()
			for i := range c.refusals {
				o.handleFenced(o.addRunner(runner(i)))
			}
			o.mu.Unlock()
			assertEnds(t, ended, c.ends)
		})
	}
}

// assertEnds fails the test unless the term ends because of a runner's refusal, or goes on, as wanted.
func assertEnds(t *testing.T, ended <-chan string, want bool) {
	t.Helper()
	select {
	case reason := <-ended:
		if !want || !strings.Contains(reason, "has seen a later leader") {
			t.Errorf("the term ended because %q", reason)
		}
	case <-time.After(300 * time.Millisecond):
		if want {
			t.Error("the term goes on")
		}
	}
}

// readStore counts the reads of the epoch, and fails them while fails is set.
type readStore struct {
	store.Batcher
	reads atomic.Int64
	fails atomic.Bool
}

func (s *readStore) Get(ctx context.Context, key store.Key) (store.Entry, error) {
	s.reads.Add(1)
	if s.fails.Load() {
		return store.Entry{}, errs.New(errs.Unavailable, "status 429")
	}
	return s.Batcher.Get(ctx, key)
}

func foreignFence(t *testing.T) (*fixture, *Owner, *readStore, *atomic.Bool) {
	f := newFixture(t, quickWorld())
	f.addRunners(2)
	o := f.newOwner()
	reads, ended := &readStore{Batcher: o.config.Store}, &atomic.Bool{}
	o.config.Store = reads
	o.config.OnFenced = func(string) { ended.Store(true) }
	f.runOwner(o)
	f.submit(o, job("before", step(8)))
	info := runner(0)
	info.Boot = f.boot("w00")
	if _, err := f.fleet.RenewLeases(context.Background(), info, agent.RenewRequest{Fence: 1 << 60}); err != nil {
		t.Fatal(err)
	}
	return f, o, reads, ended
}

// Guards against one runner with a foreign fence that makes the leader read the epoch at each of its renewals.
func TestForeignFenceCausesFewReads(t *testing.T) {
	_, _, reads, _ := foreignFence(t)
	time.Sleep(2 * time.Second)
	before := reads.reads.Load()
	time.Sleep(2 * time.Second)
	if got := reads.reads.Load() - before; got > 6 {
		t.Errorf("%d reads of the epoch in 2 s", got)
	}
}

// Guards against a term that ends in the name of another leader because the epoch could not be read after a runner's refusal.
func TestForeignFenceWhileReadsFailKeepsTheTerm(t *testing.T) {
	_, _, reads, ended := foreignFence(t)
	reads.fails.Store(true)
	time.Sleep(2 * time.Second)
	if ended.Load() {
		t.Error("the term ended in the name of another leader, which the store does not show")
	}
}
