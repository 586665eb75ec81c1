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
	// restTime is how long a daemon that did not get advice is not asked again.
	restTime = time.Second
	// maxDaemons is how many daemons are tried for one call.
	maxDaemons = 2
	// leastWork is what a call counts for at least, which limits how many calls wait in one daemon's queue.
	leastWork = 15 * time.Millisecond
	// longQueue and shortQueue are how much work one daemon's queue at the advice service may hold when a long
	// or a short call is added. More would make tickets late, and calls that were given up would keep the
	// others waiting.
	longQueue  = 600 * time.Millisecond
	shortQueue = 300 * time.Millisecond
	// farWay is how long the way through a daemon of another region is taken to be at first.
	farWay = 30 * time.Millisecond
	// wayWeight is the weight of one call in what is known of the way, as one in so many.
	wayWeight = 4
	// keptShort is the part of the daemons that get no long calls, as one in so many.
	keptShort = 3
)

// desk spreads calls for advice over the daemons, since the service works on one call of each at a time.
type desk struct {
	mu   sync.Mutex
	load map[types.VMID]time.Duration
	rest map[types.VMID]time.Time
	// way is how much longer than its work a call through the daemon takes.
	way map[types.VMID]time.Duration
}

func newDesk() desk {
	return desk{
		load: make(map[types.VMID]time.Duration),
		rest: make(map[types.VMID]time.Time),
		way:  make(map[types.VMID]time.Duration),
	}
}

// pick returns the daemon with the least work under way, or self when all others rest, and adds the work to it.
// Some daemons get no long calls, so that short ones need not wait behind them.
func (d *desk) pick(self peer.Target, members []peer.Target, work time.Duration, now time.Time) peer.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := self
	found := false
	for _, m := range d.open(self, members, specs.IsLong(work), now) {
		if !found || d.load[m.VM]+d.way[m.VM] < d.load[best.VM]+d.way[best.VM] {
			best, found = m, true
		}
	}
	d.load[best.VM] += work
	return best
}

// open returns the daemons that may get a call; the nearest are those that get no long ones. The caller holds
// the lock.
func (d *desk) open(self peer.Target, members []peer.Target, long bool, now time.Time) []peer.Target {
	sorted := slices.Clone(members)
	for _, m := range sorted {
		if _, known := d.way[m.VM]; !known && m.Site.Region != self.Site.Region {
			d.way[m.VM] = farWay
		}
	}
	slices.SortFunc(sorted, func(a, b peer.Target) int {
		return cmp.Or(cmp.Compare(d.way[a.VM], d.way[b.VM]), cmp.Compare(a.VM, b.VM))
	})
	kept := 0
	if long && len(sorted) > 1 {
		kept = max(1, len(sorted)/keptShort)
	}
	var out []peer.Target
	for _, m := range sorted[kept:] {
		if !now.Before(d.rest[m.VM]) {
			out = append(out, m)
		}
	}
	return out
}

// room returns how much more work may be given out now.
func (d *desk) room(self peer.Target, members []peer.Target, now time.Time) specs.AdviceBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	return specs.AdviceBudget{
		Short: d.free(d.open(self, members, false, now), shortQueue),
		Long:  d.free(d.open(self, members, true, now), longQueue),
	}
}

// free returns what is left of the daemons' queues.
func (d *desk) free(members []peer.Target, queue time.Duration) time.Duration {
	var total time.Duration
	for _, m := range members {
		total += max(queue-d.load[m.VM], 0)
	}
	return total
}

// done takes the work of a call from its daemon. Calls that found the queue empty tell how long the way is.
func (d *desk) done(vm types.VMID, work, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load[vm] -= work
	if d.load[vm] <= 0 && took > work {
		d.way[vm] += (took - work - d.way[vm]) / wayWeight
	}
}

func (d *desk) failed(vm types.VMID, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rest[vm] = until
}

// adviceRoom returns how much more work the advice service may be given now.
func (f *Front) adviceRoom() specs.AdviceBudget {
	return f.desk.room(f.config.Self, f.advisers(), f.config.Clock.Now())
}

// advisers returns the daemons that may ask, this one among them.
func (f *Front) advisers() []peer.Target {
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
	ctx context.Context, step specs.StepRef, policy specs.AdvicePolicy, lives []tasks.Incarnation,
) ([]agent.Permit, error) {
	work := max(policy.CallDuration(len(lives)), leastWork)
	var last error
	for range maxDaemons {
		to := f.desk.pick(f.config.Self, f.advisers(), work, f.config.Clock.Now())
		began := f.config.Clock.Now()
		permits, err := f.adviseThrough(ctx, to, step, policy, lives)
		f.desk.done(to.VM, work, f.config.Clock.Since(began))
		if err == nil || ctx.Err() != nil {
			return permits, err
		}
		last = err
		f.desk.failed(to.VM, f.config.Clock.Now().Add(restTime))
	}
	return nil, last
}

func (f *Front) adviseThrough(
	ctx context.Context, to peer.Target, step specs.StepRef, policy specs.AdvicePolicy, lives []tasks.Incarnation,
) ([]agent.Permit, error) {
	if to.VM == f.config.Self.VM {
		return f.askAdvice(ctx, step, lives, policy.Validity)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errs.New(errs.Internal, "a call for advice has no time limit")
	}
	limit := deadline.Sub(f.config.Clock.Now())
	args := &AdviseArgs{Step: step, Lives: lives, Validity: policy.Validity, Limit: limit}
	reply := &AdviseReply{}
	if err := f.config.Peers.Call(ctx, to, methodAdvise, args, reply); err != nil {
		return nil, err
	}
	return reply.Permits, nil
}

// askAdvice asks the service from this daemon, and remembers the answer for a lead that may follow.
func (f *Front) askAdvice(
	ctx context.Context, step specs.StepRef, lives []tasks.Incarnation, validity time.Duration,
) ([]agent.Permit, error) {
	ids := make([]specs.RunnerID, 0, len(lives))
	for _, l := range lives {
		ids = append(ids, l.Runner)
	}
	permits, err := f.config.Advisor.Advise(ctx, step, ids)
	if err != nil {
		return nil, err
	}
	f.notes.add(step, lives, permits, f.config.Clock.Now().Add(validity))
	return permits, nil
}
