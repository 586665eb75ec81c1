// Package fleet runs real daemons in one process against stand-ins of the platform. It injects faults from a seed while
// callers and operators are active, and checks the promises to users with the platform's own records.
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
	// drainNotice is how long a draining daemon continues to serve, long enough for all callers to stop choosing it.
	drainNotice        = 500 * time.Millisecond
	maxIdleConnections = 64
)

type (
	// cluster is the platform and the daemons, with the workers as the platform first listed them.
	cluster struct {
		*local.Cluster
		clock     clockwork.Clock
		http      *http.Client
		workerVMs map[types.VMID]types.VM

		mu       sync.Mutex
		leavings []workerLeaving
	}

	// workerLeaving is the leaving of a runner with its worker. Each runner is an attempt on the worker and has its ID.
	workerLeaving struct {
		check.Leaving
		worker types.VMID
	}
)

// sites are the data centres of a run. The store is in the region of the first one.
var sites = []types.Site{
	{Region: "tunis-north", DataCentre: "carthage"},
	{Region: "tunis-north", DataCentre: "ariana"},
	{Region: "sahel-south", DataCentre: "sousse"},
}

func newCluster() (*cluster, error) {
	c := &cluster{clock: clockwork.NewRealClock(), workerVMs: make(map[types.VMID]types.VM)}
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	layout := local.DefaultLayout(0)
	layout.ListLag, layout.CallTime = listLag, callLatency
	started, err := local.StartCluster(local.ClusterConfig{Clock: c.clock, Log: zerolog.Nop(), Layout: layout, DrainTimeout: drainTimeout, DrainNotice: drainNotice})
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

// recordWorkers records the workers among the VMs that the platform lists.
func (c *cluster) recordWorkers(vms []types.VM) {
	for _, vm := range vms {
		if vm.Role == types.RoleWorker {
			c.workerVMs[vm.ID] = vm
		}
	}
}

// markLeaving makes the platform list a worker as leaving, and records the attempts that are running on it.
func (c *cluster) markLeaving(id types.VMID) {
	vm := c.workerVMs[id]
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

// markLive makes the platform list the worker as live again, and records the end of its attempts' leaving.
func (c *cluster) markLive(id types.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.leavings {
		if l := &c.leavings[i]; l.worker == id && l.Until.IsZero() {
			l.Until = c.clock.Now()
		}
	}
	c.Platform.VMs.Set(c.workerVMs[id])
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

// workerIDs returns the IDs of the workers in order, so that a random index always means the same worker.
func (c *cluster) workerIDs() []types.VMID {
	out := make([]types.VMID, 0, len(c.workerVMs))
	for id := range c.workerVMs {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (c *cluster) worker(id types.VMID) *worker.Memory { return c.Platform.Workers[id] }

// workerRecords returns the task runs that each worker recorded.
func (c *cluster) workerRecords() []check.WorkerRecord {
	var out []check.WorkerRecord
	for _, id := range c.workerIDs() {
		out = append(out, check.WorkerRecord{VM: c.workerVMs[id], Runs: c.worker(id).Record()})
	}
	return out
}

// setPartitioned partitions one data centre from others, the store and the VM list, or restores its connections.
func (c *cluster) setPartitioned(site types.Site, others []types.Site, partitioned bool) {
	for _, o := range others {
		c.Partition.SetPartitioned(site.DataCentre, o.DataCentre, partitioned)
	}
	c.Platform.Store.Faults.SetPartitioned(site.DataCentre, partitioned)
	c.Platform.VMs.Faults.SetPartitioned(site.DataCentre, partitioned)
}

// clearStoreFaults ends every fault of the store.
func (c *cluster) clearStoreFaults() {
	c.Platform.Store.Faults.SetDown(false)
	c.Platform.Store.Faults.SetDelay(0)
	c.Platform.Store.Faults.LoseAnswers(0)
}

func entryID(site types.Site, number int) types.VMID {
	return types.VMID(fmt.Sprintf("%s-entry-%d", site.DataCentre, number))
}
