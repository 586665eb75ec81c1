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
	// retryPause is the pause between two tries, and askPause between two questions.
	retryPause = 250 * time.Millisecond
	askPause   = 60 * time.Millisecond
	// patience is how long a caller follows a job before it hands the next in.
	patience = 2 * time.Second
	// cancelShare is the part of jobs that are cancelled, as one in so many.
	cancelShare = 10
	// callerSeed tells the callers' random numbers from those of the failures.
	callerSeed = 1000
)

// caller hands in one job after another and follows each, on connections that it keeps open to every daemon until
// that is gone.
type caller struct {
	world  *world
	number int
	rand   *rand.Rand
	http   *stand.Caller
	jobs   int
}

func newCaller(w *world, number int) *caller {
	return &caller{
		world: w, number: number, http: stand.NewCaller(host, prefix),
		rand: rand.New(rand.NewPCG(w.config.Seed, callerSeed+uint64(number))),
	}
}

func (c *caller) close() { c.http.Close() }

func (c *caller) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		c.jobs++
		id := specs.JobID(fmt.Sprintf("%016x", (c.number+1)<<32+c.jobs))
		if c.submit(ctx, id) {
			c.follow(ctx, id)
		}
	}
}

// daemon returns any of the daemons, those that do not run among them.
func (c *caller) daemon() *daemon {
	return c.world.daemons[c.rand.IntN(len(c.world.daemons))]
}

// call makes one call and checks that a daemon that was never harmed answers it.
func (c *caller) call(what string, id specs.JobID, send func(d *daemon) stand.Answer) stand.Answer {
	d := c.daemon()
	unharmed := d.unharmed()
	a := send(d)
	if a.Status == 0 && !a.Refused && !a.TimedOut && unharmed && d.unharmed() {
		c.world.book.broke("%s of job %s: daemon %s broke the connection", what, id, d.where.Name)
	}
	return a
}

// submit hands a job in until it is accepted; false means that it was not.
func (c *caller) submit(ctx context.Context, id specs.JobID) bool {
	parts := c.parts()
	c.world.book.handIn(id, parts)
	for range maxTries {
		a := c.call("submission", id, func(d *daemon) stand.Answer {
			return c.http.Submit(context.WithoutCancel(ctx), d.where.Front, id, parts)
		})
		c.world.book.submitted(id, a)
		if a.Accepted() {
			return true
		}
		c.world.clock.Sleep(retryPause)
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// parts returns the steps of a job: a few tasks, at times after each other, at times all at once.
func (c *caller) parts() []stand.Part {
	const most = 4
	part := func() stand.Part {
		return stand.Part{
			Count: 1 + c.rand.IntN(most), CPU: int64(taskCores), Memory: int64(taskMemory), Gang: c.rand.IntN(2) == 0,
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
	if c.rand.IntN(cancelShare) == 0 {
		c.cancel(ctx, id)
	}
	end := c.world.clock.Now().Add(patience)
	for ctx.Err() == nil && c.world.clock.Now().Before(end) {
		if c.look(ctx, id).Final() {
			return
		}
		c.world.clock.Sleep(askPause)
	}
}

// look asks for a job's state once.
func (c *caller) look(ctx context.Context, id specs.JobID) stand.Answer {
	asked := c.world.since()
	a := c.call("question", id, func(d *daemon) stand.Answer {
		return c.http.State(context.WithoutCancel(ctx), d.where.Front, id)
	})
	c.world.book.told(id, asked, a, c.world.platform.Fleet.Done(id))
	return a
}

func (c *caller) cancel(ctx context.Context, id specs.JobID) {
	c.world.book.cancelling(id)
	for range maxTries {
		a := c.call("cancellation", id, func(d *daemon) stand.Answer {
			return c.http.Cancel(context.WithoutCancel(ctx), d.where.Front, id)
		})
		c.world.book.cancelled(id, a)
		if a.Accepted() || a.Gone() || ctx.Err() != nil {
			return
		}
		c.world.clock.Sleep(retryPause)
	}
}
