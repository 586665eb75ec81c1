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
		config HolderConfig
		life   Life

		mu       sync.Mutex
		lenders  map[types.DataCentre]*lender
		runners  map[types.RunnerID]*held
		services map[types.ServiceName]*pool
		settling []settling
		closing  bool
		notify   func(types.ServiceName)
		kick     chan struct{}
	}

	// lender is what an entry knows of the lead of one data centre.
	lender struct {
		// epoch is the highest epoch seen; grants of lower ones are refused.
		epoch types.Epoch
		// lead is the one daemon whose grants are taken under the epoch.
		lead     types.VMID
		sequence uint64
		// full tells that the next call must state all that is held.
		full    bool
		calling bool
		// next is when the lead is called even if there is nothing to say.
		next time.Time
		// wait is the pause between calls that asked for slots and got none.
		wait     time.Duration
		owed     map[types.ServiceName]int
		refusing map[types.RunnerID]bool
		wanted   map[types.ServiceName]int
	}
)

// NewHolder returns a holder without slots.
func NewHolder(c HolderConfig) *Holder {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Holder{
		config:   c,
		life:     Life(c.Clock.Now().UnixNano()),
		lenders:  make(map[types.DataCentre]*lender),
		runners:  make(map[types.RunnerID]*held),
		services: make(map[types.ServiceName]*pool),
		notify:   func(types.ServiceName) {},
		kick:     make(chan struct{}, 1),
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
		case <-o.kick:
		}
		o.Tick(ctx)
	}
}

// Tick calls each lead that there is something to say to, and returns without waiting for the slow ones.
func (o *Holder) Tick(ctx context.Context) {
	freed := o.settle()
	for _, s := range freed {
		o.notifyOf(s)
	}
	for dc, lead := range o.config.Leads() {
		if args := o.prepare(dc, lead); args != nil {
			go o.call(ctx, dc, lead, args)
		}
	}
}

// Trade calls each lead that there is something to say to and waits for the answers.
func (o *Holder) Trade(ctx context.Context) {
	var w sync.WaitGroup
	for dc, lead := range o.config.Leads() {
		if args := o.prepare(dc, lead); args != nil {
			w.Go(func() { o.call(ctx, dc, lead, args) })
		}
	}
	w.Wait()
}

// Close gives back every slot. It returns when none is left, or after a time when a lead cannot be reached.
func (o *Holder) Close(ctx context.Context) {
	o.mu.Lock()
	o.closing = true
	o.mu.Unlock()
	end := o.config.Clock.Now().Add(closeWithin)
	for {
		o.makeDue()
		o.Trade(ctx)
		if len(o.Shares()) == 0 || !o.config.Clock.Now().Before(end) || ctx.Err() != nil {
			return
		}
		o.config.Clock.Sleep(TickEvery)
	}
}

// makeDue makes the next call to every lead due.
func (o *Holder) makeDue() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range o.lenders {
		l.next = time.Time{}
	}
}

func (o *Holder) call(ctx context.Context, dc types.DataCentre, lead Lead, args *TradeArgs) {
	limited, cancel := clockwork.WithTimeout(ctx, o.config.Clock, callTimeout)
	defer cancel()
	var reply TradeReply
	err := o.config.Peers.Call(limited, lead.Target, methodTrade, args, &reply)
	for _, service := range o.apply(dc, args, &reply, err) {
		o.notifyOf(service)
	}
}

func (o *Holder) notifyOf(service types.ServiceName) {
	o.mu.Lock()
	notify := o.notify
	o.mu.Unlock()
	notify(service)
}

// prepare returns the next call to a lead, or nil when there is nothing to say yet.
func (o *Holder) prepare(dc types.DataCentre, lead Lead) *TradeArgs {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lender(dc)
	if lead.Epoch == 0 || l.calling || !o.follow(l, lead.Epoch, lead.Target.VM) {
		return nil
	}
	now := o.config.Clock.Now()
	back := o.surplus(dc, l, now)
	wants, hungry := o.wants(dc, l)
	if len(back) == 0 && !l.due(now, hungry) {
		return nil
	}
	l.calling = true
	for _, w := range wants {
		l.wanted[w.Service] = w.Slots
	}
	l.sequence++
	args := &TradeArgs{
		From: o.config.Self, DataCentre: dc, Epoch: l.epoch, Life: o.life, Sequence: l.sequence,
		Full: l.full, Shares: back, Wants: wants,
	}
	for id := range l.refusing {
		args.Refusing = append(args.Refusing, id)
	}
	if l.full {
		args.Shares = o.sharesOf(dc)
	}
	return args
}

