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
	testTTL     = 400 * time.Millisecond
	waitTimeout = 6 * time.Second
)

// clusterFixture is a store with the daemons that take part in an election, each in a data centre of its own. It fails
// the test if an epoch begins twice.
type clusterFixture struct {
	t      *testing.T
	memory *store.Memory
	// wrap, if set, returns the store as the daemon sees it.
	wrap func(vm types.VMID, b store.Batcher) store.Batcher

	mu sync.Mutex
	// terms holds the present term of each daemon that leads.
	terms map[types.VMID]*Term
	// epochs holds every epoch that began, with the daemon that led.
	epochs map[types.Epoch]types.VMID
}

// daemon is a running elector; stop ends it and waits for its end.
type daemon struct {
	*Elector
	vm   types.VMID
	stop func()
}

func newClusterFixture(t *testing.T) *clusterFixture {
	clock := clockwork.NewRealClock()
	return &clusterFixture{
		t: t, memory: store.NewMemory(clock, "r1"),
		terms: make(map[types.VMID]*Term), epochs: make(map[types.Epoch]types.VMID),
	}
}

func (f *clusterFixture) join(name string) *daemon {
	return f.joinWithStrength(name, 1)
}

func (f *clusterFixture) joinWithStrength(name string, strength Strength) *daemon {
	f.t.Helper()
	return f.joinThrough(name, strength, func(b store.Batcher) store.Batcher { return b })
}

// joinThrough starts a daemon that reaches the store through what wrap returns.
func (f *clusterFixture) joinThrough(name string, strength Strength, wrap func(store.Batcher) store.Batcher) *daemon {
	f.t.Helper()
	batcher, ok := f.memory.As(types.DataCentre(name), meter.Discard()).(store.Batcher)
	if !ok {
		f.t.Fatal("the in-memory store does not support batches")
	}
	vm := types.VMID(name)
	if f.wrap != nil {
		batcher = f.wrap(vm, batcher)
	}
	e := New(Config{
		Self: peer.Target{VM: vm, Address: types.Address(name + ":1")}, Strength: strength, Store: wrap(batcher),
		Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), TTL: testTTL,
		OnStartedLeading: func(t Term) { f.startedLeading(vm, t) },
		OnStoppedLeading: func(Term) { f.stoppedLeading(vm) },
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
	return &daemon{Elector: e, vm: vm, stop: stop}
}

func (f *clusterFixture) startedLeading(vm types.VMID, t Term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.terms[vm] = &t
	if other, ok := f.epochs[t.Epoch]; ok {
		f.t.Errorf("epoch %d began twice, at %s and %s", t.Epoch, other, vm)
	}
	f.epochs[t.Epoch] = vm
}

func (f *clusterFixture) stoppedLeading(vm types.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.terms, vm)
}

// termOf returns the term of a daemon, or nil if it does not lead.
func (f *clusterFixture) termOf(d *daemon) *Term {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.terms[d.vm]
}

func (f *clusterFixture) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out after %s waiting for: %s", waitTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// awaitLeader waits until one daemon leads and all others know it, and returns it.
func (f *clusterFixture) awaitLeader(all ...*daemon) *daemon {
	f.t.Helper()
	var leader *daemon
	f.eventually("one daemon leads and all others know it", func() bool {
		leader = nil
		for _, d := range all {
			if f.termOf(d) != nil {
				if leader != nil {
					return false
				}
				leader = d
			}
		}
		return leader != nil && f.isKnownTo(leader, all)
	})
	return leader
}

// awaitLeaderOf waits until one of two daemons leads, and returns it and the other one.
func (f *clusterFixture) awaitLeaderOf(a, b *daemon) (leader, other *daemon) {
	f.t.Helper()
	leader = f.awaitLeader(a, b)
	if leader == a {
		return leader, b
	}
	return leader, a
}

func (f *clusterFixture) isKnownTo(leader *daemon, all []*daemon) bool {
	for _, d := range all {
		if c, ok := d.Leader(); !ok || c.Target.VM != leader.vm {
			return false
		}
	}
	return true
}

