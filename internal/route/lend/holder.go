package lend

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

type (
	// HolderConfig holds the settings and dependencies of a Holder.
	HolderConfig struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Peers   peer.Caller
		Audit   audit.Recorder
		Log     zerolog.Logger
		Metrics metrics.Registry
		// LeaderOf returns the known leaders by data centre.
		LeaderOf func() map[types.DataCentre]Leader
	}

	// Holder holds the slots that were lent to this entry and chooses among them. It is safe for concurrent use.
	Holder struct {
		config      HolderConfig
		incarnation Incarnation

		mu       sync.Mutex
		leaders  map[types.DataCentre]*leaderState
		runners  map[types.RunnerID]*heldRunner
		services map[types.ServiceName]*pool
		inDoubt  []inDoubtSlot
		closing  bool
		notify   func(types.ServiceName)
		wakeup   chan struct{}
	}

	// leaderState is what an entry knows of the leader of one data centre.
	leaderState struct {
		// epoch is the highest epoch seen; grants of lower ones are refused.
		epoch types.Epoch
		// leader is the only daemon whose grants are accepted under the epoch.
		leader types.VMID
		// sequence is the number of the latest call.
		sequence uint64
		// mustStateAll means that the next call must state all that is held.
		mustStateAll bool
		callInFlight bool
		// nextCallAt is when the leader is called even if there is nothing to request or return.
		nextCallAt time.Time
		// shortageBackoff is the pause before the next call while requests wait for slots. It grows while calls bring
		// none, up to shortageInterval.
		shortageBackoff time.Duration
		// recalled counts the slots that the leader recalled and that are not reserved for return yet.
		recalled map[types.ServiceName]int
		// refusing holds the runners that refused a call and that the leader has not been told of yet.
		refusing map[types.RunnerID]bool
		// sentWants holds the wants of each service as last sent to the leader.
		sentWants map[types.ServiceName]int
	}
)

// NewHolder returns a holder without slots.
func NewHolder(c HolderConfig) *Holder {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Holder{
		config:      c,
		incarnation: Incarnation(c.Clock.Now().UnixNano()),
		leaders:     make(map[types.DataCentre]*leaderState),
		runners:     make(map[types.RunnerID]*heldRunner),
		services:    make(map[types.ServiceName]*pool),
		notify:      func(types.ServiceName) {},
		wakeup:      make(chan struct{}, 1),
	}
}

// Notify sets the function that is called, with no lock held, when slots of a service became free or were lent.
func (o *Holder) Notify(notify func(types.ServiceName)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notify = notify
}

// Run trades with the leaders until ctx ends. It always returns nil.
func (o *Holder) Run(ctx context.Context) error {
	return every.RunWoken(ctx, o.config.Clock, TickInterval, o.Tick, o.wakeup, o.Tick)
}

// Tick frees the slots in doubt whose time has passed and starts a call to each leader that is due one. It does not
// wait for the replies.
func (o *Holder) Tick(ctx context.Context) {
	freed := o.freeInDoubt()
	for _, s := range freed {
		o.notifyFreed(s)
	}
	for dc, leader := range o.config.LeaderOf() {
		if args := o.prepareTrade(dc, leader); args != nil {
			go o.callLeader(ctx, dc, leader, args)
		}
	}
}

// Trade calls each leader that is due a call and waits for the replies.
func (o *Holder) Trade(ctx context.Context) {
	var w sync.WaitGroup
	for dc, leader := range o.config.LeaderOf() {
		if args := o.prepareTrade(dc, leader); args != nil {
			w.Go(func() { o.callLeader(ctx, dc, leader, args) })
		}
	}
	w.Wait()
}

// Close returns every slot to its leader. It ends when none is left, when ctx ends, or after closeTimeout, because a
// leader may be unreachable.
func (o *Holder) Close(ctx context.Context) {
	o.mu.Lock()
	o.closing = true
	o.mu.Unlock()
	end := o.config.Clock.Now().Add(closeTimeout)
	for {
		o.makeAllCallsDue()
		o.Trade(ctx)
		if len(o.Shares()) == 0 || !o.config.Clock.Now().Before(end) || ctx.Err() != nil {
			return
		}
		o.config.Clock.Sleep(TickInterval)
	}
}

// makeAllCallsDue makes the next call to every leader due now.
func (o *Holder) makeAllCallsDue() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range o.leaders {
		l.nextCallAt = time.Time{}
	}
}

func (o *Holder) callLeader(ctx context.Context, dc types.DataCentre, leader Leader, args *TradeArgs) {
	limited, cancel := clockwork.WithTimeout(ctx, o.config.Clock, callTimeout)
	defer cancel()
	var reply TradeReply
	err := o.config.Peers.Call(limited, leader.Target, methodTrade, args, &reply)
	for _, service := range o.finishTrade(dc, args, &reply, err) {
		o.notifyFreed(service)
	}
}

func (o *Holder) notifyFreed(service types.ServiceName) {
	o.mu.Lock()
	notify := o.notify
	o.mu.Unlock()
	notify(service)
}

