// Package fleet runs real daemons in one process against stand-ins of the platform, brings about failures from a
// seed while callers and operators work, and checks the promises from the platform's own records.
package fleet

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/app/local"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/check"
)

const (
	workersPerSite = 3
	entriesPerSite = 2
	listLag        = 300 * time.Millisecond
	callTime       = 15 * time.Millisecond
	drainLimit     = 10 * time.Second
	// drainNotice is how soon the balancer of the runs surely sends nothing more.
	drainNotice = 500 * time.Millisecond
	connections = 64
)

type (
	// world is the platform and the daemons, with what the platform listed.
	world struct {
		*local.Cluster
		clock clockwork.Clock
		http  *http.Client
		vms   map[types.VMID]types.VM

		mu       sync.Mutex
		leavings []leaving
	}

	leaving struct {
		check.Leaving
		worker types.VMID
	}
)

// sites are the data centres of a run; the store stands in the region of the first one.
var sites = []types.Site{
	{Region: "tunis-north", DataCentre: "carthage"},
	{Region: "tunis-north", DataCentre: "ariana"},
	{Region: "sahel-south", DataCentre: "sousse"},
}

func newWorld() (*world, error) {
	w := &world{clock: clockwork.NewRealClock(), vms: make(map[types.VMID]types.VM)}
	w.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	layout := local.DefaultLayout(0)
	layout.ListLag, layout.CallTime = listLag, callTime
	cluster, err := local.StartCluster(local.ClusterConfig{Clock: w.clock, Log: zerolog.Nop(), Layout: layout, Drain: drainLimit, Notice: drainNotice})
	if err != nil {
		return nil, err
	}
	w.Cluster = cluster
	for _, site := range sites {
		for i := range workersPerSite {
			if err := w.addWorker(site, i); err != nil {
				return nil, err
			}
		}
	}
	return w, nil
}

func (w *world) addWorker(site types.Site, index int) error {
	capacity := types.Resources{Cores: 4 * types.Core, Memory: 8 * types.GiB, Accelerators: 1}
	return w.Platform.AddWorker(local.SiteLayout{Site: site, Capacity: capacity}, index)
}

// learn notes the workers as the platform lists them.
func (w *world) learn(vms []types.VM) {
	for _, vm := range vms {
		if vm.Role == types.RoleWorker {
			w.vms[vm.ID] = vm
		}
	}
}

// leave has the platform list a worker as leaving, and notes the attempts that run there.
func (w *world) leave(id types.VMID) {
	vm := w.vms[id]
	vm.State = types.VMLeaving
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.Platform.VMs.Set(vm)
	for _, r := range w.Platform.Workers[id].Record() {
		if r.End.IsZero() {
			w.leavings = append(w.leavings, leaving{worker: id, Leaving: check.Leaving{Runner: types.RunnerID(r.Attempt), At: now}})
		}
	}
}

// stay has the platform list the worker as live again.
func (w *world) stay(id types.VMID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.leavings {
		if l := &w.leavings[i]; l.worker == id && l.Until.IsZero() {
			l.Until = w.clock.Now()
		}
	}
	w.Platform.VMs.Set(w.vms[id])
}

func (w *world) left() []check.Leaving {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []check.Leaving
	for _, l := range w.leavings {
		out = append(out, l.Leaving)
	}
	return out
}

// workerIDs returns the workers in order.
func (w *world) workerIDs() []types.VMID {
	out := make([]types.VMID, 0, len(w.vms))
	for id := range w.vms {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (w *world) worker(id types.VMID) *worker.Memory { return w.Platform.Workers[id] }

// records returns what the workers recorded.
func (w *world) records() []check.WorkerRecord {
	var out []check.WorkerRecord
	for _, id := range w.workerIDs() {
		out = append(out, check.WorkerRecord{VM: w.vms[id], Runs: w.worker(id).Record()})
	}
	return out
}

// partFrom cuts one data centre off from others, the store and the list, or joins it again.
func (w *world) partFrom(site types.Site, others []types.Site, cut bool) {
	for _, o := range others {
		w.Partition.SetPartitioned(site.DataCentre, o.DataCentre, cut)
	}
	w.Platform.Store.Faults.SetPartitioned(site.DataCentre, cut)
	w.Platform.VMs.Faults.SetPartitioned(site.DataCentre, cut)
}

// heal ends every failure of the platform.
func (w *world) heal() {
	w.Platform.Store.Faults.SetDown(false)
	w.Platform.Store.Faults.SetDelay(0)
	w.Platform.Store.Faults.LoseAnswers(0)
}

func nameOf(site types.Site, number int) types.VMID {
	return types.VMID(fmt.Sprintf("%s-entry-%d", site.DataCentre, number))
}
