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
	// leaderListInterval is how often a leader reads the list of VMs, standbyListInterval how often the other
	// daemons do.
	leaderListInterval  = 2 * time.Second
	standbyListInterval = 5 * time.Second
	listTimeout         = 2 * time.Second
	// goneTimeout is how long a VM must be both missing from the list and unreachable before it counts as
	// destroyed.
	goneTimeout = 10 * time.Minute
)

type (
	// node is the leader's state of one worker.
	node struct {
		vm types.VM
		// busy is set while calls to the worker are in flight; queue holds the calls to make next.
		busy  bool
		queue []call
		// boot is the worker's boot number in its latest report; zero while it is not known.
		boot uint64
		// capacity is the capacity that the worker reported; zero before its first report.
		capacity types.Resources
		// fenced is set once the worker has accepted the leader's epoch.
		fenced bool
		// stale is set when the worker has not reported since it was unreachable, or still runs orphans. Nothing
		// is placed on a stale worker.
		stale bool
		// plannedHealth is Quarantined or Probing if the planner decided so; otherwise empty.
		plannedHealth table.Health
		// unreachableSince is when a call first got no answer, or when workerFor added a worker that is not listed; zero
		// while the worker answers.
		unreachableSince time.Time
		// lastSeenAt is when the worker last answered a call.
		lastSeenAt time.Time
		// nextCallAt is when workerTick is to fence the worker or to renew its leases again.
		nextCallAt time.Time
		// missingSince is when the worker was first missing from the list of VMs; zero while it is listed.
		missingSince time.Time
		// pendingAcks holds the ended attempts to acknowledge with the next renewal.
		pendingAcks []types.AttemptID
	}

	// workerList is the list of this data centre's workers as last read.
	workerList struct {
		busy   bool
		nextAt time.Time
		vms    map[types.VMID]types.VM
	}
)

// listTick reads the list of VMs at each list interval.
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

// applyVMList applies a new list. A worker that is no longer listed may still run, so it is kept until it counts
// as destroyed and no attempt occupies it.
func (l *Leader) applyVMList(s vmlist.Snapshot) {
	l.workerList.vms = make(map[types.VMID]types.VM)
	for _, vm := range s.VMs {
		if vm.Role == types.RoleWorker && vm.Site.DataCentre == l.dataCentre() {
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

// sortedNodes returns the workers in order of their IDs.
func (l *Leader) sortedNodes() []*node {
	out := make([]*node, 0, len(l.nodes))
	for _, n := range l.nodes {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].vm.ID < out[j].vm.ID })
	return out
}

// updateMissing records since when the worker is missing from the list. It removes a worker that counts as destroyed and
// that no attempt occupies.
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

// isGone reports whether the worker counts as destroyed.
func (l *Leader) isGone(n *node) bool {
	now := l.now()
	return !n.missingSince.IsZero() && now.Sub(n.missingSince) >= goneTimeout &&
		!n.unreachableSince.IsZero() && now.Sub(n.unreachableSince) >= goneTimeout
}

// addNode adds a worker, or updates its VM if it is known. A new worker is fenced before any other call.
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

// refreshWorker updates the worker's row in the tables.
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

// minResources returns, for each resource, the smaller of the listed and the reported capacity. A zero report
// means that nothing was reported yet.
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

// enqueueFence queues the call that has the worker refuse earlier leaders and report its attempts.
func (l *Leader) enqueueFence(n *node) {
	l.enqueueCall(n, fenceCall{request: worker.FenceRequest{Epoch: l.epoch}})
}
