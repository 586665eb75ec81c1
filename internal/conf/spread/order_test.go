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

// Kinds of steps of a run.
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
	// orderFixture drives VMs step by step, without their loops. Each step is one delivery, failure or edit, and the
	// steps come in any order.
	orderFixture struct {
		clock    *clockwork.FakeClock
		network  *peer.Network
		memory   *store.Memory
		vms      []*Spread
		lastSeen []Stamp
		// sentUpdates are updates that were pushed earlier, for repeated delivery.
		sentUpdates []Update
		// accepted are all records that were accepted so far.
		accepted []edit.Accepted
		failures []string
	}
)

func newOrderFixture() *orderFixture {
	clock := clockwork.NewFakeClock()
	d := &orderFixture{clock: clock, network: peer.NewNetwork(), memory: store.NewMemory(clock, "r")}
	d.vms, d.lastSeen = make([]*Spread, orderVMs), make([]Stamp, orderVMs)
	for i := range d.vms {
		d.restart(i)
	}
	return d
}

func (d *orderFixture) target(i int) peer.Target {
	site := types.Site{Region: "r", DataCentre: types.DataCentre(fmt.Sprint("dc-", i%2))}
	id := fmt.Sprint("vm-", i)
	return peer.Target{VM: types.VMID(id), Address: types.Address(id), Site: site}
}

func (d *orderFixture) entries() []peer.Target {
	var out []peer.Target
	for i := range d.vms {
		out = append(out, d.target(i))
	}
	return out
}

// restart replaces a VM by one with empty state.
func (d *orderFixture) restart(i int) {
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
	d.vms[i], d.lastSeen[i] = s, Stamp{}
}

// put puts a document through an editor. For even numbers of cores, the editor knows what the VM has in force; for odd
// ones, it trusts the store.
func (d *orderFixture) put(i, cores int) {
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

// restore replaces the store by one that holds a record that was accepted earlier.
func (d *orderFixture) restore(i int) {
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

func (d *orderFixture) step(code int) {
	d.clock.Advance(time.Second)
	kind, i, j, argument := code%stepKinds, code/7%orderVMs, code/35%orderVMs, code/175
	ctx := context.Background()
	switch kind {
	case stepPut:
		d.put(i, argument)
	case stepPull:
		if i != j {
			d.vms[i].pullOnce(ctx, d.target(j))
		}
	case stepPush:
		if update, err := d.vms[i].holder.updateFrom(d.vms[i].holder.previousDigest()); err == nil {
			d.sentUpdates = append(d.sentUpdates, update)
		}
		if i != j {
			d.vms[i].push(ctx, d.target(j))
		}
	case stepLoad:
		d.vms[i].loadFromStore(ctx)
	case stepReplay:
		if len(d.sentUpdates) > 0 {
			_ = d.vms[i].applyUpdate(d.sentUpdates[argument%len(d.sentUpdates)], 0)
		}
	case stepRestart:
		if argument%4 == 0 {
			d.restart(i)
		}
	case stepRestore:
		if argument%4 == 0 {
			d.restore(argument)
		}
	}
	d.checkNoRevert(kind)
}

// checkNoRevert records a failure for each VM that went back to an older record since the last step.
func (d *orderFixture) checkNoRevert(kind int) {
	for i, s := range d.vms {
		now := s.holder.stamp()
		if d.lastSeen[i].newer(now) || now.Revision < d.lastSeen[i].Revision {
			d.failures = append(d.failures, fmt.Sprintf("step kind %d reverted vm-%d from %v to %v", kind, i, d.lastSeen[i], now))
		}
		d.lastSeen[i] = now
	}
}

// converge lets every VM read the store and compare revisions with every other VM, three times. Then all VMs must have
// the store's record in force.
func (d *orderFixture) converge() {
	ctx := context.Background()
	for range 3 {
		for i, s := range d.vms {
			s.loadFromStore(ctx)
			for j := range d.vms {
				if i != j {
					s.pullOnce(ctx, d.target(j))
				}
			}
		}
		d.checkNoRevert(stepKinds)
	}
	record, _, err := edit.Load(ctx, d.memory.As("dc-0", meter.Discard()), production)
	if err != nil {
		d.failures = append(d.failures, err.Error())
	}
	for i, s := range d.vms {
		if s.holder.stamp() != stampOf(&record) && record.Revision > 0 {
			d.failures = append(d.failures, fmt.Sprintf("vm-%d has %v in force at the end, the store holds %v", i, s.holder.stamp(), stampOf(&record)))
		}
	}
}

// TestNeverRevertsInAnyOrder guards against a VM that goes back to an older record, or never gets the newest one, when
// pushes, pulls, reads and restorations of the store, repeated deliveries and restarts come in an unusual order.
func TestNeverRevertsInAnyOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(orderSeed)
	parameters.MinSuccessfulTests = orderRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("records only move forward and converge", prop.ForAll(
		func(codes []int) string {
			d := newOrderFixture()
			defer d.network.Close()
			for _, code := range codes {
				d.step(code)
			}
			d.converge()
			if len(d.failures) > 0 {
				return d.failures[0]
			}
			return ""
		},
		gen.SliceOfN(orderSteps, gen.IntRange(0, 1_000_000)),
	))
	properties.TestingRun(t)
}