func TestOneLeads(t *testing.T) {
	f := newClusterFixture(t)
	a, b, c := f.join("a"), f.join("b"), f.join("c")
	f.awaitLeader(a, b, c)
	if got := len(a.Members()); got != 3 {
		t.Errorf("%d members, want 3", got)
	}
}

func TestStoppedLeaderIsReplaced(t *testing.T) {
	f := newClusterFixture(t)
	a, b := f.join("a"), f.join("b")
	leader := f.awaitLeader(a, b)
	leader.stop()
	f.mu.Lock()
	delete(f.terms, leader.vm)
	f.mu.Unlock()
	other := a
	if leader == a {
		other = b
	}
	f.eventually("the other leads", func() bool { return f.termOf(other) != nil })
}

func TestLeaderThatStepsDownIsReplacedAtOnce(t *testing.T) {
	f := newClusterFixture(t)
	a, b := f.join("a"), f.join("b")
	leader, other := f.awaitLeaderOf(a, b)
	began := time.Now()
	leader.StepDown(context.Background())
	f.eventually("the other leads", func() bool { return f.termOf(other) != nil })
	if took := time.Since(began); took > testTTL {
		t.Errorf("took %s, longer than the lease of %s", took, testTTL)
	}
}

// The version of the leader record that a daemon knows may be out of date when it steps down: the answer to its latest
// write of the record may still be missing. The successor must not wait for a lease that the daemon goes on renewing.
func TestLeaderStepsDownWithAnOutdatedVersion(t *testing.T) {
	f := newClusterFixture(t)
	a, b := f.join("a"), f.join("b")
	leader, other := f.awaitLeaderOf(a, b)
	leader.mu.Lock()
	leader.leaderVersion--
	leader.mu.Unlock()
	leader.StepDown(context.Background())
	f.eventually("the other leads", func() bool { return f.termOf(other) != nil })
}

// A daemon that has stepped down still serves for a while, in which its lease may expire. It must not be listed as a
// member again, since members get work.
func TestDaemonThatSteppedDownDoesNotRegisterAgain(t *testing.T) {
	f := newClusterFixture(t)
	a, b := f.join("a"), f.join("b")
	f.awaitLeader(a, b)
	f.eventually("both are members", func() bool { return len(a.Members()) == 2 })
	b.StepDown(context.Background())
	f.eventually("one member is left", func() bool { return len(a.Members()) == 1 })
	b.mu.Lock()
	b.lease = 0
	b.mu.Unlock()
	for until := time.Now().Add(testTTL); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if len(a.Members()) != 1 {
			t.Fatal("the daemon that stepped down is a member again")
		}
	}
}

func TestSuspectedLeaderIsReplacedBeforeItsLeaseExpires(t *testing.T) {
	f := newClusterFixture(t)
	a, b := f.join("a"), f.join("b")
	leader, other := f.awaitLeaderOf(a, b)
	other.SuspectLeader(f.termOf(leader).Epoch, "test")
	f.eventually("the other leads", func() bool { return f.termOf(other) != nil })
	f.eventually("the former leader ends its term", func() bool { return f.termOf(leader) == nil })
}

// A leader that is partitioned from the store is succeeded once its lease expires, and ends its term when it learns of
// the new leader from a peer.
func TestLeaderPartitionedFromTheStoreIsReplaced(t *testing.T) {
	f := newClusterFixture(t)
	a, b := f.join("a"), f.join("b")
	leader, other := f.awaitLeaderOf(a, b)
	f.memory.Faults.SetPartitioned(types.DataCentre(leader.vm), true)
	f.eventually("the other leads", func() bool { return f.termOf(other) != nil })
	if c, _ := other.Leader(); c.Target.VM != other.vm {
		t.Errorf("the new leader reports %s as leader", c.Target.VM)
	}
	leader.AdoptLeader(Leader{Target: peer.Target{VM: other.vm}, Epoch: f.termOf(other).Epoch})
	f.eventually("the former leader ends its term", func() bool { return f.termOf(leader) == nil })
}

