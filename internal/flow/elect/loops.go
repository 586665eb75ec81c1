package elect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// maxJitter limits the random delay that spreads the claims of daemons that are equally near to the store.
const maxJitter = 40 * time.Millisecond

// renewLoop renews the daemon's lease, to which its member record is bound, until ctx ends.
func (e *Elector) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay := e.config.TTL / renewalsPerTTL
		if err := e.renewLease(ctx); err != nil {
			e.config.Log.Debug().Err(err).Msg("could not renew the lease; retrying after the backoff")
			delay = retryBackoff
		}
		every.Sleep(ctx, e.config.Clock, delay)
	}
}

// renewLease renews the daemon's lease, or registers the daemon if it has no lease or the lease has expired.
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
		e.config.Log.Warn().Msg("lease in the store has expired; registering again")
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

// register acquires a lease and writes the member record under it. A daemon that has stepped down is not registered; if
// it steps down meanwhile, its record is deleted again.
func (e *Elector) register(ctx context.Context) error {
	if e.hasSteppedDown() {
		return errs.New(errs.Draining, "this daemon has stepped down; it does not register again")
	}
	limited, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	began := e.config.Clock.Now()
	lease, err := e.config.Store.Grant(limited, e.config.TTL)
	if err != nil {
		return err
	}
	latency := e.config.Clock.Since(began)
	value, err := encode(Member{Target: e.config.Self, Strength: e.config.Strength, Level: ledger.MaxLevel})
	if err != nil {
		return err
	}
	put := store.Put{Key: e.memberKey(), Value: value, Lease: lease}
	if _, err := e.config.Store.Apply(limited, store.Batch{Puts: []store.Put{put}}); err != nil {
		return err
	}
	e.mu.Lock()
	e.lease = lease
	e.observeLatency(latency)
	every.Wake(e.recordsChanged)
	e.mu.Unlock()
	if e.hasSteppedDown() {
		return e.deleteRecords(ctx, nil, e.memberKey())
	}
	return nil
}

func (e *Elector) hasSteppedDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.steppedDown
}

// watchLoop keeps the known leader, epoch and members up to date until ctx ends.
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
			e.config.Log.Debug().Err(err).Msg("could not read or watch the election records; reading them again after the backoff")
			every.Sleep(ctx, e.config.Clock, retryBackoff)
		}
	}
}

// listControl reads leader, epoch and members, and returns the version from which to watch. On an error it returns
// store.Absent.
func (e *Elector) listControl(ctx context.Context) (store.Version, error) {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := e.config.Store.List(limited, controlPrefix)
	if err != nil {
		return store.Absent, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.members)
	e.applyEntry(store.Entry{Key: LeaderKey, Deleted: true})
	for _, entry := range page.Entries {
		e.applyEntry(entry)
	}
	e.listed = true
	e.lastContact = e.config.Clock.Now()
	every.Wake(e.recordsChanged)
	return page.Version, nil
}

// watchControl waits for changes of leader, epoch and members after the given version, and returns the version from
// which to watch next. It returns store.Absent when the list must be read again.
func (e *Elector) watchControl(ctx context.Context, version store.Version) (store.Version, error) {
	limited, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	page, err := e.config.Store.Watch(limited, controlPrefix, version)
	if errs.Is(err, errs.Conflict) {
		return store.Absent, nil
	}
	if err != nil {
		// Events may have been missed while the call failed, so the list must be read again.
		return store.Absent, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range page.Entries {
		e.applyEntry(entry)
	}
	e.lastContact = e.config.Clock.Now()
	if e.leaderVersion == store.Absent {
		every.Wake(e.recordsChanged)
	}
	return page.Version, nil
}

// decideLoop claims leadership when it is vacant, and ends this daemon's term when another daemon leads.
func (e *Elector) decideLoop(ctx context.Context) {
	wait := decideInterval
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.recordsChanged:
		case <-e.config.Clock.After(wait):
		}
		wait = e.decide(ctx)
	}
}

// decide makes one round of decideLoop. It claims, or reasserts, vacant leadership only after the delays for the
// latency to the store and for a weaker VM, and a random one. It returns the time until the next round.
func (e *Elector) decide(ctx context.Context) time.Duration {
	e.mu.Lock()
	term := e.term
	overtaken := term != nil && (e.epochRecord.Epoch > term.Epoch || e.leader.Epoch > term.Epoch)
	mayClaim := !e.steppedDown && e.lease != 0 && !e.config.Clock.Now().Before(e.abstainUntil)
	vacant := e.listed && mayClaim && e.isVacant()
	if !vacant {
		e.vacantSince = time.Time{}
	} else if e.vacantSince.IsZero() {
		e.vacantSince, e.claimJitter = e.config.Clock.Now(), rand.N(maxJitter)
	}
	delay := min(rankDelayFactor*e.storeLatency, maxRankDelay) + e.weakDelay() + e.claimJitter
	left := delay - e.config.Clock.Since(e.vacantSince)
	delayPassed := vacant && left <= 0
	e.checkTermless()
	e.mu.Unlock()
	switch {
	case overtaken:
		e.endTerm("another daemon leads under a newer epoch")
	case delayPassed && term != nil:
		e.reassertLeadership(ctx, *term)
	case delayPassed:
		e.claim(ctx)
	case vacant:
		return min(left, decideInterval)
	}
	return decideInterval
}

// knownStrength returns the highest Strength of this daemon, those listed, and those that were listed until recently. The caller
// must hold e.mu.
func (e *Elector) knownStrength() Strength {
	strongest := e.config.Strength
	for _, m := range e.members {
		strongest = max(strongest, m.Strength)
		e.rememberStrength(m.Strength)
	}
	if e.config.Clock.Since(e.strongestAt) <= strengthMemory {
		strongest = max(strongest, e.strongest)
	}
	return strongest
}

