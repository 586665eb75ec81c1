package lend

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

const (
	// DefaultListLag is how long the platform's list of VMs may take to show a new entry.
	DefaultListLag = 5 * time.Second
	// DefaultReclaimDelay is how long the slots of an entry that is gone for good stay taken, because calls that it
	// left behind may still run.
	DefaultReclaimDelay = 10 * time.Second
	// refusalQuarantine is how long no slots of a runner are lent after it refused an entry's call.
	refusalQuarantine = time.Minute
	// firstEpoch has no earlier leader, so no slots were lent before it.
	firstEpoch = 1
)

type (
	// LenderConfig holds the settings and dependencies of a Lender.
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
		// Gone reports whether a VM is gone for good, so that it will never send a call again.
		Gone func(vm types.VMID) bool
		// ListLag is how long Entries may take to show a new entry; zero means DefaultListLag.
		ListLag time.Duration
		// ReclaimDelay is how long the slots of an entry that is gone stay taken; zero means DefaultReclaimDelay.
		ReclaimDelay time.Duration
	}

	// Lender lends the slots of a data centre's runners while this daemon is its leader. It is safe for concurrent use.
	Lender struct {
		config LenderConfig

		mu      sync.Mutex
		active  bool
		epoch   types.Epoch
		beganAt time.Time
		notify  chan struct{}
		holders map[types.VMID]*holderState
		runners map[types.RunnerID]*lentRunner
	}

	// holderState is what the leader knows of one entry.
	holderState struct {
		target      peer.Target
		incarnation Incarnation
		sequence    uint64
		// synced means that the entry has stated all that it holds under this epoch.
		synced bool
		shares map[types.RunnerID]Share
		wants  map[types.ServiceName]int
		// held is the sum of the shares by service.
		held map[types.ServiceName]int
		// distance is how far the entry is from this data centre.
		distance Distance
		// goneAt is when the entry was first known to be gone for good; zero while it is not.
		goneAt     time.Time
		notifiedAt time.Time
		// superseded means that the shares are those of an earlier process of a VM that has restarted.
		superseded bool
	}

	// lentRunner is what the leader knows of one runner.
	lentRunner struct {
		upstream runner.Upstream
		// listed means that the runner was among Upstreams at the last tick.
		listed bool
		// heldNear and heldFar are the slots held by entries within the region and outside of it.
		heldNear, heldFar int
		// knownFree counts slots that are known to be held by nobody.
		knownFree int
		// refusedUntil is the end of the quarantine after a refused call.
		refusedUntil time.Time
	}
)

// NewLender returns a lender that lends nothing before Begin.
func NewLender(c LenderConfig) *Lender {
	if c.ListLag == 0 {
		c.ListLag = DefaultListLag
	}
	if c.ReclaimDelay == 0 {
		c.ReclaimDelay = DefaultReclaimDelay
	}
	if c.Gone == nil {
		c.Gone = func(types.VMID) bool { return false }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Lender{config: c, notify: make(chan struct{}, 1)}
}

// Begin starts lending under the epoch. It asks every entry once what it holds and waits for the replies, at most
// callTimeout.
func (l *Lender) Begin(ctx context.Context, epoch types.Epoch) {
	l.mu.Lock()
	l.active = true
	l.epoch = epoch
	l.beganAt = l.config.Clock.Now()
	l.holders = make(map[types.VMID]*holderState)
	l.runners = make(map[types.RunnerID]*lentRunner)
	l.refreshTables()
	l.mu.Unlock()
	l.requestHoldings(ctx)
}

// End stops lending. Entries keep what they hold.
func (l *Lender) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = false
	l.holders = nil
	l.runners = nil
}

// Run calls Tick once per TradeInterval and notifies entries on request until ctx ends. It always returns nil.
func (l *Lender) Run(ctx context.Context) error {
	return every.RunWoken(ctx, l.config.Clock, TradeInterval, l.Tick, l.notify, l.notifyHolders)
}

// Tick reads the lists of runners and entries, and asks the entries that have not stated yet what they hold. It does
// nothing while this daemon is not the leader.
func (l *Lender) Tick(ctx context.Context) {
	l.mu.Lock()
	if !l.active {
		l.mu.Unlock()
		return
	}
	l.refreshTables()
	l.mu.Unlock()
	l.requestHoldings(ctx)
}

// requestHoldings asks in parallel every entry that has not stated yet what it holds.
func (l *Lender) requestHoldings(ctx context.Context) {
	limited, cancel := clockwork.WithTimeout(ctx, l.config.Clock, callTimeout)
	defer cancel()
	targets, args := l.unsyncedHolders()
	var w sync.WaitGroup
	for _, target := range targets {
		w.Go(func() { l.requestHoldingsOf(limited, target, args) })
	}
	w.Wait()
}

