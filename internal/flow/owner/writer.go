package owner

import (
	"context"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// minWriteInterval is the minimum time between two ledger writes, so that one write carries many changes.
	minWriteInterval = 25 * time.Millisecond
	// takeoverRefusedTries is how many tries of a write must have failed before the other daemons are asked to take
	// over when the latest was refused (kind Unavailable), and takeoverUnansweredTries how many when it failed
	// otherwise. takeoverRequestInterval is how often they are asked.
	takeoverRefusedTries    = 3
	takeoverUnansweredTries = 4
	takeoverRequestInterval = 500 * time.Millisecond
	// takeoverWriteTimeout is how long the writes must have been stalled for the other daemons to be asked to take over.
	takeoverWriteTimeout = 200 * time.Millisecond
	// maxInFlight limits the writes that wait to be committed.
	maxInFlight = 20
	// writeLatencyDecay is the divisor of the decay of writeLatency: with each faster write it falls by at most
	// 1/writeLatencyDecay.
	writeLatencyDecay = 8
)

type (
	// inFlightWrite is a write of the ledger that is in flight.
	inFlightWrite struct {
		pending pending
		// writes is empty for a snapshot alone.
		writes []*ledger.Write
		// snapshot is written once this write is committed; nil when none is due.
		snapshot *ledger.Snapshot
		beganAt  time.Time
		done     chan error
	}

	// pending is what the next write makes durable.
	pending struct {
		entry     ledger.Entry
		onDurable []func()
	}
)

// record applies a change and queues it for the next write; onDurable runs under o.mu once the change is durable. The
// caller must hold o.mu.
func (o *Owner) record(r tasks.Record, onDurable func()) {
	o.table.Apply(r)
	o.pending.entry.Records = append(o.pending.entry.Records, r)
	o.onDurable(onDurable)
}

// onDurable runs f under o.mu once everything that was recorded so far is durable. The caller must hold o.mu.
func (o *Owner) onDurable(f func()) {
	if f != nil {
		o.pending.onDurable = append(o.pending.onDurable, f)
	}
	every.Wake(o.writeWake)
}

// writeLoop makes the recorded changes durable. Several writes may be in flight; the functions that wait for them run
// in the order in which the writes began.
func (o *Owner) writeLoop(jobLedger *ledger.Ledger) {
	toCommit := make(chan *inFlightWrite, maxInFlight)
	o.loops.Go(o.guarded("ledger commit", func() { o.commitLoop(jobLedger, toCommit) }))
	defer close(toCommit)
	o.wakeIfSnapshotDue(jobLedger)
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.writeWake:
		}
		if err := o.beginWrite(jobLedger, toCommit); err != nil {
			o.ledgerFailed(err)
			return
		}
		o.sleep(minWriteInterval)
	}
}

// ledgerFailed ends the term after a ledger write that failed for good.
func (o *Owner) ledgerFailed(err error) {
	if o.ctx.Err() == nil {
		o.config.Log.Warn().Err(err).Msg("ledger write failed; ending the term")
		o.endTerm("the ledger belongs to another leader")
	}
}

// wakeIfSnapshotDue lets the first write begin at once if a snapshot is due: former terms may have been too short for theirs.
func (o *Owner) wakeIfSnapshotDue(jobLedger *ledger.Ledger) {
	o.ledgerMu.Lock()
	defer o.ledgerMu.Unlock()
	if jobLedger.SnapshotDue() {
		every.Wake(o.writeWake)
	}
}

// beginWrite begins to write the pending changes, with a snapshot of the tables when one is due.
func (o *Owner) beginWrite(jobLedger *ledger.Ledger, toCommit chan<- *inFlightWrite) error {
	if err := o.waitForFreeSlots(jobLedger, toCommit); err != nil {
		return err
	}
	o.ledgerMu.Lock()
	snapshotDue := jobLedger.SnapshotDue()
	o.ledgerMu.Unlock()
	w, records, results := o.takePending(snapshotDue)
	if err := w.beginWrites(o, jobLedger, snapshotDue, records, results); err != nil {
		return err
	}
	go w.runWrites(o.ctx)
	o.enqueue(w, toCommit)
	return nil
}

// enqueue hands a write to the commit loop, which takes them in this order.
func (o *Owner) enqueue(w *inFlightWrite, toCommit chan<- *inFlightWrite) {
	defer o.turns.Begin(waitInFlight)()
	select {
	case toCommit <- w:
	case <-o.ctx.Done():
	}
}

// takePending returns a write of the pending changes, and what a snapshot holds when one is due.
func (o *Owner) takePending(snapshotDue bool) (*inFlightWrite, []tasks.Record, []tasks.JobResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := &inFlightWrite{pending: o.pending, beganAt: o.config.Clock.Now(), done: make(chan error, 1)}
	o.pending = pending{}
	o.inFlight = append(o.inFlight, w)
	if !snapshotDue {
		return w, nil, nil
	}
	return w, o.table.SnapshotRecords(), o.snapshotResults()
}

