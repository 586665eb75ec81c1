// Package feed keeps a daemon's catalog up to date. A large catalog would fill the links between regions if each daemon
// read it from the store. So only a few daemons do, and the others fetch it from them, compressed and in parts.
//
// Each daemon has sources, in order of preference: the heads of its data centre, and for those the heads of the leader's
// data centre. A daemon without a usable source reads the store. A source tells how long ago the store is known to have
// had no newer catalog, so that a daemon notices sources that are cut off or stand still, whatever the way in between.
package feed

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
	"github.com/magnoliawalk/magnoliawalk/internal/core/uptime"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	// ageDivisor gives the largest age of a source's knowledge as a part of ApplyTimeout: the rest is for fetching a new
	// catalog from the store when the sources fail.
	ageDivisor = 2
	// waitDivisor gives the time that a source or the store waits for a new catalog before it answers, as a part of the
	// largest age. Knowledge passes two daemons at most, and must not be too old after that.
	waitDivisor = 4
	// confirmationWaitDivisor sets the longest wait of a poll, as a part of the greatest age of a confirmation. A daemon that
	// gets the catalog through two others then has a confirmation of at most half the greatest age.
	confirmationWaitDivisor = 8
	// shortWaitDivisor gives the wait of a daemon whose knowledge is old, as a part of the usual one.
	shortWaitDivisor = 8
	// failureBackoff is how long a source that failed is not used, staleBackoff one that fell behind.
	failureBackoff = 5 * time.Second
	staleBackoff   = time.Second
	// retryBackoff is the pause after a failed read of the store.
	retryBackoff = 150 * time.Millisecond
	// membersTimeout is how long a daemon that starts waits for the list of members before it reads the store.
	membersTimeout = 300 * time.Millisecond
	// membersInterval is how often it looks for them meanwhile.
	membersInterval = 20 * time.Millisecond
)

type (
	// Position is a place in the history of the store after which its next catalog is read; zero means the beginning.
	Position uint64

	// Request asks an Origin for a catalog that is newer than a position. The origin waits for one for at most Wait, and
	// calls OnProgress whenever a part of its answer arrives.
	Request struct {
		After      Position
		Wait       time.Duration
		OnProgress func()
	}

	// Update is the answer of an Origin. Catalog is nil when there is no newer one.
	Update struct {
		Catalog  *specs.Catalog
		Position Position
		// Lagging means that the answer shows a state of the store before the position that was asked for. It does not tell
		// whether there is a newer catalog.
		Lagging bool
	}

	// Origin is the store that the operator writes the catalog to.
	Origin interface {
		Next(ctx context.Context, r Request) (Update, error)
	}

	// Config holds the dependencies and settings of a Feed.
	Config struct {
		Self   peer.Target
		Origin Origin
		Peers  peer.Caller
		// Members returns the daemons that are alive, the strongest first.
		Members func() []elect.Member
		// Leader returns the daemon that leads, or false when none is known.
		Leader func() (elect.Leader, bool)
		// Apply puts a catalog in force that is newer than all before it.
		Apply func(*specs.Catalog)
		Clock clockwork.Clock
		// MaxConfirmationAge returns how old the confirmation of the catalog may be, or 0 for any age. It may be nil, which means
		// any age.
		MaxConfirmationAge func() time.Duration
		// Uptime is a clock that counts the time that the VM is suspended. It dates confirmations.
		Uptime  uptime.Clock
		Log     zerolog.Logger
		Metrics metrics.Registry
		// ApplyTimeout is the time within which a new catalog should be in force.
		ApplyTimeout time.Duration
		// LinkRate is the bandwidth of this VM's network link, in bytes per second.
		LinkRate float64
	}

	// Feed is one daemon's part in the distribution of the catalog. It is safe for concurrent use.
	Feed struct {
		config   Config
		counters counters
		pacer    pacer
		maxAge   time.Duration
		wait     time.Duration
		// fetching limits the fetches from other daemons to one at a time.
		fetching sync.Mutex

		mu sync.Mutex
		// document holds the catalog in force; nil before the first one.
		document *document
		// changed is closed when there is a newer document, and then replaced.
		changed  chan struct{}
		position Position
		// confirmedAt is the latest time at which the store is known to have had no newer catalog. It begins as the time of
		// the start, so that the sources have some time to read their first catalog.
		confirmedAt  time.Time
		confirmation confirmation
		// receivingSince is when a catalog began to arrive, here or at the source; zero while none arrives. The last part
		// arrived at progressAt.
		receivingSince time.Time
		progressAt     time.Time
		// unusableUntil holds the sources in backoff.
		unusableUntil map[types.VMID]time.Time
		// source is the daemon that was last followed; empty for the store.
		source types.VMID
	}

	counters struct {
		// age is how long ago the store is known to have had no newer catalog, in milliseconds.
		age metrics.Gauge
		// fetched is the size of the last fetch from another daemon, in bytes.
		fetched    metrics.Gauge
		fetches    metrics.Timer
		givenUp    metrics.Counter
		storeReads metrics.Counter
	}
)

