package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Run sends the write until its fate is known, ctx ends, or another lead took over, which is an error of kind
// Fenced. While a try is not answered, another is sent beside it: the condition on the slot lets the write take
// effect once, and a late answer is as good as any.
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
			return errs.New(errs.Lost, "the fate of segment %d is not known: %v", w.segment.Number, ctx.Err())
		}
		f.sendTry(runCtx)
	}
}

type (
	// inFlightWrite is a write that is being sent.
	inFlightWrite struct {
		write     *Write
		startedAt time.Time
		// tries counts what was sent, failures what failed, open what is not answered.
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

// sendTry makes one try.
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

// handleResult takes in the outcome of a try, and tells whether the write is done.
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
	if errs.Is(got.err, errs.Unavailable) {
		if err := l.backOff(ctx); err != nil {
			return true, err
		}
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

// resolve looks at what a refused write found in its slot: its own segment means that an earlier try took effect.
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
	return 0, errs.New(errs.Fenced, "epoch %d was followed by another lead", w.segment.Epoch)
}

// firstTryTimeout returns how long the first try of a write may go without an answer before another is sent.
func (l *Ledger) firstTryTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(tryTimeoutFactor*l.usualLatency, minTryTimeout), maxTryTimeout)
}

// observeLatency notes how long a try took that was answered.
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

func (l *Ledger) backOff(ctx context.Context) error {
	select {
	case <-l.config.Clock.After(retryBackoff):
		return nil
	case <-ctx.Done():
		return errs.New(errs.Unavailable, "the store did not take a write: %v", ctx.Err())
	}
}