// beginWrites begins the writes in the ledger, which gives them their segments, and the snapshot when one is due.
func (w *inFlightWrite) beginWrites(
	o *Owner, jobLedger *ledger.Ledger, snapshotDue bool, records []tasks.Record, results []tasks.JobResult,
) error {
	o.ledgerMu.Lock()
	defer o.ledgerMu.Unlock()
	writes, err := jobLedger.Begin(w.pending.entry)
	if err != nil {
		return err
	}
	w.writes = writes
	if snapshotDue {
		w.snapshot = jobLedger.BeginSnapshot(records, results)
	}
	return nil
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

// handleWriteFailure asks the other daemons to take over when the store keeps refusing this daemon's writes, or keeps
// leaving them unanswered.
func (o *Owner) handleWriteFailure(tries int, after time.Duration, err error) {
	o.config.Log.Debug().Err(err).Int("Tries", tries).Dur("After", after).Msg("a try of a ledger write failed")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failedTryAt = o.config.Clock.Now()
	refused := errs.Is(err, errs.Unavailable) && tries >= takeoverRefusedTries
	unanswered := tries >= takeoverUnansweredTries
	if !refused && !unanswered {
		return
	}
	o.requestTakeover(err, after)
}

// logSnapshotFailure logs the first failed try of each value of a snapshot. The writes tell whether the store is away, so a
// snapshot's failures ask nobody to take over.
func (o *Owner) logSnapshotFailure(tries int, after time.Duration, err error) {
	if tries == 1 {
		o.config.Log.Warn().Err(err).Dur("After", after).Msg("a try to write a part of a snapshot failed; trying again")
	}
}

// checkUnansweredWrites asks the other daemons to take over when the writes have got no answer for so long that new jobs are
// put into none: the store may be unreachable for this daemon only. The caller must hold o.mu.
func (o *Owner) checkUnansweredWrites() {
	if age := o.unansweredFor(); age > takeoverWriteTimeout {
		o.requestTakeover(errs.New(errs.Lost, "the store has not answered"), age)
	}
}

// requestTakeover asks the other daemons to take over, at most once in each takeoverRequestInterval. The caller must hold
// o.mu.
func (o *Owner) requestTakeover(cause error, after time.Duration) {
	now := o.config.Clock.Now()
	if o.config.OnWritesStalled == nil || now.Sub(o.takeoverRequestedAt) < takeoverRequestInterval {
		return
	}
	o.takeoverRequestedAt = now
	o.config.Log.Warn().Err(cause).Dur("After", after).Msg("ledger writes keep failing; asking the other daemons to take over")
	go o.config.OnWritesStalled(o.hasStalledWrites)
}

// hasStalledWrites reports whether no write has been committed for longer than takeoverWriteTimeout though some are in flight.
func (o *Owner) hasStalledWrites() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctx.Err() == nil && o.unansweredFor() > takeoverWriteTimeout
}

// runWrites runs the writes at the same time and sends the first error, or nil, to done once all have ended. After an outage one
// entry holds the jobs of seconds, and so has many writes.
func (w *inFlightWrite) runWrites(ctx context.Context) {
	outcomes := make(chan error, len(w.writes))
	for _, segment := range w.writes {
		go func() { outcomes <- segment.Run(ctx) }()
	}
	var first error
	for range w.writes {
		if err := <-outcomes; err != nil && first == nil {
			first = err
		}
	}
	w.done <- first
}

// commitLoop commits the writes in the order in which they began, each once it is durable, and then writes the
// snapshot that belongs to it.
func (o *Owner) commitLoop(jobLedger *ledger.Ledger, toCommit <-chan *inFlightWrite) {
	for w := range toCommit {
		if err := o.awaitWrite(w); err != nil {
			o.ledgerFailed(err)
			return
		}
		if len(w.writes) > 0 {
			o.ledgerMu.Lock()
			for _, segment := range w.writes {
				jobLedger.Finish(segment)
			}
			o.ledgerMu.Unlock()
			o.commitWrite(w)
		}
		if w.snapshot != nil {
			o.loops.Go(o.guarded("snapshot", func() { o.writeSnapshot(jobLedger, w.snapshot) }))
		}
	}
}

// awaitWrite waits until a write has ended and returns its error.
func (o *Owner) awaitWrite(w *inFlightWrite) error {
	defer o.turns.Begin(waitOldestWrite)()
	return <-w.done
}

// commitWrite records the latency of a durable write and runs the functions that waited for it.
func (o *Owner) commitWrite(w *inFlightWrite) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteConfirmed(w.beganAt)
	o.committedAt = o.config.Clock.Now()
	took := o.config.Clock.Since(w.beganAt)
	o.counters.ledgerWrite.Update(took)
	o.writeLatency = max(took, o.writeLatency-o.writeLatency/writeLatencyDecay)
	o.inFlight = o.inFlight[1:]
	for _, f := range w.pending.onDurable {
		f()
	}
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
