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

// pairFixture is a lender and a holder on one daemon, with one runner of 8 slots.
type pairFixture struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	lender   *Lender
	holder   *Holder
	upstream runner.Upstream
	leaders  map[types.DataCentre]Lead
}

func newPairFixture(t *testing.T) *pairFixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	site := types.Site{Region: "r", DataCentre: "d"}
	self := peer.Target{VM: "e", Site: site, Address: "e"}
	node := peer.NewNetwork().Join(self, meter.Discard())
	up := runner.Upstream{ID: "u", Service: "desk", VM: "w", Site: site, Endpoint: "u", Slots: 8, Connections: 64}
	p := &pairFixture{t: t, clock: clock, upstream: up, leaders: map[types.DataCentre]Lead{"d": {Target: self, Epoch: 1}}}
	p.lender = NewLender(LenderConfig{
		Self: self, Clock: clock, Peers: node, Audit: audit.Discard{}, Log: zerolog.Nop(),
		Metrics:   metrics.NewRegistry(),
		Upstreams: func() []runner.Upstream { return []runner.Upstream{p.upstream} },
		Entries:   func() []peer.Target { return []peer.Target{self} },
	})
	p.holder = NewHolder(HolderConfig{
		Self: self, Clock: clock, Peers: node, Audit: audit.Discard{}, Log: zerolog.Nop(),
		Metrics: metrics.NewRegistry(),
		Leads:   func() map[types.DataCentre]Lead { return p.leaders },
	})
	if err := node.Register(ServiceName, NewService(p.lender, p.holder)); err != nil {
		t.Fatal(err)
	}
	p.lender.Begin(context.Background(), 1)
	clock.Advance(2 * DefaultListLag)
	return p
}

// tradeFor has the holder trade once a second.
func (p *pairFixture) tradeFor(seconds int) {
	for range seconds {
		p.clock.Advance(TradeEvery)
		p.lender.Tick(context.Background())
		p.holder.Trade(context.Background())
	}
}

// acquireAll takes as many slots as there are.
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

// TestWantIsSentAfterACallThatWasNotDue has a service become known just after a call, so that the next
// ticks have nothing due; the want must still arrive with the first call that is.
func TestWantIsSentAfterACallThatWasNotDue(t *testing.T) {
	p := newPairFixture(t)
	p.holder.Trade(context.Background())
	p.holder.Expect("desk")
	p.holder.Trade(context.Background())
	p.tradeFor(3)
	if held := p.holder.Held("desk", Local); held < FloorSlots {
		t.Fatalf("the entry holds %d slots, want at least %d", held, FloorSlots)
	}
}

// TestSlotOfACallThatMayStillRunStaysTaken releases a slot whose call broke; nobody may use it until the
// call has surely ended.
func TestSlotOfACallThatMayStillRunStaysTaken(t *testing.T) {
	p := newPairFixture(t)
	p.holder.Expect("desk")
	p.tradeFor(3)
	slots := p.acquireAll()
	if len(slots) == 0 {
		t.Fatal("no slot was lent")
	}
	end := p.clock.Now().Add(2 * time.Second)
	p.holder.Release(slots[0], Unsure, end)
	if got := p.acquireAll(); len(got) != 0 {
		t.Fatalf("%d slots are free while a call may still run", len(got))
	}
	p.clock.Advance(3 * time.Second)
	// A lead would lend more slots meanwhile.
	p.leaders = nil
	p.holder.Tick(context.Background())
	if got := p.acquireAll(); len(got) != 1 {
		t.Fatalf("%d slots are free after the call has ended, want 1", len(got))
	}
}

// TestSlotFreedOnALeavingRunnerIsNotUsedAgain has a runner leave while all of its slots are busy.
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
		t.Fatal("a new call may start on a runner that leaves")
	}
}
