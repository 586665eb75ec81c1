package spread

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	production envdoc.Name = "production"
	// dataCentreDelay is the one-way delay between two VMs of a data centre.
	dataCentreDelay = 200 * time.Microsecond
)

type (
	// siteSize is a data centre with the number of its entry VMs.
	siteSize struct {
		site types.Site
		vms  int
	}

	// layout describes a fleet: its data centres and the one-way delays within a region and between regions. The store
	// is in the region of the first data centre.
	layout struct {
		name             string
		sites            []siteSize
		regionDelay      time.Duration
		crossRegionDelay time.Duration
	}

	// testFleet runs the real distribution on every VM of a layout, in a bubble of testing/synctest, so that the clock
	// moves only when every goroutine waits.
	testFleet struct {
		t       *testing.T
		layout  layout
		clock   clockwork.Clock
		memory  *store.Memory
		network *peer.Network
		calls   *meter.Meter
		audit   *auditRecorder

		mu          sync.Mutex
		vms         map[types.VMID]*vm
		leaders     map[types.DataCentre]types.VMID
		partitioned map[[2]types.DataCentre]bool
		// pushesToDrop is how many of the next pushes are dropped before they arrive; a negative number means none.
		pushesToDrop int
	}

	vm struct {
		target  peer.Target
		spread  *Spread
		metrics metrics.Registry
		stop    context.CancelFunc
		done    chan struct{}
	}

	// delayedCaller forwards one VM's calls with the layout's delays; in a partition they never arrive.
	delayedCaller struct {
		fleet *testFleet
		node  *peer.Node
		self  peer.Target
	}

	// delayedStore adds the delay between a VM and the store to each call.
	delayedStore struct {
		fleet *testFleet
		site  types.Site
		calls *meter.Meter
	}
)

func nawbaLayout() layout {
	return layout{name: "Nawba", regionDelay: time.Millisecond, crossRegionDelay: 12 * time.Millisecond, sites: []siteSize{
		{types.Site{Region: "tunis-north", DataCentre: "ariana"}, 3},
		{types.Site{Region: "tunis-north", DataCentre: "carthage"}, 3},
		{types.Site{Region: "sahel-south", DataCentre: "sousse"}, 2},
	}}
}

func swanLayout() layout {
	return layout{name: "Swan", regionDelay: 500 * time.Microsecond, crossRegionDelay: 12 * time.Millisecond, sites: []siteSize{
		{types.Site{Region: "perth-metro", DataCentre: "perth-north"}, 3},
		{types.Site{Region: "perth-metro", DataCentre: "perth-south"}, 3},
		{types.Site{Region: "wheatbelt-south", DataCentre: "narrogin"}, 2},
	}}
}

// targetLayout returns a fleet of the stated target size: 24 VMs in 8 data centres of 2 regions.
func targetLayout() layout {
	out := layout{name: "Target", regionDelay: time.Millisecond, crossRegionDelay: 12 * time.Millisecond}
	for i := range 8 {
		region := types.Region("north")
		if i >= 4 {
			region = "south"
		}
		site := types.Site{Region: region, DataCentre: types.DataCentre(fmt.Sprintf("dc-%d", i))}
		out.sites = append(out.sites, siteSize{site, 3})
	}
	return out
}

// delay returns the one-way delay between two sites.
func (l layout) delay(a, b types.Site) time.Duration {
	switch {
	case a.DataCentre == b.DataCentre:
		return dataCentreDelay
	case a.Region == b.Region:
		return l.regionDelay
	default:
		return l.crossRegionDelay
	}
}

// newTestFleet returns a fleet that has a store but no VMs yet, and stops it at the end of the test.
func newTestFleet(t *testing.T, l layout) *testFleet {
	clock := clockwork.NewRealClock()
	f := &testFleet{
		t: t, layout: l, clock: clock, network: peer.NewNetwork(), calls: meter.Discard(), audit: &auditRecorder{},
		memory: store.NewMemory(clock, l.sites[0].site.Region),
		vms:    make(map[types.VMID]*vm), leaders: make(map[types.DataCentre]types.VMID),
		partitioned: make(map[[2]types.DataCentre]bool),
	}
	t.Cleanup(f.close)
	return f
}

// startAll starts every VM. The first one of each data centre is its leader.
func (f *testFleet) startAll() {
	for _, p := range f.layout.sites {
		for i := range p.vms {
			id := vmID(p.site.DataCentre, i)
			if i == 0 {
				f.setLeader(p.site.DataCentre, id)
			}
			f.startVM(id, p.site)
		}
	}
}

func vmID(dc types.DataCentre, i int) types.VMID {
	return types.VMID(fmt.Sprintf("%s-%d", dc, i))
}

