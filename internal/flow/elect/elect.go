// Package elect finds the daemons of the system in the platform's store and settles which of them leads.
//
// The lead's key lies under its lease, so that a dead lead is noticed; what makes it lead is the epoch, which
// each new lead raises and every write of the ledger requires.
package elect

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	controlPrefix store.Key = "Flow/Control/"
	leadKey       store.Key = controlPrefix + "Lead"
	memberPrefix  store.Key = controlPrefix + "Member/"

	// DefaultTTL is how long a daemon counts as alive without a renewal.
	DefaultTTL = 1400 * time.Millisecond
	// renewals is how often a lease is renewed within its time to live.
	renewals = 4
	// callLimit limits one call to the store, and renewLimit a renewal, so that a lost one can be made again.
	callLimit  = 800 * time.Millisecond
	renewLimit = 400 * time.Millisecond
	// suspectTime is how long a suspicion lasts.
	suspectTime = 1500 * time.Millisecond
	// watchLimit is how long one watch waits.
	watchLimit = 2600 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
	// decidePeriod is how often a daemon looks whether it should claim.
	decidePeriod = 100 * time.Millisecond
	// rankFactor times the delay to the store, but at most maxRank, is how long a daemon waits before it
	// claims, so that the one nearest to the store leads.
	rankFactor = 4
	maxRank    = 150 * time.Millisecond
	// A daemon with less than strongShare of the strongest one's strength waits weakWait before it claims, and
	// one with less than weakShare twice that, so that the lead's work goes where it can be carried.
	strongShare = 0.75
	weakShare   = 0.4
	weakWait    = 500 * time.Millisecond
)

type (
	// Leader is the value of the lead's key.
	Leader struct {
		Target peer.Target `json:"Target"`
		Epoch  types.Epoch `json:"Epoch"`
	}

	// Term is one daemon's time as lead.
	Term struct {
		Epoch types.Epoch
		// Version is that of the epoch's key.
		Version store.Version
	}

	// Strength rates what a VM can carry; it has no unit.
	Strength float64

	// member is the value of a member's key.
	member struct {
		Target   peer.Target `json:"Target"`
		Strength Strength    `json:"Strength"`
	}

	// counter is the value of the epoch's key.
	counter struct {
		Epoch types.Epoch `json:"Epoch"`
		// Nonce tells apart the claims of daemons, and the lives of one.
		Nonce store.Nonce `json:"Nonce"`
	}

	// Config says who takes part and what follows from it.
	Config struct {
		Self peer.Target
		// Strength rates this VM among the others: weak ones lead only when no strong one does.
		Strength Strength
		Store    store.Batcher
		Clock    clockwork.Clock
		Log      zerolog.Logger
		// TTL is how long a lease lasts; zero means DefaultTTL.
		TTL time.Duration
		// OnStartedLeading is called when this daemon became lead, OnStoppedLeading when it may lead no longer. They must not block.
		OnStartedLeading func(t Term)
		OnStoppedLeading func(t Term)
	}

	// Elector is one daemon's part in the election. It is safe for concurrent use.
	Elector struct {
		config Config
		nonce  store.Nonce

		mu    sync.Mutex
		lease store.LeaseID
		// delay is the shortest time in which the store has answered.
		delay   time.Duration
		members map[types.VMID]member
		lead    Leader
		// leadVersion is that of the lead's key, Absent when there is none.
		leadVersion store.Version
		counter     counter
		version     store.Version
		// listed tells that the view was read from the store; watched is when it last answered.
		listed  bool
		watched time.Time
		term    *Term
		retired bool
		// vacant is when the lead's key was first seen missing.
		vacant time.Time
		// suspect is the epoch of a lead that cannot go on, as was told at suspected.
		suspect   types.Epoch
		suspected time.Time
	}
)

// New returns an elector that takes part once it runs.
func New(c Config) *Elector {
	if c.TTL <= 0 {
		c.TTL = DefaultTTL
	}
	return &Elector{config: c, nonce: store.Nonce(uuid.NewString()), members: make(map[types.VMID]member)}
}

// Run takes part in the election until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, loop := range []func(context.Context){e.keepLoop, e.watchLoop, e.decideLoop} {
		all.Go(func() { loop(ctx) })
	}
	all.Wait()
}

// Leader returns the daemon that leads as far as this one knows; false when it knows of none.
func (e *Elector) Leader() (Leader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lead, e.lead.Epoch != 0
}

// Members returns the daemons that are alive as far as this one knows.
func (e *Elector) Members() []peer.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]peer.Target, 0, len(e.members))
	for _, m := range e.members {
		out = append(out, m.Target)
	}
	return out
}

// StoreReachable tells whether the store has answered a watch or a renewal lately.
func (e *Elector) StoreReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed && e.config.Clock.Since(e.watched) < e.config.TTL
}

