package spread

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

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	orderSeed  = 20261203
	orderRuns  = 50
	orderSteps = 60
	orderVMs   = 5
)

// Steps of a run.
const (
	stepPut = iota
	stepPull
	stepPush
	stepLoad
	stepReplay
	stepRestart
	stepRestore
	stepKinds
)

type (
	// disorder drives VMs by hand: each step is one delivery, failure or edit, in any order.
	disorder struct {
		clock   *clockwork.FakeClock
		network *peer.Network
		memory  *store.Memory
		vms     []*Spread
		best    []Stamp
		// old are updates that were once sent, to be delivered again.
		old []Update
		// accepted are all records that were ever accepted.
		accepted []edit.Accepted
		faults   []string
	}
)

func newDisorder() *disorder {
	clock := clockwork.NewFakeClock()
	d := &disorder{clock: clock, network: peer.NewNetwork(), memory: store.NewMemory(clock, "r")}
	d.vms, d.best = make([]*Spread, orderVMs), make([]Stamp, orderVMs)
	for i := range d.vms {
		d.restart(i)
	}
	return d
}

func (d *disorder) target(i int) peer.Target {
	site := types.Site{Region: "r", DataCentre: types.DataCentre(fmt.Sprint("dc-", i%2))}
	id := fmt.Sprint("vm-", i)
	return peer.Target{VM: types.VMID(id), Address: types.Address(id), Site: site}
}

func (d *disorder) entries() []peer.Target {
	var out []peer.Target
	for i := range d.vms {
		out = append(out, d.target(i))
	}
	return out
}

// restart replaces a VM by one that has kept nothing.
func (d *disorder) restart(i int) {
	node := d.network.Join(d.target(i), meter.Discard())
	s, err := New(Config{
		Self: d.target(i), Environment: production, Clock: d.clock,
		Store: d.memory.As("dc-0", meter.Discard()), Peers: node, Registrar: node, Entries: d.entries,
		Leading: func() (types.Epoch, bool) { return 0, false },
		Leads:   func(types.DataCentre) (peer.Target, types.Epoch, bool) { return peer.Target{}, 0, false },
		Log:     zerolog.Nop(),
	})
	if err != nil {
		panic(err)
	}
	d.vms[i], d.best[i] = s, Stamp{}
}

// put accepts a document through an editor that knows what one VM has in force, or nothing.
func (d *disorder) put(i, cores int) {
	ctx := context.Background()
	c := edit.Config{Store: d.memory.As("dc-0", meter.Discard()), Clock: d.clock, By: "amel"}
	if cores%2 == 0 {
		c.InForce = d.vms[i].InForce
	}
	e := edit.New(c)
	var expect types.Revision
	if found, err := e.Get(ctx, production); err == nil {
		expect = found.Revision
	}
	if accepted, err := e.Put(ctx, production, expect, document(1, 1+cores%60)); err == nil {
		d.accepted = append(d.accepted, accepted)
	}
}

// restore replaces the store by one that holds an older record.
func (d *disorder) restore(i int) {
	if len(d.accepted) == 0 {
		return
	}
	d.memory = store.NewMemory(d.clock, "r")
	record := d.accepted[i%len(d.accepted)]
	put := store.Put{Key: edit.CurrentKey(production), Expect: store.Absent}
	if _, err := store.Commit(context.Background(), d.memory.As("dc-0", meter.Discard()), put, record); err != nil {
		panic(err)
	}
	for _, s := range d.vms {
		s.config.Store = d.memory.As("dc-0", meter.Discard())
	}
}

func (d *disorder) step(code int) {
	d.clock.Advance(time.Second)
	kind, i, j, rest := code%stepKinds, code/7%orderVMs, code/35%orderVMs, code/175
	ctx := context.Background()
	switch kind {
	case stepPut:
		d.put(i, rest)
	case stepPull:
		if i != j {
			d.vms[i].pullOnce(ctx, d.target(j))
		}
	case stepPush:
		if update, err := d.vms[i].held.update(d.vms[i].held.previous()); err == nil {
			d.old = append(d.old, update)
		}
		if i != j {
			d.vms[i].push(ctx, d.target(j))
		}
	case stepLoad:
		d.vms[i].load(ctx)
	case stepReplay:
		if len(d.old) > 0 {
			_ = d.vms[i].take(d.old[rest%len(d.old)], 0)
		}
	case stepRestart:
		if rest%4 == 0 {
			d.restart(i)
		}
	case stepRestore:
		if rest%4 == 0 {
			d.restore(rest)
		}
	}
	d.check(kind)
}

// check looks for a VM that went back to an older record.
func (d *disorder) check(kind int) {
	for i, s := range d.vms {
		now := s.held.stamp()
		if d.best[i].newer(now) || now.Revision < d.best[i].Revision {
			d.faults = append(d.faults, fmt.Sprintf("step kind %d took vm-%d from %v to %v", kind, i, d.best[i], now))
		}
		d.best[i] = now
	}
}

// converge lets every VM compare itself with every other one and the store.
func (d *disorder) converge() {
	ctx := context.Background()
	for range 3 {
		for i, s := range d.vms {
			s.load(ctx)
			for j := range d.vms {
				if i != j {
					s.pullOnce(ctx, d.target(j))
				}
			}
		}
		d.check(stepKinds)
	}
	record, _, err := edit.Load(ctx, d.memory.As("dc-0", meter.Discard()), production)
	if err != nil {
		d.faults = append(d.faults, err.Error())
	}
	for i, s := range d.vms {
		if s.held.stamp() != stampOf(&record) && record.Revision > 0 {
			d.faults = append(d.faults, fmt.Sprintf("vm-%d ends with %v, the store with %v", i, s.held.stamp(), stampOf(&record)))
		}
	}
}

func TestNeverRevertsInAnyOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(orderSeed)
	parameters.MinSuccessfulTests = orderRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("records only move forward and converge", prop.ForAll(
		func(codes []int) string {
			d := newDisorder()
			defer d.network.Close()
			for _, code := range codes {
				d.step(code)
			}
			d.converge()
			if len(d.faults) > 0 {
				return d.faults[0]
			}
			return ""
		},
		gen.SliceOfN(orderSteps, gen.IntRange(0, 1_000_000)),
	))
	properties.TestingRun(t)
}
