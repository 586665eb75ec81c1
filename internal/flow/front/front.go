// Package front is the duty of every daemon towards callers and towards the lead: it takes requests about jobs
// that run in steps to the daemon that leads, makes calls for advice on its behalf, and leads when elected.
package front

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/owner"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	// tryLimit limits one call to the lead; a caller with more time is served by a further one.
	tryLimit = 1200 * time.Millisecond
	// leadPatience is how long a request waits for a lead to be found.
	leadPatience = 350 * time.Millisecond
	// leastTry is the least time in which a call to the lead is worth making.
	leastTry = 100 * time.Millisecond
	// tryPause is the pause before a call is made again.
	tryPause = 40 * time.Millisecond
	// retryAfter tells callers when a new lead should have taken over.
	retryAfter = time.Second
	// askPeriod is how often a daemon asks its peers while the store does not answer it.
	askPeriod = 300 * time.Millisecond
	// relieveLimit limits a call that asks a peer to take the lead over.
	relieveLimit = 600 * time.Millisecond
	// relievePause lets this daemon write after all, once the store answers the others.
	relievePause = 150 * time.Millisecond
	// askLimit limits one such call.
	askLimit = 250 * time.Millisecond
)

type (
	// Config holds what a front depends on.
	Config struct {
		Self peer.Target
		// Strength rates this VM among the others, for the choice of the lead.
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
		// TTL is how long a daemon counts as alive without a word to the store; zero means the default.
		TTL time.Duration
	}

	// Front is one daemon. It is safe for concurrent use.
	Front struct {
		config  Config
		elector *elect.Elector
		calls   calls
		desk    desk
		notes   notebook

		mu       sync.Mutex
		ctx      context.Context
		owner    *owner.Owner
		term     elect.Term
		terms    sync.WaitGroup
		catalog  *specs.Catalog
		draining bool
	}

	calls struct {
		submits metrics.Timer
		states  metrics.Timer
		refused metrics.Counter
		lost    metrics.Counter
	}
)

// New returns a daemon that takes part once it runs.
func New(c Config) *Front {
	f := &Front{config: c}
	f.calls = calls{
		submits: metrics.GetOrRegisterTimer("Front.Submit", c.Metrics),
		states:  metrics.GetOrRegisterTimer("Front.State", c.Metrics),
		refused: metrics.GetOrRegisterCounter("Front.Refused", c.Metrics),
		lost:    metrics.GetOrRegisterCounter("Front.Lost", c.Metrics),
	}
	f.desk = newDesk()
	f.notes = newNotebook()
	f.elector = elect.New(elect.Config{
		Self: c.Self, Strength: c.Strength, Store: c.Store, Clock: c.Clock, Log: c.Log, TTL: c.TTL,
		OnStartedLeading: f.begin, OnStoppedLeading: f.end,
	})
	return f
}

// Run takes part until ctx ends.
func (f *Front) Run(ctx context.Context) {
	f.mu.Lock()
	f.ctx = ctx
	f.mu.Unlock()
	var all sync.WaitGroup
	all.Go(func() { f.elector.Run(ctx) })
	all.Go(func() { f.askLoop(ctx) })
	all.Wait()
	f.terms.Wait()
}

// Drain gives up the lead and reports the daemon as not ready. Requests are still served.
func (f *Front) Drain(ctx context.Context) {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.elector.StepDown(ctx)
}

// Ready tells whether the daemon should get new requests.
func (f *Front) Ready() bool {
	f.mu.Lock()
	ready := !f.draining && f.catalog != nil
	f.mu.Unlock()
	_, led := f.elector.Leader()
	return ready && led
}

// Draining tells whether the daemon is about to stop.
func (f *Front) Draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// SetCatalog puts a catalog in force, unless it is older than the present one.
func (f *Front) SetCatalog(c *specs.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c == nil || (f.catalog != nil && c.Version <= f.catalog.Version) {
		return
	}
	f.config.Log.Info().Uint64("Version", uint64(c.Version)).Int("Routes", len(c.Routes)).Msg("catalog in force")
	f.catalog = c
}

// Catalog returns the catalog in force, or nil until there is one.
func (f *Front) Catalog() *specs.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog
}

// begin starts to lead.
func (f *Front) begin(t elect.Term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil || f.ctx.Err() != nil {
		return
	}
	ctx := f.ctx
	o := owner.New(owner.Config{
		Term: t, Store: f.config.Store, Clock: f.config.Clock, Log: f.config.Log, Metrics: f.config.Metrics,
		Agents: f.config.Agents, Directory: f.config.Directory, Advise: f.advise, AdviceBudget: f.adviceRoom, CollectCachedAdvice: f.recall, Catalog: f.Catalog,
		LastContact: f.elector.LastContact, OnFenced: f.elector.EndTerm, Bounds: f.config.Bounds,
		OnWritesStalled: func(still func() bool) { f.relieve(ctx, t.Epoch, still) },
	})
	f.owner, f.term = o, t
	f.terms.Go(func() { o.Run(ctx) })
}

// end stops to lead.
func (f *Front) end(t elect.Term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owner != nil && f.term == t {
		f.owner.Stop()
		f.owner = nil
	}
}

// Submit hands a job to the lead. A nil error means that it is durable; Overloaded, Unavailable or Draining
// that it will never run under this request; Lost that its fate is not known.
func (f *Front) Submit(ctx context.Context, job *specs.Job) error {
	began := f.config.Clock.Now()
	err := f.toLead(ctx, methodSubmit, &SubmitArgs{Job: *job}, &Empty{})
	if err == nil {
		f.calls.submits.UpdateSince(began)
	}
	return err
}

// Cancel cancels a job. Kind NotFound means that there is no such job.
func (f *Front) Cancel(ctx context.Context, id specs.JobID) error {
	return f.toLead(ctx, methodCancel, &JobArgs{Job: id}, &Empty{})
}

// State returns the state of a job. Kind NotFound means that there is no such job.
func (f *Front) State(ctx context.Context, id specs.JobID) (tasks.JobState, error) {
	began := f.config.Clock.Now()
	reply := &StateReply{}
	if err := f.toLead(ctx, methodState, &JobArgs{Job: id}, reply); err != nil {
		return "", err
	}
	f.calls.states.UpdateSince(began)
	return reply.State, nil
}

// Waiting returns how many jobs of the queue have no started task yet.
func (f *Front) Waiting(ctx context.Context, queue specs.QueueName) (int, error) {
	reply := &WaitingReply{}
	if err := f.toLead(ctx, methodWaiting, &QueueArgs{Queue: queue}, reply); err != nil {
		return 0, err
	}
	return reply.Waiting, nil
}

// askLoop asks the peers who leads and which catalog is in force while the store does not answer.
func (f *Front) askLoop(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		f.sleep(ctx, askPeriod)
		members := f.elector.Members()
		if f.elector.StoreReachable() || len(members) == 0 {
			continue
		}
		next++
		f.ask(ctx, members[next%len(members)])
	}
}

func (f *Front) ask(ctx context.Context, member peer.Target) {
	if member.VM == f.config.Self.VM {
		return
	}
	args := &PeekArgs{}
	if c := f.Catalog(); c != nil {
		args.Catalog = c.Version
	}
	limited, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	reply := &PeekReply{}
	if err := f.config.Peers.Call(limited, member, methodPeek, args, reply); err != nil {
		f.config.Log.Debug().Err(err).Str("VM", string(member.VM)).Msg("peer does not answer")
		return
	}
	f.elector.AdoptLeader(reply.Lead)
	f.SetCatalog(reply.Catalog)
}