// New returns a Feed that follows the catalog once Run is called.
func New(c Config) *Feed {
	maxAge := c.ApplyTimeout / ageDivisor
	f := &Feed{
		config: c, maxAge: maxAge, wait: maxAge / waitDivisor,
		pacer: pacer{clock: c.Clock, rate: c.LinkRate / linkShareDivisor},
		// A daemon may be polled before it runs, and must not be left as one that has fallen behind.
		confirmedAt: c.Clock.Now(),
		changed:     make(chan struct{}), unusableUntil: make(map[types.VMID]time.Time),
		counters: counters{
			age:        metrics.GetOrRegisterGauge("Catalog.AgeMs", c.Metrics),
			fetched:    metrics.GetOrRegisterGauge("Catalog.FetchedBytes", c.Metrics),
			fetches:    metrics.GetOrRegisterTimer("Catalog.Fetch", c.Metrics),
			givenUp:    metrics.GetOrRegisterCounter("Catalog.GivenUp", c.Metrics),
			storeReads: metrics.GetOrRegisterCounter("Catalog.StoreReads", c.Metrics),
		},
	}
	c.Metrics.GetOrRegister("Access.AgeMs", metrics.NewFunctionalGauge(f.confirmationAgeMs))
	return f
}

// confirmationAgeMs returns the age of the confirmation in milliseconds, or -1 when there is none.
func (f *Feed) confirmationAgeMs() int64 {
	_, c := f.Confirmation()
	if !c.Known {
		return -1
	}
	return c.Age.Milliseconds()
}

// Run follows the catalog until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	f.confirm(0, f.config.Clock.Now())
	f.awaitMembers(ctx)
	for ctx.Err() == nil {
		if target, ok := f.usableSource(); ok {
			f.noteSource(target.VM)
			f.followPeer(ctx, target)
		} else {
			f.noteSource("")
			f.followStore(ctx)
		}
		f.counters.age.Update(f.age().Milliseconds())
	}
}

// awaitMembers waits until members are known, since a daemon that starts among others should fetch from them.
func (f *Feed) awaitMembers(ctx context.Context) {
	began := f.config.Clock.Now()
	for ctx.Err() == nil && len(f.config.Members()) == 0 && f.config.Clock.Since(began) < membersTimeout {
		every.Sleep(ctx, f.config.Clock, membersInterval)
	}
}

// usableSource returns the first source that is not in backoff, or false when the store is to be read.
func (f *Feed) usableSource() (peer.Target, bool) {
	leader, _ := f.config.Leader()
	candidates := sources(f.config.Self, leader.Target, f.config.Members())
	now := f.config.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range candidates {
		if !now.Before(f.unusableUntil[c.VM]) {
			return c, true
		}
	}
	return peer.Target{}, false
}

