// Package owner does the leader's work: it owns the accepted jobs, makes every change durable before it acts on the
// change, starts and stops attempts on the runners, and applies the results that they report.
//
// One mutex guards all tables. Calls to the store, the runners and the advice service are made without holding it.
package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rescue"
	"github.com/magnoliawalk/magnoliawalk/internal/core/stall"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/rates"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	// tickInterval is how often timeouts are checked.
	tickInterval = 100 * time.Millisecond
	// maxLedgerRead is how long a leader may go on without having read the ledger while the store answers it. A read
	// takes less than a second where the links have room for it.
	maxLedgerRead = 6 * time.Second
	// ledgerBackoff is the pause after a failed read of the ledger or a failed write of a snapshot.
	ledgerBackoff = 100 * time.Millisecond
	// fencesPerTerm is how many fencing tokens are reserved for each term.
	fencesPerTerm = 1_000_000
)

type (
	// Advise asks the advice service which of the runners may run the step, through whichever daemon has the
	// shortest queue of calls. It returns a permit for each runner that may.
	Advise func(ctx context.Context, step specs.StepRef, p specs.AdvicePolicy, incarnations []tasks.Incarnation) ([]agent.Permit, error)

	// CachedAdvice is the advice on one step that a daemon has cached.
	CachedAdvice struct {
		Step    specs.StepRef
		Asked   []tasks.Incarnation
		Permits []agent.Permit
		// Left is the remaining validity of the tickets.
		Left time.Duration
	}

	// CollectCachedAdvice collects the advice on the steps that the daemons have cached, and calls add for each part
	// as it arrives.
	CollectCachedAdvice func(ctx context.Context, steps []specs.StepRef, add func([]CachedAdvice))

	// Config holds the dependencies and limits of an Owner.
	Config struct {
		Term      elect.Term
		Store     store.Batcher
		Clock     clockwork.Clock
		Log       zerolog.Logger
		Metrics   metrics.Registry
		Agents    agent.Agent
		Directory agent.Directory
		Advise    Advise
		// AdviceBudget returns how much more work may be given to the advice service now.
		AdviceBudget func() specs.AdviceBudget
		// CollectCachedAdvice, when set, collects the advice that former leaders received.
		CollectCachedAdvice CollectCachedAdvice
		// Catalog returns the catalog in force, or nil until there is one.
		Catalog func() *specs.Catalog
		// Level is the level of the ledger's values that are written; zero means 1.
		Level ledger.Level
		// OnFenced is called when the term ends because a runner or the ledger shows that another daemon leads.
		OnFenced func(reason string)
		// OnStalled is called when the term ends because this leader cannot go on although no other daemon leads, for example because it
		// makes no progress while the store answers it, or has panicked.
		OnStalled func(reason string)
		// OnWritesStalled, when set, is called in a goroutine of its own while the store does not accept this leader's
		// writes; stillStalled reports whether that is still the case.
		OnWritesStalled func(stillStalled func() bool)
		// ProcessorWaits, when set, returns how long this process's goroutines have waited for the processor since the latest call.
		ProcessorWaits func() time.Duration
		// Slowness, when set, returns how many times slower this VM is than it was, and HasSuccessor whether another daemon is likely to lead
		// if this one leaves its term.
		Slowness     func() float64
		HasSuccessor func() bool
		// Bounds are the platform's limits.
		Bounds Bounds
	}

	// Bounds are limits that the platform sets.
	Bounds struct {
		// MaxLeaseTTL is the longest lease that a runner grants.
		MaxLeaseTTL time.Duration
		// StopTimeout is the maximum time that a stop takes.
		StopTimeout time.Duration
		// StatusRetention is how long the state of an ended job stays available.
		StatusRetention time.Duration
		// FarFactor is how many times as long a task runs away from the rack of its data, and how many times as long the members of a
		// gang run on several racks that should share one; 1 or less means no longer.
		FarFactor float64
		// RateTolerance is by how much an organisation may exceed its weight before its jobs are surplus.
		RateTolerance rates.Tolerance
	}

	// Owner manages the accepted jobs during one daemon's term as leader. It is safe for concurrent use.
	Owner struct {
		config Config
		ctx    context.Context
		cancel context.CancelFunc
		loops  sync.WaitGroup

		planWake  chan struct{}
		writeWake chan struct{}
		counters  counters
		// organisationCounters is guarded by mu.
		organisationCounters organisationCounters
		waste                wasteCounters
		// discards is guarded by mu.
		discards discards
		rescuer  *rescue.Rescuer
		// turns holds what the loops do or wait for.
		turns *stall.Watch
		// firstList receives the directory that is read while the ledger is; only directoryLoop uses it once the loops run.
		firstList chan directoryList
		// ledgerMu guards the ledger; running its writes does not require it.
		ledgerMu sync.Mutex

		mu    sync.Mutex
		table *tasks.Table
		// open is set once the ledger has been read.
		open    bool
		pending pending
		// fencesIssued counts the fencing tokens issued in this term.
		fencesIssued agent.Fence
		// collectingAdvice is set while cached advice is being collected; no advice is requested meanwhile.
		collectingAdvice bool
		// inFlight holds the writes that are in flight, the oldest first.
		inFlight []*inFlightWrite
		// failedTryAt is when a try of a write last failed, and committedAt when a write was last committed.
		failedTryAt time.Time
		committedAt time.Time
		// ringFullSince is when the ring of segments became full; zero while it is not.
		ringFullSince time.Time
		// takeoverRequestedAt is when the other daemons were last asked to take over.
		takeoverRequestedAt time.Time
		// writeLatency is the recent latency of ledger writes: a slower write raises it at once, a faster one lowers it
		// by a part.
		writeLatency   time.Duration
		catalogVersion specs.CatalogVersion
		// confirmedAt is when the latest request was sent whose answer showed that the epoch is still that of this term.
		confirmedAt time.Time
		// handedOver is set once this leader sends no start and no renewal any more.
		handedOver bool
		// formerLeases holds what the former leader has handed over, until the runs that it placed are adopted.
		formerLeases map[tasks.Incarnation]time.Duration
		// fencedBy holds the runners that have refused the fence in use, and fenceCheckedAt is when the epoch was last read because of one.
		fencedBy       map[specs.RunnerID]struct{}
		fenceCheckedAt time.Time
		// planResume is where the next plan goes on with the steps that rank too late for its turns, restServedAt when one last did.
		planResume   specs.StepRef
		restServedAt time.Time
		// directoryAt is the time to which the tables contain the changes of the directory.
		directoryAt time.Time
		// backlog is the work of the accepted jobs at the latest tick.
		backlog order.Backlog
		// organisations holds the gauges of the organisations, and which of them wait for their quota.
		organisations organisationMetrics
		// notYetDurable holds the ended jobs whose result is not durable yet, with the state that is still reported to
		// callers.
		notYetDurable map[specs.JobID]tasks.JobState
		// acceptedNotDurable holds the accepted jobs whose acceptance is not durable yet.
		acceptedNotDurable map[specs.JobID]struct{}
		// renewLoops holds the runners that have a lease renewal loop, with when a renewal last found runs on them; zero for never.
		renewLoops map[*tasks.Runner]time.Time
		// rates tells which jobs are within the weights of the catalog with the version ratesVersion; it is nil until a
		// catalog is known.
		rates        *rates.Rates
		ratesVersion specs.CatalogVersion
		// usualPace is the median pace of the runners of each service at the latest summary.
		usualPace map[types.ServiceName]float64
		// usualSpeed is the usual speed of the tasks of each queue at the latest summary; see updateUsualSpeeds.
		usualSpeed map[specs.QueueName]float64
		// answers tells how long to wait for an answer of a runner.
		answers answers
		load    load
		window  window
		// gangWaits tells why gangs wait.
		gangWaits gangWaits
		// tickDelay is the delay between the latest tick and the next.
		tickDelay time.Duration
		// losses holds the runners that became unreachable within lossMemory, the oldest first.
		losses []runnerLoss
		// unprovenLosses holds the runners that were out of reach until their leases expired, by address.
		unprovenLosses map[types.Address]unprovenLoss
	}
)