// prepareTrade returns the next call to a leader, or nil when none is due, one is in flight, or the leader is not the
// one that the entry follows.
func (o *Holder) prepareTrade(dc types.DataCentre, leader Leader) *TradeArgs {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.leaderOf(dc)
	if leader.Epoch == 0 || l.callInFlight || !o.acceptLeader(l, leader.Epoch, leader.Target.VM) {
		return nil
	}
	now := o.config.Clock.Now()
	returned := o.removeUnused(dc, l, now)
	wants, shortOfSlots := o.collectWants(dc, l)
	if len(returned) == 0 && !l.isDue(now, shortOfSlots) {
		return nil
	}
	l.callInFlight = true
	for _, w := range wants {
		l.sentWants[w.Service] = w.Slots
	}
	l.sequence++
	args := &TradeArgs{
		From: o.config.Self, DataCentre: dc, Epoch: l.epoch, Life: o.incarnation, Sequence: l.sequence,
		Full: l.mustStateAll, Shares: returned, Wants: wants,
	}
	for id := range l.refusing {
		args.Refusing = append(args.Refusing, id)
	}
	if l.mustStateAll {
		args.Shares = o.sharesOf(dc)
	}
	return args
}

// isDue reports whether the leader should be called now.
func (l *leaderState) isDue(now time.Time, shortOfSlots bool) bool {
	if shortOfSlots {
		// After a call ends, nextCallAt is TradeInterval later, so this is shortageBackoff after that call.
		return !now.Before(l.nextCallAt.Add(l.shortageBackoff - TradeInterval))
	}
	return l.mustStateAll || len(l.refusing) > 0 || !now.Before(l.nextCallAt)
}

// acceptLeader follows a leader with a later epoch; grants of an earlier leader are refused from then on. It returns
// false for an epoch that is over, and for a second daemon that leads under the same epoch. The caller must hold o.mu.
func (o *Holder) acceptLeader(l *leaderState, epoch types.Epoch, leader types.VMID) bool {
	if epoch < l.epoch || (epoch == l.epoch && leader != l.leader) {
		return false
	}
	if epoch > l.epoch {
		l.epoch, l.leader = epoch, leader
		l.mustStateAll = true
		l.nextCallAt = time.Time{}
		l.shortageBackoff = 0
		clear(l.recalled)
	}
	return true
}

// finishTrade ends the call in flight to a leader: it applies the reply or, after an error, has the next call state all
// that is held. It returns the services that gained slots.
func (o *Holder) finishTrade(dc types.DataCentre, args *TradeArgs, reply *TradeReply, err error) []types.ServiceName {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.leaderOf(dc)
	l.callInFlight = false
	now := o.config.Clock.Now()
	l.nextCallAt = now.Add(TradeInterval)
	if err == nil && reply.Epoch != l.epoch {
		err = errs.New(errs.Fenced, "reply has epoch %d, which is not the current epoch of the leader", reply.Epoch)
	}
	if err != nil {
		metrics.GetOrRegisterCounter("Lend.TradeFailures", o.config.Metrics).Inc(1)
		l.mustStateAll = true
		l.shortageBackoff = shortageInterval
		return nil
	}
	l.mustStateAll = false
	for _, id := range args.Refusing {
		delete(l.refusing, id)
	}
	return o.applyReply(dc, l, reply, now)
}

// applyReply applies a leader's reply and returns the services of its grants, which may repeat. The caller must hold
// o.mu.
func (o *Holder) applyReply(dc types.DataCentre, l *leaderState, reply *TradeReply, now time.Time) []types.ServiceName {
	var services []types.ServiceName
	for _, g := range reply.Grants {
		o.addGrant(dc, g, now)
		services = append(services, g.Upstream.Service)
	}
	l.shortageBackoff = min(shortageInterval, max(TickInterval, 2*l.shortageBackoff))
	if len(services) > 0 {
		l.shortageBackoff = TickInterval
	}
	clear(l.recalled)
	for _, w := range reply.Recall {
		l.recalled[w.Service] = w.Slots
	}
	for _, id := range reply.Barred {
		if r, ok := o.runners[id]; ok {
			r.barred = true
		}
	}
	return services
}

// holdings reports what is held to a new leader. The entry accepts no more grants of an earlier one from then on.
func (o *Holder) holdings(args *HoldingsArgs) (*HoldingsReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.leaderOf(args.DataCentre)
	if !o.acceptLeader(l, args.Epoch, args.Lead) {
		return nil, errs.New(errs.Fenced, "%s leads %s under epoch %d, not %s", l.leader, args.DataCentre, l.epoch, args.Lead)
	}
	return &HoldingsReply{Life: o.incarnation, Sequence: l.sequence, Shares: o.sharesOf(args.DataCentre)}, nil
}

// makeCallDue makes the next call to a leader due now.
func (o *Holder) makeCallDue(args *PokeArgs) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.leaderOf(args.DataCentre)
	if !o.acceptLeader(l, args.Epoch, args.Lead) {
		return errs.New(errs.Fenced, "%s leads %s under epoch %d, not %s", l.leader, args.DataCentre, l.epoch, args.Lead)
	}
	l.nextCallAt = time.Time{}
	o.wake()
	return nil
}

// sharesOf returns what is held of the runners of a data centre. The caller must hold o.mu.
func (o *Holder) sharesOf(dc types.DataCentre) []Share {
	out := []Share{}
	for id, r := range o.runners {
		if r.dataCentre == dc && r.slots > 0 {
			out = append(out, Share{Runner: id, Slots: r.slots, Connections: r.connections})
		}
	}
	return out
}

// leaderOf returns the state of a data centre's leader; it adds one when the data centre is not known. The caller must
// hold o.mu.
func (o *Holder) leaderOf(dc types.DataCentre) *leaderState {
	l, ok := o.leaders[dc]
	if !ok {
		l = &leaderState{
			mustStateAll: true,
			recalled:     make(map[types.ServiceName]int),
			refusing:     make(map[types.RunnerID]bool),
			sentWants:    make(map[types.ServiceName]int),
		}
		o.leaders[dc] = l
	}
	return l
}
