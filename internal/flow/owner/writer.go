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
	// writePause is the least time between two writes of the ledger, so that one write carries many changes.
	writePause = 25 * time.Millisecond
	// refusedTries and silentTries are how many tries of a write must be refused, or not answered, before the
	// others are asked to lead; relievePeriod is how often they are asked.
	refusedTries  = 3
	silentTries   = 4
	relievePeriod = 500 * time.Millisecond
	// leastStuck is how long a write must have been under way for the lead to be given up.
	leastStuck = 200 * time.Millisecond
	// maxFlights is how many writes may be under way.
	maxFlights = 20
	// writeFade is the part of the remembered write time that fades with each faster write, as one in so many.
	writeFade = 8
)

type (
	// flight is a write that is under way.
	flight struct {
		pending pending
		writes  []*ledger.Write
		// image is written once the flight has landed, or nil.
		image *ledger.Snapshot
		began time.Time
		done  chan error
	}

	// pending is what the next write makes durable.
	pending struct {
		entry ledger.Entry
		after []func()
	}
)

// record applies a change and queues it for the next write; after runs under the lock once it is durable. The
// caller holds the lock.
func (o *Owner) record(r tasks.Record, after func()) {
	o.table.Apply(r)
	o.pending.entry.Records = append(o.pending.entry.Records, r)
	o.then(after)
}

// then runs a step once everything that was recorded so far is durable. The caller holds the lock.
func (o *Owner) then(after func()) {
	if after != nil {
		o.pending.after = append(o.pending.after, after)
	}
	wake(o.writeWake)
}

// writeLoop makes what was recorded durable. Several writes may be under way; what waited for them runs in the
// order in which they began.
func (o *Owner) writeLoop(book *ledger.Ledger) {
	flights := make(chan *flight, maxFlights)
	o.loops.Go(func() { o.landLoop(book, flights) })
	defer close(flights)
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.writeWake:
		}
		if err := o.write(book, flights); err != nil {
			o.broken(err)
			return
		}
		o.sleep(writePause)
	}
}

func (o *Owner) broken(err error) {
	if o.ctx.Err() == nil {
		o.config.Log.Warn().Err(err).Msg("the ledger took no write")
		o.fenced("the ledger belongs to another lead")
	}
}

// write sends what is pending on its way, with an image of the tables when one is due.
func (o *Owner) write(book *ledger.Ledger, flights chan<- *flight) error {
	if err := o.waitForRoom(book); err != nil {
		return err
	}
	o.bookMu.Lock()
	due := book.SnapshotDue()
	o.bookMu.Unlock()
	o.mu.Lock()
	f := &flight{pending: o.pending, began: o.config.Clock.Now(), done: make(chan error, 1)}
	o.pending = pending{}
	var records []tasks.Record
	var ends []tasks.JobResult
	if due {
		records, ends = o.table.SnapshotRecords(), slices.Clone(o.table.RecentResults)
	}
	o.inFlight = append(o.inFlight, f)
	o.mu.Unlock()
	if err := f.begin(o, book, due, records, ends); err != nil {
		return err
	}
	go f.run(o.ctx)
	select {
	case flights <- f:
	case <-o.ctx.Done():
	}
	return nil
}

// begin takes the flight's places in the ledger.
func (f *flight) begin(
	o *Owner, book *ledger.Ledger, due bool, records []tasks.Record, ends []tasks.JobResult,
) error {
	o.bookMu.Lock()
	defer o.bookMu.Unlock()
	writes, err := book.Begin(f.pending.entry)
	if err != nil {
		return err
	}
	f.writes = writes
	if due {
		f.image = book.BeginSnapshot(records, ends)
	}
	return nil
}

// waitForRoom waits while the ring of segments is full, until an image has made room.
func (o *Owner) waitForRoom(book *ledger.Ledger) error {
	for {
		o.bookMu.Lock()
		full := book.SnapshotRequired()
		o.bookMu.Unlock()
		if !full {
			return nil
		}
		if o.ctx.Err() != nil {
			return errs.New(errs.Unavailable, "the term ended while the ledger was full")
		}
		o.sleep(writePause)
	}
}

// writeFailed has another daemon take over when the store goes on refusing this one's writes.
func (o *Owner) writeFailed(tries int, after time.Duration, err error) {
	o.config.Log.Debug().Err(err).Int("Tries", tries).Dur("After", after).Msg("the store did not take a write")
	refused := errs.Is(err, errs.Unavailable) && tries >= refusedTries
	silent := tries >= silentTries
	if (!refused && !silent) || o.config.OnWritesStalled == nil {
		return
	}
	o.mu.Lock()
	now := o.config.Clock.Now()
	early := now.Sub(o.relieved) < relievePeriod
	if !early {
		o.relieved = now
	}
	o.mu.Unlock()
	if !early {
		o.config.Log.Warn().Err(err).Int("Tries", tries).Dur("After", after).Msg("asking the others to lead")
		go o.config.OnWritesStalled(o.isStuck)
	}
}

// isStuck tells whether a write has been under way for longer than the store takes when it is well.
func (o *Owner) isStuck() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctx.Err() == nil && o.stuck() > leastStuck
}

// run makes the writes of a flight.
func (f *flight) run(ctx context.Context) {
	for _, w := range f.writes {
		if err := w.Run(ctx); err != nil {
			f.done <- err
			return
		}
	}
	f.done <- nil
}

// landLoop runs what waited for each write once it is durable.
func (o *Owner) landLoop(book *ledger.Ledger, flights <-chan *flight) {
	for f := range flights {
		if err := <-f.done; err != nil {
			o.broken(err)
			return
		}
		o.bookMu.Lock()
		for _, w := range f.writes {
			book.Finish(w)
		}
		o.bookMu.Unlock()
		o.land(f)
		if f.image != nil {
			o.loops.Go(func() { o.image(book, f.image) })
		}
	}
}

func (o *Owner) land(f *flight) {
	o.mu.Lock()
	defer o.mu.Unlock()
	took := o.config.Clock.Since(f.began)
	o.counters.writes.Update(took)
	o.writeTime = max(took, o.writeTime-o.writeTime/writeFade)
	o.inFlight = o.inFlight[1:]
	for _, after := range f.pending.after {
		after()
	}
}

// image writes the image that a flight carried, until it is written or the term ends.
func (o *Owner) image(book *ledger.Ledger, image *ledger.Snapshot) {
	began := o.config.Clock.Now()
	for {
		err := image.Run(o.ctx)
		if err == nil || errs.Is(err, errs.Fenced) || o.ctx.Err() != nil {
			o.bookMu.Lock()
			book.FinishSnapshot(image, err)
			o.bookMu.Unlock()
			o.stored(image, err)
			o.counters.images.UpdateSince(began)
			return
		}
		o.config.Log.Warn().Err(err).Msg("could not write an image of the ledger")
		o.sleep(loadPause)
	}
}

// stored drops the ends that an image stored.
func (o *Owner) stored(image *ledger.Snapshot, err error) {
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.RecentResults = slices.Clone(o.table.RecentResults[image.ResultCount():])
}