// noteSource logs a change of the source; an empty VM stands for the store.
func (f *Feed) noteSource(vm types.VMID) {
	f.mu.Lock()
	changed := f.source != vm
	f.source = vm
	f.mu.Unlock()
	if changed {
		f.config.Log.Info().Str("Source", string(vm)).Dur("Age", f.age()).Msg("following the catalog of another source; none means the store")
	}
}

// followStore waits for a newer catalog in the store.
func (f *Feed) followStore(ctx context.Context) {
	f.mu.Lock()
	after := f.position
	f.mu.Unlock()
	wait := f.nextWait()
	sentAt, sentAtUptime := f.config.Clock.Now(), f.config.Uptime()
	f.counters.storeReads.Inc(1)
	update, err := f.config.Origin.Next(ctx, Request{After: after, Wait: wait, OnProgress: f.noteProgress})
	if err != nil {
		f.noteReceiving(false)
		f.config.Log.Debug().Err(err).Msg("reading the catalog from the store failed; retrying after the backoff")
		every.Sleep(ctx, f.config.Clock, retryBackoff)
		return
	}
	confirmedAt := sentAt
	if update.Catalog == nil && after != 0 {
		// The store answers without a catalog only after it has waited.
		confirmedAt = earlier(sentAt.Add(wait), f.config.Clock.Now())
	}
	// A catalog that took long to arrive counts as arriving until the store confirms that it is the newest.
	f.noteReceiving(update.Catalog != nil)
	if update.Catalog != nil {
		f.install(&document{catalog: update.Catalog}, update.Position)
	}
	f.confirm(update.Position, confirmedAt)
	f.confirmFromStore(update, after, sentAtUptime)
}

// followPeer waits for a newer catalog at another daemon, and fetches it.
func (f *Feed) followPeer(ctx context.Context, target peer.Target) {
	known := f.Version()
	sentAtUptime := f.config.Uptime()
	reply, sentAt, err := f.poll(ctx, target, known)
	isNewer := err == nil && reply.Version > known
	if isNewer {
		err = f.fetch(ctx, target, reply)
	}
	if ctx.Err() != nil || errs.Is(err, errs.NotFound) {
		// The source has a newer catalog already, which the next poll finds.
		return
	}
	if err != nil {
		f.noteReceiving(false)
		f.avoid(target, failureBackoff, err.Error())
		return
	}
	f.noteReceiving(reply.Receiving || isNewer)
	if reply.Version >= known && reply.Version != 0 {
		f.confirm(reply.Position, sentAt.Add(reply.Waited-reply.Age))
		f.adoptPolled(reply, sentAtUptime)
	}
	// A source with old knowledge answers at once. It is left even if this daemon has younger knowledge from elsewhere.
	if isStale := max(f.age(), reply.Age) > f.maxAge; !isNewer && !reply.Receiving && isStale {
		f.avoid(target, staleBackoff, "its knowledge of the store is too old")
	}
}

// nextWait returns how long to wait for a newer catalog. The wait is short when the knowledge of the store grows old, for
// example after a long transfer, so that it is soon confirmed. It is short before the first catalog, too: daemons that start at the
// same time know few members yet, and may wait for one another while none of them reads the store.
func (f *Feed) nextWait() time.Duration {
	short := f.wait / shortWaitDivisor
	if f.age() > f.maxAge/2 || f.Version() == 0 {
		return short
	}
	if maxAge := f.maxConfirmationAge(); maxAge > 0 {
		return max(min(f.wait, maxAge/confirmationWaitDivisor), short)
	}
	return f.wait
}

// maxConfirmationAge returns how old the confirmation may be, or 0 for any age, as while the catalog requires no keys.
func (f *Feed) maxConfirmationAge() time.Duration {
	f.mu.Lock()
	needsKeys := f.document != nil && f.document.catalog.NeedsKeys
	f.mu.Unlock()
	if !needsKeys || f.config.MaxConfirmationAge == nil {
		return 0
	}
	return f.config.MaxConfirmationAge()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
