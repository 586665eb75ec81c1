// Package front implements what every daemon does for callers and for the leader: it forwards requests about jobs that
// run in steps to the leader, calls the advice service on the leader's behalf, and leads when elected.
package front

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/rescue"
	"github.com/magnoliawalk/magnoliawalk/internal/core/sched"
	"github.com/magnoliawalk/magnoliawalk/internal/core/speed"
	"github.com/magnoliawalk/magnoliawalk/internal/core/uptime"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/feed"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/owner"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/relay"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	// leaderCallTimeout limits one call to the leader; for a caller with more time the call is retried.
	leaderCallTimeout = 1200 * time.Millisecond
	// leaderTimeout is how long a request waits for a leader to be known.
	leaderTimeout = 350 * time.Millisecond
	// minCallTime is the least time left with which a call to the leader is begun.
	minCallTime = 100 * time.Millisecond
	// retryBackoff is the pause before a call to the leader is retried.
	retryBackoff = 40 * time.Millisecond
	// firstCatalogTimeout is how long a call waits for the first catalog. When all daemons start at once, callers reach them
	// before they have read it, and a refusal would cost the caller one of its few tries.
	firstCatalogTimeout = 700 * time.Millisecond
	// retryAfter is the time after which callers may retry: by then a new leader should have taken over.
	retryAfter = time.Second
	// peerQueryInterval is how often a daemon asks a peer for leader and catalog while the store does not answer it.
	peerQueryInterval = 300 * time.Millisecond
	// takeoverTimeout limits a call that asks peers for a store check or for a takeover.
	takeoverTimeout = 600 * time.Millisecond
	// takeoverDelay is the time that this daemon gets for its stalled writes after the store has answered a peer, before
	// it requests a takeover. It is longer than the pause between two tries of a write.
	takeoverDelay = 250 * time.Millisecond
	// peerQueryTimeout limits one call that asks a peer for leader and catalog.
	peerQueryTimeout = 250 * time.Millisecond
)

type (
	// Config holds the dependencies and settings of a Front.
	Config struct {
		Self peer.Target
		// Strength is the election weight of this VM.
		Strength  elect.Strength
		Store     store.Batcher
		Clock     clockwork.Clock
		Log       zerolog.Logger
		Metrics   metrics.Registry
		Peers     peer.Caller
		Agents    agent.Agent
		Directory agent.Directory
		Advisor   agent.Advisor
		Bounds    owner.Bounds
		// Catalogs is the store that the operator writes the catalog to. Without one the catalog is set by SetCatalog alone.
		Catalogs feed.Origin
		// CatalogTimeout is the time within which a new catalog should be in force.
		CatalogTimeout time.Duration
		// RevokeTimeout returns the time within which a withdrawn key must be refused; 0 means that the last known catalog stays
		// in use. It may be nil, which means 0.
		RevokeTimeout func() time.Duration
		// Uptime is a clock that counts the time that the VM is suspended.
		Uptime uptime.Clock
		// LinkRate is the bandwidth of this VM's network link, in bytes per second.
		LinkRate float64
		// TTL is the duration of a daemon's lease in the store; zero means elect.DefaultTTL.
		TTL time.Duration
	}

	// Front is one daemon's part in serving jobs. It is safe for concurrent use.
	Front struct {
		config      Config
		elector     *elect.Elector
		callMetrics callMetrics
		denials     *denials
		balancer    adviceBalancer
		adviceCache adviceCache
		relays      *relay.Server
		feed        *feed.Feed
		rescuer     *rescue.Rescuer
		speed       *speed.Meter

		mu       sync.Mutex
		ctx      context.Context
		owner    *owner.Owner
		term     elect.Term
		terms    sync.WaitGroup
		catalog  *specs.Catalog
		draining bool
		// hasCatalog is closed once there is a catalog.
		hasCatalog chan struct{}
	}

	callMetrics struct {
		submits metrics.Timer
		states  metrics.Timer
		refused metrics.Counter
		lost    metrics.Counter
		// catalog is the version of the catalog in force.
		catalog metrics.Gauge
	}
)

