package owner

import (
	"context"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// minWriteInterval is the least time between two writes of the ledger, so that one write carries many changes.
	minWriteInterval = 25 * time.Millisecond
	// takeoverRefusedTries and silentTries are how many tries of a write must be refused, or not answered, before the
	// others are asked to lead; relievePeriod is how often they are asked.
	takeoverRefusedTries    = 3
	takeoverUnansweredTries = 4
	takeoverRequestInterval = 500 * time.Millisecond
	// takeoverWriteTimeout is how long a write must have been under way for the lead to be given up.
	takeoverWriteTimeout = 200 * time.Millisecond
	// maxInFlight is how many writes may be under way.
	maxInFlight = 20
	// writeLatencyDecay is the part of the remembered write time that fades with each faster write, as one in so many.
	writeLatencyDecay = 8
)

type (
	// inFlightWrite is a write that is under way.
	inFlightWrite struct {
		pending pending
		writes  []*ledger.Write
		// snapshot is written once the flight has landed, or nil.
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

// record applies a change and queues it for the next write; after runs under the lock once it is durable. The
// caller holds the lock.
func (o *Owner) record(r tasks.Record, onDurable func()) {
	o.table.Apply(r)
	o.pending.entry.Records = append(o.pending.entry.Records, r)
	o.onDurable(onDurable)
}

// onDurable runs a step once everything that was recorded so far is durable. The caller holds the lock.
func (o *Owner) onDurable(f func()) {
	if f != nil {
		o.pending.onDurable = append(o.pending.onDurable, f)
	}
	wake(o.writeWake)
}

// writeLoop makes what was recorded durable. Several writes may be under way; what waited for them runs in the
// order in which they began.
func (o *Owner) writeLoop(jobLedger *ledger.Ledger) {
	toCommit := make(chan *inFlightWrite, maxInFlight)
	o.loops.Go(func() { o.commitLoop(jobLedger, toCommit) })
	defer close(toCommit)
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

func (o *Owner) ledgerFailed(err error) {
	if o.ctx.Err() == nil {
		o.config.Log.Warn().Err(err).Msg("the ledger took no write")
		o.endTerm("the ledger belongs to another lead")
	}
}

// beginWrite sends what is pending on its way, with an image of the tables when one is due.
func (o *Owner) beginWrite(jobLedger *ledger.Ledger, toCommit chan<- *inFlightWrite) error {
	if err := o.waitForFreeSlots(jobLedger); err != nil {
		return err
	}
	o.ledgerMu.Lock()
	snapshotDue := jobLedger.SnapshotDue()
	o.ledgerMu.Unlock()
	o.mu.Lock()
	w := &inFlightWrite{pending: o.pending, beganAt: o.config.Clock.Now(), done: make(chan error, 1)}
	o.pending = pending{}
	var records []tasks.Record
	var results []tasks.JobResult
	if snapshotDue {
		records, results = o.table.SnapshotRecords(), slices.Clone(o.table.RecentResults)
	}
	o.inFlight = append(o.inFlight, w)
	o.mu.Unlock()
	if err := w.beginWrites(o, jobLedger, snapshotDue, records, results); err != nil {
		return err
	}
	go w.runWrites(o.ctx)
	select {
	case toCommit <- w:
	case <-o.ctx.Done():
	}
	return nil
}

// beginWrites takes the flight's places in the ledger.
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

// waitForFreeSlots waits while the ring of segments is full, until an image has made room.
func (o *Owner) waitForFreeSlots(jobLedger *ledger.Ledger) error {
	for {
		o.ledgerMu.Lock()
		full := jobLedger.SnapshotRequired()
		o.ledgerMu.Unlock()
		if !full {
			return nil
		}
		if o.ctx.Err() != nil {
			return errs.New(errs.Unavailable, "the term ended while the ledger was full")
		}
		o.sleep(minWriteInterval)
	}
}

// handleWriteFailure has another daemon take over when the store goes on refusing this one's writes.
func (o *Owner) handleWriteFailure(tries int, after time.Duration, err error) {
	o.config.Log.Debug().Err(err).Int("Tries", tries).Dur("After", after).Msg("the store did not take a write")
	refused := errs.Is(err, errs.Unavailable) && tries >= takeoverRefusedTries
	unanswered := tries >= takeoverUnansweredTries
	if (!refused && !unanswered) || o.config.OnWritesStalled == nil {
		return
	}
	o.mu.Lock()
	now := o.config.Clock.Now()
	recent := now.Sub(o.takeoverRequestedAt) < takeoverRequestInterval
	if !recent {
		o.takeoverRequestedAt = now
	}
	o.mu.Unlock()
	if !recent {
		o.config.Log.Warn().Err(err).Int("Tries", tries).Dur("After", after).Msg("asking the others to lead")
		go o.config.OnWritesStalled(o.hasStalledWrites)
	}
}

// hasStalledWrites tells whether a write has been under way for longer than the store takes when it is well.
func (o *Owner) hasStalledWrites() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctx.Err() == nil && o.oldestWriteAge() > takeoverWriteTimeout
}

// runWrites makes the writes of a flight.
func (w *inFlightWrite) runWrites(ctx context.Context) {
	for _, segment := range w.writes {
		if err := segment.Run(ctx); err != nil {
			w.done <- err
			return
		}
	}
	w.done <- nil
}

// commitLoop runs what waited for each write once it is durable.
func (o *Owner) commitLoop(jobLedger *ledger.Ledger, toCommit <-chan *inFlightWrite) {
	for w := range toCommit {
		if err := <-w.done; err != nil {
			o.ledgerFailed(err)
			return
		}
		o.ledgerMu.Lock()
		for _, segment := range w.writes {
			jobLedger.Finish(segment)
		}
		o.ledgerMu.Unlock()
		o.commitWrite(w)
		if w.snapshot != nil {
			o.loops.Go(func() { o.writeSnapshot(jobLedger, w.snapshot) })
		}
	}
}

func (o *Owner) commitWrite(w *inFlightWrite) {
	o.mu.Lock()
	defer o.mu.Unlock()
	took := o.config.Clock.Since(w.beganAt)
	o.counters.ledgerWrite.Update(took)
	o.writeLatency = max(took, o.writeLatency-o.writeLatency/writeLatencyDecay)
	o.inFlight = o.inFlight[1:]
	for _, f := range w.pending.onDurable {
		f()
	}
}

// snapshot writes the image that a flight carried, until it is written or the term ends.
func (o *Owner) writeSnapshot(jobLedger *ledger.Ledger, snapshot *ledger.Snapshot) {
	began := o.config.Clock.Now()
	for {
		err := snapshot.Run(o.ctx)
		if err == nil || errs.Is(err, errs.Fenced) || o.ctx.Err() != nil {
			o.ledgerMu.Lock()
			jobLedger.FinishSnapshot(snapshot, err)
			o.ledgerMu.Unlock()
			o.removeStoredResults(snapshot, err)
			o.counters.ledgerSnapshot.UpdateSince(began)
			return
		}
		o.config.Log.Warn().Err(err).Msg("could not write an image of the ledger")
		o.sleep(ledgerBackoff)
	}
}

// removeStoredResults drops the ends that an image stored.
func (o *Owner) removeStoredResults(snapshot *ledger.Snapshot, err error) {
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.RecentResults = slices.Clone(o.table.RecentResults[snapshot.ResultCount():])
}
