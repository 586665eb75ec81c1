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
	callLatency    = 15 * time.Millisecond
	drainTimeout   = 10 * time.Second
	// drainNotice is how soon the balancer of the runs surely sends nothing more.
	drainNotice        = 500 * time.Millisecond
	maxIdleConnections = 64
)

type (
	// cluster is the platform and the daemons, with what the platform listed.
	cluster struct {
		*local.Cluster
		clock clockwork.Clock
		http  *http.Client
		vms   map[types.VMID]types.VM

		mu       sync.Mutex
		leavings []workerLeaving
	}

	workerLeaving struct {
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

func newCluster() (*cluster, error) {
	c := &cluster{clock: clockwork.NewRealClock(), vms: make(map[types.VMID]types.VM)}
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	layout := local.DefaultLayout(0)
	layout.ListLag, layout.CallTime = listLag, callLatency
	started, err := local.StartCluster(local.ClusterConfig{Clock: c.clock, Log: zerolog.Nop(), Layout: layout, Drain: drainTimeout, Notice: drainNotice})
	if err != nil {
		return nil, err
	}
	c.Cluster = started
	for _, site := range sites {
		for i := range workersPerSite {
			if err := c.addWorker(site, i); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

func (c *cluster) addWorker(site types.Site, index int) error {
	capacity := types.Resources{Cores: 4 * types.Core, Memory: 8 * types.GiB, Accelerators: 1}
	return c.Platform.AddWorker(local.SiteLayout{Site: site, Capacity: capacity}, index)
}

// recordWorkers notes the workers as the platform lists them.
func (c *cluster) recordWorkers(vms []types.VM) {
	for _, vm := range vms {
		if vm.Role == types.RoleWorker {
			c.vms[vm.ID] = vm
		}
	}
}

// markLeaving has the platform list a worker as leaving, and notes the attempts that run there.
func (c *cluster) markLeaving(id types.VMID) {
	vm := c.vms[id]
	vm.State = types.VMLeaving
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.Platform.VMs.Set(vm)
	for _, r := range c.Platform.Workers[id].Record() {
		if r.End.IsZero() {
			c.leavings = append(c.leavings, workerLeaving{worker: id, Leaving: check.Leaving{Runner: types.RunnerID(r.Attempt), At: now}})
		}
	}
}

// markLive has the platform list the worker as live again.
func (c *cluster) markLive(id types.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.leavings {
		if l := &c.leavings[i]; l.worker == id && l.Until.IsZero() {
			l.Until = c.clock.Now()
		}
	}
	c.Platform.VMs.Set(c.vms[id])
}

func (c *cluster) leavingRecords() []check.Leaving {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []check.Leaving
	for _, l := range c.leavings {
		out = append(out, l.Leaving)
	}
	return out
}

// workerIDs returns the workers in order.
func (c *cluster) workerIDs() []types.VMID {
	out := make([]types.VMID, 0, len(c.vms))
	for id := range c.vms {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (c *cluster) worker(id types.VMID) *worker.Memory { return c.Platform.Workers[id] }

// workerRecords returns what the workers recorded.
func (c *cluster) workerRecords() []check.WorkerRecord {
	var out []check.WorkerRecord
	for _, id := range c.workerIDs() {
		out = append(out, check.WorkerRecord{VM: c.vms[id], Runs: c.worker(id).Record()})
	}
	return out
}

// setPartitioned cuts one data centre off from others, the store and the list, or joins it again.
func (c *cluster) setPartitioned(site types.Site, others []types.Site, partitioned bool) {
	for _, o := range others {
		c.Partition.SetPartitioned(site.DataCentre, o.DataCentre, partitioned)
	}
	c.Platform.Store.Faults.SetPartitioned(site.DataCentre, partitioned)
	c.Platform.VMs.Faults.SetPartitioned(site.DataCentre, partitioned)
}

// clearStoreFaults ends every failure of the platform.
func (c *cluster) clearStoreFaults() {
	c.Platform.Store.Faults.SetDown(false)
	c.Platform.Store.Faults.SetDelay(0)
	c.Platform.Store.Faults.LoseAnswers(0)
}

func entryID(site types.Site, number int) types.VMID {
	return types.VMID(fmt.Sprintf("%s-entry-%d", site.DataCentre, number))
}