// startVM starts a VM. It replaces an earlier one with the same ID, of whose state nothing is kept.
func (f *testFleet) startVM(id types.VMID, site types.Site) {
	target := peer.Target{VM: id, Site: site, Address: types.Address(id)}
	registry := metrics.NewRegistry()
	calls := meter.New(registry, site.Region)
	node := f.network.Join(target, calls)
	s, err := New(Config{
		Self: target, Environment: production, Clock: f.clock, StoreRegion: f.layout.sites[0].site.Region,
		Store:     f.storeFor(site, calls),
		Peers:     &delayedCaller{fleet: f, node: node, self: target},
		Registrar: node, Entries: f.entries,
		Leading:  func() (types.Epoch, bool) { return 1, f.leaderOf(site.DataCentre) == id },
		LeaderOf: f.leaderTarget,
		Audit:    f.audit, Log: zerolog.Nop(), Metrics: registry,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{target: target, spread: s, metrics: registry, stop: cancel, done: make(chan struct{})}
	f.mu.Lock()
	f.vms[id] = v
	f.mu.Unlock()
	go func() {
		defer close(v.done)
		_ = s.Run(ctx)
	}()
}

func (f *testFleet) close() {
	f.mu.Lock()
	vms := f.vms
	f.vms = nil
	f.mu.Unlock()
	for _, v := range vms {
		v.stop()
		<-v.done
	}
	f.network.Close()
}

// stopVM stops a VM. The list of entries still contains it, since the platform's list lags behind.
func (f *testFleet) stopVM(id types.VMID) {
	f.mu.Lock()
	v := f.vms[id]
	f.mu.Unlock()
	v.stop()
	<-v.done
	f.network.SetDown(v.target.Address, true)
}

func (f *testFleet) entries() []peer.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []peer.Target
	for _, v := range f.vms {
		out = append(out, v.target)
	}
	return out
}

func (f *testFleet) leaderOf(dc types.DataCentre) types.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaders[dc]
}

func (f *testFleet) setLeader(dc types.DataCentre, id types.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaders[dc] = id
}

func (f *testFleet) leaderTarget(dc types.DataCentre) (peer.Target, types.Epoch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.vms[f.leaders[dc]]
	if !ok {
		return peer.Target{}, 0, false
	}
	return v.target, 1, true
}

// put puts a document through an editor that reaches the store without delay.
func (f *testFleet) put(expect types.Revision, body []byte) edit.Accepted {
	f.t.Helper()
	e := edit.New(edit.Config{Store: f.memory.As("office", f.calls), Clock: f.clock, By: "amel"})
	accepted, err := e.Put(context.Background(), production, expect, body)
	if err != nil {
		f.t.Fatal(err)
	}
	return accepted
}

// replaceStore replaces the store with one that holds the record under a lower version, as after a restoration.
func (f *testFleet) replaceStore(record edit.Accepted) {
	f.t.Helper()
	memory := store.NewMemory(f.clock, f.layout.sites[0].site.Region)
	put := store.Put{Key: edit.CurrentKey(production), Expect: store.Absent}
	if _, err := store.Commit(context.Background(), memory.As("office", f.calls), put, record); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memory = memory
}

// awaitInForce waits until all VMs that the filter selects have the record in force, and returns how long that took. A
// nil filter selects all VMs. The test fails after the timeout.
func (f *testFleet) awaitInForce(want Stamp, timeout time.Duration, filter func(peer.Target) bool) time.Duration {
	f.t.Helper()
	start := f.clock.Now()
	for {
		pending := f.lagging(want, filter)
		took := f.clock.Since(start)
		if len(pending) == 0 {
			return took
		}
		if took > timeout {
			f.t.Fatalf("after %s revision %d is not in force on %v", took, want.Revision, pending)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// lagging returns the selected VMs that do not have the record in force.
func (f *testFleet) lagging(want Stamp, filter func(peer.Target) bool) []types.VMID {
	var out []types.VMID
	for id, v := range f.currentVMs() {
		if filter != nil && !filter(v.target) {
			continue
		}
		if v.spread.holder.stamp() != want {
			out = append(out, id)
		}
	}
	return out
}

func (f *testFleet) currentVMs() map[types.VMID]*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.vms)
}

// sumCounter returns the sum of a counter over all VMs.
func (f *testFleet) sumCounter(prefix, counter string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum int64
	for _, v := range f.vms {
		sum += meter.New(v.metrics, v.target.Site.Region).Total(prefix, counter)
	}
	return sum
}

// document returns a valid document with a number of teams, one of which has a quota of the given number of cores.
func document(teams, cores int) []byte {
	out := []byte(`DataCentres:
  - Name: carthage
    Region: tunis-north
    Workers:
      - {Count: 2, Capacity: {Cores: 64, Memory: 256GiB}}
Teams:
`)
	for i := range teams {
		quota := 64
		if i == teams/2 {
			quota = cores
		}
		out = fmt.Appendf(out, "  - Name: team-%d\n    Quota: {Cores: %d, Memory: 400GiB}\n    MaxClass: Normal\n", i, quota)
	}
	return out
}
