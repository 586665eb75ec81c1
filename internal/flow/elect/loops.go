package elect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// maxJitter spreads the claims of daemons that are equally near to the store.
const maxJitter = 40 * time.Millisecond

// renewLoop keeps the daemon's lease and its member key.
func (e *Elector) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay := e.config.TTL / renewalsPerTTL
		if err := e.renewLease(ctx); err != nil {
			e.config.Log.Debug().Err(err).Msg("could not renew the lease")
			delay = retryBackoff
		}
		e.sleep(ctx, delay)
	}
}

func (e *Elector) renewLease(ctx context.Context) error {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	if lease == 0 {
		return e.register(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	began := e.config.Clock.Now()
	err := e.config.Store.Renew(limited, lease)
	if errs.Is(err, errs.NotFound) {
		e.config.Log.Warn().Msg("the lease in the store has ended")
		return e.register(ctx)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeLatency(e.config.Clock.Since(began))
	if e.listed {
		e.lastContact = e.config.Clock.Now()
	}
	return nil
}

func (e *Elector) register(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	began := e.config.Clock.Now()
	lease, err := e.config.Store.Grant(limited, e.config.TTL)
	if err != nil {
		return err
	}
	latency := e.config.Clock.Since(began)
	value, err := encode(member{Target: e.config.Self, Strength: e.config.Strength})
	if err != nil {
		return err
	}
	put := store.Put{Key: e.memberKey(), Value: value, Lease: lease}
	if _, err := e.config.Store.Apply(limited, store.Batch{Puts: []store.Put{put}}); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.observeLatency(latency)
	return nil
}

// watchLoop keeps the view of the other daemons.
func (e *Elector) watchLoop(ctx context.Context) {
	var version store.Version
	for ctx.Err() == nil {
		var err error
		if version == store.Absent {
			version, err = e.listControl(ctx)
		} else {
			version, err = e.watchControl(ctx, version)
		}
		if err != nil {
			e.config.Log.Debug().Err(err).Msg("could not watch the other daemons")
			e.sleep(ctx, retryBackoff)
		}
	}
}

func (e *Elector) listControl(ctx context.Context) (store.Version, error) {
	limited, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	page, err := e.config.Store.List(limited, controlPrefix)
	if err != nil {
		return store.Absent, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.members)
	e.applyEntry(store.Entry{Key: leaderKey, Deleted: true})
	for _, entry := range page.Entries {
		e.applyEntry(entry)
	}
	e.listed = true
	e.lastContact = e.config.Clock.Now()
	return page.Version, nil
}

func (e *Elector) watchControl(ctx context.Context, version store.Version) (store.Version, error) {
	limited, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	page, err := e.config.Store.Watch(limited, controlPrefix, version)
	if errs.Is(err, errs.Conflict) {
		return store.Absent, nil
	}
	if err != nil {
		// Events may have been missed while the call failed; the list is read again.
		return store.Absent, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range page.Entries {
		e.applyEntry(entry)
	}
	e.lastContact = e.config.Clock.Now()
	return page.Version, nil
}

// decideLoop claims when nobody leads, and gives up when another does.
func (e *Elector) decideLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.sleep(ctx, decideInterval)
		e.decide(ctx)
	}
}

func (e *Elector) decide(ctx context.Context) {
	e.mu.Lock()
	term := e.term
	overtaken := term != nil && (e.epochRecord.Epoch > term.Epoch || e.leader.Epoch > term.Epoch)
	vacant := e.listed && !e.steppedDown && e.lease != 0 && e.isVacant()
	if !vacant {
		e.vacantSince = time.Time{}
	} else if e.vacantSince.IsZero() {
		e.vacantSince = e.config.Clock.Now()
	}
	delay := min(rankDelayFactor*e.storeLatency, maxRankDelay) + e.weakDelay() + rand.N(maxJitter)
	delayPassed := vacant && e.config.Clock.Since(e.vacantSince) >= delay
	e.mu.Unlock()
	switch {
	case overtaken:
		e.endTerm("another daemon leads")
	case delayPassed && term != nil:
		e.reassertLeadership(ctx, *term)
	case delayPassed:
		e.claim(ctx)
	}
}

// weakDelay returns how long this daemon lets stronger ones claim first. The caller holds the lock.
func (e *Elector) weakDelay() time.Duration {
	strongest := e.config.Strength
	for _, m := range e.members {
		strongest = max(strongest, m.Strength)
	}
	switch {
	case e.config.Strength >= strongShare*strongest:
		return 0
	case e.config.Strength >= weakShare*strongest:
		return weakDelayStep
	default:
		return 2 * weakDelayStep
	}
}

// isVacant tells whether the lead's key is missing, or stands for a process that has ended.
func (e *Elector) isVacant() bool {
	if e.leaderVersion == store.Absent {
		return true
	}
	// An earlier life of this process, or a claim whose answer was lost, holds the key.
	if e.term == nil && e.leader.Target.VM == e.config.Self.VM {
		return true
	}
	suspected := e.suspectEpoch != 0 && e.leader.Epoch == e.suspectEpoch && e.config.Clock.Since(e.suspectedAt) < suspectTimeout
	return suspected && e.term == nil
}

// claim tries to become lead with a new epoch.
func (e *Elector) claim(ctx context.Context) {
	e.mu.Lock()
	next := epochRecord{Epoch: e.epochRecord.Epoch + 1, Nonce: e.nonce}
	lease, leadVersion, epochVersion := e.lease, e.leaderVersion, e.epochVersion
	e.mu.Unlock()
	leader := Leader{Target: e.config.Self, Epoch: next.Epoch}
	batch, err := claimBatch(leader, next, lease)
	if err != nil {
		e.config.Log.Error().Err(err).Msg("could not claim the lead")
		return
	}
	batch.Conditions = []store.Condition{
		{Key: leaderKey, Expect: leadVersion}, {Key: ledger.EpochKey, Expect: epochVersion},
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := e.config.Store.Apply(limited, batch)
	if err != nil {
		e.handleClaimError(err)
		return
	}
	if !out.Applied {
		out, err = e.resolveClaim(out, next)
		if err != nil {
			e.config.Log.Info().Err(err).Msg("did not become lead")
			return
		}
	}
	e.beginTerm(leader, next, out.Version)
}

func claimBatch(leader Leader, next epochRecord, lease store.LeaseID) (store.Batch, error) {
	leaderValue, err := encode(leader)
	if err != nil {
		return store.Batch{}, err
	}
	epochValue, err := encode(next)
	if err != nil {
		return store.Batch{}, err
	}
	return store.Batch{Puts: []store.Put{
		{Key: leaderKey, Value: leaderValue, Lease: lease},
		{Key: ledger.EpochKey, Value: epochValue},
	}}, nil
}

// handleClaimError notes a claim that failed; an ended lease is granted anew.
func (e *Elector) handleClaimError(err error) {
	e.config.Log.Info().Err(err).Msg("could not claim the lead")
	if !errs.Is(err, errs.NotFound) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = 0
}

// resolveClaim settles a refused claim: the same claim may have been carried out before although its answer was
// lost. Otherwise it brings the view up to date for the next one.
func (e *Elector) resolveClaim(out store.Outcome, next epochRecord) (store.Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	epoch, leader := out.Find(ledger.EpochKey), out.Find(leaderKey)
	if epoch.Version != store.Absent {
		e.applyEpoch(epoch)
	}
	leader.Deleted = leader.Version == store.Absent
	e.applyLeader(leader)
	isOwn := e.epochRecord == next && e.leader.Epoch == next.Epoch && e.leader.Target.VM == e.config.Self.VM
	if isOwn {
		return store.Outcome{Applied: true, Version: epoch.Version}, nil
	}
	return out, errs.New(errs.Conflict, "%s leads with epoch %d", e.leader.Target.VM, e.epochRecord.Epoch)
}

func (e *Elector) beginTerm(leader Leader, next epochRecord, version store.Version) {
	e.mu.Lock()
	term := Term{Epoch: next.Epoch, Version: version}
	e.term = &term
	e.leader, e.leaderVersion = leader, version
	e.epochRecord, e.epochVersion = next, version
	e.vacantSince = time.Time{}
	e.mu.Unlock()
	e.config.Log.Info().Uint64("Epoch", uint64(term.Epoch)).Msg("became lead")
	e.config.OnStartedLeading(term)
}

// reassertLeadership writes the lead's key again after its lease ended while no other daemon followed.
func (e *Elector) reassertLeadership(ctx context.Context, term Term) {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	value, err := encode(Leader{Target: e.config.Self, Epoch: term.Epoch})
	if err != nil {
		e.config.Log.Error().Err(err).Msg("could not keep the lead")
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := e.config.Store.Apply(limited, store.Batch{
		Conditions: []store.Condition{{Key: leaderKey, Expect: store.Absent}, {Key: ledger.EpochKey, Expect: term.Version}},
		Puts:       []store.Put{{Key: leaderKey, Value: value, Lease: lease}},
	})
	if err != nil {
		e.handleClaimError(err)
		return
	}
	e.mu.Lock()
	if out.Applied {
		e.leaderVersion = out.Version
		e.vacantSince = time.Time{}
		e.mu.Unlock()
		e.config.Log.Info().Uint64("Epoch", uint64(term.Epoch)).Msg("kept the lead after its lease ended")
		return
	}
	e.mu.Unlock()
	if _, err := e.resolveClaim(out, epochRecord{Epoch: term.Epoch, Nonce: e.nonce}); err != nil {
		e.endTerm("another daemon followed")
	}
}