// New returns a Front that takes part in the election and serves requests once Run is called.
func New(c Config) *Front {
	f := &Front{config: c, denials: newDenials(c.Metrics), rescuer: rescue.New(c.Log, c.Metrics), hasCatalog: make(chan struct{}), speed: speed.New(c.Clock)}
	f.callMetrics = callMetrics{
		submits: metrics.GetOrRegisterTimer("Front.Submit", c.Metrics),
		states:  metrics.GetOrRegisterTimer("Front.State", c.Metrics),
		refused: metrics.GetOrRegisterCounter("Front.Refused", c.Metrics),
		lost:    metrics.GetOrRegisterCounter("Front.Lost", c.Metrics),
		catalog: metrics.GetOrRegisterGauge("Catalog.Version", c.Metrics),
	}
	f.balancer = newAdviceBalancer()
	f.adviceCache = newAdviceCache()
	f.relays = relay.NewServer(relay.ServerConfig{Agents: c.Agents, Clock: c.Clock, Log: c.Log, Metrics: c.Metrics})
	f.elector = elect.New(elect.Config{
		Self: c.Self, Strength: c.Strength, Store: c.Store, Clock: c.Clock, Metrics: c.Metrics, TTL: c.TTL,
		// Its lines are few, and must not be omitted for others of the same second: they alone tell who led, and why a term ended.
		Log:              c.Log.Sample(nil),
		OnStartedLeading: f.startLeading, OnStoppedLeading: f.stopLeading, OnSteppingDown: f.handOver,
	})
	f.feed = feed.New(feed.Config{
		Self: c.Self, Origin: c.Catalogs, Peers: c.Peers, Members: f.elector.Roster, Leader: f.elector.Leader,
		Apply: f.SetCatalog, Clock: c.Clock, Uptime: c.Uptime, MaxConfirmationAge: f.maxAge, Log: c.Log, Metrics: c.Metrics,
		ApplyTimeout: c.CatalogTimeout, LinkRate: c.LinkRate,
	})
	return f
}

// Run takes part in the election until ctx ends, and returns when this daemon's terms as leader are over.
func (f *Front) Run(ctx context.Context) {
	f.mu.Lock()
	f.ctx = ctx
	f.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { f.elector.Run(ctx) })
	wg.Go(func() { f.queryLoop(ctx) })
	wg.Go(func() { f.speed.Run(ctx) })
	if f.config.Catalogs != nil {
		wg.Go(func() { f.feed.Run(ctx) })
	}
	wg.Wait()
	f.terms.Wait()
}

// Drain gives up leadership for good and makes Ready return false. Requests are still served.
func (f *Front) Drain(ctx context.Context) {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.elector.StepDown(ctx)
}

// Ready reports whether the daemon should get new requests: it is not draining, has a catalog that was confirmed if that is
// required, and knows a leader. It stays ready while its confirmation is too old: it may serve public routes, and is likely to
// be confirmed again before the platform's next check.
func (f *Front) Ready() bool {
	view := f.Access()
	_, hasLeader := f.elector.Leader()
	return !f.Draining() && hasLeader && view.IsUsable()
}

// Draining reports whether Drain was called.
func (f *Front) Draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// SetCatalog puts the catalog in force if it is newer than the present one.
func (f *Front) SetCatalog(c *specs.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c == nil || (f.catalog != nil && c.Version <= f.catalog.Version) {
		return
	}
	f.config.Log.Info().Uint64("Version", uint64(c.Version)).Int("Routes", len(c.Routes)).Msg("catalog in force")
	if f.catalog == nil {
		close(f.hasCatalog)
	}
	f.catalog = c
	f.callMetrics.catalog.Update(int64(c.Version))
}

// Catalog returns the catalog in force, or nil until there is one.
func (f *Front) Catalog() *specs.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog
}