// The lease expires during a store outage. A leader that nobody has succeeded must go on under the same epoch.
func TestLeaderKeepsItsEpochThroughAnOutage(t *testing.T) {
	f := newClusterFixture(t)
	a := f.join("a")
	f.awaitLeader(a)
	epoch := f.termOf(a).Epoch
	f.memory.Faults.SetDown(true)
	time.Sleep(2 * testTTL)
	f.memory.Faults.SetDown(false)
	f.eventually("the leader record is written again", func() bool {
		_, err := f.memory.As("x", meter.Discard()).Get(context.Background(), LeaderKey)
		return err == nil
	})
	if got := f.termOf(a); got == nil || got.Epoch != epoch {
		t.Errorf("term %+v, want epoch %d", got, epoch)
	}
}

// The leader record of a daemon's earlier process must not keep the restarted daemon from leading under a new epoch.
func TestRestartedLeaderSucceedsItself(t *testing.T) {
	f := newClusterFixture(t)
	first := f.join("a")
	f.awaitLeader(first)
	former := f.termOf(first).Epoch
	first.stop()
	restarted := f.join("a")
	began := time.Now()
	f.eventually("it leads again", func() bool {
		term := f.termOf(restarted)
		return term != nil && term.Epoch > former
	})
	if took := time.Since(began); took > testTTL+time.Second {
		t.Errorf("took %s, longer than the lease and one second", took)
	}
}

// A claim whose answer is lost may have been applied; it must not lead to two leaders or to none. The test checks that
// in the end one daemon alone leads and that no epoch began twice, not that there were never two leaders in between.
func TestLostAnswersMakeNoTwoLeaders(t *testing.T) {
	for lost := 1; lost <= 6; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			f := newClusterFixture(t)
			f.memory.Faults.LoseAnswers(lost)
			f.awaitLeader(f.join("a"), f.join("b"))
		})
	}
}

// If the epoch record expired with a lease, the next leader would begin with an epoch that was used before.
func TestEpochKeyOutlivesLeases(t *testing.T) {
	f := newClusterFixture(t)
	a := f.join("a")
	f.awaitLeader(a)
	a.stop()
	time.Sleep(2 * testTTL)
	if _, err := f.memory.As("x", meter.Discard()).Get(context.Background(), ledger.EpochKey); err != nil {
		t.Errorf("reading the epoch record after the lease expired: %v, want no error", err)
	}
}

func TestStrongDaemonLeads(t *testing.T) {
	f := newClusterFixture(t)
	first := f.joinWithStrength("first", 1)
	f.awaitLeader(first)
	weak, strong := f.joinWithStrength("weak", 0.2), f.joinWithStrength("strong", 1)
	f.awaitLeader(first, weak, strong)
	first.StepDown(context.Background())
	f.eventually("another leads", func() bool { return f.termOf(weak) != nil || f.termOf(strong) != nil })
	if f.termOf(strong) == nil {
		t.Error("the weak daemon leads")
	}
	strong.StepDown(context.Background())
	f.eventually("the weak one leads once no other does", func() bool { return f.termOf(weak) != nil })
}

// When leases expire during an outage of the store, the list of members is empty at first. A weak daemon must not claim
// leadership at once because it does not see the strong ones.
func TestWeakDaemonRemembersStrongOnes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(Config{Self: peer.Target{VM: "weak"}, Strength: 0.2, Clock: clock, Log: zerolog.Nop()})
	e.applyMember(store.Entry{Key: memberPrefix + "strong", Value: []byte(`{"Target":{"VM":"strong"},"Strength":1}`)})
	e.applyMember(store.Entry{Key: memberPrefix + "weak", Value: []byte(`{"Target":{"VM":"weak"},"Strength":0.2}`)})
	clear(e.members)
	if got := e.weakDelay(); got != 2*weakDelayStep {
		t.Errorf("the weak daemon waits %s after the strong one was listed, want %s", got, 2*weakDelayStep)
	}
	clock.Advance(strengthMemory + time.Second)
	if got := e.weakDelay(); got != 0 {
		t.Errorf("the weak daemon waits %s long after the strong one was listed, want none", got)
	}
}

