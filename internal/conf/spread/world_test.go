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
	// inside is the one-way delay between two VMs of a data centre.
	inside = 200 * time.Microsecond
)

type (
	// siteSize is a data centre with its number of entry VMs.
	siteSize struct {
		site types.Site
		vms  int
	}

	// layout is a fleet with its one-way delays. The store stands in the region of the first place.
	layout struct {
		name    string
		places  []siteSize
		near    time.Duration
		regions time.Duration
	}

	// world runs the real distribution on every VM of a layout. It lives in a bubble of testing/synctest, so
	// that the clock moves only when every goroutine waits.
	world struct {
		t       *testing.T
		layout  layout
		clock   clockwork.Clock
		memory  *store.Memory
		network *peer.Network
		calls   *meter.Meter
		audit   *kept

		mu    sync.Mutex
		vms   map[types.VMID]*vm
		leads map[types.DataCentre]types.VMID
		cut   map[[2]types.DataCentre]bool
		// drops is how many of the next pushes vanish before they arrive.
		drops int
	}

	vm struct {
		target  peer.Target
		spread  *Spread
		metrics metrics.Registry
		stop    context.CancelFunc
		done    chan struct{}
	}

	// path carries one VM's calls with delays; a cut swallows them.
	path struct {
		world *world
		node  *peer.Node
		self  peer.Target
	}

	// slowStore answers after the delay between the VM and the store.
	slowStore struct {
		world *world
		site  types.Site
		calls *meter.Meter
	}
)

func nawba() layout {
	return layout{name: "Nawba", near: time.Millisecond, regions: 12 * time.Millisecond, places: []siteSize{
		{types.Site{Region: "tunis-north", DataCentre: "ariana"}, 3},
		{types.Site{Region: "tunis-north", DataCentre: "carthage"}, 3},
		{types.Site{Region: "sahel-south", DataCentre: "sousse"}, 2},
	}}
}

func swan() layout {
	return layout{name: "Swan", near: 500 * time.Microsecond, regions: 12 * time.Millisecond, places: []siteSize{
		{types.Site{Region: "perth-metro", DataCentre: "perth-north"}, 3},
		{types.Site{Region: "perth-metro", DataCentre: "perth-south"}, 3},
		{types.Site{Region: "wheatbelt-south", DataCentre: "narrogin"}, 2},
	}}
}

// target is the fleet of the target: 24 VMs in 8 data centres of 2 regions.
func target() layout {
	out := layout{name: "Target", near: time.Millisecond, regions: 12 * time.Millisecond}
	for i := range 8 {
		region := types.Region("north")
		if i >= 4 {
			region = "south"
		}
		site := types.Site{Region: region, DataCentre: types.DataCentre(fmt.Sprintf("dc-%d", i))}
		out.places = append(out.places, siteSize{site, 3})
	}
	return out
}

// delay returns the one-way delay between two sites.
func (l layout) delay(a, b types.Site) time.Duration {
	switch {
	case a.DataCentre == b.DataCentre:
		return inside
	case a.Region == b.Region:
		return l.near
	default:
		return l.regions
	}
}

// newWorld starts every VM; the first one of each data centre leads.
func newWorld(t *testing.T, l layout) *world {
	clock := clockwork.NewRealClock()
	w := &world{
		t: t, layout: l, clock: clock, network: peer.NewNetwork(), calls: meter.Discard(), audit: &kept{},
		memory: store.NewMemory(clock, l.places[0].site.Region),
		vms:    make(map[types.VMID]*vm), leads: make(map[types.DataCentre]types.VMID),
		cut: make(map[[2]types.DataCentre]bool),
	}
	t.Cleanup(w.close)
	return w
}

func (w *world) startAll() {
	for _, p := range w.layout.places {
		for i := range p.vms {
			id := vmID(p.site.DataCentre, i)
			if i == 0 {
				w.setLead(p.site.DataCentre, id)
			}
			w.start(id, p.site)
		}
	}
}

func vmID(dc types.DataCentre, i int) types.VMID {
	return types.VMID(fmt.Sprintf("%s-%d", dc, i))
}