// LastContact returns when the store last answered a watch or a renewal.
func (e *Elector) LastContact() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.watched
}

// SuspectLeader tells that a lead cannot go on, so that another may follow before its lease ends.
func (e *Elector) SuspectLeader(epoch types.Epoch, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lead.Epoch != epoch {
		return
	}
	now := e.config.Clock.Now()
	if e.suspect != epoch || now.Sub(e.suspected) > suspectTime {
		e.config.Log.Warn().Uint64("Epoch", uint64(epoch)).Str("Lead", string(e.lead.Target.VM)).
			Str("Reason", reason).Msg("lead cannot go on")
	}
	e.suspect, e.suspected = epoch, now
}

// CheckStore returns an error unless the store answers this daemon now.
func (e *Elector) CheckStore(ctx context.Context) error {
	return e.keep(ctx)
}

// AdoptLeader takes over what another daemon knows of the lead, when it is newer.
func (e *Elector) AdoptLeader(c Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Epoch > e.lead.Epoch && c.Epoch > e.counter.Epoch {
		e.lead = c
		if _, known := e.members[c.Target.VM]; !known {
			e.members[c.Target.VM] = member{Target: c.Target}
		}
		e.config.Log.Info().Uint64("Epoch", uint64(c.Epoch)).Str("Lead", string(c.Target.VM)).Msg("learned of a lead from a peer")
	}
}

// StepDown gives up the lead and takes part no longer.
func (e *Elector) StepDown(ctx context.Context) {
	e.mu.Lock()
	e.retired = true
	term, version := e.term, e.leadVersion
	key := store.Key(string(memberPrefix) + string(e.config.Self.VM))
	batch := store.Batch{Deletes: []store.Key{key}}
	if term != nil {
		batch.Conditions = []store.Condition{{Key: leadKey, Expect: version}}
		batch.Deletes = append(batch.Deletes, leadKey)
	}
	e.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if _, err := e.config.Store.Apply(limited, batch); err != nil {
		e.config.Log.Warn().Err(err).Msg("could not give up the lead; its lease ends by itself")
	}
	e.lose("retired")
}

// EndTerm ends this daemon's term, as when a newer lead was met.
func (e *Elector) EndTerm(reason string) {
	e.lose(reason)
}

func (e *Elector) lose(reason string) {
	e.mu.Lock()
	term := e.term
	e.term = nil
	if term != nil && e.lead.Epoch == term.Epoch {
		e.lead = Leader{}
	}
	e.mu.Unlock()
	if term == nil {
		return
	}
	e.config.Log.Warn().Uint64("Epoch", uint64(term.Epoch)).Str("Reason", reason).Msg("lost the lead")
	e.config.OnStoppedLeading(*term)
}

// timed notes how long the store took to answer. The caller holds the lock.
func (e *Elector) timed(took time.Duration) {
	if e.delay == 0 || took < e.delay {
		e.delay = took
	}
}

func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-e.config.Clock.After(d):
	}
}

func (e *Elector) memberKey() store.Key {
	return memberPrefix + store.Key(e.config.Self.VM)
}

func encode(value any) (json.RawMessage, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errs.New(errs.Internal, "encoding a record of the election: %v", err)
	}
	return body, nil
}

// see takes one entry of the store into the view. The caller holds the lock.
func (e *Elector) see(entry store.Entry) {
	switch {
	case entry.Key == leadKey:
		e.seeLead(entry)
	case entry.Key == ledger.EpochKey:
		e.seeEpoch(entry)
	case strings.HasPrefix(string(entry.Key), string(memberPrefix)):
		e.seeMember(entry)
	}
}

func (e *Elector) seeLead(entry store.Entry) {
	if entry.Deleted {
		e.leadVersion = store.Absent
		if e.term == nil {
			e.lead = Leader{}
		}
		return
	}
	var c Leader
	if err := json.Unmarshal(entry.Value, &c); err != nil {
		e.config.Log.Error().Err(err).Msg("the lead's key is malformed")
		return
	}
	e.leadVersion = entry.Version
	if c.Epoch >= e.lead.Epoch {
		e.lead = c
	}
}

func (e *Elector) seeEpoch(entry store.Entry) {
	var c counter
	if entry.Deleted || json.Unmarshal(entry.Value, &c) != nil {
		e.config.Log.Error().Msg("the epoch's key is gone or malformed")
		return
	}
	if entry.Version > e.version {
		e.counter, e.version = c, entry.Version
	}
}

func (e *Elector) seeMember(entry store.Entry) {
	vm := types.VMID(strings.TrimPrefix(string(entry.Key), string(memberPrefix)))
	if entry.Deleted {
		delete(e.members, vm)
		return
	}
	var m member
	if err := json.Unmarshal(entry.Value, &m); err != nil {
		e.config.Log.Error().Err(err).Str("VM", string(vm)).Msg("a member's key is malformed")
		return
	}
	e.members[vm] = m
}
