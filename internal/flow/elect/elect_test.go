package elect

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	testTTL   = 400 * time.Millisecond
	waitLimit = 6 * time.Second
)

// field is a store with the daemons that take part; each stands in a data centre of its own.
type field struct {
	t      *testing.T
	memory *store.Memory

	mu    sync.Mutex
	terms map[types.VMID]*Term
	// epochs holds every epoch that began, with who led.
	epochs map[types.Epoch]types.VMID
}

// entrant is one daemon.
type entrant struct {
	*Elector
	vm   types.VMID
	stop func()
}

func newField(t *testing.T) *field {
	clock := clockwork.NewRealClock()
	return &field{
		t: t, memory: store.NewMemory(clock, "r1"),
		terms: make(map[types.VMID]*Term), epochs: make(map[types.Epoch]types.VMID),
	}
}

func (f *field) join(name string) *entrant {
	return f.joinWith(name, 1)
}

func (f *field) joinWith(name string, strength Strength) *entrant {
	f.t.Helper()
	batcher, ok := f.memory.As(types.DataCentre(name), meter.Discard()).(store.Batcher)
	if !ok {
		f.t.Fatal("the stand-in takes no batches")
	}
	vm := types.VMID(name)
	e := New(Config{
		Self: peer.Target{VM: vm, Address: types.Address(name + ":1")}, Strength: strength, Store: batcher,
		Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), TTL: testTTL,
		OnStartedLeading: func(t Term) { f.led(vm, t) },
		OnStoppedLeading: func(Term) { f.lost(vm) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		e.Run(ctx)
		close(done)
	}()
	stop := func() {
		cancel()
		<-done
	}
	f.t.Cleanup(stop)
	return &entrant{Elector: e, vm: vm, stop: stop}
}

func (f *field) led(vm types.VMID, t Term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.terms[vm] = &t
	if other, ok := f.epochs[t.Epoch]; ok {
		f.t.Errorf("epoch %d began twice, at %s and %s", t.Epoch, other, vm)
	}
	f.epochs[t.Epoch] = vm
}

func (f *field) lost(vm types.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.terms, vm)
}

// leads returns the term of a daemon, or nil.
func (f *field) leads(e *entrant) *Term {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.terms[e.vm]
}

