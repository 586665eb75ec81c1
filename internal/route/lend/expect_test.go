package lend

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

// TestWantIsSentAfterACallThatWasNotDue has a service become known just after a call, so that the next
// ticks have nothing due; the want must still arrive with the first call that is.
func TestWantIsSentAfterACallThatWasNotDue(t *testing.T) {
	clock := clockwork.NewFakeClock()
	site := types.Site{Region: "r", DataCentre: "d"}
	self := peer.Target{VM: "e", Site: site, Address: "e"}
	node := peer.NewNetwork().Join(self, meter.Discard())
	up := runner.Upstream{ID: "u", Service: "desk", VM: "w", Site: site, Endpoint: "u", Slots: 8, Connections: 64}
	lender := NewLender(LenderConfig{
		Self: self, Clock: clock, Peers: node, Audit: audit.Discard{}, Log: zerolog.Nop(),
		Metrics:   metrics.NewRegistry(),
		Upstreams: func() []runner.Upstream { return []runner.Upstream{up} },
		Entries:   func() []peer.Target { return []peer.Target{self} },
	})
	holder := NewHolder(HolderConfig{
		Self: self, Clock: clock, Peers: node, Audit: audit.Discard{}, Log: zerolog.Nop(),
		Metrics: metrics.NewRegistry(),
		Leads: func() map[types.DataCentre]Lead {
			return map[types.DataCentre]Lead{"d": {Target: self, Epoch: 1}}
		},
	})
	if err := node.Register(ServiceName, NewService(lender, holder)); err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	lender.Begin(ctx, 1)
	clock.Advance(2 * DefaultListLag)
	holder.Trade(ctx)
	holder.Expect("desk")
	holder.Trade(ctx)
	for range 3 {
		clock.Advance(TradeEvery)
		lender.Tick(ctx)
		holder.Trade(ctx)
	}
	if held := holder.Held("desk", Local); held < FloorSlots {
		t.Fatalf("the entry holds %d slots, want at least %d", held, FloorSlots)
	}
}
