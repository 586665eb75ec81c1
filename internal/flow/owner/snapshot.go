package owner

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// wakeIfSnapshotDue lets the first write begin at once if a snapshot is due: former terms may have been too short for theirs.
func (o *Owner) wakeIfSnapshotDue(jobLedger *ledger.Ledger) {
	o.ledgerMu.Lock()
	defer o.ledgerMu.Unlock()
	if jobLedger.SnapshotDue() {
		every.Wake(o.writeWake)
	}
}

// waitForFreeSlots waits while the ring of segments is full, until a snapshot has freed slots. It begins one if none is under way,
// since the write that would otherwise begin it cannot be begun.
func (o *Owner) waitForFreeSlots(jobLedger *ledger.Ledger, toCommit chan<- *inFlightWrite) error {
	defer o.turns.Begin(waitFreeSlots)()
	for {
		o.ledgerMu.Lock()
		full, snapshotDue := jobLedger.SnapshotRequired(), jobLedger.SnapshotDue()
		o.ledgerMu.Unlock()
		o.noteRing(full)
		if !full {
			return nil
		}
		if o.ctx.Err() != nil {
			return errs.New(errs.Unavailable, "the term ended while the ledger was full")
		}
		if snapshotDue {
			o.beginSnapshotAlone(jobLedger, toCommit)
		}
		o.sleep(minWriteInterval)
	}
}

// noteRing records since when the ring of segments has been full.
func (o *Owner) noteRing(full bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !full {
		o.ringFullSince = time.Time{}
	} else if o.ringFullSince.IsZero() {
		o.ringFullSince = o.config.Clock.Now()
	}
}

// beginSnapshotAlone begins a snapshot that is written once all writes begun so far are committed. It may hold changes that are in
// no write yet: they are durable before their callers are told so, and are written once more.
func (o *Owner) beginSnapshotAlone(jobLedger *ledger.Ledger, toCommit chan<- *inFlightWrite) {
	o.config.Log.Warn().Msg("the ledger's ring is full; no change is durable until a snapshot is written")
	o.mu.Lock()
	records, results := o.table.SnapshotRecords(), o.snapshotResults()
	o.mu.Unlock()
	w := &inFlightWrite{done: make(chan error, 1)}
	w.done <- nil
	o.ledgerMu.Lock()
	w.snapshot = jobLedger.BeginSnapshot(records, results)
	o.ledgerMu.Unlock()
	o.enqueue(w, toCommit)
}

// writeSnapshot writes a snapshot, with retries, until it is written, another leader has taken over or the term ends.
func (o *Owner) writeSnapshot(jobLedger *ledger.Ledger, snapshot *ledger.Snapshot) {
	began := o.config.Clock.Now()
	for {
		err := snapshot.Run(o.ctx)
		if err == nil || errs.Is(err, errs.Fenced) || o.ctx.Err() != nil {
			o.finishSnapshot(jobLedger, snapshot, err)
			o.counters.ledgerSnapshot.UpdateSince(began)
			return
		}
		o.config.Log.Warn().Err(err).Dur("After", o.config.Clock.Since(began)).Msg("writing a snapshot of the ledger failed; retrying")
		o.sleep(ledgerBackoff)
	}
}

// logSnapshotFailure logs the first failed try of each value of a snapshot. The writes tell whether the store is away, so a
// snapshot's failures ask nobody to take over.
func (o *Owner) logSnapshotFailure(tries int, after time.Duration, err error) {
	if tries == 1 {
		o.config.Log.Warn().Err(err).Dur("After", after).Msg("a try to write a part of a snapshot failed; trying again")
	}
}

// snapshotResults returns the job results that the next snapshot stores, in the order of the tables. Of the runs that had not ended
// with their job, those that have ended since are left out: each new leader would read them, and count them until their runners
// have reported. The caller must hold o.mu.
func (o *Owner) snapshotResults() []tasks.JobResult {
	out := slices.Clone(o.table.RecentResults)
	for i := range out {
		if len(out[i].Runs) == 0 {
			continue
		}
		out[i].Runs = slices.DeleteFunc(slices.Clone(out[i].Runs), o.hasEnded)
		if len(out[i].Runs) == 0 {
			out[i].Largest = types.Resources{}
		}
	}
	return out
}

// hasEnded reports whether a run that had not ended with its job has ended since. The caller must hold o.mu.
func (o *Owner) hasEnded(remaining tasks.RemainingRun) bool {
	r := o.table.Runners[remaining.Runner]
	return r == nil || r.Runs[tasks.RunKey{Ref: remaining.Ref, Attempt: remaining.Attempt}] == nil
}

// finishSnapshot records that a snapshot ran, and with which error. The stored results are removed before the ledger
// may begin the next snapshot: that one would otherwise store them again, and the second removal, which goes by their
// count, would remove newer results that no snapshot holds.
func (o *Owner) finishSnapshot(jobLedger *ledger.Ledger, snapshot *ledger.Snapshot, err error) {
	if err == nil {
		o.removeStoredResults(snapshot)
	}
	o.ledgerMu.Lock()
	defer o.ledgerMu.Unlock()
	jobLedger.FinishSnapshot(snapshot, err)
}

// removeStoredResults removes the job results that a snapshot has stored from the tables.
func (o *Owner) removeStoredResults(snapshot *ledger.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.RecentResults = slices.Clone(o.table.RecentResults[snapshot.ResultCount():])
}
