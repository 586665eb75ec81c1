package front

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/access"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/feed"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/owner"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	firstKey  = "first"
	secondKey = "second"
	// revokeTimeout is that of the daemons; they use their knowledge for a second less.
	revokeTimeout = 5 * time.Second
)

// catalogStore is the store of the operator's catalog, which may refuse the calls of single daemons.
type catalogStore struct {
	mu      sync.Mutex
	catalog *specs.Catalog
	cutOff  map[types.VMID]bool
}

// catalogOrigin is the store as one daemon sees it. It answers at once, except to daemons that it refuses.
type catalogOrigin struct {
	store *catalogStore
	vm    types.VMID
}

func (o catalogOrigin) Next(_ context.Context, r feed.Request) (feed.Update, error) {
	o.store.mu.Lock()
	defer o.store.mu.Unlock()
	if o.store.cutOff[o.vm] {
		return feed.Update{}, errs.New(errs.Unavailable, "the store refuses %s", o.vm)
	}
	time.Sleep(time.Millisecond)
	if c := o.store.catalog; feed.Position(c.Version) > r.After {
		return feed.Update{Catalog: c, Position: feed.Position(c.Version)}, nil
	}
	return feed.Update{Position: r.After}, nil
}

// write puts a catalog in force in which organisation a has one key.
func (s *catalogStore) write(version specs.CatalogVersion, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = keyCatalog(version, key)
}

func (s *catalogStore) setCutOff(vm types.VMID, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[vm] = cutOff
}

func keyCatalog(version specs.CatalogVersion, key string) *specs.Catalog {
	return &specs.Catalog{Version: version, NeedsKeys: true, Organisations: []specs.Organisation{
		{Name: "a", Keys: []specs.KeyDigest{specs.DigestKey(key)}},
	}}
}

// fleet is daemons, each in a data centre of its own, that take no part in an election.
type fleet struct {
	t       *testing.T
	store   *catalogStore
	network *peer.Network
	calls   *meter.Meter
	fronts  map[types.VMID]*Front
	// suspended is how long each daemon's VM was suspended.
	mu        sync.Mutex
	suspended map[types.VMID]time.Duration
}

func newFleet(t *testing.T, vms ...types.VMID) *fleet {
	t.Helper()
	f := &fleet{
		t: t, store: &catalogStore{cutOff: make(map[types.VMID]bool)}, network: peer.NewNetwork(), calls: meter.Discard(),
		fronts: make(map[types.VMID]*Front), suspended: make(map[types.VMID]time.Duration),
	}
	t.Cleanup(f.network.Close)
	f.store.write(1, firstKey)
	for _, vm := range vms {
		f.start(vm)
	}
	for _, front := range f.fronts {
		f.introduce(front)
	}
	return f
}

