package elect

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

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
		e.handleClaimError(err, lease)
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

// handleClaimError handles the error of a write of the leader record under the given lease. If that has expired, it removes the lease,
// so that a new one is acquired, unless there is a new one already.
func (e *Elector) handleClaimError(err error, lease store.LeaseID) {
	e.config.Log.Info().Err(err).Msg("could not write the leader record; retrying in the next round")
	if !errs.Is(err, errs.NotFound) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease == lease {
		e.lease = 0
	}
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

// isClaimApplied reports whether the records are those of a claim of this process that the store has applied although its answer has not
// arrived, and under which no term has begun. The caller must hold e.mu.
func (e *Elector) isClaimApplied() bool {
	isNew := e.term == nil && e.record.Epoch > e.lastEpoch && e.leader.Epoch <= e.record.Epoch
	return isNew && e.isRecordOfProcess()
}

// adoptClaim begins the term of such a claim.
func (e *Elector) adoptClaim(leader Leader, record epochRecord, version store.Version) {
	e.config.Log.Info().Uint64("Epoch", uint64(record.Epoch)).Msg("claim was applied although its answer did not arrive")
	e.beginTerm(leader, record, version)
}

// isSameClaim reports whether two records are of one claim. A later write of the leader record does not repeat the strength.
func (r epochRecord) isSameClaim(o epochRecord) bool {
	return r.Epoch == o.Epoch && r.Nonce == o.Nonce
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
		e.handleClaimError(err, lease)
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
		e.EndTerm(term, "another daemon took over")
	}
}
