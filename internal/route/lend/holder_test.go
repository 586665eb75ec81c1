package lend

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

// pairFixture is a Lender and a Holder on one daemon, with one runner of 8 slots.
type pairFixture struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	lender   *Lender
	holder   *Holder
	upstream runner.Upstream
	leaders  map[types.DataCentre]Leader
}

func newPairFixture(t *testing.T) *pairFixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	site := types.Site{Region: "r", DataCentre: "d"}
	self := peer.Target{VM: "e", Site: site, Address: "e"}
	node := peer.NewNetwork().Join(self, meter.Discard())
	up := runner.Upstream{ID: "u", Service: "desk", VM: "w", Site: site, Endpoint: "u", Slots: 8, Connections: 64}
	p := &pairFixture{t: t, clock: clock, upstream: up, leaders: map[types.DataCentre]Leader{"d": {Target: self, Epoch: 1}}}
	p.lender = NewLender(LenderConfig{
		Self: self, Clock: clock, Peers: node, Audit: audit.Discard{}, Log: zerolog.Nop(),
		Metrics:   metrics.NewRegistry(),
		Upstreams: func() []runner.Upstream { return []runner.Upstream{p.upstream} },
		Entries:   func() []peer.Target { return []peer.Target{self} },
	})
	p.holder = NewHolder(HolderConfig{
		Self: self, Clock: clock, Peers: node, Audit: audit.Discard{}, Log: zerolog.Nop(),
		Metrics:  metrics.NewRegistry(),
		LeaderOf: func() map[types.DataCentre]Leader { return p.leaders },
	})
	if err := node.Register(ServiceName, NewService(p.lender, p.holder)); err != nil {
		t.Fatal(err)
	}
	p.lender.Begin(context.Background(), 1)
	clock.Advance(2 * DefaultListLag)
	return p
}

// tradeFor makes the holder trade once a second for the given number of seconds.
func (p *pairFixture) tradeFor(seconds int) {
	for range seconds {
		p.clock.Advance(TradeInterval)
		p.lender.Tick(context.Background())
		p.holder.Trade(context.Background())
	}
}

// acquireAll takes every free slot.
func (p *pairFixture) acquireAll() []Slot {
	var out []Slot
	for {
		s, ok := p.holder.Acquire("desk", Local, "")
		if !ok {
			return out
		}
		out = append(out, s)
	}
}

// TestWantIsSentAfterACallThatWasNotDue guards against a lost want: a service becomes known just after a call, so that
// no call is due at the next ticks. The want must still arrive with the first call that is due.
func TestWantIsSentAfterACallThatWasNotDue(t *testing.T) {
	p := newPairFixture(t)
	p.holder.Trade(context.Background())
	p.holder.Expect("desk")
	p.holder.Trade(context.Background())
	p.tradeFor(3)
	if held := p.holder.Held("desk", Local); held < FloorSlots {
		t.Fatalf("entry holds %d slots, want at least %d", held, FloorSlots)
	}
}

// TestSlotOfACallThatMayStillRunStaysTaken guards against one request too many at a runner: after a call in doubt its
// slot must stay taken until the call has certainly ended.
func TestSlotOfACallThatMayStillRunStaysTaken(t *testing.T) {
	p := newPairFixture(t)
	p.holder.Expect("desk")
	p.tradeFor(3)
	slots := p.acquireAll()
	if len(slots) == 0 {
		t.Fatal("no slot was lent")
	}
	end := p.clock.Now().Add(2 * time.Second)
	p.holder.Release(slots[0], InDoubt, end)
	if got := p.acquireAll(); len(got) != 0 {
		t.Fatalf("%d slots are free while a call may still run, want 0", len(got))
	}
	p.clock.Advance(3 * time.Second)
	// Without a leader no more slots are lent, so that only the released one can be free.
	p.leaders = nil
	p.holder.Tick(context.Background())
	if got := p.acquireAll(); len(got) != 1 {
		t.Fatalf("%d slots are free after the call has ended, want 1", len(got))
	}
}

// TestSlotFreedOnALeavingRunnerIsNotUsedAgain guards against new calls to a leaving runner: the runner is listed as
// leaving while all of its slots are busy, and then one of them is released.
func TestSlotFreedOnALeavingRunnerIsNotUsedAgain(t *testing.T) {
	p := newPairFixture(t)
	p.holder.Expect("desk")
	p.tradeFor(3)
	slots := p.acquireAll()
	if len(slots) == 0 {
		t.Fatal("no slot was lent")
	}
	p.upstream.Leaving = true
	p.tradeFor(2)
	p.holder.Release(slots[0], Answered, time.Time{})
	if got := p.acquireAll(); len(got) != 0 {
		t.Fatal("a slot of a leaving runner can be acquired")
	}
}