// Guards against a weak leader after an outage of the store that comes long after the strong daemons have registered: their records do not
// change while they are listed.
func TestWeakDaemonRemembersStrongOnesThatWereListedForLong(t *testing.T) {
	clock := clockwork.NewFakeClock()
	memory := store.NewMemory(clock, "r1")
	batcher, ok := memory.As("r1", meter.Discard()).(store.Batcher)
	if !ok {
		t.Fatal("the in-memory store does not support batches")
	}
	strong := New(Config{Self: peer.Target{VM: "strong"}, Strength: 1, Store: batcher, Clock: clock, Log: zerolog.Nop()})
	weak := New(Config{Self: peer.Target{VM: "weak"}, Strength: 0.2, Store: batcher, Clock: clock, Log: zerolog.Nop()})
	list := func() {
		if _, err := weak.listControl(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if err := strong.register(context.Background()); err != nil {
		t.Fatal(err)
	}
	list()
	clock.Advance(strengthMemory + time.Second)
	memory.EndLeases(strong.memberKey())
	list()
	if got := weak.weakDelay(); got != 2*weakDelayStep {
		t.Errorf("the weak daemon waits %s after the strong one was listed, want %s", got, 2*weakDelayStep)
	}
}

// When all daemons have restarted and their leases have expired, none is listed. A weak daemon that starts first must still let the
// strong ones claim leadership: as the leader of a large fleet it would serve almost nobody.
func TestWeakDaemonLetsStrongOnesClaimAfterAllHaveRestarted(t *testing.T) {
	f := newClusterFixture(t)
	former := f.joinWithStrength("former", 1)
	f.awaitLeader(former)
	former.StepDown(context.Background())
	began := time.Now()
	weak := f.joinWithStrength("weak", 0.2)
	f.eventually("the weak daemon leads, as no other does", func() bool { return f.termOf(weak) != nil })
	if took := time.Since(began); took < 2*weakDelayStep {
		t.Errorf("the weak daemon claimed leadership after %s, want at least %s", took, 2*weakDelayStep)
	}
}

// A leader that makes no progress must not succeed itself while another daemon can lead, even though its lease in the store is
// alive. Without another one it leads again after its abstention.
func TestLeaderThatStandsBackIsReplaced(t *testing.T) {
	t.Run("AnotherLeads", func(t *testing.T) {
		f := newClusterFixture(t)
		leader, other := f.awaitLeaderOf(f.join("a"), f.join("b"))
		leader.StandBack(*f.termOf(leader), "no progress")
		f.eventually("the other daemon leads", func() bool { return f.termOf(other) != nil })
		if f.termOf(leader) != nil {
			t.Error("the daemon that stood back leads again")
		}
	})
	t.Run("Alone", func(t *testing.T) {
		f := newClusterFixture(t)
		alone := f.join("a")
		f.awaitLeader(alone)
		first := f.termOf(alone).Epoch
		alone.StandBack(*f.termOf(alone), "no progress")
		f.eventually("the daemon leads under a new epoch", func() bool {
			term := f.termOf(alone)
			return term != nil && term.Epoch > first
		})
	})
}

// A leader that writes what a living daemon cannot read leaves the work to nobody once that daemon leads.
func TestCommonLevelIsThatOfTheOldestBuild(t *testing.T) {
	const newest ledger.Level = 3
	cases := map[string]struct {
		members map[types.VMID]Member
		want    ledger.Level
	}{
		"NoneIsKnown":        {nil, newest},
		"NewerBuild":         {map[types.VMID]Member{"a": {Level: newest + 1}}, newest},
		"OlderBuild":         {map[types.VMID]Member{"a": {Level: newest}, "b": {Level: 2}}, 2},
		"BuildWithoutLevels": {map[types.VMID]Member{"a": {Level: 2}, "b": {}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := commonLevel(newest, c.members); got != c.want {
				t.Errorf("level %d, want %d", got, c.want)
			}
		})
	}
}
