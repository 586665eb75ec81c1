// Package client sends requests and jobs to the entries of magnoliawalk and repeats them only where that is safe.
package client

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

// Defaults of a configuration.
const (
	DefaultAttempts = 8
	DefaultTimeout  = 10 * time.Second
	DefaultIDs      = 16

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// entryBackoff is how long an entry that could not be reached is tried last.
	entryBackoff = 3 * time.Second
	// deadlineMargin is how long after the deadline an answer is still awaited.
	deadlineMargin = time.Second
)

// Types of the interface, as callers name them.
type (
	// Answer is what a caller gets for its request.
	Answer = types.Answer
	// Class ranks the urgency of work.
	Class = types.Class
	// Error has a kind, a message, and a time after which to retry.
	Error = errs.Error
	// Job is a unit of submitted work.
	Job = types.Job
	// JobID names a job.
	JobID = types.JobID
	// JobStatus is what a caller learns about a job.
	JobStatus = types.JobStatus
	// RequestID names a request.
	RequestID = types.RequestID
	// ServiceName names a service.
	ServiceName = types.ServiceName
	// TeamID names a team.
	TeamID = types.TeamID
)

type (
	// Config tells a client where the entries are.
	Config struct {
		// Entries are base URLs, as in http://10.0.0.1:8080. At least one is needed.
		Entries []string
		// HTTP carries the calls; nil means a client of its own.
		HTTP *http.Client
		// Clock is for tests; nil means the machine's clock.
		Clock clockwork.Clock
		// Token, when set, is sent as a bearer token.
		Token string
		// Attempts is how often one request is sent at most; zero means DefaultAttempts.
		Attempts int
		// Timeout is the time limit of a request whose context has none; zero means DefaultTimeout.
		Timeout time.Duration
		// IDs is how many ids are kept in advance; zero means DefaultIDs.
		IDs int
	}

	// Client sends requests and jobs. It is safe for concurrent use.
	Client struct {
		config Config
		ids    *idPool

		mu           sync.Mutex
		nextEntry    int
		backoffUntil []time.Time
	}

	// Request is one call to a service.
	Request struct {
		// ID, when set, is that of an earlier call of the same request; else the request gets a new one.
		ID      RequestID
		Service ServiceName
		Team    TeamID
		Class   Class
		// Idempotent tells that running the request twice does no harm.
		Idempotent bool
		Body       []byte
	}
)

// New returns a client, or an error when the configuration names no entry.
func New(c Config) (*Client, error) {
	if len(c.Entries) == 0 {
		return nil, errs.New(errs.Invalid, "Entries must name at least one entry")
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	setDefault(&c.Attempts, DefaultAttempts)
	setDefault(&c.IDs, DefaultIDs)
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	client := &Client{config: c, backoffUntil: make([]time.Time, len(c.Entries))}
	client.ids = newIDPool(c.Clock, c.IDs, client.fetchID)
	return client, nil
}

func setDefault(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

// Do sends a request and repeats it where that is safe. The error is nil only with outcome Done and the whole body.
// With outcome NotRun the request did not run and never will; with Unknown it may have run, and Ask may tell later.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel, deadline := c.withDeadline(ctx)
	defer cancel()
	s := &sendState{client: c, backoff: newBackoff(), mayHaveRun: r.ID != "", request: types.Request{
		ID: r.ID, Service: r.Service, Team: r.Team, Class: r.Class, Idempotent: r.Idempotent, Deadline: deadline, Body: r.Body,
	}}
	for range c.config.Attempts {
		isFinal, delay := s.sendOnce(ctx)
		if isFinal || !c.sleep(ctx, delay) {
			break
		}
	}
	return s.answer, s.err
}

// withDeadline returns a context that ends shortly after the request's deadline.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc, time.Time) {
	deadline := c.config.Clock.Now().Add(c.config.Timeout)
	if callerDeadline, ok := ctx.Deadline(); ok {
		deadline = callerDeadline
	}
	limited, cancel := clockwork.WithDeadline(ctx, c.config.Clock, deadline.Add(deadlineMargin))
	return limited, cancel, deadline
}

func (c *Client) sleep(ctx context.Context, delay time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if delay <= 0 {
		return true
	}
	timer := c.config.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: minBackoff, MaxInterval: maxBackoff, Multiplier: 2, RandomizationFactor: 0.5,
	}
}

// NewID returns an id for a request or job that is yet to be sent.
func (c *Client) NewID(ctx context.Context) (RequestID, error) {
	return c.ids.nextID(ctx)
}

// Ask returns what became of a non-idempotent request.
func (c *Client) Ask(ctx context.Context, id RequestID) (*Answer, error) {
	return c.fetchAnswer(ctx, http.MethodGet, id)
}

// Close closes a non-idempotent id that was not dispatched, so that it never runs, and returns its final answer.
func (c *Client) Close(ctx context.Context, id RequestID) (*Answer, error) {
	return c.fetchAnswer(ctx, http.MethodDelete, id)
}

func (c *Client) fetchAnswer(ctx context.Context, method string, id RequestID) (*Answer, error) {
	var answer *Answer
	err := c.tryEntries(ctx, func(base string) error {
		var err error
		answer, err = c.exchange(ctx, method, base+pathRequests+"/"+string(id), nil)
		return err
	})
	if err != nil {
		return nil, err
	}
	return answer, checkAnswer(id, answer)
}

// checkAnswer returns an error unless the answer is the whole answer to the id.
func checkAnswer(id RequestID, a *Answer) error {
	if a.ID != id {
		return errs.New(errs.Unknown, "the answer is that of %s, not of %s", a.ID, id)
	}
	if once.IsWithheld(a) {
		return nil
	}
	return a.Check()
}
