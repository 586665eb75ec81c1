// Package soak runs the real daemons as separate processes against the stand-in of the platform, brings about
// failures from outside of them, and checks the promises to callers and runners while it runs.
//
// Connections to the store and the runners pass proxies, which delay, hold up or reset them; processes are paused,
// killed, stopped and started again. The checks go by what callers were told and what runners were ordered, never by
// the daemons' own logs.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
	"github.com/magnoliawalk/magnoliawalk/platform/stand"
)

// Defaults of a run.
const (
	DefaultDaemons = 4
	DefaultRunners = 6
	DefaultCallers = 6
	DefaultLength  = 12 * time.Second
)

const (
	host    = "jobs.example"
	prefix  = "/q1/"
	service = types.ServiceName("svc")

	// readyLimit is how long the daemons may take to serve at first.
	readyLimit = 20 * time.Second
	// settleLimit is how long after the last failure every accepted job must have ended.
	settleLimit = 40 * time.Second
	// lookPeriod is how often what the runners saw is checked.
	lookPeriod = 100 * time.Millisecond
	pollPeriod = 20 * time.Millisecond

	runnerCores = 4 * types.Core
	taskCores   = types.Core
	taskMemory  = types.MiB(64)
	maxLease    = 6 * time.Second
	gangWait    = 4 * time.Second
	stopTime    = 100 * time.Millisecond
)

type (
	// Config says what to run.
	Config struct {
		Seed uint64
		// Command starts a daemon; the path of its settings and its metrics address are appended as flags.
		Command []string
		// Directory takes the settings and the logs of the daemons.
		Directory string
		Daemons   int
		Runners   int
		Callers   int
		// Length is how long failures are brought about.
		Length time.Duration
	}

	// Report is the outcome of a run.
	Report struct {
		Seed      uint64
		Daemons   int
		Faults    map[string]int
		Jobs      int
		Accepted  int
		Completed int
		Cancelled int
		Refused   int
		Starts    int
		// Broken lists the promises that were broken, in the order in which that was seen.
		Broken []string
		// Events lists the failures in order, with the time since the start.
		Events []string
		// Directory holds the daemons' logs.
		Directory string
	}

	// world is one run.
	world struct {
		config   Config
		clock    clockwork.Clock
		began    time.Time
		platform *stand.Platform
		runners  *proxy
		daemons  []*daemon
		book     *book

		mu     sync.Mutex
		faults map[string]int
		events []string
		// spawned counts the runners that ever came, version the catalogs that were written.
		spawned int
		version int
	}
)

// Run runs one seed. An error means that the run itself did not come about.
func Run(ctx context.Context, c Config) (*Report, error) {
	w, err := newWorld(c)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.startDaemons(ctx); err != nil {
		return nil, err
	}
	calling, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var loops sync.WaitGroup
	for i := range c.Callers {
		loops.Go(func() { newCaller(w, i).run(calling) })
	}
	loops.Go(func() { w.watch(calling) })
	w.bringAbout(ctx)
	stopCalls()
	loops.Wait()
	w.settle(ctx)
	w.stopDaemons()
	w.book.judge(w.platform.Fleet)
	return w.report(), nil
}

