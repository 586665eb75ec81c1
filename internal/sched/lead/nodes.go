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
	// listLead is how often a lead reads the list of VMs, listStandby how often the others do.
	listLead    = 2 * time.Second
	listStandby = 5 * time.Second
	listTimeout = 2 * time.Second
	// goneAfter is how long a VM must be missing from the list and silent until it counts as destroyed.
	goneAfter = 10 * time.Minute
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
		// verdict is Quarantined or Probing when the planner decided so.
		verdict     table.Health
		silentSince time.Time
		lastSeen    time.Time
		nextRenew   time.Time
		missing     time.Time
		acks        []types.AttemptID
	}

	// listing is the list of this data centre's workers as it was read last.
	listing struct {
		busy bool
		next time.Time
		vms  map[types.VMID]types.VM
	}
)

// listTick reads the list of VMs now and then.
func (l *Leader) listTick() {
	if l.listing.busy || l.now().Before(l.listing.next) {
		return
	}
	l.listing.busy = true
	period := listStandby
	if l.role != roleStandby {
		period = listLead
	}
	l.listing.next = l.now().Add(period)
	l.do(func(ctx context.Context) func() {
		limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, listTimeout)
		defer cancel()
		snapshot, err := l.cfg.VMs.List(limited)
		return func() {
			l.listing.busy = false
			if err == nil {
				l.listed(snapshot)
			}
		}
	})
}

// listed takes in a new list. A worker that it no longer shows may still run, so it is kept while it is used.
func (l *Leader) listed(s vmlist.Snapshot) {
	l.listing.vms = make(map[types.VMID]types.VM)
	for _, vm := range s.VMs {
		if vm.Role == types.RoleWorker && vm.Site.DataCentre == l.site() {
			l.listing.vms[vm.ID] = vm
		}
	}
	if l.role == roleStandby {
		return
	}
	for _, vm := range l.listing.vms {
		l.addNode(vm)
	}
	for _, n := range l.sorted() {
		l.noteMissing(n)
	}
}

// sorted returns the workers in order of their ids.
func (l *Leader) sorted() []*node {
	out := make([]*node, 0, len(l.nodes))
	for _, n := range l.nodes {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].vm.ID < out[j].vm.ID })
	return out
}

func (l *Leader) noteMissing(n *node) {
	if _, ok := l.listing.vms[n.vm.ID]; ok {
		n.missing = time.Time{}
		return
	}
	if n.missing.IsZero() {
		n.missing = l.now()
	}
	w := l.state.Workers[n.vm.ID]
	if l.gone(n) && w != nil && len(w.Attempts)+len(w.Orphans) == 0 && !n.busy {
		l.must(l.state.RemoveWorker(n.vm.ID))
		delete(l.nodes, n.vm.ID)
	}
}

// gone tells whether the worker counts as destroyed.
func (l *Leader) gone(n *node) bool {
	now := l.now()
	return !n.missing.IsZero() && now.Sub(n.missing) >= goneAfter &&
		!n.silentSince.IsZero() && now.Sub(n.silentSince) >= goneAfter
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
	l.refresh(n)
	return n
}

// refresh brings the worker's row in the table up to date.
func (l *Leader) refresh(n *node) {
	w, ok := l.state.Workers[n.vm.ID]
	if !ok {
		return
	}
	w.VM.Capacity = atMost(n.vm.Capacity, n.capacity)
	w.LastSeen = n.lastSeen
	w.Fenced = n.fenced && !n.stale
	w.Health = n.health()
}

// atMost returns the smaller amount of each resource of what the list shows and what the worker reported.
func atMost(listed, reported types.Resources) types.Resources {
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
	case !n.silentSince.IsZero():
		return table.WorkerUnreachable
	case n.vm.State == types.VMLeaving:
		return table.WorkerLeaving
	case n.verdict != "":
		return n.verdict
	default:
		return table.WorkerLive
	}
}

// fence has a worker that is not fenced yet refuse earlier leads and report its attempts.
func (l *Leader) fence(n *node) {
	l.enqueue(n, fenceCall{request: worker.FenceRequest{Epoch: l.epoch}})
}
