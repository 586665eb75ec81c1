// Package lead is the duty of the one daemon of a data centre that owns its workers: it claims, takes over,
// plans, commits, starts, renews and reclaims.
//
// All state belongs to one mutex. Calls to the store and to workers run outside of it, in launches, whose
// results are applied in the order in which they arrive.
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

// Roles of a daemon towards its data centre's workers.
const (
	roleStandby role = "Standby"
	roleLeader  role = "Lead"
	roleInterim role = "Interim"
)

const (
	tickInterval = 250 * time.Millisecond
	// callTimeout limits a call to a worker.
	callTimeout = time.Second
	// storeTimeout limits a call to the store.
	storeTimeout = 3 * time.Second
	// lateDeliveryMargin is how long after its timeout a call may still reach a worker.
	lateDeliveryMargin = 2 * time.Second
	// maxRounds limits how often one tick applies results and launches what follows from them.
	maxRounds = 16

	minLeaseTTL = 3 * time.Second
	maxLeaseTTL = 2 * time.Minute
	// clockDriftDivisor gives the part of a lease that clocks may drift apart while it runs.
	clockDriftDivisor = 10
)

type (
	role string

	// Config holds what a lead depends on.
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
		// Document returns the document in force, or nil until there is one.
		Document func() (*envdoc.Document, types.Revision)
		// Entries returns the live entry daemons of all data centres.
		Entries func() []peer.Target
		// OnEpoch is called at every change of leadership. It must not call StepDown.
		OnEpoch func(epoch types.Epoch, leading bool)
		// Spawn runs a call outside of the lock; nil means in a goroutine of its own.
		Spawn func(run func())
	}

	// Leader is one daemon's part in the leadership of its data centre. It is safe for concurrent use.
	Leader struct {
		cfg    Config
		claims *claim.Holder
		// spawn runs a launch; tests run launches in place.
		spawn func(run func())
		// hook is called before each step of a start and a take-over; tests fail the lead there.
		hook func(s step)
		wake chan struct{}
		// notifyMu orders the calls of OnEpoch.
		notifyMu sync.Mutex

		mu   sync.Mutex
		role role
		// term grows at each change of role; results of launches of an earlier term are dropped.
		term        uint64
		epoch       types.Epoch
		steppedDown bool
		pendingOps  []asyncOp
		inbox       inbox

		standby        standby
		interim        interim
		renewal        renewal
		journal        *commit.Journal
		committedState *commit.CommittedState
		writer         writer
		state          *table.State
		attempts       map[types.TaskID]*attempt
		nodes          map[types.VMID]*node
		// lateResults holds the attempts whose late end waits for its commit.
		lateResults map[types.AttemptID]bool
		workerList  workerList
		services    services
		// summaries is about other data centres.
		summaries    summaries
		epochChanges []epochChange
		offers       map[types.JobID]*offer
		takenOverAt  time.Time
	}

	// epochChange is a change of leadership that is to be told.
	epochChange struct {
		epoch   types.Epoch
		leading bool
	}

	// asyncOp is work that runs outside of the lock; it returns what to apply under it.
	asyncOp struct {
		term uint64
		run  func(ctx context.Context) func()
	}

	// inbox collects what launches have to apply.
	inbox struct {
		mu    sync.Mutex
		ready []asyncResult
	}

	asyncResult struct {
		term  uint64
		apply func()
	}
)

// New returns a lead that has claimed nothing yet.
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

// Run claims, then ticks until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	ticker := l.cfg.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			l.Tick(ctx)
		case <-l.wake:
			l.processInbox(ctx)
		}
	}
}

// Tick does one step.
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

// Leading returns the epoch and whether this daemon leads, as holder of the claim or as interim lead.
func (l *Leader) Leading() (types.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.role != roleStandby
}

// StepDown gives the claim up, so that another daemon can take over at once. The daemon does not claim again.
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

// processInbox applies what has arrived and runs what follows from it.
func (l *Leader) processInbox(ctx context.Context) {
	for range maxRounds {
		l.mu.Lock()
		l.applyInbox()
		l.dispatchCalls()
		ready := l.pendingOps
		l.pendingOps = nil
		l.mu.Unlock()
		l.notifyEpochChanges()
		if len(ready) == 0 {
			return
		}
		for _, r := range ready {
			l.spawn(func() { l.postResult(r.term, r.run(ctx)) })
		}
	}
}

