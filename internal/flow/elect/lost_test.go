package elect

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// distantLatency is the latency to the store of a daemon in a distant data centre; the delay before its claims is longer than that
// of near ones with any jitter.
const distantLatency = 30 * time.Millisecond

// distantStore is a store whose leases are granted and renewed with distantLatency.
type distantStore struct{ store.Batcher }

func (s distantStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	time.Sleep(distantLatency)
	return s.Batcher.Grant(ctx, ttl)
}

func (s distantStore) Renew(ctx context.Context, id store.LeaseID) error {
	time.Sleep(distantLatency)
	return s.Batcher.Renew(ctx, id)
}

// Guards against daemons near the store that are too slow to lead and succeed each other for ever, while a sound one further away never leads.
func TestDaemonsThatLoseTheirTermsDoNotLeadInTurn(t *testing.T) {
	f := newClusterFixture(t)
	near := []*daemon{f.join("near-1"), f.join("near-2")}
	leader := f.awaitLeader(near...)
	distant := f.joinThrough("distant", 1, func(b store.Batcher) store.Batcher { return distantStore{b} })
	all := append([]*daemon{distant}, near...)
	f.eventually("all are members", func() bool { return len(leader.Members()) == len(all) })
	var terms []types.VMID
	for range 6 {
		leader = f.awaitLeader(all...)
		terms = append(terms, leader.vm)
		if leader == distant {
			return
		}
		f.memory.Faults.SetPartitioned(types.DataCentre(leader.vm), true)
		f.eventually("another daemon leads", func() bool { return f.hasOtherLeader(leader, all) })
		f.memory.Faults.SetPartitioned(types.DataCentre(leader.vm), false)
	}
	t.Errorf("the daemons that lost their terms led in turn: %v", terms)
}

// hasOtherLeader reports whether a daemon other than d leads.
func (f *clusterFixture) hasOtherLeader(d *daemon, all []*daemon) bool {
	for _, other := range all {
		if other != d && f.termOf(other) != nil {
			return true
		}
	}
	return false
}

// Guards against a daemon that claims ever later, or late for good, because of terms that it lost long ago.
func TestDelayForLostTermsIsBoundedAndEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(Config{Self: peer.Target{VM: "a"}, Clock: clock, Log: zerolog.Nop()})
	assertDelay := func(when string, want time.Duration) {
		t.Helper()
		if got := e.lostTermDelay(); got != want {
			t.Errorf("%s the delay is %s, want %s", when, got, want)
		}
	}
	assertDelay("at first", 0)
	for lost := range maxLostTerms + 1 {
		e.noteLostTerm()
		assertDelay("after another lost term", lostTermStep*time.Duration(min(lost+1, maxLostTerms)))
	}
	clock.Advance(lostTermMemory + time.Second)
	assertDelay("long after them", 0)
}
