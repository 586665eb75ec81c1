package lend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

const (
	propertySeed = 42
	testDC       = types.DataCentre("carthage")
	testService  = types.ServiceName("desk")
	testHolders  = 5
	testRunners  = 3
	testSlots    = 8
)

type (
	// inFlightCall is a call that was prepared; it may be delivered late or never, and its reply may be lost.
	inFlightCall struct {
		holder int
		args   *TradeArgs
		// isAwaited means that the holder has not given up the call.
		isAwaited bool
	}

	// simulation is a set of leaders and holders whose messages the test delivers.
	simulation struct {
		clock   *clockwork.FakeClock
		holders []*Holder
		lenders []*Lender
		// followed is the index of the leader that each holder knows.
		followed    []int
		partitioned []bool
		inFlight    []*inFlightCall
		slots       []Slot
		violation   string
	}
)

func newSimulation() *simulation {
	w := &simulation{clock: clockwork.NewFakeClock(), followed: make([]int, testHolders), partitioned: make([]bool, testHolders)}
	for i := range testHolders {
		w.holders = append(w.holders, w.newHolder(i))
	}
	w.newLeader()
	return w
}

func (w *simulation) target(i int) peer.Target {
	site := types.Site{Region: "tunis-north", DataCentre: testDC}
	if i == testHolders-1 {
		site = types.Site{Region: "sahel-south", DataCentre: "sousse"}
	}
	return peer.Target{VM: types.VMID(fmt.Sprintf("vm-%d", i)), Site: site, Address: types.Address(fmt.Sprint(i))}
}

func (w *simulation) newHolder(i int) *Holder {
	w.clock.Advance(time.Millisecond)
	o := NewHolder(HolderConfig{
		Self: w.target(i), Clock: w.clock, Audit: audit.Discard{}, Log: zerolog.Nop(),
		LeaderOf: func() map[types.DataCentre]Leader {
			return map[types.DataCentre]Leader{testDC: w.leader(w.followed[i])}
		},
	})
	o.Queued(testService, 6)
	return o
}

func (w *simulation) leader(n int) Leader {
	return Leader{Target: w.target(n % 4), Epoch: types.Epoch(n + 1)}
}

// Call delivers a new leader's Holdings call to a holder that is not partitioned.
func (w *simulation) Call(_ context.Context, to peer.Target, _ peer.Method, args, reply any) error {
	for i, o := range w.holders {
		if w.target(i).VM != to.VM {
			continue
		}
		if w.partitioned[i] {
			return errs.New(errs.Unavailable, "holder is partitioned")
		}
		out, err := o.holdings(args.(*HoldingsArgs))
		if err == nil {
			*reply.(*HoldingsReply) = *out
		}
		return err
	}
	return errs.New(errs.Unavailable, "unknown holder")
}

func (w *simulation) newLeader() {
	n := len(w.lenders)
	l := NewLender(LenderConfig{
		Self: w.leader(n).Target, Clock: w.clock, Peers: w, Audit: audit.Discard{}, Log: zerolog.Nop(),
		Upstreams: testUpstreams,
		Entries: func() []peer.Target {
			var out []peer.Target
			for i := range w.holders {
				out = append(out, w.target(i))
			}
			return out
		},
	})
	w.lenders = append(w.lenders, l)
	l.Begin(context.Background(), types.Epoch(n+1))
}

func testUpstreams() []runner.Upstream {
	var out []runner.Upstream
	for i := range testRunners {
		out = append(out, runner.Upstream{
			ID: types.RunnerID(fmt.Sprintf("runner-%d", i)), Service: testService, Slots: testSlots, Connections: 64,
			Site: types.Site{Region: "tunis-north", DataCentre: testDC},
		})
	}
	return out
}

