package front

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// adviceBackoff is how long a daemon through which a call for advice failed gets no further calls.
	adviceBackoff = time.Second
	// maxAdviceTries limits the daemons that are tried for one call.
	maxAdviceTries = 2
	// minCallWork is the least work that a call counts for, which limits how many calls wait in one daemon's queue.
	minCallWork = 15 * time.Millisecond
	// maxLongQueue and maxShortQueue limit the work in one daemon's queue at the advice service when a long or a short
	// call is added. With more, tickets would arrive late, and the service would still work on calls that had timed
	// out while the others wait.
	maxLongQueue  = 600 * time.Millisecond
	maxShortQueue = 300 * time.Millisecond
	// initialRemoteLatency is the latency that is assumed for a daemon of another region until a call has been
	// measured.
	initialRemoteLatency = 30 * time.Millisecond
	// latencyDivisor gives one call the weight 1/latencyDivisor in the moving average of a daemon's latency.
	latencyDivisor = 4
	// shortOnlyDivisor limits the fraction of the daemons that get no long calls, 1/shortOnlyDivisor.
	shortOnlyDivisor = 3
)

// adviceBalancer spreads calls for advice over the daemons, since the advice service works on one call of each daemon
// at a time.
type adviceBalancer struct {
	mu sync.Mutex
	// load is the work of the calls in flight through each daemon.
	load map[types.VMID]time.Duration
	// backoffUntil is when a daemon through which a call failed may get calls again.
	backoffUntil map[types.VMID]time.Time
	// latency is the time that a call through the daemon takes in addition to its work.
	latency map[types.VMID]time.Duration
	// demand is that for short calls.
	demand shortDemand
}

func newAdviceBalancer() adviceBalancer {
	return adviceBalancer{
		load:         make(map[types.VMID]time.Duration),
		backoffUntil: make(map[types.VMID]time.Time),
		latency:      make(map[types.VMID]time.Duration),
	}
}

// pickDaemon returns the daemon with the lowest sum of work in flight and latency, or self when no daemon is available,
// and adds the work to its load. Some daemons get no long calls, so that short calls need not wait behind long ones.
func (b *adviceBalancer) pickDaemon(self peer.Target, members []peer.Target, work time.Duration, now time.Time) peer.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := self
	found := false
	for _, m := range b.availableDaemons(self, members, specs.IsLong(work), now) {
		if !found || b.load[m.VM]+b.latency[m.VM] < b.load[best.VM]+b.latency[best.VM] {
			best, found = m, true
		}
	}
	b.load[best.VM] += work
	if !specs.IsLong(work) {
		b.demand.add(work, now)
	}
	return best
}

// availableDaemons returns the daemons that may get a call: those that are not in backoff and, for a long call, not
// among the nearest, which get short calls only. It assumes initialRemoteLatency for a daemon of another region that
// has no latency yet. The caller must hold b.mu.
func (b *adviceBalancer) availableDaemons(self peer.Target, members []peer.Target, long bool, now time.Time) []peer.Target {
	sorted := slices.Clone(members)
	for _, m := range sorted {
		if _, known := b.latency[m.VM]; !known && m.Site.Region != self.Site.Region {
			b.latency[m.VM] = initialRemoteLatency
		}
	}
	slices.SortFunc(sorted, func(x, y peer.Target) int {
		return cmp.Or(cmp.Compare(b.latency[x.VM], b.latency[y.VM]), cmp.Compare(x.VM, y.VM))
	})
	shortOnly := 0
	if long && len(sorted) > 1 {
		shortOnly = max(1, b.demand.daemons(now, len(sorted)/shortOnlyDivisor))
	}
	var out []peer.Target
	for _, m := range sorted[shortOnly:] {
		if !now.Before(b.backoffUntil[m.VM]) {
			out = append(out, m)
		}
	}
	return out
}

// budget returns the work of short and of long calls that the queues of the daemons can still take now.
func (b *adviceBalancer) budget(self peer.Target, members []peer.Target, now time.Time) specs.AdviceBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return specs.AdviceBudget{
		Short: b.freeWork(b.availableDaemons(self, members, false, now), maxShortQueue),
		Long:  b.freeWork(b.availableDaemons(self, members, true, now), maxLongQueue),
	}
}

