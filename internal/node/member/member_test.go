package member

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
)

// fixture holds members that share a network, a VM list and a fake clock.
type fixture struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	network *peer.Network
	list    *vmlist.Memory
	members map[types.VMID]*Member
}

func newFixture(t *testing.T, sites map[types.VMID]types.DataCentre) *fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	f := &fixture{
		t: t, clock: clock, network: peer.NewNetwork(),
		list:    vmlist.NewMemory(clock, "r", 0),
		members: make(map[types.VMID]*Member),
	}
	for vm, site := range sites {
		f.list.Set(types.VM{
			ID: vm, Role: types.RoleEntry, State: types.VMLive, Address: types.Address(vm),
			Site: types.Site{Region: "r", DataCentre: site},
		})
	}
	for vm, site := range sites {
		f.join(vm, site)
	}
	return f
}

func (f *fixture) join(vm types.VMID, site types.DataCentre) {
	f.t.Helper()
	self := peer.Target{VM: vm, Address: types.Address(vm), Site: types.Site{Region: "r", DataCentre: site}}
	node := f.network.Join(self, meter.Discard())
	m, err := New(Config{
		Self: self, Clock: f.clock, VMs: f.list.As(site, meter.Discard()), Peers: node, Registrar: node,
		Log: zerolog.Nop(), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.members[vm] = m
}

// tickFor advances the clock in steps of a second and ticks every member but the excepted one at each step.
func (f *fixture) tickFor(d time.Duration, except ...types.VMID) {
	for range int(d / time.Second) {
		f.clock.Advance(time.Second)
		for vm, m := range f.members {
			if len(except) == 0 || vm != except[0] {
				m.Tick(context.Background())
			}
		}
	}
}

func (f *fixture) wantState(at, of types.VMID, want State) {
	f.t.Helper()
	for _, e := range f.members[at].All() {
		if e.Target.VM == of && e.State != want {
			f.t.Fatalf("%s sees %s as %s, want %s", at, of, e.State, want)
		}
	}
}

func (f *fixture) wantLeader(at types.VMID, site types.DataCentre, want types.VMID, epoch types.Epoch) {
	f.t.Helper()
	target, got, ok := f.members[at].Leader(site)
	if !ok || target.VM != want || got != epoch {
		f.t.Fatalf("%s sees leader %q epoch %d, want %s epoch %d", at, target.VM, got, want, epoch)
	}
}

func threeEntries() map[types.VMID]types.DataCentre {
	return map[types.VMID]types.DataCentre{"a1": "a", "a2": "a", "b1": "b"}
}

func TestUnreachableEntryIsSuspectWithinSeconds(t *testing.T) {
	f := newFixture(t, threeEntries())
	f.tickFor(3 * time.Second)
	f.wantState("a1", "a2", Live)
	f.network.SetDown("a2", true)
	f.tickFor(5*time.Second, "a2")
	f.wantState("a1", "a2", Suspect)
	f.network.SetDown("a2", false)
	f.tickFor(2 * time.Second)
	f.wantState("a1", "a2", Live)
}

func TestEntryIsGoneOnlyWhenUnreachableAndOffTheList(t *testing.T) {
	f := newFixture(t, threeEntries())
	f.tickFor(3 * time.Second)
	f.network.SetDown("a2", true)
	f.tickFor(40*time.Second, "a2")
	f.wantState("a1", "a2", Suspect)
	if f.members["a1"].GoneForGood("a2") {
		t.Fatal("a VM is Gone although the VM list contains it")
	}
	f.list.Remove("a2")
	f.tickFor(40*time.Second, "a2")
	if !f.members["a1"].GoneForGood("a2") {
		t.Fatal("a VM without heartbeats that the VM list lacks is not Gone")
	}
}

func TestHigherEpochWinsEverywhere(t *testing.T) {
	f := newFixture(t, threeEntries())
	f.members["a1"].SetLeading(4)
	f.tickFor(8 * time.Second)
	f.wantLeader("b1", "a", "a1", 4)
	f.members["a2"].SetLeading(5)
	f.tickFor(8 * time.Second)
	for vm := range f.members {
		f.wantLeader(vm, "a", "a2", 5)
	}
	f.members["a1"].SetLeading(3)
	f.tickFor(8 * time.Second)
	f.wantLeader("b1", "a", "a2", 5)
}

func TestDrainingEntryIsNotListedAsLive(t *testing.T) {
	f := newFixture(t, threeEntries())
	f.tickFor(2 * time.Second)
	f.members["a2"].SetDraining()
	f.tickFor(2 * time.Second)
	f.wantState("a1", "a2", Draining)
	for _, target := range f.members["a1"].Entries() {
		if target.VM == "a2" {
			t.Fatal("Entries contains a draining entry")
		}
	}
}

func TestMalformedHeartbeatChangesNothing(t *testing.T) {
	f := newFixture(t, threeEntries())
	f.tickFor(2 * time.Second)
	before := len(f.members["a1"].All())
	f.members["a1"].applyHeartbeat(Beat{From: peer.Target{VM: "x"}})
	if len(f.members["a1"].All()) != before {
		t.Fatal("a malformed heartbeat added an entry")
	}
}

func TestLeadersAreSentOnlyToThoseWhoKnowOthers(t *testing.T) {
	f := newFixture(t, threeEntries())
	f.members["a1"].SetLeading(4)
	f.tickFor(8 * time.Second)
	if b := f.members["a1"].newHeartbeat("a2"); len(b.Leads) != 0 {
		t.Fatalf("the heartbeat lists leaders that the receiver knows: %+v", b.Leads)
	}
	f.join("a2", "a")
	f.tickFor(2 * time.Second)
	f.wantLeader("a2", "a", "a1", 4)
}

func TestNobodyIsGoneWhileTheListCannotBeRead(t *testing.T) {
	f := newFixture(t, threeEntries())
	f.tickFor(3 * time.Second)
	f.list.Faults.SetDown(true)
	f.network.SetDown("a2", true)
	f.tickFor(5*time.Minute, "a2")
	f.wantState("a1", "a2", Suspect)
	if f.members["a1"].GoneForGood("a2") || f.members["a1"].GoneForGood("never-heard-of") {
		t.Fatal("a VM is Gone although the VM list could not be read")
	}
}
