// Package owner is the duty of the lead: it owns the accepted jobs, makes every change durable before it acts on
// it, orders the runners, and learns from them what became of the tasks.
//
// All tables belong to one mutex. Calls to the store, the runners and the advice service run outside of it.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	// minPlanInterval is the least time between two plans.
	minPlanInterval = 8 * time.Millisecond
	// tickInterval is how often time-outs are looked at.
	tickInterval = 100 * time.Millisecond
	// ledgerBackoff is the pause between tries to read the ledger.
	ledgerBackoff = 100 * time.Millisecond
	// fencesPerTerm is how many fencing tokens one term has.
	fencesPerTerm = 1_000_000
)

type (
	// Advise asks for advice on behalf of the lead, from whichever daemon has the shortest queue.
	Advise func(ctx context.Context, step specs.StepRef, p specs.AdvicePolicy, incarnations []tasks.Incarnation) ([]agent.Permit, error)

	// CachedAdvice is what a daemon remembers of the advice on one step.
	CachedAdvice struct {
		Step    specs.StepRef
		Asked   []tasks.Incarnation
		Permits []agent.Permit
		// Left is how long the tickets are still valid.
		Left time.Duration
	}

	// CollectCachedAdvice collects what the daemons remember of the advice on steps, and hands it over as it arrives.
	CollectCachedAdvice func(ctx context.Context, steps []specs.StepRef, add func([]CachedAdvice))

	// Config holds what a lead depends on.
	Config struct {
		Term      elect.Term
		Store     store.Batcher
		Clock     clockwork.Clock
		Log       zerolog.Logger
		Metrics   metrics.Registry
		Agents    agent.Agent
		Directory agent.Directory
		Advise    Advise
		// AdviceBudget returns how much more work the advice service may be given now.
		AdviceBudget func() specs.AdviceBudget
		// CollectCachedAdvice, when set, brings what former leads were advised.
		CollectCachedAdvice CollectCachedAdvice
		// Catalog returns the catalog in force, or nil until there is one.
		Catalog func() *specs.Catalog
		// LastContact returns when the store last answered this daemon.
		LastContact func() time.Time
		// OnFenced is called when another lead was met.
		OnFenced func(reason string)
		// OnWritesStalled, when set, is called while the store does not take this lead's writes, in a goroutine of its own;
		// still tells whether that is still so.
		OnWritesStalled func(stillStalled func() bool)
		// Bounds are the platform's limits.
		Bounds Bounds
	}

	// Bounds are limits that the platform sets.
	Bounds struct {
		// MaxLeaseTTL is the longest lease that a runner grants.
		MaxLeaseTTL time.Duration
		// StopTimeout is how long a stop takes at most.
		StopTimeout time.Duration
		// StatusRetention is how long the state of an ended job is told.
		StatusRetention time.Duration
	}

	// Owner is one daemon's term as lead. It is safe for concurrent use.
	Owner struct {
		config Config
		ctx    context.Context
		cancel context.CancelFunc
		loops  sync.WaitGroup

		planWake  chan struct{}
		writeWake chan struct{}
		counters  counters
		// ledgerMu guards the ledger, but for the running of its writes.
		ledgerMu sync.Mutex

		mu    sync.Mutex
		table *tasks.Table
		// open tells that the ledger was read.
		open    bool
		pending pending
		// fencesIssued counts the fencing tokens that were given out.
		fencesIssued agent.Fence
		// collectingAdvice tells that remembered advice is still being collected; nothing is asked meanwhile.
		collectingAdvice bool
		// inFlight holds the writes that are under way, the oldest first.
		inFlight []*inFlightWrite
		// takeoverRequestedAt is when the others were last asked to lead.
		takeoverRequestedAt time.Time
		// writeLatency is how long writes of the ledger take lately.
		writeLatency   time.Duration
		catalogVersion specs.CatalogVersion
		// notYetDurable holds ended jobs whose end is not durable yet, with the state that callers are still told.
		notYetDurable map[specs.JobID]tasks.JobState
		// renewLoops are the runners with a loop of their own.
		renewLoops map[*tasks.Runner]struct{}
	}
)

// New returns a lead that begins its term when it runs.
func New(c Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		config:        c,
		ctx:           ctx,
		cancel:        cancel,
		planWake:      make(chan struct{}, 1),
		writeWake:     make(chan struct{}, 1),
		counters:      newCounters(c.Metrics),
		table:         tasks.New(),
		notYetDurable: make(map[specs.JobID]tasks.JobState),
		renewLoops:    make(map[*tasks.Runner]struct{}),
	}
}

// Run leads until ctx ends or the lead is lost.
func (o *Owner) Run(ctx context.Context) {
	unlink := context.AfterFunc(ctx, o.cancel)
	defer unlink()
	defer o.cancel()
	jobLedger := o.openLedger()
	if jobLedger == nil {
		return
	}
	o.adoptPlacedTasks()
	o.collectCachedAdvice()
	for _, loop := range []func(){func() { o.writeLoop(jobLedger) }, o.planLoop, o.tickLoop, o.directoryLoop} {
		o.loops.Go(loop)
	}
	o.loops.Wait()
}

// openLedger reads the ledger; it returns nil when the term ended before.
func (o *Owner) openLedger() *ledger.Ledger {
	began := o.config.Clock.Now()
	for o.ctx.Err() == nil {
		table := tasks.New()
		jobLedger, err := ledger.Open(o.ctx, ledger.Config{
			Store: o.config.Store, Clock: o.config.Clock,
			Epoch: o.config.Term.Epoch, EpochVersion: o.config.Term.Version,
			Retention: o.config.Bounds.StatusRetention, OnFailure: o.handleWriteFailure,
		}, table)
		if err == nil {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.table, o.open = table, true
			o.counters.ledgerLoad.UpdateSince(began)
			o.config.Log.Info().Int("Jobs", len(table.Jobs)).Int("Ended", len(table.EndedJobs)).
				Dur("Took", o.config.Clock.Since(began)).Msg("read the ledger")
			return jobLedger
		}
		o.config.Log.Warn().Err(err).Msg("could not read the ledger")
		o.sleep(ledgerBackoff)
	}
	return nil
}

func (o *Owner) sleep(d time.Duration) {
	select {
	case <-o.ctx.Done():
	case <-o.config.Clock.After(d):
	}
}

// nextFence returns a fencing token above all that this term, and every earlier one, gave out. The caller holds
// the lock.
func (o *Owner) nextFence() agent.Fence {
	o.fencesIssued++
	return agent.Fence(o.config.Term.Epoch)*fencesPerTerm + o.fencesIssued
}

// endTerm ends the term because another lead was met.
func (o *Owner) endTerm(reason string) {
	o.config.OnFenced(reason)
	o.cancel()
}

// Stop ends the term, also one that has not begun.
func (o *Owner) Stop() {
	o.cancel()
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
