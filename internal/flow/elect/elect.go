// Package elect finds the daemons of the system through the platform's store and elects one of them as leader.
//
// The leader record is bound to the leader's lease, so that the others notice a dead leader. Leadership itself depends
// on the epoch: each new leader raises it, and every write of the ledger requires it.
package elect

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	controlPrefix store.Key = "Flow/Control/"
	// LeaderKey is the key of the leader record.
	LeaderKey    store.Key = controlPrefix + "Lead"
	memberPrefix store.Key = controlPrefix + "Member/"

	// DefaultTTL is the default duration of a lease: how long a daemon counts as alive without a renewal.
	DefaultTTL = time.Second
	// renewalsPerTTL is how many times a lease is renewed within its TTL.
	renewalsPerTTL = 4
	// callTimeout limits one call to the store, and renewTimeout one renewal, so that a lost call can be retried.
	callTimeout  = 800 * time.Millisecond
	renewTimeout = 400 * time.Millisecond
	// abstainTimeout is how long a daemon that stood back lets the others claim leadership first.
	abstainTimeout = 2 * time.Second
	// suspectTimeout is how long a leader stays suspected.
	suspectTimeout = 1500 * time.Millisecond
	// listTimeout limits the reading of all records. The list grows with the number of daemons, so the time depends on the
	// link; a store that does not answer is given up sooner by its client.
	listTimeout = 10 * time.Second
	// watchTimeout limits one watch call, which waits for changes.
	watchTimeout = 2600 * time.Millisecond
	// retryBackoff is the pause after a failed call to the store.
	retryBackoff = 150 * time.Millisecond
	// maxDeleteTries limits the tries to delete this daemon's records when it steps down.
	maxDeleteTries = 3
	// decideInterval is how often a daemon checks whether it should claim leadership or end its term, unless a change of the records
	// or the end of its delay before a claim comes earlier.
	decideInterval = 100 * time.Millisecond
	// A daemon waits for rankDelayFactor times its latency to the store, at most maxRankDelay, before it claims
	// leadership, so that the daemon nearest to the store leads.
	rankDelayFactor = 4
	maxRankDelay    = 150 * time.Millisecond
	// A daemon with less than strongShare of the strongest daemon's Strength waits another weakDelayStep before it
	// claims leadership, and one with less than weakShare twice that, so that the leader's work runs on a VM that has
	// the capacity for it.
	strongShare   = 0.75
	weakShare     = 0.4
	weakDelayStep = 500 * time.Millisecond
	// strengthMemory is how long the strongest daemon is remembered after it was last listed. After an outage in which
	// leases expired, no daemon is listed at first, and a weak one must still let the strong ones claim leadership.
	strengthMemory = 20 * time.Second
)

type (
	// Leader is the leader record: the daemon that leads and its epoch. Epoch is zero when no leader is known.
	Leader struct {
		Target peer.Target `json:"Target"`
		Epoch  types.Epoch `json:"Epoch"`
	}

	// Term is the time during which one daemon leads under one epoch.
	Term struct {
		Epoch types.Epoch
		// Version is the version of the epoch record that began the term.
		Version store.Version
	}

	// Strength is the election weight of a VM, by its capacity; it has no unit.
	Strength float64

	// Member is the record under which a daemon registers in the store, bound to its lease.
	Member struct {
		Target   peer.Target `json:"Target"`
		Strength Strength    `json:"Strength"`
		// Level is the newest level of the ledger that the daemon reads.
		Level ledger.Level `json:"Level,omitempty"`
	}

	// epochRecord is the value of ledger.EpochKey. It is bound to no lease.
	epochRecord struct {
		Epoch types.Epoch `json:"Epoch"`
		// Nonce distinguishes the claims of different daemons, and those of successive processes of one daemon.
		Nonce store.Nonce `json:"Nonce"`
		// Strength is the highest election weight that the leader knew when its term began. It tells a weak daemon to let
		// others claim leadership first when all have restarted and none is listed.
		Strength Strength `json:"Strength,omitempty"`
	}

	// Config holds the dependencies and settings of an Elector.
	Config struct {
		Self peer.Target
		// Strength is the election weight of this VM: weak VMs lead only when no strong one does.
		Strength Strength
		Store    store.Batcher
		Clock    clockwork.Clock
		Log      zerolog.Logger
		// Metrics receives the elector's metrics; nil means that they are not kept.
		Metrics metrics.Registry
		// TTL is the duration of the daemon's lease in the store; zero means DefaultTTL.
		TTL time.Duration
		// OnStartedLeading is called when this daemon became leader, OnStoppedLeading when its term has ended. They must
		// not block.
		OnStartedLeading func(t Term)
		OnStoppedLeading func(t Term)
		// OnSteppingDown, if set, is called before this daemon gives up leadership for good, before its
		// leader record is deleted. It must return once ctx ends.
		OnSteppingDown func(ctx context.Context, t Term)
	}

	// Elector is one daemon's part in the election. It is safe for concurrent use.
	Elector struct {
		config  Config
		metrics electMetrics
		nonce   store.Nonce
		// recordsChanged wakes decideLoop when leadership may have become vacant.
		recordsChanged chan struct{}
		// termMu is held while a term begins or ends, so that OnStartedLeading and OnStoppedLeading are called in that order. It is
		// acquired before mu.
		termMu sync.Mutex

		mu    sync.Mutex
		lease store.LeaseID
		// storeLatency is the shortest time in which the store has answered; zero until it has.
		storeLatency time.Duration
		members      map[types.VMID]Member
		leader       Leader
		// record is the leader record as it was last read or written, and leaderVersion its version, Absent when there is none. The
		// leader may be another one: that of a newer epoch, which a peer knows, or none after this daemon's term has ended.
		record        Leader
		leaderVersion store.Version
		epochRecord   epochRecord
		epochVersion  store.Version
		// listed means that leader, epoch and members were read from the store; lastContact is when it last answered.
		listed      bool
		lastContact time.Time
		contact     contact
		// strongest is the highest Strength of a daemon that was listed within strengthMemory, the last time at
		// strongestAt.
		strongest   Strength
		strongestAt time.Time
		term        *Term
		// lastEpoch is that of the latest term that began here.
		lastEpoch   types.Epoch
		steppedDown bool
		// termless tells for how long the record has named this daemon without a term.
		termless termless
		// abstainUntil is when this daemon may claim leadership again after it stood back.
		abstainUntil time.Time
		// vacantSince is when leadership was first found to be vacant; zero while it is not.
		vacantSince time.Time
		// claimJitter is the random part of the delay before a claim, drawn when leadership is found to be vacant.
		claimJitter time.Duration
		// suspectEpoch is the epoch of the leader that was marked as suspected at suspectedAt.
		suspectEpoch types.Epoch
		suspectedAt  time.Time
		// lostTermsAt holds when this daemon's latest terms ended, the oldest first, maxLostTerms of them at most.
		lostTermsAt []time.Time
		outrank     outrank
	}
)

