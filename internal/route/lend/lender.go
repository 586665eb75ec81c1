package lend

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

const (
	// DefaultListLag is how late the platform's list of VMs may show an entry.
	DefaultListLag = 5 * time.Second
	// DefaultLinger is how long the slots of an entry that is gone for good stay taken, for calls that it left behind.
	DefaultLinger = 10 * time.Second
	// refusedFor is how long a runner that refused an entry's call is lent to nobody.
	refusedFor = time.Minute
	firstEpoch = 1
)

type (
	// LenderConfig holds what a Lender needs.
	LenderConfig struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Peers   peer.Caller
		Audit   audit.Recorder
		Log     zerolog.Logger
		Metrics metrics.Registry
		// Upstreams returns the runners of this data centre.
		Upstreams func() []runner.Upstream
		// Entries returns every known entry of every data centre.
		Entries func() []peer.Target
		// Gone tells that a VM is gone for good: it will never send a call again.
		Gone func(vm types.VMID) bool
		// ListLag is how late Entries may show an entry; zero means DefaultListLag.
		ListLag time.Duration
		// Linger is how long slots of an entry that is gone stay taken; zero means DefaultLinger.
		Linger time.Duration
	}

	// Lender lends the slots of a data centre's runners while this daemon is its lead. It is safe for concurrent use.
	Lender struct {
		config LenderConfig

		mu      sync.Mutex
		active  bool
		epoch   types.Epoch
		began   time.Time
		poke    chan struct{}
		holders map[types.VMID]*holding
		runners map[types.RunnerID]*lent
	}

	// holding is what the lead knows of one entry.
	holding struct {
		target   peer.Target
		life     Life
		sequence uint64
		// settled tells that the entry has stated all that it holds under this epoch.
		settled bool
		shares  map[types.RunnerID]Share
		wants   map[types.ServiceName]int
		// held is the sum of the shares by service.
		held map[types.ServiceName]int
		// distance is how far the entry is from this data centre.
		distance Distance
		// goneAt is when the entry was first known to be gone for good.
		goneAt  time.Time
		pokedAt time.Time
		// ended tells that the holding is that of an earlier process of a VM that started anew.
		ended bool
	}

	// lent is what the lead knows of one runner.
	lent struct {
		up runner.Upstream
		// listed tells that the runner was among Upstreams at the last tick.
		listed bool
		// near and far are the slots that entries within the region and outside of it hold.
		near, far int
		// unheld counts slots that are known to be held by nobody.
		unheld       int
		refusedUntil time.Time
	}
)

// NewLender returns a lender that is not the lead.
func NewLender(c LenderConfig) *Lender {
	if c.ListLag == 0 {
		c.ListLag = DefaultListLag
	}
	if c.Linger == 0 {
		c.Linger = DefaultLinger
	}
	if c.Gone == nil {
		c.Gone = func(types.VMID) bool { return false }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Lender{config: c, poke: make(chan struct{}, 1)}
}

// Begin starts lending under the epoch, with a first question to every entry about what it holds.
func (l *Lender) Begin(ctx context.Context, epoch types.Epoch) {
	l.mu.Lock()
	l.active = true
	l.epoch = epoch
	l.began = l.config.Clock.Now()
	l.holders = make(map[types.VMID]*holding)
	l.runners = make(map[types.RunnerID]*lent)
	l.refresh()
	l.mu.Unlock()
	l.ask(ctx)
}

// End stops lending. Entries keep what they hold.
func (l *Lender) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = false
	l.holders = nil
	l.runners = nil
}

// Run refreshes the tables every tick until ctx ends.
func (l *Lender) Run(ctx context.Context) error {
	ticker := l.config.Clock.NewTicker(TradeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			l.Tick(ctx)
		case <-l.poke:
			l.pokeAll(ctx)
		}
	}
}

// Tick reads the lists of runners and entries and asks entries that have not answered yet.
func (l *Lender) Tick(ctx context.Context) {
	l.mu.Lock()
	if !l.active {
		l.mu.Unlock()
		return
	}
	l.refresh()
	l.mu.Unlock()
	l.ask(ctx)
}

// ask asks every entry that has not stated its holdings, all at once.
func (l *Lender) ask(ctx context.Context) {
	limited, cancel := clockwork.WithTimeout(ctx, l.config.Clock, callTimeout)
	defer cancel()
	targets, args := l.unsettled()
	var w sync.WaitGroup
	for _, target := range targets {
		w.Go(func() { l.askOne(limited, target, args) })
	}
	w.Wait()
}

func (l *Lender) unsettled() ([]peer.Target, HoldingsArgs) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []peer.Target
	for _, h := range l.holders {
		if !h.settled && h.goneAt.IsZero() {
			out = append(out, h.target)
		}
	}
	return out, HoldingsArgs{DataCentre: l.config.Self.Site.DataCentre, Epoch: l.epoch, Lead: l.config.Self.VM}
}