// weakDelay returns the delay during which this daemon lets stronger ones claim leadership first. The caller must hold e.mu.
func (e *Elector) weakDelay() time.Duration {
	strongest := e.knownStrength()
	switch {
	case e.config.Strength >= strongShare*strongest:
		return 0
	case e.config.Strength >= weakShare*strongest:
		return weakDelayStep
	default:
		return 2 * weakDelayStep
	}
}

// isVacant reports whether the leader record is missing, belongs to a process that has ended, or belongs to a suspected
// leader. The caller must hold e.mu.
func (e *Elector) isVacant() bool {
	if e.leaderVersion == store.Absent {
		return true
	}
	// The record is from an earlier process of this daemon, or from a claim whose answer was lost.
	if e.term == nil && e.leader.Target.VM == e.config.Self.VM {
		return true
	}
	suspected := e.suspectEpoch != 0 && e.leader.Epoch == e.suspectEpoch && e.config.Clock.Since(e.suspectedAt) < suspectTimeout
	return suspected && e.term == nil
}

// claim tries to become leader under a new epoch.
func (e *Elector) claim(ctx context.Context) {
	e.mu.Lock()
	next := epochRecord{Epoch: e.epochRecord.Epoch + 1, Nonce: e.nonce, Strength: e.knownStrength()}
	lease, leaderVersion, epochVersion := e.lease, e.leaderVersion, e.epochVersion
	e.mu.Unlock()
	leader := Leader{Target: e.config.Self, Epoch: next.Epoch}
	batch, err := claimBatch(leader, next, lease)
	if err != nil {
		e.config.Log.Error().Err(err).Msg("could not encode the claim to leadership")
		return
	}
	batch.Conditions = []store.Condition{
		{Key: LeaderKey, Expect: leaderVersion}, {Key: ledger.EpochKey, Expect: epochVersion},
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
			e.config.Log.Info().Err(err).Msg("claim to leadership refused")
			return
		}
	}
	e.beginTerm(leader, next, out.Version)
}

// claimBatch returns the puts of a claim: the leader record, bound to the lease, and the epoch record.
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
		{Key: LeaderKey, Value: leaderValue, Lease: lease},
		{Key: ledger.EpochKey, Value: epochValue},
	}}, nil
}

// handleClaimError handles the error of a write of the leader record. If the lease has expired, it removes the lease,
// so that a new one is acquired.
func (e *Elector) handleClaimError(err error) {
	e.config.Log.Info().Err(err).Msg("could not write the leader record; retrying in the next round")
	if !errs.Is(err, errs.NotFound) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = 0
}

// resolveClaim resolves a claim that the store refused. The same claim may have been applied before although its answer
// was lost; then the returned outcome is that of the applied claim. Otherwise resolveClaim returns an error of kind
// Conflict. In both cases it applies the records of the outcome, so that the next claim starts from them.
func (e *Elector) resolveClaim(out store.Outcome, next epochRecord) (store.Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	epoch, leader := out.Find(ledger.EpochKey), out.Find(LeaderKey)
	if epoch.Version != store.Absent {
		e.applyEpoch(epoch)
	}
	leader.Deleted = leader.Version == store.Absent
	e.applyLeader(leader)
	isOwn := e.epochRecord.isSameClaim(next) && e.leader.Epoch == next.Epoch && e.leader.Target.VM == e.config.Self.VM
	if isOwn {
		return store.Outcome{Applied: true, Version: epoch.Version}, nil
	}
	return out, errs.New(errs.Conflict, "%s leads under epoch %d", e.leader.Target.VM, e.epochRecord.Epoch)
}

// beginTerm records that this daemon has become leader, and calls OnStartedLeading.
func (e *Elector) beginTerm(leader Leader, next epochRecord, version store.Version) {
	e.mu.Lock()
	term := Term{Epoch: next.Epoch, Version: version}
	e.term = &term
	e.leader, e.record, e.leaderVersion = leader, leader, version
	e.epochRecord, e.epochVersion = next, version
	e.vacantSince = time.Time{}
	e.mu.Unlock()
	e.config.Log.Info().Uint64("Epoch", uint64(term.Epoch)).Msg("became leader")
	e.config.OnStartedLeading(term)
}

// reassertLeadership writes the leader record again, under the same epoch, after its lease has expired and no other
// daemon has taken over.
func (e *Elector) reassertLeadership(ctx context.Context, term Term) {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	value, err := encode(Leader{Target: e.config.Self, Epoch: term.Epoch})
	if err != nil {
		e.config.Log.Error().Err(err).Msg("could not encode the leader record")
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := e.config.Store.Apply(limited, store.Batch{
		Conditions: []store.Condition{{Key: LeaderKey, Expect: store.Absent}, {Key: ledger.EpochKey, Expect: term.Version}},
		Puts:       []store.Put{{Key: LeaderKey, Value: value, Lease: lease}},
	})
	if err != nil {
		e.handleClaimError(err)
		return
	}
	e.mu.Lock()
	if out.Applied {
		e.record, e.leaderVersion = Leader{Target: e.config.Self, Epoch: term.Epoch}, out.Version
		e.vacantSince = time.Time{}
		e.mu.Unlock()
		e.config.Log.Info().Uint64("Epoch", uint64(term.Epoch)).Msg("kept leadership after the lease had expired")
		return
	}
	e.mu.Unlock()
	if _, err := e.resolveClaim(out, epochRecord{Epoch: term.Epoch, Nonce: e.nonce}); err != nil {
		e.endTerm("another daemon took over")
	}
}
