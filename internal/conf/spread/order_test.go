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
	f := &orderFixture{clock: clock, network: peer.NewNetwork(), memory: store.NewMemory(clock, "r")}
	f.vms, f.lastSeen = make([]*Spread, orderVMs), make([]Stamp, orderVMs)
	for i := range f.vms {
		f.restart(i)
	}
	return f
}

func (f *orderFixture) target(i int) peer.Target {
	site := types.Site{Region: "r", DataCentre: types.DataCentre(fmt.Sprint("dc-", i%2))}
	id := fmt.Sprint("vm-", i)
	return peer.Target{VM: types.VMID(id), Address: types.Address(id), Site: site}
}

func (f *orderFixture) entries() []peer.Target {
	var out []peer.Target
	for i := range f.vms {
		out = append(out, f.target(i))
	}
	return out
}

// restart replaces a VM with one that has no state.
func (f *orderFixture) restart(i int) {
	node := f.network.Join(f.target(i), meter.Discard())
	s, err := New(Config{
		Self: f.target(i), Environment: production, Clock: f.clock,
		Store: f.memory.As("dc-0", meter.Discard()), Peers: node, Registrar: node, Entries: f.entries,
		Leading:  func() (types.Epoch, bool) { return 0, false },
		LeaderOf: func(types.DataCentre) (peer.Target, types.Epoch, bool) { return peer.Target{}, 0, false },
		Log:      zerolog.Nop(),
	})
	if err != nil {
		panic(err)
	}
	f.vms[i], f.lastSeen[i] = s, Stamp{}
}

// put puts a document through an editor. For even numbers of cores, the editor knows what the VM has in force; for odd
// ones, it trusts the store.
func (f *orderFixture) put(i, cores int) {
	ctx := context.Background()
	c := edit.Config{Store: f.memory.As("dc-0", meter.Discard()), Clock: f.clock, By: "amel"}
	if cores%2 == 0 {
		c.InForce = f.vms[i].InForce
	}
	e := edit.New(c)
	var expect types.Revision
	if found, err := e.Get(ctx, production); err == nil {
		expect = found.Revision
	}
	if accepted, err := e.Put(ctx, production, expect, document(1, 1+cores%60)); err == nil {
		f.accepted = append(f.accepted, accepted)
	}
}

// restore replaces the store with one that holds a record that was accepted earlier.
func (f *orderFixture) restore(i int) {
	if len(f.accepted) == 0 {
		return
	}
	f.memory = store.NewMemory(f.clock, "r")
	record := f.accepted[i%len(f.accepted)]
	put := store.Put{Key: edit.CurrentKey(production), Expect: store.Absent}
	if _, err := store.Commit(context.Background(), f.memory.As("dc-0", meter.Discard()), put, record); err != nil {
		panic(err)
	}
	for _, s := range f.vms {
		s.config.Store = f.memory.As("dc-0", meter.Discard())
	}
}

func (f *orderFixture) step(code int) {
	f.clock.Advance(time.Second)
	kind, i, j, argument := code%stepKinds, code/7%orderVMs, code/35%orderVMs, code/175
	ctx := context.Background()
	switch kind {
	case stepPut:
		f.put(i, argument)
	case stepPull:
		if i != j {
			f.vms[i].pullOnce(ctx, f.target(j))
		}
	case stepPush:
		if update, err := f.vms[i].holder.updateFrom(f.vms[i].holder.previousDigest()); err == nil {
			f.sentUpdates = append(f.sentUpdates, update)
		}
		if i != j {
			f.vms[i].push(ctx, f.target(j))
		}
	case stepLoad:
		f.vms[i].loadFromStore(ctx)
	case stepReplay:
		if len(f.sentUpdates) > 0 {
			_ = f.vms[i].applyUpdate(f.sentUpdates[argument%len(f.sentUpdates)], 0)
		}
	case stepRestart:
		if argument%4 == 0 {
			f.restart(i)
		}
	case stepRestore:
		if argument%4 == 0 {
			f.restore(argument)
		}
	}
	f.checkNoRevert(kind)
}

// checkNoRevert records a failure for each VM that went back to an older record since the last step.
func (f *orderFixture) checkNoRevert(kind int) {
	for i, s := range f.vms {
		now := s.holder.stamp()
		if f.lastSeen[i].newer(now) || now.Revision < f.lastSeen[i].Revision {
			f.failures = append(f.failures, fmt.Sprintf("step kind %d reverted vm-%d from %v to %v", kind, i, f.lastSeen[i], now))
		}
		f.lastSeen[i] = now
	}
}

// converge lets every VM read the store and compare revisions with every other VM, three times. Then all VMs must have
// the store's record in force.
func (f *orderFixture) converge() {
	ctx := context.Background()
	for range 3 {
		for i, s := range f.vms {
			s.loadFromStore(ctx)
			for j := range f.vms {
				if i != j {
					s.pullOnce(ctx, f.target(j))
				}
			}
		}
		f.checkNoRevert(stepKinds)
	}
	record, _, err := edit.Load(ctx, f.memory.As("dc-0", meter.Discard()), production)
	if err != nil {
		f.failures = append(f.failures, err.Error())
	}
	for i, s := range f.vms {
		if s.holder.stamp() != stampOf(&record) && record.Revision > 0 {
			f.failures = append(f.failures, fmt.Sprintf("vm-%d has %v in force at the end, the store holds %v", i, s.holder.stamp(), stampOf(&record)))
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
			f := newOrderFixture()
			defer f.network.Close()
			for _, code := range codes {
				f.step(code)
			}
			f.converge()
			if len(f.failures) > 0 {
				return f.failures[0]
			}
			return ""
		},
		gen.SliceOfN(orderSteps, gen.IntRange(0, 1_000_000)),
	))
	properties.TestingRun(t)
}