// due tells whether the lead should be called now.
func (l *lender) due(now time.Time, hungry bool) bool {
	if hungry {
		return !now.Before(l.next.Add(l.wait - TradeEvery))
	}
	return l.full || len(l.refusing) > 0 || !now.Before(l.next)
}

// follow notes a later epoch; whatever an earlier lead still lends is refused from now on. It returns false for an
// epoch that is over, and for a second daemon that leads under the same epoch.
func (o *Holder) follow(l *lender, epoch types.Epoch, lead types.VMID) bool {
	if epoch < l.epoch || (epoch == l.epoch && lead != l.lead) {
		return false
	}
	if epoch > l.epoch {
		l.epoch, l.lead = epoch, lead
		l.full = true
		l.next = time.Time{}
		l.wait = 0
		clear(l.owed)
	}
	return true
}

// apply takes over what a lead lent. It returns the services that have more slots now.
func (o *Holder) apply(dc types.DataCentre, args *TradeArgs, reply *TradeReply, err error) []types.ServiceName {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lender(dc)
	l.calling = false
	now := o.config.Clock.Now()
	l.next = now.Add(TradeEvery)
	if err == nil && reply.Epoch != l.epoch {
		err = errs.New(errs.Fenced, "reply of epoch %d", reply.Epoch)
	}
	if err != nil {
		metrics.GetOrRegisterCounter("Lend.TradeFailures", o.config.Metrics).Inc(1)
		l.full = true
		l.wait = hungryEvery
		return nil
	}
	l.full = false
	for _, id := range args.Refusing {
		delete(l.refusing, id)
	}
	return o.takeOver(dc, l, reply, now)
}

func (o *Holder) takeOver(dc types.DataCentre, l *lender, reply *TradeReply, now time.Time) []types.ServiceName {
	var grown []types.ServiceName
	for _, g := range reply.Grants {
		o.add(dc, g, now)
		grown = append(grown, g.Upstream.Service)
	}
	l.wait = min(hungryEvery, max(TickEvery, 2*l.wait))
	if len(grown) > 0 {
		l.wait = TickEvery
	}
	clear(l.owed)
	for _, w := range reply.Recall {
		l.owed[w.Service] = w.Slots
	}
	for _, id := range reply.Barred {
		if r, ok := o.runners[id]; ok {
			r.barred = true
		}
	}
	return grown
}

// holdings answers a new lead. The entry takes no more grants of an earlier one from now on.
func (o *Holder) holdings(args *HoldingsArgs) (*HoldingsReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lender(args.DataCentre)
	if !o.follow(l, args.Epoch, args.Lead) {
		return nil, errs.New(errs.Fenced, "%s leads %s under epoch %d, not %s", l.lead, args.DataCentre, l.epoch, args.Lead)
	}
	return &HoldingsReply{Life: o.life, Sequence: l.sequence, Shares: o.sharesOf(args.DataCentre)}, nil
}

// poked makes the next call to a lead due.
func (o *Holder) poked(args *PokeArgs) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lender(args.DataCentre)
	if !o.follow(l, args.Epoch, args.Lead) {
		return errs.New(errs.Fenced, "%s leads %s under epoch %d, not %s", l.lead, args.DataCentre, l.epoch, args.Lead)
	}
	l.next = time.Time{}
	o.wake()
	return nil
}

func (o *Holder) sharesOf(dc types.DataCentre) []Share {
	out := []Share{}
	for id, r := range o.runners {
		if r.lender == dc && r.slots > 0 {
			out = append(out, Share{Runner: id, Slots: r.slots, Connections: r.connections})
		}
	}
	return out
}

func (o *Holder) lender(dc types.DataCentre) *lender {
	l, ok := o.lenders[dc]
	if !ok {
		l = &lender{
			full:     true,
			owed:     make(map[types.ServiceName]int),
			refusing: make(map[types.RunnerID]bool),
			wanted:   make(map[types.ServiceName]int),
		}
		o.lenders[dc] = l
	}
	return l
}
