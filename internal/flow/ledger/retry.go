package ledger

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

type (
	// retryConfig holds what is sent to the store until its outcome is known, and how often.
	retryConfig struct {
		// what names the call in errors.
		what string
		// apply makes one try. It must take effect at most once, however often and late the store carries it out.
		apply func(ctx context.Context) (store.Version, error)
		// mayRetry reports whether another try may be sent after one that was sent at triedAt.
		mayRetry func(triedAt time.Time) bool
		// tryTimeout returns how long a try may go unanswered before another is sent beside it.
		tryTimeout func() time.Duration
		// At most maxExtra+1 tries are unanswered at a time.
		maxExtra int
		// onFailure, if set, is called after each failed try.
		onFailure func(tries int, after time.Duration, err error)
		// onAnswer, if set, is called with the time that the successful try took.
		onAnswer func(took time.Duration)
	}

	// retrier is a call with the state of its tries.
	retrier struct {
		ledger    *Ledger
		config    retryConfig
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

// retry sends tries until one is answered or ctx ends, and returns the version that the call took effect under. The error is
// that of the store if it is definite, and of kind Lost when ctx ended with the call in doubt.
func (l *Ledger) retry(ctx context.Context, c retryConfig) (store.Version, error) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := retrier{ledger: l, config: c, startedAt: l.config.Clock.Now(), results: make(chan tryResult, c.maxExtra+1)}
	r.sendTry(runCtx)
	for {
		changed := l.progress.watch()
		select {
		case got := <-r.results:
			if done, err := r.handleResult(got); done {
				return got.version, err
			}
		case <-r.nextTryDue():
			r.sendTry(runCtx)
		case <-changed:
		case <-ctx.Done():
			return 0, errs.New(errs.Lost, "%s is in doubt, it may or may not be stored: %v", c.what, ctx.Err())
		}
	}
}

// nextTryDue returns a channel that receives when the next try is due, or nil while none may be sent.
func (r *retrier) nextTryDue() <-chan time.Time {
	if r.unanswered > r.config.maxExtra || (!r.retryAtOnce && !r.config.mayRetry(r.triedAt)) {
		return nil
	}
	clock := r.ledger.config.Clock
	return clock.After(r.nextTryAt.Sub(clock.Now()))
}

// sendTry starts one try; its result arrives on the results channel.
func (r *retrier) sendTry(ctx context.Context) {
	clock := r.ledger.config.Clock
	r.unanswered++
	r.retryAtOnce = false
	r.triedAt = clock.Now()
	r.nextTryAt = r.triedAt.Add(r.config.tryTimeout())
	go func() {
		began := clock.Now()
		version, err := r.config.apply(ctx)
		r.results <- tryResult{version: version, duration: clock.Since(began), err: err}
	}()
}

// handleResult handles the result of a try. It reports whether the call is done, with its error.
func (r *retrier) handleResult(got tryResult) (bool, error) {
	r.unanswered--
	if got.err == nil {
		if r.config.onAnswer != nil {
			r.config.onAnswer(got.duration)
		}
		return true, nil
	}
	if !errs.Is(got.err, errs.Lost, errs.Unavailable) {
		return true, got.err
	}
	now := r.ledger.config.Clock.Now()
	r.failures++
	if r.config.onFailure != nil {
		r.config.onFailure(r.failures, now.Sub(r.startedAt), got.err)
	}
	// Only a first lost answer is followed by a try at once, which finds out whether the call took effect.
	r.retryAtOnce = r.failures == 1 && errs.Is(got.err, errs.Lost)
	r.nextTryAt = now
	if !r.retryAtOnce {
		r.nextTryAt = now.Add(retryBackoff)
	}
	return false, nil
}
