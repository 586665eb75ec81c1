package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/check"
)

// Defaults of a run.
const (
	// DefaultLength is how long failures are brought about.
	DefaultLength = 5 * time.Second
	// DefaultSettle is how long the fleet may take afterwards to finish what it accepted.
	DefaultSettle = time.Minute
)

const (
	// inForceBound is the target's bound on how soon an accepted document is in force.
	inForceBound = 20 * time.Second
	sampleEvery  = 200 * time.Millisecond
	askEvery     = 250 * time.Millisecond
	startLimit   = 30 * time.Second
	callers      = 4
)

type (
	// Config is one run.
	Config struct {
		Seed   uint64
		Length time.Duration
		Settle time.Duration
	}

	// Report is what one run found.
	Report struct {
		Seed       uint64
		Violations []check.Violation
		// Unsettled names the accepted work that did not end in time, and what else did not recover.
		Unsettled []string
		Counts    Counts
		trace     *trace
	}

	// Counts is how much work a run did.
	Counts struct {
		Requests   int
		Done       int
		Jobs       int
		Executions int
		Runs       int
		Revisions  int
		Faults     int
	}

	fleet struct {
		config Config
		world  *world
		book   *book
		trace  *trace
		random *rand.Rand

		mu    sync.Mutex
		nodes []*node
		made  int
		count int
	}
)

// Run brings up the fleet, brings about failures while work goes on, lets it settle, and checks the promises.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Length == 0 {
		c.Length = DefaultLength
	}
	if c.Settle == 0 {
		c.Settle = DefaultSettle
	}
	w, err := newWorld()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		config: c, world: w, book: newBook(), trace: newTrace(w.clock),
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}
	if err := f.begin(ctx); err != nil {
		f.stop()
		return nil, err
	}
	f.work(ctx)
	f.world.heal()
	unsettled := f.settle(ctx)
	f.stop()
	return f.report(unsettled), nil
}

// Failed tells whether the run broke a promise or did not settle.
func (r *Report) Failed() bool {
	return len(r.Violations)+len(r.Unsettled) > 0
}

// Print writes the seed, what was found, and the trace of a run that failed.
func (r *Report) Print(w io.Writer) {
	lines := []string{fmt.Sprintf("seed %d: %+v", r.Seed, r.Counts)}
	for _, v := range r.Violations {
		lines = append(lines, "  "+v.String())
	}
	for _, u := range r.Unsettled {
		lines = append(lines, "  not settled: "+u)
	}
	for _, line := range lines {
		// A writer that fails has nobody to report to.
		_, _ = fmt.Fprintln(w, line)
	}
	if r.Failed() {
		r.trace.print(w)
	}
}

// begin starts all daemons, has the first document accepted and waits until requests are answered.
func (f *fleet) begin(ctx context.Context) error {
	for _, site := range sites {
		for range entriesPerSite {
			if _, err := f.add(site); err != nil {
				return err
			}
		}
	}
	if err := f.firstDocument(ctx); err != nil {
		return err
	}
	if err := f.learn(ctx); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, n := range f.live() {
		for !f.answers(limited, n) {
			if !f.sleep(limited, askEvery) {
				return errs.New(errs.Unavailable, "%s does not answer %s after the start", n.id, startLimit)
			}
		}
	}
	f.trace.add("all daemons answer")
	return nil
}

// learn waits until the platform lists every worker.
func (f *fleet) learn(ctx context.Context) error {
	list := f.world.Platform.VMs.As("", meter.Discard())
	for len(f.world.vms) < len(sites)*workersPerSite {
		f.sleep(ctx, listLag)
		seen, err := list.List(ctx)
		if err != nil {
			return err
		}
		f.world.learn(seen.VMs)
	}
	return nil
}

// answers tells whether a daemon answers a request.
func (f *fleet) answers(ctx context.Context, n *node) bool {
	id, err := n.front.mint(ctx)
	if err != nil {
		return false
	}
	c := &caller{random: f.random, fleet: f}
	return !c.send(ctx, n, types.Request{
		ID: id, Service: service, Team: team, Class: types.ClassUrgent, Idempotent: true,
		Deadline: f.world.clock.Now().Add(deadline), Body: []byte(id),
	})
}

// work runs callers, the operator, the sampler and the failures for the length of the run.
func (f *fleet) work(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, f.config.Length)
	defer cancel()
	var group sync.WaitGroup
	for i := range callers {
		c := &caller{random: rand.New(rand.NewPCG(f.config.Seed, uint64(i+1))), fleet: f}
		group.Go(func() { c.requests(limited) })
		if i%2 == 0 {
			j := &caller{random: rand.New(rand.NewPCG(f.config.Seed, uint64(callers+i+1))), fleet: f}
			group.Go(func() { j.jobs(limited) })
		}
	}
	group.Go(func() { f.operate(limited) })
	group.Go(func() { f.sample(limited) })
	f.disturb(limited)
	group.Wait()
}

// sample notes the revision in force on every daemon until ctx ends.
func (f *fleet) sample(ctx context.Context) {
	for f.sleep(ctx, sampleEvery) {
		f.sampleAll()
	}
}

func (f *fleet) sampleAll() {
	for _, n := range f.live() {
		f.book.sample(check.Sample{VM: n.id, At: f.world.clock.Now(), Revision: n.daemon.Revision()})
	}
}

// settle waits until every accepted job ended, the newest document is in force and every daemon answers. It
// returns what did not happen in time.
func (f *fleet) settle(ctx context.Context) []string {
	limited, cancel := context.WithTimeout(ctx, f.config.Settle)
	defer cancel()
	for {
		f.sampleAll()
		left := f.left(limited)
		if len(left) == 0 || !f.sleep(limited, askEvery) {
			return left
		}
	}
}

func (f *fleet) left(ctx context.Context) []string {
	var out []string
	nodes := f.live()
	for _, id := range f.book.open() {
		n := nodes[f.random.IntN(len(nodes))]
		status, err := n.front.status(ctx, id)
		if err != nil {
			out = append(out, fmt.Sprintf("job %s: %v", id, err))
			continue
		}
		f.book.status(id, status)
		if !ended(status.State) {
			out = append(out, fmt.Sprintf("job %s: %+v", id, status))
		}
	}
	newest := f.book.newest()
	for _, n := range nodes {
		if n.daemon.Revision() < newest {
			out = append(out, fmt.Sprintf("%s has revision %d in force, %d was accepted", n.id, n.daemon.Revision(), newest))
		}
		if !f.answers(ctx, n) {
			out = append(out, fmt.Sprintf("%s does not answer requests", n.id))
		}
	}
	return out
}

func (f *fleet) report(unsettled []string) *Report {
	h := f.book.history()
	h.Workers = f.world.records()
	h.Executions = f.world.Platform.Runners.Record()
	h.Leavings = f.world.left()
	r := &Report{Seed: f.config.Seed, Violations: check.All(&h), Unsettled: unsettled, trace: f.trace}
	r.Counts = Counts{
		Requests: len(h.Exchanges), Jobs: len(h.Submissions), Executions: len(h.Executions),
		Revisions: len(h.Acceptances), Faults: f.count,
	}
	for i := range h.Exchanges {
		if a := h.Exchanges[i].Answer; a != nil && a.Outcome == types.OutcomeDone {
			r.Counts.Done++
		}
	}
	for _, w := range h.Workers {
		r.Counts.Runs += len(w.Runs)
	}
	return r
}

// sleep waits, and tells whether ctx has not ended.
func (f *fleet) sleep(ctx context.Context, d time.Duration) bool {
	timer := f.world.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