func (l *Lender) unsyncedHolders() ([]peer.Target, HoldingsArgs) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []peer.Target
	for _, h := range l.holders {
		if !h.synced && h.goneAt.IsZero() {
			out = append(out, h.target)
		}
	}
	return out, HoldingsArgs{DataCentre: l.config.Self.Site.DataCentre, Epoch: l.epoch, Lead: l.config.Self.VM}
}

func (l *Lender) requestHoldingsOf(ctx context.Context, target peer.Target, args HoldingsArgs) {
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
	if !l.active || l.epoch != args.Epoch || !ok || h.synced {
		return
	}
	h.incarnation, h.sequence = reply.Life, reply.Sequence
	l.replaceShares(h, reply.Shares)
}

// replaceShares replaces the known shares of an entry by its own full statement. Slots that it held before and no
// longer states are free, provided that its earlier shares were complete. The caller must hold l.mu.
func (l *Lender) replaceShares(h *holderState, shares []Share) {
	stated := make(map[types.RunnerID]Share, len(shares))
	for _, s := range shares {
		stated[s.Runner] = s
	}
	for id, before := range h.shares {
		if h.synced {
			l.runnerFor(id).knownFree += max(0, before.Slots-stated[id].Slots)
		}
		if _, ok := stated[id]; !ok {
			l.setShare(h, Share{Runner: id})
		}
	}
	for _, s := range stated {
		l.setShare(h, s)
	}
	h.synced = true
}

// setShare sets what one entry holds of one runner. The caller must hold l.mu.
func (l *Lender) setShare(h *holderState, s Share) {
	r := l.runnerFor(s.Runner)
	delta := s.Slots - h.shares[s.Runner].Slots
	if h.distance == Far {
		r.heldFar += delta
	} else {
		r.heldNear += delta
	}
	h.held[r.upstream.Service] += delta
	if s.Slots == 0 {
		delete(h.shares, s.Runner)
		return
	}
	h.shares[s.Runner] = s
}

// runnerFor returns the record of a runner; it adds an unlisted one when the runner is not known. The caller must hold
// l.mu.
func (l *Lender) runnerFor(id types.RunnerID) *lentRunner {
	r, ok := l.runners[id]
	if !ok {
		r = &lentRunner{}
		l.runners[id] = r
	}
	return r
}

// refreshTables updates the tables from the lists of runners and entries. The caller must hold l.mu.
func (l *Lender) refreshTables() {
	now := l.config.Clock.Now()
	for _, r := range l.runners {
		r.listed = false
	}
	for _, up := range l.config.Upstreams() {
		l.listRunner(up)
	}
	for _, target := range l.config.Entries() {
		l.holderFor(target)
	}
	for vm, h := range l.holders {
		l.removeIfGone(vm, h, now)
	}
	for id, r := range l.runners {
		if !r.listed && r.heldNear+r.heldFar == 0 {
			delete(l.runners, id)
		}
	}
}

// listRunner updates a runner from the list. When its service changed, the slots held of it count for the new one. The
// caller must hold l.mu.
func (l *Lender) listRunner(up runner.Upstream) {
	r := l.runnerFor(up.ID)
	if before := r.upstream.Service; before != up.Service {
		for _, h := range l.holders {
			slots := h.shares[up.ID].Slots
			h.held[before] -= slots
			h.held[up.Service] += slots
		}
	}
	r.upstream, r.listed = up, true
}

// removeIfGone removes an entry that is gone for good, or the earlier process of one that restarted, after
// ReclaimDelay, when the calls that it left behind have ended. The caller must hold l.mu.
func (l *Lender) removeIfGone(vm types.VMID, h *holderState, now time.Time) {
	if !h.superseded && !l.config.Gone(vm) {
		h.goneAt = time.Time{}
		return
	}
	if h.goneAt.IsZero() {
		h.goneAt = now
	}
	if now.Sub(h.goneAt) < l.config.ReclaimDelay {
		return
	}
	for id, s := range h.shares {
		l.runnerFor(id).knownFree += s.Slots
		l.setShare(h, Share{Runner: id})
	}
	delete(l.holders, vm)
	l.config.Log.Info().Str("VM", string(vm)).Msg("VM is gone or was restarted and its last calls have ended; lending its slots again")
}

// holderFor returns the record of an entry; it adds one when the entry is not known. The caller must hold l.mu.
func (l *Lender) holderFor(target peer.Target) *holderState {
	h, ok := l.holders[target.VM]
	if !ok {
		h = &holderState{
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
