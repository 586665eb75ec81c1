package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/platform/stand"
)

const (
	// maxTries is how often a caller hands a job in.
	maxTries = 5
	// retryBackoff is the pause between two tries, and askPause between two questions.
	retryBackoff       = 250 * time.Millisecond
	stateQueryInterval = 60 * time.Millisecond
	// followTimeout is how long a caller follows a job before it hands the next in.
	followTimeout = 2 * time.Second
	// jobsPerCancellation is the part of jobs that are cancelled, as one in so many.
	jobsPerCancellation = 10
	// callerStreamBase tells the callers' random numbers from those of the failures.
	callerStreamBase = 1000
)

// caller hands in one job after another and follows each, on connections that it keeps open to every daemon until
// that is gone.
type caller struct {
	harness  *harness
	index    int
	rand     *rand.Rand
	client   *stand.Caller
	jobCount int
}

func newCaller(h *harness, index int) *caller {
	return &caller{
		harness: h, index: index, client: stand.NewCaller(host, prefix),
		rand: rand.New(rand.NewPCG(h.config.Seed, callerStreamBase+uint64(index))),
	}
}

func (c *caller) close() { c.client.Close() }

func (c *caller) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		c.jobCount++
		id := specs.JobID(fmt.Sprintf("%016x", (c.index+1)<<32+c.jobCount))
		if c.submit(ctx, id) {
			c.follow(ctx, id)
		}
	}
}

// randomDaemon returns any of the daemons, those that do not run among them.
func (c *caller) randomDaemon() *daemon {
	return c.harness.daemons[c.rand.IntN(len(c.harness.daemons))]
}

// call makes one call and checks that a daemon that was never harmed answers it.
func (c *caller) call(what string, id specs.JobID, send func(d *daemon) stand.Answer) stand.Answer {
	d := c.randomDaemon()
	undisrupted := d.isUndisrupted()
	a := send(d)
	if a.Status == 0 && !a.Refused && !a.TimedOut && undisrupted && d.isUndisrupted() {
		c.harness.recorder.addViolation("%s of job %s: daemon %s broke the connection", what, id, d.config.Name)
	}
	return a
}

// submit hands a job in until it is accepted; false means that it was not.
func (c *caller) submit(ctx context.Context, id specs.JobID) bool {
	parts := c.randomParts()
	c.harness.recorder.addJob(id, parts)
	for range maxTries {
		a := c.call("submission", id, func(d *daemon) stand.Answer {
			return c.client.Submit(context.WithoutCancel(ctx), d.config.Front, id, parts)
		})
		c.harness.recorder.recordSubmission(id, a)
		if a.Accepted() {
			return true
		}
		c.harness.clock.Sleep(retryBackoff)
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// randomParts returns the steps of a job: a few tasks, at times after each other, at times all at once.
func (c *caller) randomParts() []stand.Part {
	const maxTasks = 4
	part := func() stand.Part {
		return stand.Part{
			Count: 1 + c.rand.IntN(maxTasks), CPU: int64(taskCores), Memory: int64(taskMemory), Gang: c.rand.IntN(2) == 0,
		}
	}
	out := []stand.Part{part()}
	if c.rand.IntN(2) == 0 {
		next := part()
		next.After = []int{0}
		out = append(out, next)
	}
	return out
}

// follow asks for a job's state until it has ended or the caller's patience has, and cancels some.
func (c *caller) follow(ctx context.Context, id specs.JobID) {
	if c.rand.IntN(jobsPerCancellation) == 0 {
		c.cancel(ctx, id)
	}
	deadline := c.harness.clock.Now().Add(followTimeout)
	for ctx.Err() == nil && c.harness.clock.Now().Before(deadline) {
		if c.queryState(ctx, id).Final() {
			return
		}
		c.harness.clock.Sleep(stateQueryInterval)
	}
}

// queryState asks for a job's state once.
func (c *caller) queryState(ctx context.Context, id specs.JobID) stand.Answer {
	askedAt := c.harness.elapsed()
	a := c.call("question", id, func(d *daemon) stand.Answer {
		return c.client.State(context.WithoutCancel(ctx), d.config.Front, id)
	})
	c.harness.recorder.checkState(id, askedAt, a, c.harness.platform.Fleet.Done(id))
	return a
}

func (c *caller) cancel(ctx context.Context, id specs.JobID) {
	c.harness.recorder.recordCancelSent(id)
	for range maxTries {
		a := c.call("cancellation", id, func(d *daemon) stand.Answer {
			return c.client.Cancel(context.WithoutCancel(ctx), d.config.Front, id)
		})
		c.harness.recorder.recordCancelAnswer(id, a)
		if a.Accepted() || a.Gone() || ctx.Err() != nil {
			return
		}
		c.harness.clock.Sleep(retryBackoff)
	}
}