func (f *field) eventually(what string, holds func() bool) {
	f.t.Helper()
	end := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(end) {
			f.t.Fatalf("not so within %s: %s", waitLimit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// settled waits until one daemon leads and all others know it, and returns it.
func (f *field) settled(all ...*entrant) *entrant {
	f.t.Helper()
	var lead *entrant
	f.eventually("one daemon leads and all know it", func() bool {
		lead = nil
		for _, e := range all {
			if f.leads(e) != nil {
				if lead != nil {
					return false
				}
				lead = e
			}
		}
		return lead != nil && f.known(lead, all)
	})
	return lead
}

func (f *field) known(lead *entrant, all []*entrant) bool {
	for _, e := range all {
		if c, ok := e.Leader(); !ok || c.Target.VM != lead.vm {
			return false
		}
	}
	return true
}

func TestOneLeads(t *testing.T) {
	f := newField(t)
	a, b, c := f.join("a"), f.join("b"), f.join("c")
	f.settled(a, b, c)
	if got := len(a.Members()); got != 3 {
		t.Errorf("%d members, want 3", got)
	}
}

func TestDeadLeadIsFollowed(t *testing.T) {
	f := newField(t)
	a, b := f.join("a"), f.join("b")
	lead := f.settled(a, b)
	lead.stop()
	f.mu.Lock()
	delete(f.terms, lead.vm)
	f.mu.Unlock()
	other := a
	if lead == a {
		other = b
	}
	f.eventually("the other leads", func() bool { return f.leads(other) != nil })
}

func TestLeadThatRetiresIsFollowedAtOnce(t *testing.T) {
	f := newField(t)
	a, b := f.join("a"), f.join("b")
	lead := f.settled(a, b)
	other := a
	if lead == a {
		other = b
	}
	began := time.Now()
	lead.StepDown(context.Background())
	f.eventually("the other leads", func() bool { return f.leads(other) != nil })
	if took := time.Since(began); took > testTTL {
		t.Errorf("took %s, longer than the lease of %s", took, testTTL)
	}
}

func TestSuspectedLeadIsFollowedBeforeItsLeaseEnds(t *testing.T) {
	f := newField(t)
	a, b := f.join("a"), f.join("b")
	lead := f.settled(a, b)
	other := a
	if lead == a {
		other = b
	}
	other.SuspectLeader(f.leads(lead).Epoch, "test")
	f.eventually("the other leads", func() bool { return f.leads(other) != nil })
	f.eventually("the former lead knows", func() bool { return f.leads(lead) == nil })
}

func TestLeadThatTheStoreRefusesIsFollowed(t *testing.T) {
	f := newField(t)
	a, b := f.join("a"), f.join("b")
	lead := f.settled(a, b)
	other := a
	if lead == a {
		other = b
	}
	f.memory.Faults.SetPartitioned(types.DataCentre(lead.vm), true)
	f.eventually("the other leads", func() bool { return f.leads(other) != nil })
	if c, _ := other.Leader(); c.Target.VM != other.vm {
		t.Errorf("the new lead knows %s", c.Target.VM)
	}
	lead.AdoptLeader(Leader{Target: peer.Target{VM: other.vm}, Epoch: f.leads(other).Epoch})
	f.eventually("the former lead gives up", func() bool { return f.leads(lead) == nil })
}

func TestLeadKeepsItsEpochOverAnOutage(t *testing.T) {
	f := newField(t)
	a := f.join("a")
	f.settled(a)
	epoch := f.leads(a).Epoch
	f.memory.Faults.SetDown(true)
	time.Sleep(2 * testTTL)
	f.memory.Faults.SetDown(false)
	f.eventually("the lead's key is back", func() bool {
		_, err := f.memory.As("x", meter.Discard()).Get(context.Background(), leadKey)
		return err == nil
	})
	if got := f.leads(a); got == nil || got.Epoch != epoch {
		t.Errorf("leads with %+v, want epoch %d", got, epoch)
	}
}

func TestRestartedLeadFollowsItself(t *testing.T) {
	f := newField(t)
	first := f.join("a")
	f.settled(first)
	former := f.leads(first).Epoch
	first.stop()
	again := f.join("a")
	began := time.Now()
	f.eventually("it leads again", func() bool {
		term := f.leads(again)
		return term != nil && term.Epoch > former
	})
	if took := time.Since(began); took > testTTL+time.Second {
		t.Errorf("took %s", took)
	}
}

func TestLostAnswersMakeNoTwoLeads(t *testing.T) {
	for lost := 1; lost <= 6; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			f := newField(t)
			f.memory.Faults.LoseAnswers(lost)
			f.settled(f.join("a"), f.join("b"))
		})
	}
}

func TestEpochKeyOutlivesLeases(t *testing.T) {
	f := newField(t)
	a := f.join("a")
	f.settled(a)
	a.stop()
	time.Sleep(2 * testTTL)
	if _, err := f.memory.As("x", meter.Discard()).Get(context.Background(), ledger.EpochKey); err != nil {
		t.Errorf("the epoch's key: %v", err)
	}
}

func TestStrongDaemonLeads(t *testing.T) {
	f := newField(t)
	first := f.joinWith("first", 1)
	f.settled(first)
	weak, strong := f.joinWith("weak", 0.2), f.joinWith("strong", 1)
	f.settled(first, weak, strong)
	first.StepDown(context.Background())
	f.eventually("another leads", func() bool { return f.leads(weak) != nil || f.leads(strong) != nil })
	if f.leads(strong) == nil {
		t.Error("the weak daemon leads")
	}
	strong.StepDown(context.Background())
	f.eventually("the weak one leads once no other does", func() bool { return f.leads(weak) != nil })
}
