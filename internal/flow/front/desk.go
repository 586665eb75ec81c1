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
	// adviceBackoff is how long a daemon that did not get advice is not asked again.
	adviceBackoff = time.Second
	// maxAdviceTries is how many daemons are tried for one call.
	maxAdviceTries = 2
	// minCallWork is what a call counts for at least, which limits how many calls wait in one daemon's queue.
	minCallWork = 15 * time.Millisecond
	// maxLongQueue and maxShortQueue are how much work one daemon's queue at the advice service may hold when a long
	// or a short call is added. More would make tickets late, and calls that were given up would keep the
	// others waiting.
	maxLongQueue  = 600 * time.Millisecond
	maxShortQueue = 300 * time.Millisecond
	// initialRemoteLatency is how long the way through a daemon of another region is taken to be at first.
	initialRemoteLatency = 30 * time.Millisecond
	// latencyDivisor is the weight of one call in what is known of the way, as one in so many.
	latencyDivisor = 4
	// shortOnlyDivisor is the part of the daemons that get no long calls, as one in so many.
	shortOnlyDivisor = 3
)

// adviceBalancer spreads calls for advice over the daemons, since the service works on one call of each at a time.
type adviceBalancer struct {
	mu           sync.Mutex
	load         map[types.VMID]time.Duration
	backoffUntil map[types.VMID]time.Time
	// latency is how much longer than its work a call through the daemon takes.
	latency map[types.VMID]time.Duration
}

func newAdviceBalancer() adviceBalancer {
	return adviceBalancer{
		load:         make(map[types.VMID]time.Duration),
		backoffUntil: make(map[types.VMID]time.Time),
		latency:      make(map[types.VMID]time.Duration),
	}
}

// pickDaemon returns the daemon with the least work under way, or self when all others rest, and adds the work to it.
// Some daemons get no long calls, so that short ones need not wait behind them.
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
	return best
}

// availableDaemons returns the daemons that may get a call; the nearest are those that get no long ones. The caller holds
// the lock.
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
		shortOnly = max(1, len(sorted)/shortOnlyDivisor)
	}
	var out []peer.Target
	for _, m := range sorted[shortOnly:] {
		if !now.Before(b.backoffUntil[m.VM]) {
			out = append(out, m)
		}
	}
	return out
}

// budget returns how much more work may be given out now.
func (b *adviceBalancer) budget(self peer.Target, members []peer.Target, now time.Time) specs.AdviceBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return specs.AdviceBudget{
		Short: b.freeWork(b.availableDaemons(self, members, false, now), maxShortQueue),
		Long:  b.freeWork(b.availableDaemons(self, members, true, now), maxLongQueue),
	}
}

// freeWork returns what is left of the daemons' queues.
func (b *adviceBalancer) freeWork(members []peer.Target, maxQueue time.Duration) time.Duration {
	var total time.Duration
	for _, m := range members {
		total += max(maxQueue-b.load[m.VM], 0)
	}
	return total
}

// finishCall takes the work of a call from its daemon. Calls that found the queue empty tell how long the way is.
func (b *adviceBalancer) finishCall(vm types.VMID, work, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load[vm] -= work
	if b.load[vm] <= 0 && took > work {
		b.latency[vm] += (took - work - b.latency[vm]) / latencyDivisor
	}
}

func (b *adviceBalancer) backOff(vm types.VMID, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffUntil[vm] = until
}

// adviceBudget returns how much more work the advice service may be given now.
func (f *Front) adviceBudget() specs.AdviceBudget {
	return f.balancer.budget(f.config.Self, f.adviceDaemons(), f.config.Clock.Now())
}

// adviceDaemons returns the daemons that may ask, this one among them.
func (f *Front) adviceDaemons() []peer.Target {
	members := f.elector.Members()
	for _, m := range members {
		if m.VM == f.config.Self.VM {
			return members
		}
	}
	return append(members, f.config.Self)
}

// advise asks for advice through the daemon with the shortest queue.
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

func (f *Front) adviseVia(
	ctx context.Context, daemon peer.Target, step specs.StepRef, policy specs.AdvicePolicy, incarnations []tasks.Incarnation,
) ([]agent.Permit, error) {
	if daemon.VM == f.config.Self.VM {
		return f.adviseLocally(ctx, step, incarnations, policy.Validity)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errs.New(errs.Internal, "a call for advice has no time limit")
	}
	timeout := deadline.Sub(f.config.Clock.Now())
	args := &AdviseArgs{Step: step, Lives: incarnations, Validity: policy.Validity, Limit: timeout}
	reply := &AdviseReply{}
	if err := f.config.Peers.Call(ctx, daemon, methodAdvise, args, reply); err != nil {
		return nil, err
	}
	return reply.Permits, nil
}

// adviseLocally asks the service from this daemon, and remembers the answer for a lead that may follow.
func (f *Front) adviseLocally(
	ctx context.Context, step specs.StepRef, incarnations []tasks.Incarnation, validity time.Duration,
) ([]agent.Permit, error) {
	ids := make([]specs.RunnerID, 0, len(incarnations))
	for _, l := range incarnations {
		ids = append(ids, l.Runner)
	}
	permits, err := f.config.Advisor.Advise(ctx, step, ids)
	if err != nil {
		return nil, err
	}
	f.adviceCache.add(step, incarnations, permits, f.config.Clock.Now().Add(validity))
	return permits, nil
}
