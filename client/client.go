// Package client sends requests and jobs to the entries of magnoliawalk, the daemons that serve callers. It retries a
// call only where that is safe.
package client

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

// Default values of Config.
const (
	// DefaultAttempts is the default of Config.Attempts.
	DefaultAttempts = 8
	// DefaultTimeout is the default of Config.Timeout.
	DefaultTimeout = 10 * time.Second
	// DefaultIDs is the default of Config.IDs.
	DefaultIDs = 16

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// entryBackoff is how long an entry is skipped after a failed call, unless all entries are.
	entryBackoff = 3 * time.Second
	// deadlineMargin is how long after the request's deadline the client still waits for an answer.
	deadlineMargin = time.Second
)

// Types of requests, jobs and answers, exported for callers.
type (
	// Answer is the answer to a request: its outcome, its body, and the reason if the outcome is not Done or the body
	// was too large to be kept.
	Answer = types.Answer
	// Class is the priority class of work: Urgent, Normal or Batch.
	Class = types.Class
	// Error has a kind, a message, and the time to wait before a retry. The errors of this package wrap one.
	Error = errs.Error
	// Job describes a job to submit.
	Job = types.Job
	// JobID identifies a job.
	JobID = types.JobID
	// JobStatus is the status of a job: its state and its number of tasks in each state.
	JobStatus = types.JobStatus
	// RequestID identifies a request.
	RequestID = types.RequestID
	// ServiceName is the name of a service in the environment document.
	ServiceName = types.ServiceName
	// TeamID is the name of a team in the environment document.
	TeamID = types.TeamID
)

type (
	// Config configures a Client. Only Entries is required.
	Config struct {
		// Entries are the base URLs of the entries, such as http://10.0.0.1:8080. At least one is required.
		Entries []string
		// HTTP makes the calls; nil means a new http.Client.
		HTTP *http.Client
		// Clock replaces the system clock in tests; nil means the system clock.
		Clock clockwork.Clock
		// Token, if not empty, is sent as the bearer token.
		Token string
		// Attempts is the maximum number of attempts for one call; zero means DefaultAttempts.
		Attempts int
		// Timeout limits a request whose context has no deadline; zero means DefaultTimeout.
		Timeout time.Duration
		// IDs is how many ids are fetched in advance; zero means DefaultIDs.
		IDs int
	}

	// Client sends requests and jobs. It is safe for concurrent use. Create it with New.
	Client struct {
		config Config
		ids    *idPool

		mu           sync.Mutex
		nextEntry    int
		backoffUntil []time.Time
	}

	// Request is one call to a service.
	Request struct {
		// ID, if not empty, is the id under which the same request was sent before. If it is empty, the request gets a
		// new one.
		ID      RequestID
		Service ServiceName
		Team    TeamID
		Class   Class
		// Idempotent states that the request may safely run more than once.
		Idempotent bool
		Body       []byte
	}
)

// New returns a client. It returns an error of kind Invalid if the configuration has no entry.
func New(c Config) (*Client, error) {
	if len(c.Entries) == 0 {
		return nil, errs.New(errs.Invalid, "Entries is empty; it must have the base URL of at least one entry")
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

// Do sends a request and retries it where that is safe. The error is nil only if the outcome is Done and the answer has
// the complete body. With outcome NotRun, the request did not run and never will. With Unknown, it may have run, and
// Ask may return its outcome later. The answer is nil if no entry sent one, or if a later attempt may have run the
// request.
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

// withDeadline returns the request's deadline, which is that of ctx or else follows from Config.Timeout, and a context
// that ends deadlineMargin after it. If ctx has a deadline, the context ends with ctx, without the margin.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc, time.Time) {
	deadline := c.config.Clock.Now().Add(c.config.Timeout)
	if callerDeadline, ok := ctx.Deadline(); ok {
		deadline = callerDeadline
	}
	callCtx, cancel := clockwork.WithDeadline(ctx, c.config.Clock, deadline.Add(deadlineMargin))
	return callCtx, cancel, deadline
}

// sleep waits for the delay. It returns false if ctx ended first.
func (c *Client) sleep(ctx context.Context, delay time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if delay <= 0 {
		return true
	}
	return every.Sleep(ctx, c.config.Clock, delay)
}

func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: minBackoff, MaxInterval: maxBackoff, Multiplier: 2, RandomizationFactor: 0.5,
	}
}

// NewID returns an unused id for a request or a job.
func (c *Client) NewID(ctx context.Context) (RequestID, error) {
	return c.ids.nextID(ctx)
}

// Ask returns the outcome of a non-idempotent request.
func (c *Client) Ask(ctx context.Context, id RequestID) (*Answer, error) {
	return c.fetchAnswer(ctx, http.MethodGet, id)
}

// Close closes the id of a non-idempotent request that was not dispatched, so that the request never runs under it, and
// returns the id's final answer. The outcome is Unknown if the request was dispatched and has no answer yet.
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

// checkAnswer returns an error unless the answer belongs to the id and is complete, or its body was withheld because it
// was too large to be kept.
func checkAnswer(id RequestID, a *Answer) error {
	if a.ID != id {
		return errs.New(errs.Unknown, "got the answer to request %s, expected that to %s", a.ID, id)
	}
	if once.IsWithheld(a) {
		return nil
	}
	return a.Check()
}
