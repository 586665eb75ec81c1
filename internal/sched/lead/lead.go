// Package lead implements the scheduling leader of a data centre: the one daemon that owns the data centre's
// workers. It claims the data centre, takes over from the former leader, plans, commits to the journal, starts
// tasks, renews their leases and reclaims the tasks of unreachable workers.
//
// One mutex guards all state. Calls to the store and to workers run outside of the mutex as asynchronous
// operations, whose results are applied in the order in which they arrive.
package lead

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/claim"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Roles of a daemon in its data centre. A standby does not lead; an interim leader leads without a claim while
// the store is down.
const (
	roleStandby role = "Standby"
	roleLeader  role = "Lead"
	roleInterim role = "Interim"
)

const (
	tickInterval = 250 * time.Millisecond
	// callTimeout bounds one call to a worker.
	callTimeout = time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 3 * time.Second
	// lateDeliveryMargin is how long after its timeout a call may still reach a worker.
	lateDeliveryMargin = 2 * time.Second
	// maxRounds bounds how often one call of processInbox applies results and starts the operations that follow
	// from them.
	maxRounds = 16

	minLeaseTTL = 3 * time.Second
	maxLeaseTTL = 2 * time.Minute
	// clockDriftDivisor gives the fraction of a lease by which the clocks of daemon and worker may drift apart
	// while the lease runs.
	clockDriftDivisor = 10
)

type (
	role string

	// Config holds the dependencies of a Leader.
	Config struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Store   store.Store
		Workers worker.Dialer
		VMs     vmlist.Source
		Planner plan.Planner
		Audit   audit.Recorder
		Peers   peer.Caller
		Log     zerolog.Logger
		Metrics metrics.Registry
		// Document returns the environment document in force, or nil while there is none.
		Document func() (*envdoc.Document, types.Revision)
		// Entries returns the live entry daemons of all data centres.
		Entries func() []peer.Target
		// OnEpoch is called at every change of role, in order and without the mutex held. It must not call
		// StepDown.
		OnEpoch func(epoch types.Epoch, leading bool)
		// Spawn runs an operation without the mutex held; nil means in a goroutine of its own.
		Spawn func(run func())
	}

	// Leader is one daemon's part in the leadership of its data centre. It is safe for concurrent use.
	Leader struct {
		cfg    Config
		claims *claim.Holder
		// spawn runs an asynchronous operation; tests run operations synchronously.
		spawn func(run func())
		// hook is called at each step that step.go lists; tests inject failures there.
		hook func(s step)
		wake chan struct{}
		// notifyMu serializes the calls of OnEpoch. It is locked before mu.
		notifyMu sync.Mutex

		mu   sync.Mutex
		role role
		// term is incremented at each change of role; results of operations of an earlier term are discarded.
		term        uint64
		epoch       types.Epoch
		steppedDown bool
		pendingOps  []asyncOp
		inbox       inbox

		standby        standby
		interim        interim
		claimRenewal   claimRenewal
		journal        *commit.Journal
		committedState *commit.CommittedState
		writer         writer
		state          *table.State
		attempts       map[types.TaskID]*attempt
		nodes          map[types.VMID]*node
		// lateResults holds the attempts with a late result that is not yet committed.
		lateResults map[types.AttemptID]bool
		workerList  workerList
		services    services
		// summaries is the state of the queries to other data centres.
		summaries    summaries
		epochChanges []epochChange
		offers       map[types.JobID]*offer
		takenOverAt  time.Time
	}

	// epochChange is a change of role that has not been reported to OnEpoch yet.
	epochChange struct {
		epoch   types.Epoch
		leading bool
	}

	// asyncOp is an operation that runs without the mutex held; run returns the function to call with the mutex
	// held.
	asyncOp struct {
		term uint64
		run  func(ctx context.Context) func()
	}

	// inbox collects the results of finished operations until they are applied.
	inbox struct {
		mu    sync.Mutex
		ready []asyncResult
	}

	asyncResult struct {
		term  uint64
		apply func()
	}
)

