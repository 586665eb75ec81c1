package lead

import (
	"context"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// leaderListInterval is how often a lead reads the list of VMs, standbyListInterval how often the others do.
	leaderListInterval  = 2 * time.Second
	standbyListInterval = 5 * time.Second
	listTimeout         = 2 * time.Second
	// goneTimeout is how long a VM must be missing from the list and silent until it counts as destroyed.
	goneTimeout = 10 * time.Minute
)

type (
	// node is the lead's side of one worker.
	node struct {
		vm    types.VM
		busy  bool
		queue []call
		// boot is the worker's boot as it reported last; zero while it is not known.
		boot uint64
		// capacity is what the worker reported that it has.
		capacity types.Resources
		// fenced tells that the worker has accepted the lead's epoch.
		fenced bool
		// stale tells that the worker has not reported since it was silent, or still runs attempts of which
		// the tables do not know. Nothing is placed on it until then.
		stale bool
		// plannedHealth is Quarantined or Probing when the planner decided so.
		plannedHealth    table.Health
		unreachableSince time.Time
		lastSeenAt       time.Time
		nextRenewAt      time.Time
		missingSince     time.Time
		pendingAcks      []types.AttemptID
	}

	// workerList is the list of this data centre's workers as it was read last.
	workerList struct {
		busy   bool
		nextAt time.Time
		vms    map[types.VMID]types.VM
	}
)

// listTick reads the list of VMs now and then.
func (l *Leader) listTick() {
	if l.workerList.busy || l.now().Before(l.workerList.nextAt) {
		return
	}
	l.workerList.busy = true
	interval := standbyListInterval
	if l.role != roleStandby {
		interval = leaderListInterval
	}
	l.workerList.nextAt = l.now().Add(interval)
	l.runAsync(func(ctx context.Context) func() {
		limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, listTimeout)
		defer cancel()
		snapshot, err := l.cfg.VMs.List(limited)
		return func() {
			l.workerList.busy = false
			if err == nil {
				l.applyVMList(snapshot)
			}
		}
	})
}

// applyVMList takes in a new list. A worker that it no longer shows may still run, so it is kept while it is used.
func (l *Leader) applyVMList(s vmlist.Snapshot) {
	l.workerList.vms = make(map[types.VMID]types.VM)
	for _, vm := range s.VMs {
		if vm.Role == types.RoleWorker && vm.Site.DataCentre == l.site() {
			l.workerList.vms[vm.ID] = vm
		}
	}
	if l.role == roleStandby {
		return
	}
	for _, vm := range l.workerList.vms {
		l.addNode(vm)
	}
	for _, n := range l.sortedNodes() {
		l.updateMissing(n)
	}
}

// sortedNodes returns the workers in order of their ids.
func (l *Leader) sortedNodes() []*node {
	out := make([]*node, 0, len(l.nodes))
	for _, n := range l.nodes {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].vm.ID < out[j].vm.ID })
	return out
}

func (l *Leader) updateMissing(n *node) {
	if _, ok := l.workerList.vms[n.vm.ID]; ok {
		n.missingSince = time.Time{}
		return
	}
	if n.missingSince.IsZero() {
		n.missingSince = l.now()
	}
	w := l.state.Workers[n.vm.ID]
	if l.isGone(n) && w != nil && len(w.Attempts)+len(w.Orphans) == 0 && !n.busy {
		l.reportViolation(l.state.RemoveWorker(n.vm.ID))
		delete(l.nodes, n.vm.ID)
	}
}

// isGone tells whether the worker counts as destroyed.
func (l *Leader) isGone(n *node) bool {
	now := l.now()
	return !n.missingSince.IsZero() && now.Sub(n.missingSince) >= goneTimeout &&
		!n.unreachableSince.IsZero() && now.Sub(n.unreachableSince) >= goneTimeout
}

// addNode adds a worker, which is fenced before anything else, or updates its VM.
func (l *Leader) addNode(vm types.VM) *node {
	n, ok := l.nodes[vm.ID]
	if !ok {
		n = &node{}
		l.nodes[vm.ID] = n
	}
	n.vm = vm
	l.state.AddWorker(vm)
	l.refreshWorker(n)
	return n
}

// refreshWorker brings the worker's row in the table up to date.
func (l *Leader) refreshWorker(n *node) {
	w, ok := l.state.Workers[n.vm.ID]
	if !ok {
		return
	}
	w.VM.Capacity = minResources(n.vm.Capacity, n.capacity)
	w.LastSeen = n.lastSeenAt
	w.Fenced = n.fenced && !n.stale
	w.Health = n.health()
}

// minResources returns the smaller amount of each resource of what the list shows and what the worker reported.
func minResources(listed, reported types.Resources) types.Resources {
	if reported.IsZero() {
		return listed
	}
	return types.Resources{
		Cores:        min(listed.Cores, reported.Cores),
		Memory:       min(listed.Memory, reported.Memory),
		Accelerators: min(listed.Accelerators, reported.Accelerators),
	}
}

func (n *node) health() table.Health {
	switch {
	case !n.unreachableSince.IsZero():
		return table.WorkerUnreachable
	case n.vm.State == types.VMLeaving:
		return table.WorkerLeaving
	case n.plannedHealth != "":
		return n.plannedHealth
	default:
		return table.WorkerLive
	}
}

// enqueueFence has a worker that is not fenced yet refuse earlier leads and report its attempts.
func (l *Leader) enqueueFence(n *node) {
	l.enqueueCall(n, fenceCall{request: worker.FenceRequest{Epoch: l.epoch}})
}
