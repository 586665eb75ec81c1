package elect

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// beginTerm records that this daemon has become leader, and calls OnStartedLeading.
func (e *Elector) beginTerm(leader Leader, next epochRecord, version store.Version) {
	e.termMu.Lock()
	defer e.termMu.Unlock()
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

// StepDown gives up leadership for good: it deletes the daemon's records in the store and ends its term. The daemon
// neither claims leadership nor registers again.
func (e *Elector) StepDown(ctx context.Context) {
	e.mu.Lock()
	e.steppedDown = true
	term := e.term
	e.mu.Unlock()
	if err := e.deleteRecords(ctx, term, e.memberKey()); err != nil {
		e.config.Log.Warn().Err(err).Msg("could not delete the member and leader records; they expire with the lease")
	}
	if term != nil {
		e.EndTerm(*term, "retired")
	}
}

// StandBack ends the term if this daemon still leads under it, deletes the leader record, and claims leadership again only after
// abstainTimeout, so that another daemon takes over if there is one. The reason is for the log.
func (e *Elector) StandBack(ctx context.Context, t Term, reason string) {
	e.mu.Lock()
	if e.term == nil || *e.term != t {
		e.mu.Unlock()
		return
	}
	e.abstainUntil = e.config.Clock.Now().Add(abstainTimeout)
	batch := e.recordDeletes(e.term)
	e.mu.Unlock()
	e.EndTerm(t, reason)
	if len(batch.Deletes) == 0 {
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := e.config.Store.Apply(limited, batch); err != nil {
		e.config.Log.Warn().Err(err).Msg("could not delete the leader record; this daemon claims leadership again after its abstention")
	}
}

// deleteRecords deletes the given keys, and with them the leader record while that is the one of the term. It tries
// again when the leader record has changed meanwhile, for example by a write of this daemon whose answer was late.
func (e *Elector) deleteRecords(ctx context.Context, term *Term, keys ...store.Key) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxDeleteTries {
		e.mu.Lock()
		batch := e.recordDeletes(term, keys...)
		e.mu.Unlock()
		out, err := e.config.Store.Apply(limited, batch)
		if err != nil || out.Applied {
			return err
		}
		present := out.Find(LeaderKey)
		present.Deleted = present.Version == store.Absent
		e.mu.Lock()
		e.applyLeader(present)
		e.mu.Unlock()
	}
	return errs.New(errs.Conflict, "the leader record changed before each of %d tries", maxDeleteTries)
}

// recordDeletes returns the batch that deletes the given keys, and the leader record while that is the one of the term. The caller
// must hold e.mu.
func (e *Elector) recordDeletes(term *Term, keys ...store.Key) store.Batch {
	batch := store.Batch{Deletes: keys}
	leads := term != nil && e.leaderVersion != store.Absent &&
		e.leader.Target.VM == e.config.Self.VM && e.leader.Epoch == term.Epoch
	if leads {
		batch.Conditions = []store.Condition{{Key: LeaderKey, Expect: e.leaderVersion}}
		batch.Deletes = append(batch.Deletes, LeaderKey)
	}
	return batch
}

// EndTerm ends the term if this daemon still leads under it, for example because a newer leader was found; the end of a former term has
// no effect. The reason is for the log.
func (e *Elector) EndTerm(t Term, reason string) {
	e.termMu.Lock()
	defer e.termMu.Unlock()
	e.mu.Lock()
	if e.term == nil || *e.term != t {
		e.mu.Unlock()
		e.config.Log.Info().Uint64("Epoch", uint64(t.Epoch)).Str("Reason", reason).Msg("ignoring the end of a term that is over")
		return
	}
	e.term, e.termless.reason = nil, reason
	if e.leader.Epoch == t.Epoch {
		e.leader = Leader{}
	}
	recordIsOwn := e.isRecordOwn()
	e.mu.Unlock()
	e.metrics.termsEnded.Inc(1)
	e.config.Log.Warn().Uint64("Epoch", uint64(t.Epoch)).Str("Reason", reason).Bool("RecordIsOwn", recordIsOwn).
		Msg("term as leader ended")
	e.config.OnStoppedLeading(t)
}