// AwaitCatalog returns the catalog in force. While there is none, it waits for the first one, until ctx ends or for
// firstCatalogTimeout, and then returns nil.
func (f *Front) AwaitCatalog(ctx context.Context) *specs.Catalog {
	if c := f.Catalog(); c != nil {
		return c
	}
	select {
	case <-f.hasCatalog:
	case <-ctx.Done():
	case <-f.config.Clock.After(firstCatalogTimeout):
	}
	return f.Catalog()
}

// startLeading begins a term as leader; the elector calls it when this daemon was elected.
func (f *Front) startLeading(t elect.Term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil || f.ctx.Err() != nil {
		return
	}
	ctx := f.ctx
	termCtx, endTerm := context.WithCancel(ctx)
	o := owner.New(owner.Config{
		Term: t, Store: f.config.Store, Clock: f.config.Clock, Log: f.config.Log, Metrics: f.config.Metrics,
		Agents: f.newRelayClient(termCtx, t), Directory: f.config.Directory, Advise: f.advise, AdviceBudget: f.adviceBudget,
		CollectCachedAdvice: f.collectCachedAdvice, Catalog: f.Catalog, Level: f.elector.CommonLevel(),
		OnFenced: func(reason string) { f.elector.EndTerm(t, reason) }, OnStalled: func(reason string) { f.elector.StandBack(t, reason) },
		Bounds: f.config.Bounds, ProcessorWaits: sched.NewMeter().Recent, Slowness: f.speed.Slowness, HasSuccessor: f.elector.HasSuccessor,
		OnWritesStalled: func(isStalled func() bool) { f.requestTakeover(ctx, t.Epoch, isStalled) },
	})
	f.owner, f.term = o, t
	f.terms.Go(func() {
		defer endTerm()
		o.Run(ctx)
	})
}

// handOver hands the term as leader over to the next leader, before it is ended.
func (f *Front) handOver(ctx context.Context, t elect.Term) {
	f.mu.Lock()
	o := f.owner
	isTerm := f.term == t
	f.mu.Unlock()
	if o != nil && isTerm {
		o.HandOver(ctx)
	}
}

// stopLeading ends the term as leader.
func (f *Front) stopLeading(t elect.Term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owner != nil && f.term == t {
		f.owner.Stop()
		f.owner = nil
	}
}

// Submit submits a job to the leader. A nil error means that the job is durable. The kinds Overloaded, Unavailable and
// Draining mean that it will never run because of this request, as does Conflict, which means that its id is that of another
// caller's job; Lost and Unknown mean that it is in doubt.
func (f *Front) Submit(ctx context.Context, caller specs.Caller, job *specs.Job) error {
	began := f.config.Clock.Now()
	err := f.callLeader(ctx, methodSubmit, &SubmitArgs{Job: *job, Caller: callerArg(caller)}, &Empty{})
	if err == nil {
		f.callMetrics.submits.UpdateSince(began)
	}
	return err
}

// Cancel cancels a job. The error is of kind NotFound if there is no such job, or if the caller may not touch it.
func (f *Front) Cancel(ctx context.Context, caller specs.Caller, id specs.JobID) error {
	return f.callLeader(ctx, methodCancel, &JobArgs{Job: id, Caller: callerArg(caller)}, &Empty{})
}

// State returns the state of a job. The error is of kind NotFound if there is no such job, or if the caller may not query it.
func (f *Front) State(ctx context.Context, caller specs.Caller, id specs.JobID) (tasks.JobState, error) {
	began := f.config.Clock.Now()
	reply := &StateReply{}
	if err := f.callLeader(ctx, methodState, &JobArgs{Job: id, Caller: callerArg(caller)}, reply); err != nil {
		return "", err
	}
	f.callMetrics.states.UpdateSince(began)
	return reply.State, nil
}

// Waiting returns the number of jobs of the queue of which no task has started yet.
func (f *Front) Waiting(ctx context.Context, caller specs.Caller, queue specs.QueueName) (int, error) {
	reply := &WaitingReply{}
	if err := f.callLeader(ctx, methodWaiting, &QueueArgs{Queue: queue, Caller: callerArg(caller)}, reply); err != nil {
		return 0, err
	}
	return reply.Waiting, nil
}
