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

// sendState is one request on its way, over all of its attempts.
type sendState struct {
	client  *Client
	request types.Request
	backoff *backoff.ExponentialBackOff
	// mayHaveRun tells that the id was sent before, so that it may have run.
	mayHaveRun bool
	// answer and err are what is known so far.
	answer *Answer
	err    error
}

// sendOnce sends the request once. It returns whether that settled it, and else how long to wait before the next time.
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
		s.mayHaveRun, s.err = true, err
		return false, s.retryDelay(err)
	}
	return s.handleAnswer(entry, answer)
}

// handleFailure handles a call without an answer. The entry may have taken it, unless it could not be reached.
func (s *sendState) handleFailure(entry int, err error) (isFinal bool, delay time.Duration) {
	s.err = err
	s.client.backOffEntry(entry, err)
	switch {
	case errs.Is(err, errs.Unavailable, errs.Draining, errs.Overloaded):
		return false, s.retryDelay(err)
	case errs.Is(err, errs.Lost):
		s.mayHaveRun = true
		return false, s.retryDelay(err)
	default:
		return true, 0
	}
}

// handleAnswer decides on an answer.
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

// handleNotRun sends the request under a new id when that may help: an id that was answered NotRun never runs.
func (s *sendState) handleNotRun(entry int, a *Answer) (isFinal bool, delay time.Duration) {
	s.err = reasonOf(a)
	if !errs.AnswerOf(errs.Of(s.err).Kind).Retry {
		return true, 0
	}
	s.client.backOffEntry(entry, s.err)
	s.request.ID = ""
	return false, s.retryDelay(s.err)
}

// handleUnknown sends the request again under the same id, which runs at most once. An id that its home no longer knows is
// replaced only if it was never sent before.
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
		return errs.New(errs.Unknown, "%s is %s without a reason", a.ID, a.Outcome)
	}
	return a.Reason
}

func (s *sendState) retryDelay(err error) time.Duration {
	return max(s.backoff.NextBackOff(), errs.Of(err).RetryAfter)
}

// pickEntry returns the next entry, one that did not fail lately if there is any.
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

// backOffEntry keeps requests away from an entry that failed, for a time.
func (c *Client) backOffEntry(entry int, err error) {
	if !errs.Is(err, errs.Unavailable, errs.Draining, errs.Lost) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[entry] = c.config.Clock.Now().Add(entryBackoff)
}

// tryEntries makes a call at one entry after the other until it succeeds or fails for good.
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
