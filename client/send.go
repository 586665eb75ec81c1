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

// send is one request on its way, over all of its attempts.
type send struct {
	client  *Client
	request types.Request
	waits   *backoff.ExponentialBackOff
	// tried tells that the id was sent before, so that it may have run.
	tried bool
	// answer and err are what is known so far.
	answer *Answer
	err    error
}

// attempt sends the request once. It returns whether that settled it, and else how long to wait before the next time.
func (s *send) attempt(ctx context.Context) (over bool, wait time.Duration) {
	if s.request.ID == "" {
		id, err := s.client.NewID(ctx)
		if err != nil {
			s.err = err
			return false, s.pauseFor(err)
		}
		s.request.ID, s.tried = id, false
	}
	entry := s.client.pick()
	answer, err := s.client.exchange(ctx, http.MethodPost, s.client.config.Entries[entry]+pathRequests, wire.Marshal(s.request))
	if err != nil {
		return s.failed(entry, err)
	}
	if err := check(s.request.ID, answer); err != nil {
		s.tried, s.err = true, err
		return false, s.pauseFor(err)
	}
	return s.judge(entry, answer)
}

// failed handles a call without an answer. The entry may have taken it, unless it could not be reached.
func (s *send) failed(entry int, err error) (over bool, wait time.Duration) {
	s.err = err
	s.client.rest(entry, err)
	switch {
	case errs.Is(err, errs.Unavailable, errs.Draining, errs.Overloaded):
		return false, s.pauseFor(err)
	case errs.Is(err, errs.Lost):
		s.tried = true
		return false, s.pauseFor(err)
	default:
		return true, 0
	}
}

// judge decides on an answer.
func (s *send) judge(entry int, a *Answer) (over bool, wait time.Duration) {
	s.answer, s.err = a, nil
	switch a.Outcome {
	case types.OutcomeDone:
		if once.IsWithheld(a) {
			s.err = a.Reason
		}
		return true, 0
	case types.OutcomeNotRun:
		return s.notRun(entry, a)
	default:
		return s.unknown(a)
	}
}

// notRun sends the request under a new id when that may help: an id that was answered NotRun never runs.
func (s *send) notRun(entry int, a *Answer) (over bool, wait time.Duration) {
	s.err = reasonOf(a)
	if !errs.AnswerOf(errs.Of(s.err).Kind).Retry {
		return true, 0
	}
	s.client.rest(entry, s.err)
	s.request.ID = ""
	return false, s.pauseFor(s.err)
}

// unknown sends the request again under the same id, which runs at most once. An id that its home no longer knows is
// replaced only if it was never sent before.
func (s *send) unknown(a *Answer) (over bool, wait time.Duration) {
	s.err = reasonOf(a)
	if !errs.Is(s.err, errs.Fenced) {
		s.tried = true
		return false, s.pauseFor(s.err)
	}
	if s.tried && !s.request.Idempotent {
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

func (s *send) pauseFor(err error) time.Duration {
	return max(s.waits.NextBackOff(), errs.Of(err).RetryAfter)
}

// pick returns the next entry, one that did not fail lately if there is any.
func (c *Client) pick() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	first := c.next
	c.next = (c.next + 1) % len(c.config.Entries)
	for i := range c.config.Entries {
		j := (first + i) % len(c.config.Entries)
		if !now.Before(c.until[j]) {
			return j
		}
	}
	return first
}

// rest keeps requests away from an entry that failed, for a time.
func (c *Client) rest(entry int, err error) {
	if !errs.Is(err, errs.Unavailable, errs.Draining, errs.Lost) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until[entry] = c.config.Clock.Now().Add(restAfterFailure)
}

// each makes a call at one entry after the other until it succeeds or fails for good.
func (c *Client) each(ctx context.Context, call func(base string) error) error {
	waits := newWaits()
	var err error
	for range c.config.Attempts {
		entry := c.pick()
		err = call(c.config.Entries[entry])
		if err == nil || !errs.Is(err, errs.Unavailable, errs.Draining, errs.Lost, errs.Overloaded, errs.Fenced) {
			return err
		}
		c.rest(entry, err)
		if !c.pause(ctx, max(waits.NextBackOff(), errs.Of(err).RetryAfter)) {
			return err
		}
	}
	return err
}
