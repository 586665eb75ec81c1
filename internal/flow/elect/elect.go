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
	leaderKey     store.Key = controlPrefix + "Lead"
	memberPrefix  store.Key = controlPrefix + "Member/"

	// DefaultTTL is how long a daemon counts as alive without a renewal.
	DefaultTTL = 1400 * time.Millisecond
	// renewalsPerTTL is how often a lease is renewed within its time to live.
	renewalsPerTTL = 4
	// callTimeout limits one call to the store, and renewTimeout a renewal, so that a lost one can be made again.
	callTimeout  = 800 * time.Millisecond
	renewTimeout = 400 * time.Millisecond
	// suspectTimeout is how long a suspicion lasts.
	suspectTimeout = 1500 * time.Millisecond
	// watchTimeout is how long one watch waits.
	watchTimeout = 2600 * time.Millisecond
	// retryBackoff is the pause after a failed call.
	retryBackoff = 150 * time.Millisecond
	// decideInterval is how often a daemon looks whether it should claim.
	decideInterval = 100 * time.Millisecond
	// rankDelayFactor times the delay to the store, but at most maxRank, is how long a daemon waits before it
	// claims, so that the one nearest to the store leads.
	rankDelayFactor = 4
	maxRankDelay    = 150 * time.Millisecond
	// A daemon with less than strongShare of the strongest one's strength waits weakWait before it claims, and
	// one with less than weakShare twice that, so that the lead's work goes where it can be carried.
	strongShare   = 0.75
	weakShare     = 0.4
	weakDelayStep = 500 * time.Millisecond
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

	// epochRecord is the value of the epoch's key.
	epochRecord struct {
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
		// storeLatency is the shortest time in which the store has answered.
		storeLatency time.Duration
		members      map[types.VMID]member
		leader       Leader
		// leaderVersion is that of the lead's key, Absent when there is none.
		leaderVersion store.Version
		epochRecord   epochRecord
		epochVersion  store.Version
		// listed tells that the view was read from the store; watched is when it last answered.
		listed      bool
		lastContact time.Time
		term        *Term
		steppedDown bool
		// vacantSince is when the lead's key was first seen missing.
		vacantSince time.Time
		// suspectEpoch is the epoch of a lead that cannot go on, as was told at suspected.
		suspectEpoch types.Epoch
		suspectedAt  time.Time
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
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){e.renewLoop, e.watchLoop, e.decideLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Leader returns the daemon that leads as far as this one knows; false when it knows of none.
func (e *Elector) Leader() (Leader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leader.Epoch != 0
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
	return e.listed && e.config.Clock.Since(e.lastContact) < e.config.TTL
}

// LastContact returns when the store last answered a watch or a renewal.
func (e *Elector) LastContact() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastContact
}

// SuspectLeader tells that a lead cannot go on, so that another may follow before its lease ends.
func (e *Elector) SuspectLeader(epoch types.Epoch, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Epoch != epoch {
		return
	}
	now := e.config.Clock.Now()
	if e.suspectEpoch != epoch || now.Sub(e.suspectedAt) > suspectTimeout {
		e.config.Log.Warn().Uint64("Epoch", uint64(epoch)).Str("Lead", string(e.leader.Target.VM)).
			Str("Reason", reason).Msg("lead cannot go on")
	}
	e.suspectEpoch, e.suspectedAt = epoch, now
}

// CheckStore returns an error unless the store answers this daemon now.
func (e *Elector) CheckStore(ctx context.Context) error {
	return e.renewLease(ctx)
}

// AdoptLeader takes over what another daemon knows of the lead, when it is newer.
func (e *Elector) AdoptLeader(leader Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leader.Epoch > e.leader.Epoch && leader.Epoch > e.epochRecord.Epoch {
		e.leader = leader
		if _, known := e.members[leader.Target.VM]; !known {
			e.members[leader.Target.VM] = member{Target: leader.Target}
		}
		e.config.Log.Info().Uint64("Epoch", uint64(leader.Epoch)).Str("Lead", string(leader.Target.VM)).Msg("learned of a lead from a peer")
	}
}

// StepDown gives up the lead and takes part no longer.
func (e *Elector) StepDown(ctx context.Context) {
	e.mu.Lock()
	e.steppedDown = true
	term, leaderVersion := e.term, e.leaderVersion
	key := store.Key(string(memberPrefix) + string(e.config.Self.VM))
	batch := store.Batch{Deletes: []store.Key{key}}
	if term != nil {
		batch.Conditions = []store.Condition{{Key: leaderKey, Expect: leaderVersion}}
		batch.Deletes = append(batch.Deletes, leaderKey)
	}
	e.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := e.config.Store.Apply(limited, batch); err != nil {
		e.config.Log.Warn().Err(err).Msg("could not give up the lead; its lease ends by itself")
	}
	e.endTerm("retired")
}

// EndTerm ends this daemon's term, as when a newer lead was met.
func (e *Elector) EndTerm(reason string) {
	e.endTerm(reason)
}

func (e *Elector) endTerm(reason string) {
	e.mu.Lock()
	term := e.term
	e.term = nil
	if term != nil && e.leader.Epoch == term.Epoch {
		e.leader = Leader{}
	}
	e.mu.Unlock()
	if term == nil {
		return
	}
	e.config.Log.Warn().Uint64("Epoch", uint64(term.Epoch)).Str("Reason", reason).Msg("lost the lead")
	e.config.OnStoppedLeading(*term)
}

// observeLatency notes how long the store took to answer. The caller holds the lock.
func (e *Elector) observeLatency(took time.Duration) {
	if e.storeLatency == 0 || took < e.storeLatency {
		e.storeLatency = took
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

// applyEntry takes one entry of the store into the view. The caller holds the lock.
func (e *Elector) applyEntry(entry store.Entry) {
	switch {
	case entry.Key == leaderKey:
		e.applyLeader(entry)
	case entry.Key == ledger.EpochKey:
		e.applyEpoch(entry)
	case strings.HasPrefix(string(entry.Key), string(memberPrefix)):
		e.applyMember(entry)
	}
}

func (e *Elector) applyLeader(entry store.Entry) {
	if entry.Deleted {
		e.leaderVersion = store.Absent
		if e.term == nil {
			e.leader = Leader{}
		}
		return
	}
	var leader Leader
	if err := json.Unmarshal(entry.Value, &leader); err != nil {
		e.config.Log.Error().Err(err).Msg("the lead's key is malformed")
		return
	}
	e.leaderVersion = entry.Version
	if leader.Epoch >= e.leader.Epoch {
		e.leader = leader
	}
}

func (e *Elector) applyEpoch(entry store.Entry) {
	var record epochRecord
	if entry.Deleted || json.Unmarshal(entry.Value, &record) != nil {
		e.config.Log.Error().Msg("the epoch's key is gone or malformed")
		return
	}
	if entry.Version > e.epochVersion {
		e.epochRecord, e.epochVersion = record, entry.Version
	}
}

func (e *Elector) applyMember(entry store.Entry) {
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
