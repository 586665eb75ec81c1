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
	// maxTries is the maximum number of times that a caller sends a submission or a cancellation.
	maxTries = 5
	// retryBackoff is the time between two tries, stateQueryInterval the time between two queries of a job's state.
	retryBackoff       = 250 * time.Millisecond
	stateQueryInterval = 60 * time.Millisecond
	// followTimeout is how long a caller follows a job before it submits the next one.
	followTimeout = 2 * time.Second
	// jobsPerCancellation determines the share of jobs that are cancelled: on average one in that many.
	jobsPerCancellation = 10
	// callerStreamBase is the random stream of the first caller; it separates the callers' random numbers from those
	// of the fault series.
	callerStreamBase = 1000
)

// caller submits one job after another and follows each. It keeps its connection to each daemon open until that daemon
// ends.
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

// randomDaemon returns one of all daemons, including those that are not running.
func (c *caller) randomDaemon() *daemon {
	return c.harness.daemons[c.rand.IntN(len(c.harness.daemons))]
}

// call makes one call to a random daemon. It records a violation if the connection broke although the same process of the daemon
// ran before and after the call and was never paused or killed. A refused connection or a timeout is no violation.
func (c *caller) call(what string, id specs.JobID, send func(d *daemon) stand.Answer) stand.Answer {
	d := c.randomDaemon()
	called := d.undisrupted()
	a := send(d)
	if a.Status == 0 && !a.Refused && !a.TimedOut && called != nil && d.undisrupted() == called {
		c.harness.recorder.addViolation("%s of job %s: daemon %s broke the connection, although it was neither paused nor killed", what, id, d.config.Name)
	}
	return a
}

// submit sends a job until it is accepted, at most maxTries times. It reports whether the job was accepted.
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

// randomParts returns the steps of a job: one step, or two of which the second starts after the first. Each has a few
// tasks and may be a gang.
func (c *caller) randomParts() []stand.Step {
	maxTasks := c.harness.config.MaxTasks
	part := func() stand.Step {
		return stand.Step{
			Count: 1 + c.rand.IntN(maxTasks), CPU: int64(taskCores), Memory: int64(taskMemory), Gang: c.rand.IntN(2) == 0,
		}
	}
	out := []stand.Step{part()}
	if c.rand.IntN(2) == 0 {
		next := part()
		next.After = []int{0}
		out = append(out, next)
	}
	return out
}

// follow queries a job's state until the job has ended or followTimeout has passed. It cancels some of the jobs first.
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

// queryState queries a job's state once and checks the answer.
func (c *caller) queryState(ctx context.Context, id specs.JobID) stand.Answer {
	askedAt := c.harness.elapsed()
	a := c.call("question", id, func(d *daemon) stand.Answer {
		return c.client.State(context.WithoutCancel(ctx), d.config.Front, id)
	})
	fleet := c.harness.platform.Fleet
	c.harness.recorder.checkState(id, askedAt, a, fleet.DoneCount(id), fleet.MostCrashes(id))
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