func newWorld(c Config) (*world, error) {
	clock := clockwork.NewRealClock()
	w := &world{config: c, clock: clock, began: clock.Now(), faults: make(map[string]int), version: 1}
	w.book = newBook(clock, w.began)
	platform, err := stand.Start(clock, agent.World{
		RunTime:     runTime,
		Takes:       func(specs.Ref) types.Resources { return types.Resources{Cores: taskCores, Memory: taskMemory} },
		Gang:        w.book.gang,
		GangTimeout: gangWait, MaxLeaseTTL: maxLease, StopTimeout: stopTime,
	})
	if err != nil {
		return nil, err
	}
	w.platform = platform
	if w.runners, err = newProxy(clock, platform.Address); err != nil {
		return nil, err
	}
	if err := platform.Configure(1, host, prefix, string(service)); err != nil {
		return nil, err
	}
	for range c.Runners {
		if err := w.addRunner(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// runTime returns how long a task runs, which depends on its name alone.
func runTime(ref specs.Ref) time.Duration {
	const least, steps, step = 20, 8, 40
	sum := ref.Index
	for _, b := range []byte(ref.Job) {
		sum += int(b)
	}
	return time.Duration(least+sum%steps*step) * time.Millisecond
}

func (w *world) addRunner() error {
	w.mu.Lock()
	w.spawned++
	id := specs.RunnerID(fmt.Sprintf("w%03d", w.spawned))
	w.mu.Unlock()
	return w.platform.AddRunner(agent.Runner{
		ID: id, Service: service, DataCentre: "dc1", Address: w.runners.address,
		Capacity: types.Resources{Cores: runnerCores, Memory: types.GiB},
	})
}

func (w *world) since() time.Duration { return w.clock.Since(w.began) }

func (w *world) startDaemons(ctx context.Context) error {
	for i := range w.config.Daemons {
		d, err := newDaemon(w, types.VMID(fmt.Sprintf("e%d", i)))
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return w.await(ctx, readyLimit, "the daemons serve", func() bool {
		probe := stand.NewCaller(host, prefix)
		defer probe.Close()
		for _, d := range w.daemons {
			if !probe.State(ctx, d.where.Front, "").Accepted() {
				return false
			}
		}
		return true
	})
}

// await waits until something holds.
func (w *world) await(ctx context.Context, limit time.Duration, what string, holds func() bool) error {
	end := w.clock.Now().Add(limit)
	for !holds() {
		if w.clock.Now().After(end) {
			return errs.New(errs.Deadline, "not so within %s: %s", limit, what)
		}
		if ctx.Err() != nil {
			return errs.New(errs.Unavailable, "the run was ended while waiting: %s", what)
		}
		w.clock.Sleep(pollPeriod)
	}
	return nil
}

// watch notes broken promises that the runners saw, as they are seen.
func (w *world) watch(ctx context.Context) {
	seen := 0
	for ctx.Err() == nil {
		broken := w.platform.Fleet.Violations()
		for _, b := range broken[seen:] {
			w.book.broke("runners saw: %s", b)
		}
		seen = len(broken)
		w.clock.Sleep(lookPeriod)
	}
}

// settle asks until every accepted job has ended.
func (w *world) settle(ctx context.Context) {
	asker := newCaller(w, w.config.Callers)
	defer asker.close()
	err := w.await(ctx, settleLimit, "every accepted job has ended", func() bool {
		for _, id := range w.book.open() {
			asker.look(ctx, id)
		}
		return len(w.book.open()) == 0
	})
	if err != nil {
		w.book.broke("%d accepted jobs have not ended %s after the last failure, among them %s",
			len(w.book.open()), settleLimit, w.book.open()[0])
	}
	for _, b := range w.platform.Fleet.Violations() {
		w.book.broke("runners saw: %s", b)
	}
}

// stopDaemons stops every daemon, which must end in time by itself.
func (w *world) stopDaemons() {
	for _, d := range w.daemons {
		for end := w.clock.Now().Add(listenLimit); !d.terminate() && w.clock.Now().Before(end); {
			w.clock.Sleep(pollPeriod)
		}
	}
	for _, d := range w.daemons {
		d.awaitExit()
	}
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.close()
	}
	w.runners.close()
	w.platform.Close()
}

func (w *world) report() *Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Report{
		Seed: w.config.Seed, Daemons: w.config.Daemons, Faults: w.faults, Events: w.events,
		Starts: w.platform.Fleet.Starts(), Directory: w.config.Directory,
	}
	w.book.fill(r)
	slices.Sort(r.Broken)
	r.Broken = slices.Compact(r.Broken)
	return r
}

// Print writes the report.
func (r *Report) Print(out io.Writer) error {
	lines := []string{
		fmt.Sprintf("seed %d: %d daemons, %d jobs, %d accepted, %d completed, %d cancelled, %d refused, %d starts, %d broken",
			r.Seed, r.Daemons, r.Jobs, r.Accepted, r.Completed, r.Cancelled, r.Refused, r.Starts, len(r.Broken)),
		fmt.Sprintf("  failures: %v", r.Faults),
	}
	if len(r.Broken) > 0 {
		lines = append(lines, r.Broken...)
		lines = append(lines, r.Events...)
		lines = append(lines, "  the daemons' logs are in "+r.Directory)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return errs.New(errs.Internal, "printing: %v", err)
		}
	}
	return nil
}

// Directory returns a new directory for a run's settings and logs.
func Directory(seed uint64) (string, error) {
	path, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", errs.New(errs.Internal, "making a directory: %v", err)
	}
	return path, nil
}
