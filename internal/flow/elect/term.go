package elect

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// beginTerm records that this daemon has become leader, and calls OnStartedLeading. A daemon that gave up leadership while its claim
// was on its way begins no term; decideLoop then deletes the record.
func (e *Elector) beginTerm(leader Leader, next epochRecord, version store.Version) {
	e.termMu.Lock()
	defer e.termMu.Unlock()
	e.mu.Lock()
	e.record, e.leaderVersion = leader, version
	e.epochRecord, e.epochVersion = next, version
	e.vacantSince = time.Time{}
	if !e.mayLead() {
		e.mu.Unlock()
		e.config.Log.Info().Uint64("Epoch", uint64(next.Epoch)).Msg("claim was applied after this daemon had given up leadership; deleting the leader record")
		return
	}
	term := Term{Epoch: next.Epoch, Version: version}
	e.term, e.lastEpoch = &term, term.Epoch
	e.leader = leader
	e.mu.Unlock()
	e.config.Log.Info().Uint64("Epoch", uint64(term.Epoch)).Msg("became leader")
	e.config.OnStartedLeading(term)
}

// mayLead reports whether this daemon has neither stepped down nor stood back. The caller must hold e.mu.
func (e *Elector) mayLead() bool {
	return !e.steppedDown && !e.config.Clock.Now().Before(e.abstainUntil)
}

// EndTerm ends the term if this daemon still leads under it, for example because a newer leader was found; the end of a former term has
// no effect. If the leader record is still this daemon's, it claims leadership anew. The reason is for the log.
func (e *Elector) EndTerm(t Term, reason string) {
	e.endTerm(t, reason, 0)
}

// StandBack ends the term if this daemon still leads under it. The leader record is deleted, and this daemon claims leadership again
// only after abstainTimeout, so that another daemon takes over if there is one. The reason is for the log.
func (e *Elector) StandBack(t Term, reason string) {
	e.endTerm(t, reason, abstainTimeout)
}

// StepDown gives up leadership for good: it deletes the daemon's records in the store and ends its term. The daemon
// neither claims leadership nor registers again, and its lease expires.
func (e *Elector) StepDown(ctx context.Context) {
	e.mu.Lock()
	e.steppedDown = true
	term := e.term
	e.mu.Unlock()
	if term != nil && e.config.OnSteppingDown != nil {
		e.config.OnSteppingDown(ctx, *term)
	}
	if err := e.deleteRecords(ctx, e.memberKey()); err != nil {
		e.config.Log.Warn().Err(err).Msg("could not delete the member and leader records; they expire with the lease")
	}
	if term != nil {
		e.endTerm(*term, "retired", 0)
	}
}

// endTerm ends the term if this daemon still leads under it, and claims leadership for the given time no more.
func (e *Elector) endTerm(t Term, reason string, abstain time.Duration) {
	e.termMu.Lock()
	defer e.termMu.Unlock()
	e.mu.Lock()
	if e.term == nil || *e.term != t {
		e.mu.Unlock()
		e.config.Log.Info().Uint64("Epoch", uint64(t.Epoch)).Str("Reason", reason).Msg("ignoring the end of a term that is over")
		return
	}
	e.term, e.termless.reason = nil, reason
	e.noteLostTerm()
	if abstain > 0 {
		e.abstainUntil = e.config.Clock.Now().Add(abstain)
	}
	if e.leader.Epoch == t.Epoch {
		e.leader = Leader{}
	}
	recordIsOwn := e.isRecordOwn()
	every.Wake(e.recordsChanged)
	e.mu.Unlock()
	e.metrics.termsEnded.Inc(1)
	e.config.Log.Warn().Uint64("Epoch", uint64(t.Epoch)).Str("Reason", reason).Bool("RecordIsOwn", recordIsOwn).
		Msg("term as leader ended")
	e.config.OnStoppedLeading(t)
}

// deleteRecords deletes the given keys, and with them the leader record while that is of this process. It tries again when the leader
// record has changed meanwhile, for example by a write of this daemon whose answer was late.
func (e *Elector) deleteRecords(ctx context.Context, keys ...store.Key) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxDeleteTries {
		e.mu.Lock()
		batch := e.recordDeletes(keys...)
		e.mu.Unlock()
		if len(batch.Deletes) == 0 {
			return nil
		}
		out, err := e.config.Store.Apply(limited, batch)
		if err != nil {
			return err
		}
		e.noteDelete(batch, out)
		if out.Applied {
			return nil
		}
	}
	return errs.New(errs.Conflict, "the leader record changed before each of %d tries", maxDeleteTries)
}

// noteDelete applies what the answer to a batch of recordDeletes says of the leader record. The watch may have delivered that of a
// successor before.
func (e *Elector) noteDelete(batch store.Batch, out store.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(batch.Conditions) == 0 || e.leaderVersion != batch.Conditions[0].Expect {
		return
	}
	present := store.Entry{Key: LeaderKey, Deleted: true}
	if !out.Applied {
		present = out.Find(LeaderKey)
		present.Deleted = present.Version == store.Absent
	}
	e.applyLeader(present)
}

// recordDeletes returns the batch that deletes the given keys, and the leader record while that is of this process. The caller
// must hold e.mu.
func (e *Elector) recordDeletes(keys ...store.Key) store.Batch {
	batch := store.Batch{Deletes: keys}
	if e.isRecordOfProcess() {
		batch.Conditions = []store.Condition{{Key: LeaderKey, Expect: e.leaderVersion}}
		batch.Deletes = append(batch.Deletes, LeaderKey)
	}
	return batch
}

// releaseRecord deletes the leader record that this daemon does not lead under. decideLoop calls it until the record is gone.
func (e *Elector) releaseRecord(ctx context.Context) {
	if err := e.deleteRecords(ctx); err != nil {
		e.config.Log.Debug().Err(err).Msg("could not delete the leader record; trying again in the next round")
	}
}