// step executes the action that a random number selects.
func (w *simulation) step(n int) {
	i := n / 16 % testHolders
	switch n % 16 {
	case 0, 1, 2, 3:
		if args := w.holders[i].prepareTrade(testDC, w.leader(w.followed[i])); args != nil {
			w.inFlight = append(w.inFlight, &inFlightCall{holder: i, args: args, isAwaited: true})
		}
	case 4, 5, 6, 7, 8:
		w.deliverCall(n / 16)
	case 9:
		w.abandonCall(n / 16)
	case 10:
		if s, ok := w.holders[i].Acquire(testService, Far, ""); ok {
			w.slots = append(w.slots, s)
		}
	case 11:
		w.releaseSlot(n / 16)
	case 12:
		w.partitioned[i] = !w.partitioned[i]
	case 13:
		if !w.partitioned[i] {
			w.followed[i] = len(w.lenders) - 1
		}
	case 14:
		w.clock.Advance(time.Duration(n/16%4000) * time.Millisecond)
		w.lenders[len(w.lenders)-1].Tick(context.Background())
	default:
		w.rareStep(n / 16)
	}
}

func (w *simulation) rareStep(n int) {
	switch n % 8 {
	case 0:
		w.newLeader()
	case 1:
		// An earlier leader that was paused goes on as if nothing had happened.
		w.lenders[n/8%len(w.lenders)].Tick(context.Background())
	case 2:
		for _, o := range w.holders {
			o.Queued(testService, n/8%20)
		}
	default:
	}
}

// deliverCall delivers a call to the leader that the holder addressed. The reply reaches the holder unless it has given
// up the call.
func (w *simulation) deliverCall(n int) {
	if len(w.inFlight) == 0 {
		return
	}
	k := n % len(w.inFlight)
	f := w.inFlight[k]
	w.inFlight = append(w.inFlight[:k], w.inFlight[k+1:]...)
	reply, err := w.lenders[f.args.Epoch-1].trade(f.args)
	if !f.isAwaited {
		return
	}
	if err != nil {
		reply = &TradeReply{}
	}
	w.holders[f.holder].finishTrade(testDC, f.args, reply, err)
}

// abandonCall makes a holder stop waiting for a call that is still in flight.
func (w *simulation) abandonCall(n int) {
	if len(w.inFlight) == 0 {
		return
	}
	f := w.inFlight[n%len(w.inFlight)]
	if f.isAwaited {
		f.isAwaited = false
		w.holders[f.holder].finishTrade(testDC, f.args, &TradeReply{}, errs.New(errs.Lost, "no answer"))
	}
}

func (w *simulation) releaseSlot(n int) {
	if len(w.slots) == 0 {
		return
	}
	k := n % len(w.slots)
	s := w.slots[k]
	w.slots = append(w.slots[:k], w.slots[k+1:]...)
	for _, o := range w.holders {
		if o.runners[s.Upstream.ID] == s.runner {
			o.Release(s, Result(n%2), w.clock.Now())
			return
		}
	}
}

// checkLimits returns false when the holders together hold more of a runner than it has.
func (w *simulation) checkLimits() bool {
	slots, connections := make(map[types.RunnerID]int), make(map[types.RunnerID]int)
	for _, o := range w.holders {
		for _, s := range o.Shares() {
			slots[s.Runner] += s.Slots
			connections[s.Runner] += s.Connections
			if s.Slots < 0 || s.Connections < 0 {
				w.violation = fmt.Sprintf("%s: %+v", o.config.Self.VM, s)
			}
		}
	}
	for id, n := range slots {
		if n > testSlots || connections[id] > 64 {
			w.violation = fmt.Sprintf("%d slots and %d connections of %s are held", n, connections[id], id)
		}
	}
	return w.violation == ""
}

// TestNoMoreSlotsAreHeldThanThereAre guards against overcommitted runners: calls are delivered late, lost or given up,
// leaders change or go on after their epoch, and holders are partitioned.
func TestNoMoreSlotsAreHeldThanThereAre(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 300
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	lent := 0
	properties.Property("sum of what entries hold is within each runner's slots", prop.ForAll(func(steps []int) string {
		w := newSimulation()
		for i, n := range steps {
			w.step(n)
			if !w.checkLimits() {
				return fmt.Sprintf("after step %d: %s", i, w.violation)
			}
		}
		for _, o := range w.holders {
			lent += len(o.Shares())
		}
		return ""
	}, gen.SliceOfN(400, gen.IntRange(0, 1<<20))))
	properties.TestingRun(t)
	if lent == 0 {
		t.Error("no slots were held at the end of any run, so the property was not exercised")
	}
	t.Logf("%d shares were held at the ends of the runs", lent)
}
