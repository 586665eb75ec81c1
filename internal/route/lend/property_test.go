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
	// flight is a call that was prepared; it may be delivered to any lead, late or never, and its answer may be lost.
	flight struct {
		holder int
		args   *TradeArgs
		// waiting tells that the holder has not given up the call.
		waiting bool
	}

	// world is leads and holders whose messages the test carries.
	world struct {
		clock   *clockwork.FakeClock
		holders []*Holder
		lenders []*Lender
		// knows is which lead each holder follows.
		knows   []int
		cut     []bool
		flights []*flight
		slots   []Slot
		fault   string
	}
)

func newWorld() *world {
	w := &world{clock: clockwork.NewFakeClock(), knows: make([]int, testHolders), cut: make([]bool, testHolders)}
	for i := range testHolders {
		w.holders = append(w.holders, w.newHolder(i))
	}
	w.newLead()
	return w
}

func (w *world) target(i int) peer.Target {
	site := types.Site{Region: "tunis-north", DataCentre: testDC}
	if i == testHolders-1 {
		site = types.Site{Region: "sahel-south", DataCentre: "sousse"}
	}
	return peer.Target{VM: types.VMID(fmt.Sprintf("vm-%d", i)), Site: site, Address: types.Address(fmt.Sprint(i))}
}

func (w *world) newHolder(i int) *Holder {
	w.clock.Advance(time.Millisecond)
	o := NewHolder(HolderConfig{
		Self: w.target(i), Clock: w.clock, Audit: audit.Discard{}, Log: zerolog.Nop(),
		Leads: func() map[types.DataCentre]Lead { return map[types.DataCentre]Lead{testDC: w.lead(w.knows[i])} },
	})
	o.Queued(testService, 6)
	return o
}

func (w *world) lead(n int) Lead {
	return Lead{Target: w.target(n % 4), Epoch: types.Epoch(n + 1)}
}

// Call carries the question of a new lead to a holder that is not cut off.
func (w *world) Call(_ context.Context, to peer.Target, _ peer.Method, args, reply any) error {
	for i, o := range w.holders {
		if w.target(i).VM != to.VM {
			continue
		}
		if w.cut[i] {
			return errs.New(errs.Unavailable, "cut off")
		}
		out, err := o.holdings(args.(*HoldingsArgs))
		if err == nil {
			*reply.(*HoldingsReply) = *out
		}
		return err
	}
	return errs.New(errs.Unavailable, "unknown")
}

func (w *world) newLead() {
	n := len(w.lenders)
	l := NewLender(LenderConfig{
		Self: w.lead(n).Target, Clock: w.clock, Peers: w, Audit: audit.Discard{}, Log: zerolog.Nop(),
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

// step does what one random number tells.
func (w *world) step(n int) {
	i := n / 16 % testHolders
	switch n % 16 {
	case 0, 1, 2, 3:
		if args := w.holders[i].prepare(testDC, w.lead(w.knows[i])); args != nil {
			w.flights = append(w.flights, &flight{holder: i, args: args, waiting: true})
		}
	case 4, 5, 6, 7, 8:
		w.deliver(n / 16)
	case 9:
		w.giveUp(n / 16)
	case 10:
		if s, ok := w.holders[i].Acquire(testService, Far, ""); ok {
			w.slots = append(w.slots, s)
		}
	case 11:
		w.release(n / 16)
	case 12:
		w.cut[i] = !w.cut[i]
	case 13:
		if !w.cut[i] {
			w.knows[i] = len(w.lenders) - 1
		}
	case 14:
		w.clock.Advance(time.Duration(n/16%4000) * time.Millisecond)
		w.lenders[len(w.lenders)-1].Tick(context.Background())
	default:
		w.rare(n / 16)
	}
}

func (w *world) rare(n int) {
	switch n % 8 {
	case 0:
		w.newLead()
	case 1:
		// An earlier lead that was paused goes on as if nothing had happened.
		w.lenders[n/8%len(w.lenders)].Tick(context.Background())
	case 2:
		for _, o := range w.holders {
			o.Queued(testService, n/8%20)
		}
	default:
	}
}

// deliver hands a call to the lead that the holder meant. Its answer reaches the holder unless that gave up.
func (w *world) deliver(n int) {
	if len(w.flights) == 0 {
		return
	}
	k := n % len(w.flights)
	f := w.flights[k]
	w.flights = append(w.flights[:k], w.flights[k+1:]...)
	reply, err := w.lenders[f.args.Epoch-1].trade(f.args)
	if !f.waiting {
		return
	}
	if err != nil {
		reply = &TradeReply{}
	}
	w.holders[f.holder].apply(testDC, f.args, reply, err)
}

// giveUp makes a holder stop waiting for a call that is still under way.
func (w *world) giveUp(n int) {
	if len(w.flights) == 0 {
		return
	}
	f := w.flights[n%len(w.flights)]
	if f.waiting {
		f.waiting = false
		w.holders[f.holder].apply(testDC, f.args, &TradeReply{}, errs.New(errs.Lost, "no answer"))
	}
}

func (w *world) release(n int) {
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

// check returns false when the holders have more of a runner than there is.
func (w *world) check() bool {
	slots, connections := make(map[types.RunnerID]int), make(map[types.RunnerID]int)
	for _, o := range w.holders {
		for _, s := range o.Shares() {
			slots[s.Runner] += s.Slots
			connections[s.Runner] += s.Connections
			if s.Slots < 0 || s.Connections < 0 {
				w.fault = fmt.Sprintf("%s: %+v", o.config.Self.VM, s)
			}
		}
	}
	for id, n := range slots {
		if n > testSlots || connections[id] > 64 {
			w.fault = fmt.Sprintf("%d slots and %d connections of %s are held", n, connections[id], id)
		}
	}
	return w.fault == ""
}

func TestNoMoreIsHeldThanThereIs(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 300
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	lent := 0
	properties.Property("sum of what entries hold is within each runner's slots", prop.ForAll(func(steps []int) string {
		w := newWorld()
		for i, n := range steps {
			w.step(n)
			if !w.check() {
				return fmt.Sprintf("after step %d: %s", i, w.fault)
			}
		}
		for _, o := range w.holders {
			lent += len(o.Shares())
		}
		return ""
	}, gen.SliceOfN(400, gen.IntRange(0, 1<<20))))
	properties.TestingRun(t)
	if lent == 0 {
		t.Error("nothing was lent in any run")
	}
	t.Logf("%d shares were held at the ends of the runs", lent)
}
