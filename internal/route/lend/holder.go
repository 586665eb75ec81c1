package lend

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

type (
	// HolderConfig holds what a Holder needs.
	HolderConfig struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Peers   peer.Caller
		Audit   audit.Recorder
		Log     zerolog.Logger
		Metrics metrics.Registry
		// Leads returns the lead of each data centre that is known.
		Leads func() map[types.DataCentre]Lead
	}

	// Holder keeps the slots that were lent to this entry and chooses among them. It is safe for concurrent use.
	Holder struct {
		config      HolderConfig
		incarnation Life

		mu       sync.Mutex
		leaders  map[types.DataCentre]*leaderState
		runners  map[types.RunnerID]*heldRunner
		services map[types.ServiceName]*pool
		inDoubt  []inDoubtSlot
		closing  bool
		notify   func(types.ServiceName)
		wakeup   chan struct{}
	}

	// leaderState is what an entry knows of the lead of one data centre.
	leaderState struct {
		// epoch is the highest epoch seen; grants of lower ones are refused.
		epoch types.Epoch
		// leader is the one daemon whose grants are taken under the epoch.
		leader   types.VMID
		sequence uint64
		// mustStateAll tells that the next call must state all that is held.
		mustStateAll bool
		callInFlight bool
		// nextCallAt is when the lead is called even if there is nothing to say.
		nextCallAt time.Time
		// shortageBackoff is the pause between calls that asked for slots and got none.
		shortageBackoff time.Duration
		recalled        map[types.ServiceName]int
		refusing        map[types.RunnerID]bool
		sentWants       map[types.ServiceName]int
	}
)

// NewHolder returns a holder without slots.
func NewHolder(c HolderConfig) *Holder {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Holder{
		config:      c,
		incarnation: Life(c.Clock.Now().UnixNano()),
		leaders:     make(map[types.DataCentre]*leaderState),
		runners:     make(map[types.RunnerID]*heldRunner),
		services:    make(map[types.ServiceName]*pool),
		notify:      func(types.ServiceName) {},
		wakeup:      make(chan struct{}, 1),
	}
}

// Notify sets what is called, without any lock held, when slots of a service became free.
func (o *Holder) Notify(notify func(types.ServiceName)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notify = notify
}

// Run trades with the leads until ctx ends.
func (o *Holder) Run(ctx context.Context) error {
	ticker := o.config.Clock.NewTicker(TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-o.wakeup:
		}
		o.Tick(ctx)
	}
}

// Tick calls each lead that there is something to say to, and returns without waiting for the slow ones.
func (o *Holder) Tick(ctx context.Context) {
	freed := o.freeInDoubt()
	for _, s := range freed {
		o.notifyFreed(s)
	}
	for dc, leader := range o.config.Leads() {
		if args := o.prepareTrade(dc, leader); args != nil {
			go o.callLeader(ctx, dc, leader, args)
		}
	}
}

// Trade calls each lead that there is something to say to and waits for the answers.
func (o *Holder) Trade(ctx context.Context) {
	var w sync.WaitGroup
	for dc, leader := range o.config.Leads() {
		if args := o.prepareTrade(dc, leader); args != nil {
			w.Go(func() { o.callLeader(ctx, dc, leader, args) })
		}
	}
	w.Wait()
}

// Close gives back every slot. It returns when none is left, or after a time when a lead cannot be reached.
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
		o.config.Clock.Sleep(TickEvery)
	}
}

// makeAllCallsDue makes the next call to every lead due.
func (o *Holder) makeAllCallsDue() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range o.leaders {
		l.nextCallAt = time.Time{}
	}
}

func (o *Holder) callLeader(ctx context.Context, dc types.DataCentre, leader Lead, args *TradeArgs) {
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

// prepareTrade returns the next call to a lead, or nil when there is nothing to say yet.
func (o *Holder) prepareTrade(dc types.DataCentre, leader Lead) *TradeArgs {
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

// isDue tells whether the lead should be called now.
func (l *leaderState) isDue(now time.Time, shortOfSlots bool) bool {
	if shortOfSlots {
		return !now.Before(l.nextCallAt.Add(l.shortageBackoff - TradeEvery))
	}
	return l.mustStateAll || len(l.refusing) > 0 || !now.Before(l.nextCallAt)
}

// acceptLeader notes a later epoch; whatever an earlier lead still lends is refused from now on. It returns false for an
// epoch that is over, and for a second daemon that leads under the same epoch.
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

// finishTrade takes over what a lead lent. It returns the services that have more slots now.
func (o *Holder) finishTrade(dc types.DataCentre, args *TradeArgs, reply *TradeReply, err error) []types.ServiceName {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.leaderOf(dc)
	l.callInFlight = false
	now := o.config.Clock.Now()
	l.nextCallAt = now.Add(TradeEvery)
	if err == nil && reply.Epoch != l.epoch {
		err = errs.New(errs.Fenced, "reply of epoch %d", reply.Epoch)
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

func (o *Holder) applyReply(dc types.DataCentre, l *leaderState, reply *TradeReply, now time.Time) []types.ServiceName {
	var services []types.ServiceName
	for _, g := range reply.Grants {
		o.addGrant(dc, g, now)
		services = append(services, g.Upstream.Service)
	}
	l.shortageBackoff = min(shortageInterval, max(TickEvery, 2*l.shortageBackoff))
	if len(services) > 0 {
		l.shortageBackoff = TickEvery
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

// holdings answers a new lead. The entry takes no more grants of an earlier one from now on.
func (o *Holder) holdings(args *HoldingsArgs) (*HoldingsReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.leaderOf(args.DataCentre)
	if !o.acceptLeader(l, args.Epoch, args.Lead) {
		return nil, errs.New(errs.Fenced, "%s leads %s under epoch %d, not %s", l.leader, args.DataCentre, l.epoch, args.Lead)
	}
	return &HoldingsReply{Life: o.incarnation, Sequence: l.sequence, Shares: o.sharesOf(args.DataCentre)}, nil
}

// makeCallDue makes the next call to a lead due.
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

func (o *Holder) sharesOf(dc types.DataCentre) []Share {
	out := []Share{}
	for id, r := range o.runners {
		if r.dataCentre == dc && r.slots > 0 {
			out = append(out, Share{Runner: id, Slots: r.slots, Connections: r.connections})
		}
	}
	return out
}

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
