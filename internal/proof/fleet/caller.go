package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/check"
)

const (
	service        types.ServiceName = "desk"
	team           types.TeamID      = "booking"
	requestTimeout                   = 3 * time.Second
	submitTimeout                    = 4 * time.Second
	thinkTime                        = 20 * time.Millisecond
	jobThinkTime                     = 150 * time.Millisecond
	maxPadding                       = 4096
	// repeatPercent is the percentage of failed requests and submissions that are sent again under the same ID.
	repeatPercent = 50
)

type (
	// caller sends requests and submits jobs to randomly chosen entries, as a load balancer would.
	caller struct {
		random *rand.Rand
		fleet  *fleet
	}
)

// sendRequests sends requests until ctx ends, and repeats some of those that failed.
func (c *caller) sendRequests(ctx context.Context) {
	for every.Sleep(ctx, c.fleet.cluster.clock, thinkTime) {
		n := c.fleet.pickNode(c.random)
		if n == nil {
			continue
		}
		id, err := n.client.mintID(ctx)
		if err != nil {
			continue
		}
		r := types.Request{
			ID: id, Service: service, Team: team, Class: c.randomClass(), Idempotent: c.random.IntN(2) == 0,
			Deadline: c.fleet.cluster.clock.Now().Add(requestTimeout), Body: c.newBody(id),
		}
		if failed := c.send(ctx, n, r); failed && c.random.IntN(100) < repeatPercent {
			c.repeat(ctx, r)
		}
	}
}

// send sends one request and records the exchange. It returns true if the request failed, that is, if no answer with
// outcome Done arrived.
func (c *caller) send(ctx context.Context, n *node, r types.Request) bool {
	clock := c.fleet.cluster.clock
	e := check.Exchange{Request: r, Want: r.Body, Entry: n.id, SentAt: clock.Now()}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*requestTimeout)
	defer cancel()
	e.Answer, e.Err = n.client.do(callCtx, r)
	if e.Err != nil {
		e.Answer = nil
	}
	e.AnsweredAt = clock.Now()
	c.fleet.recorder.addExchange(e)
	return e.Err != nil || e.Answer.Outcome != types.OutcomeDone
}

// repeat sends a request again under the same ID, with a new deadline and through a newly chosen entry.
func (c *caller) repeat(ctx context.Context, r types.Request) {
	if n := c.fleet.pickNode(c.random); n != nil {
		r.Deadline = c.fleet.cluster.clock.Now().Add(requestTimeout)
		c.send(ctx, n, r)
	}
}

// submitJobs submits jobs until ctx ends. It repeats some of the failed submissions and cancels some of the jobs.
func (c *caller) submitJobs(ctx context.Context) {
	for number := 0; every.Sleep(ctx, c.fleet.cluster.clock, jobThinkTime); number++ {
		n := c.fleet.pickNode(c.random)
		if n == nil {
			continue
		}
		job := c.randomJob(n, number)
		if !c.submit(ctx, n, job) && c.random.IntN(100) < repeatPercent {
			c.resubmit(ctx, job)
		}
		if c.random.IntN(10) == 0 {
			c.cancel(ctx, job.ID)
		}
	}
}

func (c *caller) submit(ctx context.Context, n *node, job types.Job) bool {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	_, err := n.client.submit(callCtx, job)
	c.fleet.recorder.recordSubmission(job, err)
	return err == nil
}

func (c *caller) resubmit(ctx context.Context, job types.Job) {
	if n := c.fleet.pickNode(c.random); n != nil {
		c.submit(ctx, n, job)
	}
}

func (c *caller) cancel(ctx context.Context, id types.JobID) {
	n := c.fleet.pickNode(c.random)
	if n == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if _, err := n.client.cancel(callCtx, id); err != nil && !errs.Is(err, errs.NotFound) {
		c.fleet.trace.add("cancelling %s: %v", id, err)
	}
}

// randomJob returns a batch or a gang of random tasks, which may be booking tasks.
func (c *caller) randomJob(n *node, number int) types.Job {
	id := types.Mint(n.site.DataCentre, 0)
	job := types.Job{
		ID: types.JobID(id.String()), Name: fmt.Sprintf("job-%d", number), Team: team, Class: c.randomClass(),
		Task: types.TaskSpec{
			Resources:  types.Resources{Cores: types.MilliCores(250 * (1 + c.random.IntN(4))), Memory: types.MiB(256 * (1 + c.random.IntN(4)))},
			RunTime:    time.Duration(200+c.random.IntN(1500)) * time.Millisecond,
			Idempotent: c.random.IntN(2) == 0, Booking: c.random.IntN(2) == 0, CanCheckpoint: c.random.IntN(3) == 0,
		},
	}
	if c.random.IntN(4) == 0 {
		job.Task.Resources.Accelerators = 1
	}
	count := 1 + c.random.IntN(3)
	jobDeadline := c.fleet.cluster.clock.Now().Add(time.Hour)
	if c.random.IntN(4) == 0 {
		job.Gang = &types.Gang{Count: count, Deadline: jobDeadline}
		return job
	}
	job.Batch = &types.Batch{Count: count, Deadline: jobDeadline}
	return job
}

func (c *caller) randomClass() types.Class {
	classes := types.Classes()
	return classes[c.random.IntN(len(classes))]
}

// newBody returns a body that differs from those of all other requests, since it contains the request ID.
func (c *caller) newBody(id types.RequestID) []byte {
	out := []byte("body of " + string(id) + " ")
	for range c.random.IntN(maxPadding) {
		out = append(out, byte('a'+c.random.IntN(26)))
	}
	return out
}
