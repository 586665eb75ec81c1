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
	// writeRetry is how long the lead waits after a write that failed.
	writeRetry = time.Second
	// batchItems limits the records of one segment besides its bytes.
	batchItems = 4096
)

type (
	// item is a record that waits for its commit, with what follows from the outcome.
	item struct {
		record commit.Record
		// retry keeps the item when a write fails.
		retry bool
		done  func()
		// failed is called with kind Unavailable when the record was surely not written, and with kind
		// Unknown when that is not known.
		failed func(err error)
	}

	// writer batches records: one write to the store at a time.
	writer struct {
		queue  []item
		flight []item
		at     time.Time
		busy   bool
		next   time.Time
		// unsettled tells that the fate of the latest write is not known. It is kept here because the journal
		// belongs to the launch while a write is under way.
		unsettled bool
	}
)

func (w *writer) add(i item) {
	w.queue = append(w.queue, i)
}

// take moves the next batch from the queue into flight.
func (w *writer) take(now time.Time) {
	bytes := 0
	n := 0
	for n < len(w.queue) && n < batchItems && bytes < commit.MaxBatchBytes {
		bytes += len(wire.Marshal(w.queue[n].record))
		n++
	}
	w.flight = w.queue[:n:n]
	w.queue = w.queue[n:]
	w.at = now
}

// abandon answers all who wait when the lead loses its role.
func (w *writer) abandon() {
	inFlight := errs.New(errs.Unavailable, "this daemon no longer leads; nothing was accepted")
	if w.unsettled || w.busy {
		inFlight = errs.New(errs.Unknown, "this daemon lost its role before the outcome was known")
	}
	fail(w.flight, inFlight)
	fail(w.queue, errs.New(errs.Unavailable, "this daemon no longer leads; nothing was accepted"))
	w.flight, w.queue = nil, nil
}

func fail(items []item, err error) {
	for _, i := range items {
		if i.failed != nil {
			i.failed(err)
		}
	}
}

// writeTick writes what has gathered since the last tick, settles a write with unknown fate, or writes a
// snapshot.
func (l *Leader) writeTick() {
	now := l.now()
	if l.writer.busy || now.Before(l.writer.next) {
		return
	}
	switch {
	case l.writer.unsettled:
		l.launchWrite(l.journal.ResolveInDoubt)
	case l.journal.SnapshotDue():
		l.writeSnapshot(now)
	case len(l.writer.queue) > 0:
		l.writer.take(now)
		records := make([]commit.Record, 0, len(l.writer.flight))
		for _, i := range l.writer.flight {
			records = append(records, i.record)
		}
		j := l.journal
		l.launchWrite(func(ctx context.Context) error { return j.Append(ctx, now, records) })
	}
}

func (l *Leader) writeSnapshot(now time.Time) {
	l.image.Purge(now)
	j, image := l.journal, l.image
	l.launchWrite(func(ctx context.Context) error { return j.Snapshot(ctx, now, image) })
}

func (l *Leader) launchWrite(write func(ctx context.Context) error) {
	l.writer.busy = true
	l.do(func(ctx context.Context) func() {
		limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, storeTimeout)
		defer cancel()
		l.hook(stepCommit)
		err := write(limited)
		return func() { l.wrote(err) }
	})
}

func (l *Leader) wrote(err error) {
	l.writer.busy = false
	l.writer.unsettled = l.journal.InDoubt()
	switch {
	case err == nil:
		l.committed()
	case errs.Is(err, errs.Fenced):
		l.depose(err.Error())
	case l.writer.unsettled:
		l.count("Unsettled")
	default:
		l.count("WritesFailed")
		l.writer.next = l.now().Add(writeRetry)
		l.notCommitted(err)
	}
}

func (l *Leader) committed() {
	flight := l.writer.flight
	l.writer.flight = nil
	for _, i := range flight {
		l.image.Apply(i.record, l.writer.at)
	}
	for _, i := range flight {
		if i.done != nil {
			i.done()
		}
	}
	for _, i := range flight {
		l.dropEnded(i.record)
	}
}

// dropEnded takes a job whose end the record committed out of the tables; the image keeps it for a while.
func (l *Leader) dropEnded(r commit.Record) {
	var id types.JobID
	switch {
	case r.End != nil:
		id = r.End.Task.Job()
	case r.Cancel != nil:
		id = r.Cancel.Job
	default:
		return
	}
	j, ok := l.image.Jobs[id]
	live, present := l.state.Jobs[id]
	if ok && present && !j.Ended.IsZero() && live.Counts.Occupying()+live.Counts.Waiting == 0 {
		l.drop(id)
	}
}

// notCommitted refuses what surely was not written, or keeps it for the next write.
func (l *Leader) notCommitted(err error) {
	var again []item
	for _, i := range append(l.writer.flight, l.writer.queue...) {
		if i.retry {
			again = append(again, i)
			continue
		}
		if i.failed != nil {
			i.failed(errs.After(errs.Unavailable, writeRetry, "the store did not take it: %v", err))
		}
	}
	l.writer.flight = nil
	l.writer.queue = again
}
