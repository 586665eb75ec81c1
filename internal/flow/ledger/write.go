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
// the condition on the slot lets the write take effect only once, and the answer to any try counts, however late. While the store
// answers no write, only the oldest one is tried again.
func (w *Write) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.ledger.progress.begin(w.segment.Number)
	defer w.ledger.progress.end(w.segment.Number)
	f := inFlightWrite{write: w, startedAt: w.ledger.config.Clock.Now(), results: make(chan tryResult, maxExtraTries+1)}
	f.sendTry(runCtx)
	for {
		changed := w.ledger.progress.watch()
		select {
		case got := <-f.results:
			if done, err := f.handleResult(got); done {
				return err
			}
		case <-f.nextTryDue():
			f.sendTry(runCtx)
		case <-changed:
		case <-ctx.Done():
			return errs.New(errs.Lost, "segment %d is in doubt, it may or may not be stored: %v", w.segment.Number, ctx.Err())
		}
	}
}

type (
	// inFlightWrite is a write with the state of its tries.
	inFlightWrite struct {
		write     *Write
		startedAt time.Time
		// failures counts the tries that failed, unanswered those without an answer yet.
		failures   int
		unanswered int
		// triedAt is when the latest try was sent, and nextTryAt when the next one may be.
		triedAt   time.Time
		nextTryAt time.Time
		// retryAtOnce is set when the next try need not wait for an answer of the store to another write.
		retryAtOnce bool
		results     chan tryResult
	}

	// tryResult is the outcome of one try.
	tryResult struct {
		version  store.Version
		duration time.Duration
		err      error
	}
)

// nextTryDue returns a channel that receives when the next try is due, or nil while none may be sent.
func (f *inFlightWrite) nextTryDue() <-chan time.Time {
	l := f.write.ledger
	if f.unanswered > maxExtraTries || (!f.retryAtOnce && !l.progress.mayRetry(f.write.segment.Number, f.triedAt)) {
		return nil
	}
	return l.config.Clock.After(f.nextTryAt.Sub(l.config.Clock.Now()))
}

// sendTry starts one try; its result arrives on the results channel.
func (f *inFlightWrite) sendTry(ctx context.Context) {
	l := f.write.ledger
	f.unanswered++
	f.retryAtOnce = false
	f.triedAt = l.config.Clock.Now()
	f.nextTryAt = f.triedAt.Add(l.tryTimeout())
	go func() {
		began := l.config.Clock.Now()
		version, err := f.write.apply(ctx)
		f.results <- tryResult{version: version, duration: l.config.Clock.Since(began), err: err}
	}()
}

// handleResult handles the result of a try. It reports whether the write is done, with its error.
func (f *inFlightWrite) handleResult(got tryResult) (bool, error) {
	l := f.write.ledger
	f.unanswered--
	now := l.config.Clock.Now()
	if got.err == nil {
		f.write.version = got.version
		l.observeLatency(got.duration)
		l.progress.noteAnswer(now)
		return true, nil
	}
	if !errs.Is(got.err, errs.Lost, errs.Unavailable) {
		return true, got.err
	}
	f.failures++
	l.reportFailure(f.failures, now.Sub(f.startedAt), got.err)
	// Only a first lost answer is followed by a try at once, which finds out whether the write took effect.
	f.retryAtOnce = f.failures == 1 && errs.Is(got.err, errs.Lost)
	f.nextTryAt = now
	if !f.retryAtOnce {
		f.nextTryAt = now.Add(retryBackoff)
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

// tryTimeout returns how long a try of a write may go unanswered before another is sent in parallel.
func (l *Ledger) tryTimeout() time.Duration {
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
