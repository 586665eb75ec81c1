package client

import (
	"context"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/core/wire"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

// sendState is the state of one call of Do over all attempts to send its request.
type sendState struct {
	client  *Client
	request types.Request
	backoff *backoff.ExponentialBackOff
	// mayHaveRun is true if the current id was sent before and its request may therefore have run.
	mayHaveRun bool
	// answer is the latest answer and err the latest error or nil. Do returns both; they may be of different attempts. The
	// answer is dropped once a later attempt may have run the request.
	answer *Answer
	err    error
}

// sendOnce sends the request once, under a new id if it has none. It returns whether the result is final and, if not,
// the delay before the next attempt.
func (s *sendState) sendOnce(ctx context.Context) (isFinal bool, delay time.Duration) {
	if s.request.ID == "" {
		id, err := s.client.NewID(ctx)
		if err != nil {
			s.err = err
			return false, s.retryDelay(err)
		}
		s.request.ID, s.mayHaveRun = id, false
	}
	entry := s.client.pickEntry()
	answer, err := s.client.exchange(ctx, http.MethodPost, s.client.config.Entries[entry]+pathRequests, wire.Marshal(s.request))
	if err != nil {
		return s.handleFailure(entry, err)
	}
	if err := checkAnswer(s.request.ID, answer); err != nil {
		s.mayHaveRun, s.answer, s.err = true, nil, err
		return false, s.retryDelay(err)
	}
	return s.handleAnswer(entry, answer)
}

// handleFailure handles a call without an answer. After Lost, the entry may have accepted the request; after
// Unavailable, Draining or Overloaded it did not. Other errors are final.
func (s *sendState) handleFailure(entry int, err error) (isFinal bool, delay time.Duration) {
	s.err = err
	s.client.backOffEntry(entry, err)
	switch {
	case errs.Is(err, errs.Unavailable, errs.Draining, errs.Overloaded):
		return false, s.retryDelay(err)
	case errs.Is(err, errs.Lost):
		s.mayHaveRun, s.answer = true, nil
		return false, s.retryDelay(err)
	default:
		return true, 0
	}
}

// handleAnswer handles a complete answer. Done is final; NotRun and Unknown may be retried.
func (s *sendState) handleAnswer(entry int, a *Answer) (isFinal bool, delay time.Duration) {
	s.answer, s.err = a, nil
	switch a.Outcome {
	case types.OutcomeDone:
		if once.IsWithheld(a) {
			s.err = a.Reason
		}
		return true, 0
	case types.OutcomeNotRun:
		return s.handleNotRun(entry, a)
	default:
		return s.handleUnknown(a)
	}
}

// handleNotRun has the request sent under a new id if the reason allows a retry: a request whose id was answered NotRun
// never runs under that id.
func (s *sendState) handleNotRun(entry int, a *Answer) (isFinal bool, delay time.Duration) {
	s.err = reasonOf(a)
	if !errs.AnswerOf(errs.Of(s.err).Kind).Retry {
		return true, 0
	}
	s.client.backOffEntry(entry, s.err)
	s.request.ID = ""
	return false, s.retryDelay(s.err)
}

// handleUnknown has the request sent again under the same id, under which it runs at most once. An id that its home
// data centre no longer keeps (Fenced) is replaced only if it was never sent before or if the request is idempotent.
func (s *sendState) handleUnknown(a *Answer) (isFinal bool, delay time.Duration) {
	s.err = reasonOf(a)
	if !errs.Is(s.err, errs.Fenced) {
		s.mayHaveRun = true
		return false, s.retryDelay(s.err)
	}
	if s.mayHaveRun && !s.request.Idempotent {
		return true, 0
	}
	s.request.ID = ""
	s.client.ids.clear()
	return false, 0
}

func reasonOf(a *Answer) error {
	if a.Reason == nil {
		return errs.New(errs.Unknown, "the answer to request %s has outcome %s but no reason", a.ID, a.Outcome)
	}
	return a.Reason
}

// retryDelay returns the next exponential backoff or, if longer, the time that the error asks to wait.
func (s *sendState) retryDelay(err error) time.Duration {
	return max(s.backoff.NextBackOff(), errs.Of(err).RetryAfter)
}

// pickEntry returns the index of the next entry in turn that is not backed off, or of the next one in turn if all are.
func (c *Client) pickEntry() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	first := c.nextEntry
	c.nextEntry = (c.nextEntry + 1) % len(c.config.Entries)
	for i := range c.config.Entries {
		j := (first + i) % len(c.config.Entries)
		if !now.Before(c.backoffUntil[j]) {
			return j
		}
	}
	return first
}

// backOffEntry makes pickEntry avoid the entry for entryBackoff if the error shows that the entry could not be reached,
// is draining or did not answer.
func (c *Client) backOffEntry(entry int, err error) {
	if !errs.Is(err, errs.Unavailable, errs.Draining, errs.Lost) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[entry] = c.config.Clock.Now().Add(entryBackoff)
}

// tryEntries makes a call, which must be safe to repeat, to one entry after another until it succeeds, fails with an
// error that a retry cannot resolve, or has failed Config.Attempts times.
func (c *Client) tryEntries(ctx context.Context, call func(base string) error) error {
	retryBackoff := newBackoff()
	var err error
	for range c.config.Attempts {
		entry := c.pickEntry()
		err = call(c.config.Entries[entry])
		if err == nil || !errs.Is(err, errs.Unavailable, errs.Draining, errs.Lost, errs.Overloaded, errs.Fenced) {
			return err
		}
		c.backOffEntry(entry, err)
		if !c.sleep(ctx, max(retryBackoff.NextBackOff(), errs.Of(err).RetryAfter)) {
			return err
		}
	}
	return err
}