// New returns an owner whose term begins with Run.
func New(c Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		config:        c,
		ctx:           ctx,
		cancel:        cancel,
		planWake:      make(chan struct{}, 1),
		writeWake:     make(chan struct{}, 1),
		counters:      newCounters(c.Metrics),
		organisations: newOrganisationMetrics(c.Metrics),
		waste:         newWasteCounters(c.Metrics),
		discards:      newDiscards(c.Metrics),
		rescuer:       rescue.New(c.Log, c.Metrics),
		turns:         stall.New(),
		table:         tasks.New(),
		notYetDurable: make(map[specs.JobID]tasks.JobState),
		renewLoops:    make(map[*tasks.Runner]time.Time),
		usualPace:     make(map[types.ServiceName]float64),
		usualSpeed:    make(map[specs.QueueName]float64),
		fencedBy:      make(map[specs.RunnerID]struct{}),

		unprovenLosses:       make(map[types.Address]unprovenLoss),
		acceptedNotDurable:   make(map[specs.JobID]struct{}),
		organisationCounters: newOrganisationCounters(c.Metrics),
	}
	o.load = newLoad(c.Metrics, &o.counters, &o.waste)
	o.window = newWindow()
	o.gangWaits = newGangWaits(c.Metrics)
	return o
}

// Run leads until ctx ends, Stop is called or leadership is lost.
func (o *Owner) Run(ctx context.Context) {
	unlink := context.AfterFunc(ctx, o.cancel)
	defer unlink()
	o.loops.Go(o.guarded("leadership confirmation", o.confirmLoop))
	defer o.loops.Wait()
	defer o.cancel()
	o.beginList()
	jobLedger := o.openLedger()
	if jobLedger == nil {
		return
	}
	o.runLoops(jobLedger)
}

