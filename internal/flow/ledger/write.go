package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Run sends the write until its outcome is known or ctx ends. It returns an error of kind Fenced when another leader
// took over, and Lost when ctx ended with the write in doubt. While a try is unanswered, another is sent in parallel:
// the condition on the slot lets the write take effect only once, and the answer to any try counts, however late.
func (w *Write) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := inFlightWrite{write: w, startedAt: w.ledger.config.Clock.Now(), results: make(chan tryResult, maxExtraTries+1)}
	timeout := w.ledger.firstTryTimeout()
	f.sendTry(runCtx)
	for {
		select {
		case got := <-f.results:
			f.unanswered--
			done, err := f.handleResult(runCtx, got)
			if done {
				return err
			}
		case <-w.ledger.config.Clock.After(timeout):
			if f.unanswered > maxExtraTries {
				continue
			}
			timeout = min(2*timeout, maxTryTimeout)
		case <-ctx.Done():
			return errs.New(errs.Lost, "segment %d is in doubt, it may or may not be stored: %v", w.segment.Number, ctx.Err())
		}
		f.sendTry(runCtx)
	}
}

type (
	// inFlightWrite is a write with the state of its tries.
	inFlightWrite struct {
		write     *Write
		startedAt time.Time
		// tries counts the tries that were sent, failures those that failed, unanswered those without an answer yet.
		tries      int
		failures   int
		unanswered int
		results    chan tryResult
	}

	// tryResult is the outcome of one try.
	tryResult struct {
		version  store.Version
		duration time.Duration
		err      error
	}
)

// sendTry starts one try; its result arrives on the results channel.
func (f *inFlightWrite) sendTry(ctx context.Context) {
	f.tries++
	f.unanswered++
	clock := f.write.ledger.config.Clock
	go func() {
		began := clock.Now()
		version, err := f.write.apply(ctx)
		f.results <- tryResult{version: version, duration: clock.Since(began), err: err}
	}()
}

// handleResult handles the result of a try. It reports whether the write is done, with its error. After a failure, it
// waits before the next try.
func (f *inFlightWrite) handleResult(ctx context.Context, got tryResult) (bool, error) {
	l := f.write.ledger
	if got.err == nil {
		f.write.version = got.version
		l.observeLatency(got.duration)
		return true, nil
	}
	if !errs.Is(got.err, errs.Lost, errs.Unavailable) {
		return true, got.err
	}
	f.failures++
	l.reportFailure(f.failures, l.config.Clock.Since(f.startedAt), got.err)
	if err := l.backOff(ctx, f.failures, got.err); err != nil {
		return true, err
	}
	return false, nil
}

func (w *Write) apply(ctx context.Context) (store.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, maxTryTimeout)
	defer cancel()
	out, err := w.ledger.config.Store.Apply(callCtx, w.batch)
	if err != nil {
		return 0, err
	}
	if out.Applied {
		return out.Version, nil
	}
	return w.resolve(out)
}

// resolve finds out why the conditions of a write did not hold: its own segment in the slot means that an earlier try
// took effect, anything else that another leader took over.
func (w *Write) resolve(out store.Outcome) (store.Version, error) {
	found := out.Find(w.key)
	if found.Version != store.Absent {
		var present segment
		if err := json.Unmarshal(found.Value, &present); err != nil {
			return 0, errs.New(errs.Internal, "segment %s is malformed: %v", w.key, err)
		}
		if present.Epoch == w.segment.Epoch && present.Number == w.segment.Number {
			return found.Version, nil
		}
	}
	return 0, errs.New(errs.Fenced, "epoch %d was superseded by that of another leader", w.segment.Epoch)
}

// firstTryTimeout returns how long the first try of a write may go unanswered before another is sent in parallel.
func (l *Ledger) firstTryTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(tryTimeoutFactor*l.usualLatency, minTryTimeout), maxTryTimeout)
}

// observeLatency adds the duration of an answered try to the moving average.
func (l *Ledger) observeLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usualLatency += (d - l.usualLatency) / latencyWeightDivisor
}

func (l *Ledger) reportFailure(failures int, after time.Duration, err error) {
	if l.config.OnFailure != nil {
		l.config.OnFailure(failures, after, err)
	}
}

// backOff waits before the next try of a write, longer after each failure: while the store is down, many writes are tried.
// Only a first lost answer is followed by a try at once, which finds out whether the write took effect. If ctx ends
// meanwhile, the error is of kind Lost: another try may still be unanswered, or have taken effect although its answer was
// lost.
func (l *Ledger) backOff(ctx context.Context, failures int, cause error) error {
	if failures == 1 && errs.Is(cause, errs.Lost) {
		return nil
	}
	select {
	case <-l.config.Clock.After(min(retryBackoff<<min(failures-1, maxBackoffDoublings), maxRetryBackoff)):
		return nil
	case <-ctx.Done():
		return errs.New(errs.Lost, "the latest try of a write failed (%v), an earlier one may be stored: %v", cause, ctx.Err())
	}
}