// runAsync has run executed outside of the lock and its result applied under it, unless the role changed since.
func (l *Leader) runAsync(run func(ctx context.Context) func()) {
	l.pendingOps = append(l.pendingOps, asyncOp{term: l.term, run: run})
}

func (l *Leader) postResult(term uint64, apply func()) {
	l.inbox.mu.Lock()
	l.inbox.ready = append(l.inbox.ready, asyncResult{term: term, apply: apply})
	l.inbox.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Leader) applyInbox() {
	l.inbox.mu.Lock()
	ready := l.inbox.ready
	l.inbox.ready = nil
	l.inbox.mu.Unlock()
	for _, r := range ready {
		if r.term == l.term && r.apply != nil {
			r.apply()
		}
	}
}

// changeRole changes the role. Results of earlier launches are dropped.
func (l *Leader) changeRole(r role, epoch types.Epoch, cause string) {
	l.reset()
	l.role = r
	l.epoch = epoch
	l.term++
	verb := audit.VerbClaim
	if r == roleStandby {
		verb = audit.VerbStepDown
	}
	l.recordAudit(verb, string(l.site()), cause)
	l.cfg.Log.Info().Str("Role", string(r)).Uint64("Epoch", uint64(epoch)).Str("Cause", cause).Msg("role changed")
	l.epochChanges = append(l.epochChanges, epochChange{epoch: epoch, leading: r != roleStandby})
}

// notifyEpochChanges tells of changes of leadership, in order and outside of the lock.
func (l *Leader) notifyEpochChanges() {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	l.mu.Lock()
	notices := l.epochChanges
	l.epochChanges = nil
	l.mu.Unlock()
	for _, n := range notices {
		l.cfg.OnEpoch(n.epoch, n.leading)
	}
}

// endTerm gives up leading. Those who wait for a commit learn what is known of it.
func (l *Leader) endTerm(cause string) {
	l.writer.failAll()
	l.changeRole(roleStandby, l.epoch, cause)
}

func (l *Leader) reset() {
	l.journal = nil
	l.committedState = commit.NewCommittedState()
	l.writer = writer{}
	l.renewal = renewal{}
	l.state = table.New(l.site())
	l.state.Observer = l.recordTransition
	l.attempts = make(map[types.TaskID]*attempt)
	l.nodes = make(map[types.VMID]*node)
	l.lateResults = make(map[types.AttemptID]bool)
	l.services = services{}
	l.summaries = summaries{}
	l.offers = make(map[types.JobID]*offer)
	l.interim.reports = nil
	l.standby.busy = false
	l.standby.nextPollAt = time.Time{}
	l.workerList.busy = false
}

func (l *Leader) site() types.DataCentre {
	return l.cfg.Self.Site.DataCentre
}

func (l *Leader) now() time.Time {
	return l.cfg.Clock.Now()
}

// reportViolation notes that an own rule was broken; the change that broke it had no effect.
func (l *Leader) reportViolation(err error) {
	if err == nil {
		return
	}
	l.incCounter("RulesBroken")
	l.cfg.Log.Error().Err(err).Msg("a rule of the tables was broken")
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

// recordTransition puts each transition of a task or a job into the audit trail.
func (l *Leader) recordTransition(subject, from, to, cause string) {
	l.recordAudit(audit.VerbTransition, subject, cause, audit.Input{Name: "From", Value: from}, audit.Input{Name: "To", Value: to})
}

// placementPolicy returns the placement policy in force.
func (l *Leader) placementPolicy() envdoc.PlacementPolicy {
	if d, _ := l.cfg.Document(); d != nil {
		return d.Placement
	}
	return envdoc.Default().Placement
}

// leaseTTL returns the task lease in force, within its limits.
func (l *Leader) leaseTTL() time.Duration {
	return min(max(l.placementPolicy().TaskLease, minLeaseTTL), maxLeaseTTL)
}

// leaseExpiry returns when a lease that was granted by a call that returned at the given time has surely lapsed.
func leaseExpiry(returned time.Time, lease time.Duration) time.Time {
	return returned.Add(lease + lease/clockDriftDivisor + lateDeliveryMargin)
}