// New returns an elector that takes part in the election once Run is called.
func New(c Config) *Elector {
	if c.TTL <= 0 {
		c.TTL = DefaultTTL
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Elector{
		config: c, metrics: newElectMetrics(c.Metrics), nonce: store.Nonce(uuid.NewString()),
		members: make(map[types.VMID]Member), recordsChanged: make(chan struct{}, 1),
	}
}

// Run takes part in the election until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){e.renewLoop, e.watchLoop, e.decideLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Leader returns the leader that this daemon knows; false when it knows none.
func (e *Elector) Leader() (Leader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.leader.Epoch != 0
}

// Members returns the daemons that this daemon knows to be alive, in no particular order.
func (e *Elector) Members() []peer.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]peer.Target, 0, len(e.members))
	for _, m := range e.members {
		out = append(out, m.Target)
	}
	return out
}

// Roster returns the daemons that this daemon knows to be alive with their election weights, the strongest first.
func (e *Elector) Roster() []Member {
	e.mu.Lock()
	out := slices.Collect(maps.Values(e.members))
	e.mu.Unlock()
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.Target.VM, b.Target.VM))
	})
	return out
}

// CommonLevel returns the newest level of the ledger that all daemons which are known to be alive read. A leader writes no newer one.
func (e *Elector) CommonLevel() ledger.Level {
	e.mu.Lock()
	defer e.mu.Unlock()
	return commonLevel(ledger.MaxLevel, e.members)
}

// commonLevel returns the lowest of this build's newest level and those of the members.
func commonLevel(newest ledger.Level, members map[types.VMID]Member) ledger.Level {
	for _, m := range members {
		newest = min(newest, m.Level.OrFirst())
	}
	return newest
}

// StoreReachable reports whether the store has answered a watch or a renewal within the last TTL.
func (e *Elector) StoreReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed && e.config.Clock.Since(e.lastContact) < e.config.TTL
}

// SuspectLeader marks the leader of the epoch as suspected for suspectTimeout, so that this daemon may take over before
// the leader's lease expires. It does nothing if another leader is known. The reason is for the log.
func (e *Elector) SuspectLeader(epoch types.Epoch, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Epoch != epoch {
		return
	}
	now := e.config.Clock.Now()
	if e.suspectEpoch != epoch || now.Sub(e.suspectedAt) > suspectTimeout {
		e.config.Log.Warn().Uint64("Epoch", uint64(epoch)).Str("Lead", string(e.leader.Target.VM)).
			Str("Reason", reason).Msg("leader marked as suspected")
	}
	e.suspectEpoch, e.suspectedAt = epoch, now
	every.Wake(e.recordsChanged)
}

// AdoptLeader adopts the leader that a peer knows if its epoch is newer than all that this daemon knows.
func (e *Elector) AdoptLeader(leader Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leader.Epoch > e.leader.Epoch && leader.Epoch > e.epochRecord.Epoch {
		e.leader = leader
		if _, known := e.members[leader.Target.VM]; !known {
			e.members[leader.Target.VM] = Member{Target: leader.Target}
		}
		e.config.Log.Info().Uint64("Epoch", uint64(leader.Epoch)).Str("Lead", string(leader.Target.VM)).Msg("adopted a newer leader from a peer")
	}
}

// observeLatency records how long the store took to answer. The caller must hold e.mu.
func (e *Elector) observeLatency(took time.Duration) {
	if e.storeLatency == 0 || took < e.storeLatency {
		e.storeLatency = took
	}
}

func encode(value any) (json.RawMessage, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errs.New(errs.Internal, "encoding an election record: %v", err)
	}
	return body, nil
}
