package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/hold"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// minStallTimeout is the least time without a confirmed write after which no further job is put into a write. It grows with
	// the usual latency of the writes, by stallTimeoutFactor, up to admitWriteTimeout.
	minStallTimeout    = 200 * time.Millisecond
	stallTimeoutFactor = 2
	// holdSlice limits the wait within one call to the leader, so that a call ends long before it times out and would leave
	// the job in doubt. The caller's daemon calls again.
	holdSlice = 500 * time.Millisecond
	// maxHeld limits the submissions that wait at the leader, so that they fit the memory of a small VM.
	maxHeld = 2000
)

// SubmitWaiting is Submit for a caller who can wait. While the store accepts no writes, or the ledger is not read yet, the job is
// put into no write: the submission waits for the end of the outage, for holdSlice at most. If it has not ended by then, an
// error of kind Unavailable without a RetryAfter means that the call should be made again at once.
func (o *Owner) SubmitWaiting(ctx context.Context, job *specs.Job, patience hold.Patience) error {
	began := o.config.Clock.Now()
	job.Accepted = began.Add(-patience.Waited)
	sliceEnd := began.Add(min(patience.Left, holdSlice))
	for {
		resumed := o.resumption()
		err := o.submitOnce(ctx, job)
		if !isOutage(err) {
			return err
		}
		left := patience.Left - o.config.Clock.Since(began)
		if !o.awaitResumption(ctx, resumed, sliceEnd, left) {
			return o.outageError(err, left)
		}
	}
}

// isOutage reports whether a job was put into no write because none can be made now.
func isOutage(err error) bool {
	return errs.Is(err, errs.Unavailable) && errs.Of(err).RetryAfter == 0
}

// submitOnce submits a job and waits until it is durable.
func (o *Owner) submitOnce(ctx context.Context, job *specs.Job) error {
	began := o.config.Clock.Now()
	done := make(chan struct{})
	if err := o.submit(job, func() { close(done) }); err != nil {
		return err
	}
	if err := o.awaitDurable(ctx, done); err != nil {
		return err
	}
	o.counters.acceptToDurable.UpdateSince(began)
	return nil
}

// resumption returns a channel that is closed when a submission that is put into no write now may be tried again.
func (o *Owner) resumption() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.resumed
}

// awaitResumption waits until resumed is closed. It returns false if the slice or the term ends before, or if a caller with the
// given time left should not wait.
func (o *Owner) awaitResumption(ctx context.Context, resumed <-chan struct{}, sliceEnd time.Time, left time.Duration) bool {
	wait := sliceEnd.Sub(o.config.Clock.Now())
	if wait <= 0 || !o.beginHold(left) {
		return false
	}
	defer o.endHold()
	select {
	case <-resumed:
		return true
	case <-o.config.Clock.After(wait):
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return false
}

// beginHold counts a submission that waits, and returns false if too many do or if the wait is not worthwhile for its caller.
func (o *Owner) beginHold(left time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held >= maxHeld || !hold.IsWorthwhile(o.stalledFor(), left) {
		return false
	}
	o.held++
	o.counters.jobsHeld.Inc(1)
	return true
}

func (o *Owner) endHold() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held--
}

// outageError returns the error for a submission that was put into no write because of cause. It holds a RetryAfter if a caller
// with the given time left should not wait any longer.
func (o *Owner) outageError(cause error, left time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	age := o.stalledFor()
	if o.held < maxHeld && hold.IsWorthwhile(age, left) {
		return cause
	}
	o.counters.jobsRejected.Inc(1)
	return errs.After(errs.Unavailable, hold.RetryDelay(age), "%s", errs.Of(cause).Message)
}

// stalledFor returns for how long no write was committed though some are in flight, if that is so long, or a try has failed
// since, that new jobs are put into no further write; else 0. The caller must hold o.mu.
func (o *Owner) stalledFor() time.Duration {
	age := o.oldestWriteAge()
	if age > 0 {
		// After an outage the writes in flight are old, but are committed one after the other.
		age = min(age, o.config.Clock.Since(o.committedAt))
	}
	if age > o.stallTimeout() || (age > 0 && o.failedTryAt.After(o.committedAt)) {
		return age
	}
	return 0
}

// stallTimeout returns the age of the oldest write from which on writes count as stalled. The caller must hold o.mu.
func (o *Owner) stallTimeout() time.Duration {
	return min(max(stallTimeoutFactor*o.writeLatency, minStallTimeout), admitWriteTimeout)
}

// resume wakes the submissions that wait. The caller must hold o.mu.
func (o *Owner) resume() {
	close(o.resumed)
	o.resumed = make(chan struct{})
}