// New returns a standby that has not tried to claim yet. It returns an error of kind Invalid when a required
// dependency is missing.
func New(c Config) (*Leader, error) {
	if c.Clock == nil || c.Store == nil || c.Workers == nil || c.VMs == nil || c.Planner == nil {
		return nil, errs.New(errs.Invalid, "Clock, Store, Workers, VMs and Planner must be set")
	}
	if c.Audit == nil {
		c.Audit = audit.Discard{}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Document == nil {
		c.Document = func() (*envdoc.Document, types.Revision) { return nil, 0 }
	}
	if c.Entries == nil {
		c.Entries = func() []peer.Target { return nil }
	}
	if c.OnEpoch == nil {
		c.OnEpoch = func(types.Epoch, bool) {}
	}
	if c.Spawn == nil {
		c.Spawn = func(run func()) { go run() }
	}
	l := &Leader{
		cfg:    c,
		claims: claim.New(claim.Config{Self: c.Self, Store: c.Store}),
		spawn:  c.Spawn,
		hook:   func(step) {},
		wake:   make(chan struct{}, 1),
		role:   roleStandby,
	}
	l.reset()
	return l, nil
}

// Run ticks, and applies results as they arrive, until ctx ends. It always returns nil.
func (l *Leader) Run(ctx context.Context) error {
	return every.RunWoken(ctx, l.cfg.Clock, tickInterval, l.Tick, l.wake, l.processInbox)
}

// Tick applies the results that have arrived, runs the periodic work of the current role, and starts the
// operations that follow.
func (l *Leader) Tick(ctx context.Context) {
	l.mu.Lock()
	l.applyInbox()
	l.listTick()
	switch l.role {
	case roleLeader:
		l.leaderTick()
	case roleInterim:
		l.interimTick()
	default:
		l.standbyTick()
	}
	l.mu.Unlock()
	l.processInbox(ctx)
}

// Leading returns the epoch and whether this daemon leads, as holder of the claim or as interim leader.
func (l *Leader) Leading() (types.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.role != roleStandby
}

// StepDown ends the term and releases the claim, if this daemon holds it, so that another daemon can take over at
// once. The daemon does not claim again. It returns the error of the release.
func (l *Leader) StepDown(ctx context.Context) error {
	l.mu.Lock()
	l.steppedDown = true
	leading := l.role == roleLeader
	if l.role != roleStandby {
		l.endTerm("stepping down")
	}
	l.mu.Unlock()
	l.notifyEpochChanges()
	if !leading {
		return nil
	}
	return l.claims.Release(ctx)
}

func (l *Leader) dataCentre() types.DataCentre {
	return l.cfg.Self.Site.DataCentre
}

func (l *Leader) now() time.Time {
	return l.cfg.Clock.Now()
}

// reportViolation counts and logs a violated invariant of the tables; the change that violated it had no effect.
func (l *Leader) reportViolation(err error) {
	if err == nil {
		return
	}
	l.incCounter("RulesBroken")
	l.cfg.Log.Error().Err(err).Msg("invariant of the tables violated; the change was rejected")
}

func (l *Leader) incCounter(name string) {
	metrics.GetOrRegisterCounter("Lead."+name, l.cfg.Metrics).Inc(1)
}

func (l *Leader) recordAudit(verb audit.Verb, subject, cause string, inputs ...audit.Input) {
	_, revision := l.cfg.Document()
	l.cfg.Audit.Record(audit.Record{
		Actor: "lead", Verb: verb, Subject: subject, Cause: cause, Epoch: l.epoch, Revision: revision, Inputs: inputs,
	})
}

// recordTransition writes each transition of a task or a job to the audit trail.
func (l *Leader) recordTransition(subject, from, to, cause string) {
	l.recordAudit(audit.VerbTransition, subject, cause, audit.Input{Name: "From", Value: from}, audit.Input{Name: "To", Value: to})
}

// placementPolicy returns the document's placement policy, or the default one while there is no document.
func (l *Leader) placementPolicy() envdoc.PlacementPolicy {
	if d, _ := l.cfg.Document(); d != nil {
		return d.Placement
	}
	return envdoc.Default().Placement
}

// leaseTTL returns the task lease of the placement policy, clamped to minLeaseTTL and maxLeaseTTL.
func (l *Leader) leaseTTL() time.Duration {
	return min(max(l.placementPolicy().TaskLease, minLeaseTTL), maxLeaseTTL)
}

// leaseExpiry returns the time by which a lease has certainly expired: it was granted by a call that returned
// at the given time, allowing for clock drift and for a call that reached the worker late.
func leaseExpiry(returned time.Time, lease time.Duration) time.Time {
	return returned.Add(lease + lease/clockDriftDivisor + lateDeliveryMargin)
}
