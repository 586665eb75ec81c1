package lead

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/core/wire"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
)

const (
	// writeRetryBackoff is the pause after a failed write. Callers that are rejected with an error of kind Unavailable
	// are told to retry after it, also when no write has failed: this daemon does not lead, no document is in force, or
	// the job is being handed over.
	writeRetryBackoff = time.Second
	// maxBatchRecords bounds the records of one segment. A segment also ends with the record that reaches
	// commit.MaxBatchBytes.
	maxBatchRecords = 4096
)

type (
	// pendingRecord is a record that waits for its commit, with the functions to call on the outcome. Both may be
	// nil.
	pendingRecord struct {
		record commit.Record
		// retry is set if the record stays queued when a write fails.
		retry     bool
		onDurable func()
		// onFailed is called with an error of kind Unavailable when the record was certainly not written, and
		// of kind Unknown when that is not known.
		onFailed func(err error)
	}

	// writer collects records into batches and makes one write to the store at a time.
	writer struct {
		queue    []pendingRecord
		inFlight []pendingRecord
		batchAt  time.Time
		busy     bool
		retryAt  time.Time
		// inDoubt is set when it is not known whether the latest write took effect. It is a copy, since the
		// journal belongs to the asynchronous operation while a write is in flight.
		inDoubt bool
	}
)

func (w *writer) enqueue(p pendingRecord) {
	w.queue = append(w.queue, p)
}

// startBatch moves the next batch from the queue to inFlight.
func (w *writer) startBatch(now time.Time) {
	bytes := 0
	n := 0
	for n < len(w.queue) && n < maxBatchRecords && bytes < commit.MaxBatchBytes {
		bytes += len(wire.Marshal(w.queue[n].record))
		n++
	}
	w.inFlight = w.queue[:n:n]
	w.queue = w.queue[n:]
	w.batchAt = now
}

// failAll fails all records when the leader loses its role.
func (w *writer) failAll() {
	inFlight := errs.New(errs.Unavailable, "this daemon no longer leads; nothing was accepted")
	if w.inDoubt || w.busy {
		inFlight = errs.New(errs.Unknown, "this daemon lost leadership before the outcome of the write was known")
	}
	failRecords(w.inFlight, inFlight)
	failRecords(w.queue, errs.New(errs.Unavailable, "this daemon no longer leads; nothing was accepted"))
	w.inFlight, w.queue = nil, nil
}

func failRecords(records []pendingRecord, err error) {
	for _, p := range records {
		if p.onFailed != nil {
			p.onFailed(err)
		}
	}
}

// writeTick resolves a write in doubt, writes a snapshot if one is due, or writes the next batch of queued records. It
// does nothing while a write is in flight or for writeRetryBackoff after a failure.
func (l *Leader) writeTick() {
	now := l.now()
	if l.writer.busy || now.Before(l.writer.retryAt) {
		return
	}
	switch {
	case l.writer.inDoubt:
		l.startWrite(l.journal.ResolveInDoubt)
	case l.journal.SnapshotDue():
		l.writeSnapshot(now)
	case len(l.writer.queue) > 0:
		l.writer.startBatch(now)
		records := make([]commit.Record, 0, len(l.writer.inFlight))
		for _, p := range l.writer.inFlight {
			records = append(records, p.record)
		}
		j := l.journal
		l.startWrite(func(ctx context.Context) error { return j.Append(ctx, now, records) })
	}
}

func (l *Leader) writeSnapshot(now time.Time) {
	l.committedState.Purge(now)
	j, committed := l.journal, l.committedState
	l.startWrite(func(ctx context.Context) error { return j.Snapshot(ctx, now, committed) })
}

func (l *Leader) startWrite(write func(ctx context.Context) error) {
	l.writer.busy = true
	l.runAsync(func(ctx context.Context) func() {
		limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, storeTimeout)
		defer cancel()
		l.hook(stepCommit)
		err := write(limited)
		return func() { l.applyWriteResult(err) }
	})
}

func (l *Leader) applyWriteResult(err error) {
	l.writer.busy = false
	l.writer.inDoubt = l.journal.InDoubt()
	switch {
	case err == nil:
		l.applyCommitted()
	case errs.Is(err, errs.Fenced):
		l.endTerm(err.Error())
	case l.writer.inDoubt:
		l.incCounter("Unsettled")
	default:
		l.incCounter("WritesFailed")
		l.writer.retryAt = l.now().Add(writeRetryBackoff)
		l.failUncommitted(err)
	}
}

func (l *Leader) applyCommitted() {
	batch := l.writer.inFlight
	l.writer.inFlight = nil
	for _, p := range batch {
		l.committedState.Apply(p.record, l.writer.batchAt)
	}
	for _, p := range batch {
		if p.onDurable != nil {
			p.onDurable()
		}
	}
	for _, p := range batch {
		l.removeEndedJob(p.record)
	}
}

// removeEndedJob removes a job from the tables when the record committed its end; the committed state retains it
// for a while.
func (l *Leader) removeEndedJob(r commit.Record) {
	var id types.JobID
	switch {
	case r.End != nil:
		id = r.End.Task.Job()
	case r.Cancel != nil:
		id = r.Cancel.Job
	default:
		return
	}
	j, ok := l.committedState.Jobs[id]
	live, present := l.state.Jobs[id]
	if ok && present && !j.Ended.IsZero() && live.Counts.Occupying()+live.Counts.Waiting == 0 {
		l.removeJob(id)
	}
}

// failUncommitted fails the records in flight and in the queue, or keeps those for the next write whose retry is set.
func (l *Leader) failUncommitted(err error) {
	var retained []pendingRecord
	for _, p := range append(l.writer.inFlight, l.writer.queue...) {
		if p.retry {
			retained = append(retained, p)
			continue
		}
		if p.onFailed != nil {
			p.onFailed(errs.After(errs.Unavailable, writeRetryBackoff, "the write to the store failed: %v", err))
		}
	}
	l.writer.inFlight = nil
	l.writer.queue = retained
}