// freeWork returns the work that fits into the daemons' queues up to maxQueue each. The caller must hold b.mu.
func (b *adviceBalancer) freeWork(members []peer.Target, maxQueue time.Duration) time.Duration {
	var total time.Duration
	for _, m := range members {
		total += max(maxQueue-b.load[m.VM], 0)
	}
	return total
}

// finishCall subtracts the work of a finished call from the load of its daemon. A call that leaves no others in flight
// there also updates the daemon's latency, since it should not have waited behind others.
func (b *adviceBalancer) finishCall(vm types.VMID, work, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load[vm] -= work
	if b.load[vm] <= 0 && took > work {
		b.latency[vm] += (took - work - b.latency[vm]) / latencyDivisor
	}
}

// backOff keeps calls away from the daemon until the given time. Only pickDaemon's fallback to self ignores it.
func (b *adviceBalancer) backOff(vm types.VMID, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffUntil[vm] = until
}

// adviceBudget returns the work that the advice service may still be given now.
func (f *Front) adviceBudget() specs.AdviceBudget {
	return f.balancer.budget(f.config.Self, f.adviceDaemons(), f.config.Clock.Now())
}

// adviceDaemons returns the daemons through which calls for advice may go, this one among them.
func (f *Front) adviceDaemons() []peer.Target {
	members := f.elector.Members()
	for _, m := range members {
		if m.VM == f.config.Self.VM {
			return members
		}
	}
	return append(members, f.config.Self)
}

// advise calls the advice service through the daemon with the shortest queue, and retries through others, at most
// maxAdviceTries in all. It returns the error of the last try.
func (f *Front) advise(
	ctx context.Context, step specs.StepRef, policy specs.AdvicePolicy, incarnations []tasks.Incarnation,
) ([]agent.Permit, error) {
	work := max(policy.CallDuration(len(incarnations)), minCallWork)
	var last error
	for range maxAdviceTries {
		daemon := f.balancer.pickDaemon(f.config.Self, f.adviceDaemons(), work, f.config.Clock.Now())
		began := f.config.Clock.Now()
		permits, err := f.adviseVia(ctx, daemon, step, policy, incarnations)
		f.balancer.finishCall(daemon.VM, work, f.config.Clock.Since(began))
		if err == nil || ctx.Err() != nil {
			return permits, err
		}
		last = err
		f.balancer.backOff(daemon.VM, f.config.Clock.Now().Add(adviceBackoff))
	}
	return nil, last
}

// adviseVia calls the advice service through the given daemon.
func (f *Front) adviseVia(
	ctx context.Context, daemon peer.Target, step specs.StepRef, policy specs.AdvicePolicy, incarnations []tasks.Incarnation,
) ([]agent.Permit, error) {
	if daemon.VM == f.config.Self.VM {
		return f.adviseLocally(ctx, step, incarnations, policy.Validity)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errs.New(errs.Internal, "call for advice through a peer needs a context with a deadline")
	}
	timeout := deadline.Sub(f.config.Clock.Now())
	args := &AdviseArgs{Step: step, Lives: incarnations, Validity: policy.Validity, Limit: timeout}
	reply := &AdviseReply{}
	if err := f.config.Peers.Call(ctx, daemon, methodAdvise, args, reply); err != nil {
		return nil, err
	}
	return reply.Permits, nil
}

// adviseLocally calls the advice service from this daemon, and caches the answer for the next leader.
func (f *Front) adviseLocally(
	ctx context.Context, step specs.StepRef, incarnations []tasks.Incarnation, validity time.Duration,
) ([]agent.Permit, error) {
	ids := make([]specs.RunnerID, 0, len(incarnations))
	for _, incarnation := range incarnations {
		ids = append(ids, incarnation.Runner)
	}
	permits, err := f.config.Advisor.Advise(ctx, step, ids)
	if err != nil {
		return nil, err
	}
	f.adviceCache.add(step, incarnations, permits, f.config.Clock.Now().Add(validity))
	return permits, nil
}