// runLoops does the leader's work on the tables of an open ledger until the term ends.
func (o *Owner) runLoops(jobLedger *ledger.Ledger) {
	o.guarded("adoption of placed tasks", func() {
		o.adoptPlacedTasks()
		o.collectCachedAdvice()
	})()
	loops := []func(){func() { o.writeLoop(jobLedger) }, o.planLoop, o.tickLoop, o.directoryLoop, o.watchdogLoop, o.loadLoop}
	for _, loop := range loops {
		o.loops.Go(o.guarded("loop of the leader", loop))
	}
	o.loops.Wait()
}

// openLedger reads the ledger, with retries, and installs its tables; it returns nil when the term ends first.
func (o *Owner) openLedger() *ledger.Ledger {
	began := o.config.Clock.Now()
	for o.ctx.Err() == nil {
		table := tasks.New()
		jobLedger, err := ledger.Open(o.ctx, ledger.Config{
			Store: o.config.Store, Clock: o.config.Clock,
			Epoch: o.config.Term.Epoch, EpochVersion: o.config.Term.Version, Level: o.config.Level,
			Retention: o.config.Bounds.StatusRetention, OnFailure: o.handleWriteFailure, OnSnapshotFailure: o.logSnapshotFailure,
			OnMalformed: func(key store.Key, err error) {
				o.config.Log.Error().Err(err).Str("Key", string(key)).Msg("stored value is malformed; going on without it")
			},
		}, table)
		if err == nil {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.table, o.open = table, true
			o.noteFormerLeases(jobLedger.FormerLeases())
			o.counters.ledgerLoad.UpdateSince(began)
			o.config.Log.Info().Int("Jobs", len(table.Jobs)).Int("Ended", len(table.EndedJobs)).
				Dur("Took", o.config.Clock.Since(began)).Msg("ledger read")
			return jobLedger
		}
		if errors.Is(err, ledger.ErrNewerLevel) {
			o.config.Log.Error().Err(err).Msg("the ledger needs a newer build as leader; going on as an entry")
			o.standBack("the ledger needs a newer build")
			return nil
		}
		if o.config.Clock.Since(began) >= maxLedgerRead && o.isStoreAnswering() {
			o.standBack("the ledger could not be read: " + err.Error())
			return nil
		}
		o.config.Log.Warn().Err(err).Msg("reading the ledger failed; retrying")
		o.sleep(ledgerBackoff)
	}
	return nil
}

func (o *Owner) sleep(d time.Duration) {
	every.Sleep(o.ctx, o.config.Clock, d)
}

// nextFence returns a fencing token above all that were issued in this term and in every earlier one. The caller
// must hold o.mu.
func (o *Owner) nextFence() agent.Fence {
	o.fencesIssued++
	return agent.Fence(o.config.Term.Epoch)*fencesPerTerm + o.fencesIssued
}

// endTerm ends the term because a runner or the ledger shows that another daemon leads.
func (o *Owner) endTerm(reason string) {
	o.config.OnFenced(reason)
	o.cancel()
}

// standBack ends the term because this leader cannot go on, and leaves the next term to another daemon if there is one.
func (o *Owner) standBack(reason string) {
	o.config.OnStalled(reason)
	o.cancel()
}

// guarded returns a function that runs f and ends the term if it panics: the tables may be inconsistent then, and a leader
// without one of its loops would neither serve nor be replaced. The caller of f must not hold o.mu.
func (o *Owner) guarded(what string, f func()) func() {
	return func() {
		o.rescuer.Run(what, f, func() { o.standBack(what + " panicked") })
	}
}

// Stop ends the term, even one that has not begun.
func (o *Owner) Stop() {
	o.cancel()
}