// start starts a daemon, or starts it again without what it knew.
func (f *fleet) start(vm types.VMID) *Front {
	f.t.Helper()
	self := peer.Target{VM: vm, Site: types.Site{DataCentre: types.DataCentre(vm)}, Address: types.Address(vm)}
	node := f.network.Join(self, f.calls)
	front := New(Config{
		Self: self, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Metrics: metrics.NewRegistry(), Peers: node,
		Catalogs: catalogOrigin{f.store, vm}, CatalogTimeout: 4 * time.Second,
		RevokeTimeout: func() time.Duration { return revokeTimeout },
		Uptime:        func() time.Duration { return time.Since(now0) + f.suspendedFor(vm) },
	})
	if err := front.Register(node); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { front.feed.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	f.fronts[vm] = front
	return front
}

var now0 = time.Now()

func (f *fleet) suspendedFor(vm types.VMID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspended[vm]
}

func (f *fleet) suspend(vm types.VMID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended[vm] += d
}

// introduce makes all daemons known to one.
func (f *fleet) introduce(front *Front) {
	for epoch := types.Epoch(1); ; epoch++ {
		vm := types.VMID(fmt.Sprintf("e%d", epoch-1))
		other, ok := f.fronts[vm]
		if !ok {
			return
		}
		front.elector.AdoptLeader(elect.Leader{Target: other.config.Self, Epoch: epoch})
	}
}

// serves reports how a daemon decides on a key: "" for served, or the kind of the refusal.
func serves(front *Front, key string) errs.Kind {
	view := front.Access()
	if view.Catalog == nil {
		return errs.Unavailable
	}
	if _, err := view.Check(&specs.Route{}, key); err != nil {
		return errs.Of(err).Kind
	}
	return ""
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(8 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// withdraw cuts daemon e0 off from the store, waits for its last answer, and withdraws the first key.
func (f *fleet) withdraw() *Front {
	f.t.Helper()
	for vm, front := range f.fronts {
		f.eventually(string(vm)+" serves the key", func() bool { return serves(front, firstKey) == "" })
	}
	f.store.setCutOff("e0", true)
	f.store.write(2, secondKey)
	for vm, front := range f.fronts {
		if vm != "e0" {
			f.eventually(string(vm)+" refuses the key", func() bool { return serves(front, firstKey) == errs.Denied })
		}
	}
	return f.fronts["e0"]
}

func checkDecision(t *testing.T, front *Front, key string, want errs.Kind) {
	t.Helper()
	if got := serves(front, key); got != want {
		t.Errorf("key %s: %q, want %q", key, got, want)
	}
}

func TestWithdrawnKey(t *testing.T) {
	t.Run("RunsAtASuspendedDaemon", func(t *testing.T) {
		f := newFleet(t, "e0", "e1")
		front := f.withdraw()
		f.suspend("e0", revokeTimeout)
		checkDecision(t, front, firstKey, errs.Unavailable)
		checkDecision(t, front, secondKey, errs.Unavailable)
	})
	t.Run("RunsAtADaemonThatIsCutOff", func(t *testing.T) {
		f := newFleet(t, "e0", "e1")
		front := f.withdraw()
		f.network.SetDown("e0", true)
		f.suspend("e0", revokeTimeout-2*time.Second)
		checkDecision(t, front, firstKey, "")
		f.suspend("e0", 2*time.Second)
		front.queryPeers(t.Context(), front.otherMembers())
		checkDecision(t, front, firstKey, errs.Unavailable)
	})
	t.Run("RunsAtARestartedDaemon", func(t *testing.T) {
		f := newFleet(t, "e0", "e1", "e2")
		old := f.fronts["e1"]
		f.eventually("e1 serves the key", func() bool { return serves(old, firstKey) == "" })
		f.store.setCutOff("e1", true)
		f.withdrawExcept("e1")
		f.suspend("e1", revokeTimeout)
		restarted := f.start("e0")
		f.introduce(restarted)
		checkDecision(t, restarted, firstKey, errs.Unavailable)
		restarted.queryPeer(t.Context(), old.config.Self)
		if restarted.feed.Version() != 1 {
			t.Fatalf("catalog %d in force, want the one of the peer, 1", restarted.feed.Version())
		}
		checkDecision(t, restarted, firstKey, errs.Unavailable)
		restarted.queryPeer(t.Context(), f.fronts["e2"].config.Self)
		checkDecision(t, restarted, firstKey, errs.Denied)
		checkDecision(t, restarted, secondKey, "")
	})
}

// withdrawExcept cuts daemon e0 off, too, and withdraws the first key at all others but one.
func (f *fleet) withdrawExcept(vm types.VMID) {
	f.t.Helper()
	f.store.setCutOff("e0", true)
	f.store.write(2, secondKey)
	for other, front := range f.fronts {
		if other != vm && other != "e0" {
			f.eventually(string(other)+" has the new catalog", func() bool { return serves(front, secondKey) == "" })
		}
	}
}

// A daemon that the store refuses must go on serving as long as it reaches a daemon with young knowledge, in whatever data
// centre.
func TestDaemonAsksOthersForConfirmation(t *testing.T) {
	t.Run("SameVersionIsNotConfirmed", func(t *testing.T) {
		f := newFleet(t, "e0", "e1", "e2")
		front := f.fronts["e0"]
		for vm, other := range f.fronts {
			f.eventually(string(vm)+" serves the key", func() bool { return serves(other, firstKey) == "" })
		}
		f.store.setCutOff("e0", true)
		f.suspend("e0", revokeTimeout)
		checkDecision(t, front, firstKey, errs.Unavailable)
		front.queryPeers(t.Context(), front.otherMembers())
		checkDecision(t, front, firstKey, "")
	})
	t.Run("PeerWithOldKnowledgeIsTakenAsFresh", func(t *testing.T) {
		f := newFleet(t, "e0", "e1")
		front := f.fronts["e0"]
		for vm, other := range f.fronts {
			f.eventually(string(vm)+" serves the key", func() bool { return serves(other, firstKey) == "" })
			f.store.setCutOff(vm, true)
			f.suspend(vm, revokeTimeout)
		}
		front.queryPeers(t.Context(), front.otherMembers())
		checkDecision(t, front, firstKey, errs.Unavailable)
	})
	t.Run("OnePeerIsAskedNearTheBound", func(t *testing.T) {
		f := newFleet(t, "e0", "e1", "e2", "e3", "e4", "e5", "e6")
		front := f.fronts["e0"]
		for vm, other := range f.fronts {
			f.eventually(string(vm)+" serves the key", func() bool { return serves(other, firstKey) == "" })
			f.store.setCutOff(vm, vm != "e6")
			f.network.SetDown(types.Address(vm), vm != "e0" && vm != "e6")
		}
		f.suspend("e0", revokeTimeout*3/5)
		// The time is enough for one round.
		ctx, cancel := context.WithTimeout(t.Context(), peerQueryInterval*3/2)
		defer cancel()
		front.queryLoop(ctx)
		if age := front.Access().Confirmation.Age; age > revokeTimeout/2 {
			t.Errorf("the confirmation is %s old, want a younger one from the only peer that is up", age)
		}
	})
}

func TestPeersAreAskedOnlyWhenTheConfirmationIsOld(t *testing.T) {
	const maxAge = 4 * time.Second
	keys, noKeys := keyCatalog(1, firstKey), &specs.Catalog{Version: 1}
	cases := []struct {
		name  string
		view  access.View
		asked int
	}{
		{"CalmOperation", access.View{Catalog: keys, Confirmation: access.Confirmation{Known: true, Age: maxAge / 2}, MaxAge: maxAge}, 0},
		{"Old", access.View{Catalog: keys, Confirmation: access.Confirmation{Known: true, Age: maxAge/2 + 1}, MaxAge: maxAge}, 1},
		{"NearTheBound", access.View{Catalog: keys, Confirmation: access.Confirmation{Known: true, Age: 3 * time.Second}, MaxAge: maxAge}, urgentQueries},
		{"AfterARestart", access.View{Catalog: keys, MaxAge: maxAge}, urgentQueries},
		{"WithoutABound", access.View{Catalog: keys}, 0},
		{"WithoutOrganisations", access.View{Catalog: noKeys, MaxAge: maxAge}, 0},
		{"WithoutACatalog", access.View{MaxAge: maxAge}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := queryCount(c.view); got != c.asked {
				t.Errorf("%d peers are asked, want %d", got, c.asked)
			}
		})
	}
	t.Run("SomePeersAreNeverAsked", func(t *testing.T) {
		members := daemons(39, "a")
		asked := make(map[types.VMID]bool)
		for next, round := 17, 0; round < 5; round++ {
			var turn []peer.Target
			turn, next = nextTargets(members, next, urgentQueries)
			for _, m := range turn {
				asked[m.VM] = true
			}
		}
		if len(asked) != len(members) {
			t.Errorf("%d of %d peers are asked in five rounds, want all", len(asked), len(members))
		}
	})
}

// An entry lets a call in under the catalog that it holds. The leader must not serve it if its own newer one lacks the key.
func TestLeaderChecksTheCallerAgain(t *testing.T) {
	f := New(Config{
		Self: peer.Target{VM: "self"}, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Metrics: metrics.NewRegistry(),
	})
	f.owner = owner.New(owner.Config{Clock: clockwork.NewRealClock(), Metrics: metrics.NewRegistry()})
	f.SetCatalog(keyCatalog(2, secondKey))
	caller := func(key string, version specs.CatalogVersion) *specs.Caller {
		return &specs.Caller{Organisation: "a", Key: specs.DigestKey(key), Catalog: version}
	}
	calls := map[string]func(c *specs.Caller) error{
		"Submit": func(c *specs.Caller) error { return f.serveLocally(t.Context(), &SubmitArgs{Caller: c}, &Empty{}) },
		"Cancel": func(c *specs.Caller) error { return f.serveLocally(t.Context(), &JobArgs{Caller: c}, &Empty{}) },
		"State":  func(c *specs.Caller) error { return f.serveLocally(t.Context(), &JobArgs{Caller: c}, &StateReply{}) },
		"Waiting": func(c *specs.Caller) error {
			return f.serveLocally(t.Context(), &QueueArgs{Caller: c}, &WaitingReply{})
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			if err := call(caller(firstKey, 1)); !errs.Is(err, errs.Denied) {
				t.Errorf("a withdrawn key: %v, want kind Denied", err)
			}
			// The owner has not read its ledger, so it answers that it is unavailable.
			for _, c := range []*specs.Caller{caller(secondKey, 1), caller("third", 3), nil} {
				if err := call(c); !errs.Is(err, errs.Unavailable) {
					t.Errorf("caller %+v: %v, want that it reaches the owner", c, err)
				}
			}
		})
	}
}

// A catalog without organisations must add nothing to the calls between daemons.
func TestCallsCarryNoCallerWithoutOrganisations(t *testing.T) {
	caller := specs.Caller{Organisation: "a", Key: specs.DigestKey(firstKey), Catalog: 1}
	if got := callerArg(caller); got == nil || *got != caller {
		t.Errorf("the caller is passed on as %+v, want %+v", got, caller)
	}
	if got := callerArg(specs.Caller{}); got != nil {
		t.Errorf("the zero caller is passed on as %+v, want nothing", got)
	}
	without, with := peer.Size(&JobArgs{Job: "j"}), peer.Size(&JobArgs{Job: "j", Caller: &caller})
	if former := peer.Size(&struct{ Job specs.JobID }{"j"}); without != former || with <= without {
		t.Errorf("a call has %d bytes without a caller and %d with one; it had %d before there were callers", without, with, former)
	}
}

// A refused key is a decision: it must neither be tried again nor be reported as an outcome in doubt.
func TestDenialIsFinal(t *testing.T) {
	leader := &fakeLeader{errors: []error{errs.New(errs.Denied, "no organisation holds the key"), errors.New("called again")}}
	if err := submit(newFront(leader), time.Second); !errs.Is(err, errs.Denied) || leader.calls != 1 {
		t.Errorf("error %v after %d calls, want kind Denied after one", err, leader.calls)
	}
}