// start starts a VM, or another one in its place with nothing kept.
func (w *world) start(id types.VMID, site types.Site) {
	target := peer.Target{VM: id, Site: site, Address: types.Address(id)}
	registry := metrics.NewRegistry()
	calls := meter.New(registry, site.Region)
	node := w.network.Join(target, calls)
	s, err := New(Config{
		Self: target, Environment: production, Clock: w.clock, StoreRegion: w.layout.places[0].site.Region,
		Store:     w.storeFor(site, calls),
		Peers:     &path{world: w, node: node, self: target},
		Registrar: node, Entries: w.entries,
		Leading: func() (types.Epoch, bool) { return 1, w.lead(site.DataCentre) == id },
		Leads:   w.leadTarget,
		Audit:   w.audit, Log: zerolog.Nop(), Metrics: registry,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &vm{target: target, spread: s, metrics: registry, stop: cancel, done: make(chan struct{})}
	w.mu.Lock()
	w.vms[id] = v
	w.mu.Unlock()
	go func() {
		defer close(v.done)
		_ = s.Run(ctx)
	}()
}

func (w *world) close() {
	w.mu.Lock()
	vms := w.vms
	w.vms = nil
	w.mu.Unlock()
	for _, v := range vms {
		v.stop()
		<-v.done
	}
	w.network.Close()
}

// kill ends a VM; the list of entries goes on showing it, as the platform's list lags.
func (w *world) kill(id types.VMID) {
	w.mu.Lock()
	v := w.vms[id]
	w.mu.Unlock()
	v.stop()
	<-v.done
	w.network.SetDown(v.target.Address, true)
}

func (w *world) entries() []peer.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []peer.Target
	for _, v := range w.vms {
		out = append(out, v.target)
	}
	return out
}

func (w *world) lead(dc types.DataCentre) types.VMID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leads[dc]
}

func (w *world) setLead(dc types.DataCentre, id types.VMID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leads[dc] = id
}

func (w *world) leadTarget(dc types.DataCentre) (peer.Target, types.Epoch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, ok := w.vms[w.leads[dc]]
	if !ok {
		return peer.Target{}, 0, false
	}
	return v.target, 1, true
}

// put accepts a document through an editor beside the store.
func (w *world) put(expect types.Revision, body []byte) edit.Accepted {
	w.t.Helper()
	e := edit.New(edit.Config{Store: w.memory.As("office", w.calls), Clock: w.clock, By: "amel"})
	accepted, err := e.Put(context.Background(), production, expect, body)
	if err != nil {
		w.t.Fatal(err)
	}
	return accepted
}

// restore puts another store in place, which holds an older record under a lower version.
func (w *world) restore(record edit.Accepted) {
	w.t.Helper()
	memory := store.NewMemory(w.clock, w.layout.places[0].site.Region)
	put := store.Put{Key: edit.CurrentKey(production), Expect: store.Absent}
	if _, err := store.Commit(context.Background(), memory.As("office", w.calls), put, record); err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.memory = memory
}

// await waits until the VMs have the stamp in force and returns how long that took.
func (w *world) await(want Stamp, limit time.Duration, only func(peer.Target) bool) time.Duration {
	w.t.Helper()
	start := w.clock.Now()
	for {
		behind := w.behind(want, only)
		took := w.clock.Since(start)
		if len(behind) == 0 {
			return took
		}
		if took > limit {
			w.t.Fatalf("after %s revision %d is not in force on %v", took, want.Revision, behind)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *world) behind(want Stamp, only func(peer.Target) bool) []types.VMID {
	var out []types.VMID
	for id, v := range w.present() {
		if only != nil && !only(v.target) {
			continue
		}
		if v.spread.held.stamp() != want {
			out = append(out, id)
		}
	}
	return out
}

func (w *world) present() map[types.VMID]*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.vms)
}

// total returns the sum of a counter over all VMs.
func (w *world) total(prefix, counter string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum int64
	for _, v := range w.vms {
		sum += meter.New(v.metrics, v.target.Site.Region).Total(prefix, counter)
	}
	return sum
}

// document returns a document with teams, one of whose quotas is the number of cores.
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