func (l *Lender) askOne(ctx context.Context, target peer.Target, args HoldingsArgs) {
	var reply HoldingsReply
	err := l.config.Peers.Call(ctx, target, methodHoldings, &args, &reply)
	if err == nil {
		err = reply.Check()
	}
	if err != nil {
		metrics.GetOrRegisterCounter("Lend.AskFailures", l.config.Metrics).Inc(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.holders[target.VM]
	if !l.active || l.epoch != args.Epoch || !ok || h.settled {
		return
	}
	h.life, h.sequence = reply.Life, reply.Sequence
	l.state(h, reply.Shares)
}

// state replaces what is known of an entry by its own full statement.
func (l *Lender) state(h *holding, shares []Share) {
	stated := make(map[types.RunnerID]Share, len(shares))
	for _, s := range shares {
		stated[s.Runner] = s
	}
	for id, before := range h.shares {
		if h.settled {
			l.runner(id).unheld += max(0, before.Slots-stated[id].Slots)
		}
		if _, ok := stated[id]; !ok {
			l.setShare(h, Share{Runner: id})
		}
	}
	for _, s := range stated {
		l.setShare(h, s)
	}
	h.settled = true
}

// setShare sets what one entry holds of one runner.
func (l *Lender) setShare(h *holding, s Share) {
	r := l.runner(s.Runner)
	more := s.Slots - h.shares[s.Runner].Slots
	if h.distance == Far {
		r.far += more
	} else {
		r.near += more
	}
	h.held[r.up.Service] += more
	if s.Slots == 0 {
		delete(h.shares, s.Runner)
		return
	}
	h.shares[s.Runner] = s
}

// runner returns the record of a runner, an unlisted one when it is not known.
func (l *Lender) runner(id types.RunnerID) *lent {
	r, ok := l.runners[id]
	if !ok {
		r = &lent{}
		l.runners[id] = r
	}
	return r
}

// refresh brings the tables up to the lists of runners and entries.
func (l *Lender) refresh() {
	now := l.config.Clock.Now()
	for _, r := range l.runners {
		r.listed = false
	}
	for _, up := range l.config.Upstreams() {
		l.list(up)
	}
	for _, target := range l.config.Entries() {
		l.holder(target)
	}
	for vm, h := range l.holders {
		l.retire(vm, h, now)
	}
	for id, r := range l.runners {
		if !r.listed && r.near+r.far == 0 {
			delete(l.runners, id)
		}
	}
}

// list takes over a runner from the list.
func (l *Lender) list(up runner.Upstream) {
	r := l.runner(up.ID)
	if before := r.up.Service; before != up.Service {
		for _, h := range l.holders {
			slots := h.shares[up.ID].Slots
			h.held[before] -= slots
			h.held[up.Service] += slots
		}
	}
	r.up, r.listed = up, true
}

// retire drops an entry that is gone for good, once the calls that it left behind have ended.
func (l *Lender) retire(vm types.VMID, h *holding, now time.Time) {
	if !h.ended && !l.config.Gone(vm) {
		h.goneAt = time.Time{}
		return
	}
	if h.goneAt.IsZero() {
		h.goneAt = now
	}
	if now.Sub(h.goneAt) < l.config.Linger {
		return
	}
	for id, s := range h.shares {
		l.runner(id).unheld += s.Slots
		l.setShare(h, Share{Runner: id})
	}
	delete(l.holders, vm)
	l.config.Log.Info().Str("VM", string(vm)).Msg("slots of a VM that is gone are free")
}

func (l *Lender) holder(target peer.Target) *holding {
	h, ok := l.holders[target.VM]
	if !ok {
		h = &holding{
			shares:   make(map[types.RunnerID]Share),
			wants:    make(map[types.ServiceName]int),
			held:     make(map[types.ServiceName]int),
			distance: distanceOf(l.config.Self.Site, target.Site),
		}
		l.holders[target.VM] = h
	}
	h.target = target
	return h
}

// trade takes back slots of one entry and lends it others.
func (l *Lender) trade(args *TradeArgs) (*TradeReply, error) {
	if err := args.Check(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active || args.Epoch != l.epoch || args.DataCentre != l.config.Self.Site.DataCentre {
		return nil, errs.New(errs.Fenced, "%s does not lend for %s under epoch %d", l.config.Self.VM, args.DataCentre, args.Epoch)
	}
	h := l.holder(args.From)
	if args.Full && h.life != 0 && args.Life > h.life {
		h = l.restart(h, args.From)
	}
	if err := l.take(h, args); err != nil {
		return nil, err
	}
	for _, w := range args.Wants {
		h.wants[w.Service] = w.Slots
	}
	l.noteRefusals(args.Refusing)
	return l.reply(h), nil
}

// restart sets aside what the earlier process of a VM held, until the calls that it left behind have ended.
func (l *Lender) restart(h *holding, target peer.Target) *holding {
	h.ended = true
	h.settled = true
	h.goneAt = l.config.Clock.Now()
	clear(h.wants)
	l.holders[types.VMID(fmt.Sprintf("%s@%d", target.VM, h.life))] = h
	delete(l.holders, target.VM)
	return l.holder(target)
}

// take applies what an entry states or gives back, unless the call is older than one that was already applied.
func (l *Lender) take(h *holding, args *TradeArgs) error {
	stale := args.Life < h.life || (args.Life == h.life && args.Sequence <= h.sequence)
	if stale {
		return errs.New(errs.Conflict, "a later call of %s was already applied", args.From.VM)
	}
	if !args.Full && (args.Life != h.life || args.Sequence != h.sequence+1 || !h.settled) {
		return errs.New(errs.Conflict, "the last call of %s did not arrive", args.From.VM)
	}
	h.life, h.sequence = args.Life, args.Sequence
	h.goneAt = time.Time{}
	if args.Full {
		l.state(h, args.Shares)
		return nil
	}
	for _, s := range args.Shares {
		l.takeBack(h, s)
	}
	return nil
}

func (l *Lender) takeBack(h *holding, back Share) {
	held := h.shares[back.Runner]
	slots := min(held.Slots, back.Slots)
	l.runner(back.Runner).unheld += slots
	l.setShare(h, Share{
		Runner:      back.Runner,
		Slots:       held.Slots - slots,
		Connections: held.Connections - min(held.Connections, back.Connections),
	})
}

func (l *Lender) noteRefusals(ids []types.RunnerID) {
	until := l.config.Clock.Now().Add(refusedFor)
	for _, id := range ids {
		if r, ok := l.runners[id]; ok {
			r.refusedUntil = until
		}
	}
}
