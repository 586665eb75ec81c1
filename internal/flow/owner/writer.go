package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// minWriteInterval is the minimum time between two ledger writes, so that one write carries many changes.
	minWriteInterval = 25 * time.Millisecond
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

// ledgerFailed ends the term after a ledger write that failed for good. Unless another leader has taken over, this daemon stands back: the
// tables hold changes that the ledger does not take, and the next leader begins without them.
func (o *Owner) ledgerFailed(err error) {
	if o.ctx.Err() != nil {
		return
	}
	o.config.Log.Warn().Err(err).Msg("ledger write failed; ending the term")
	if errs.Is(err, errs.Fenced) {
		o.endTerm("the ledger belongs to another leader")
		return
	}
	o.standBack("the ledger does not take a write: " + err.Error())
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
