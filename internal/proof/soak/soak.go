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

	// readyTimeout is how long the daemons may take to serve at first.
	readyTimeout = 20 * time.Second
	// completionTimeout is how long after the last failure every accepted job must have ended.
	completionTimeout = 40 * time.Second
	// violationPollInterval is how often what the runners saw is checked.
	violationPollInterval = 100 * time.Millisecond
	pollInterval          = 20 * time.Millisecond

	runnerCores = 4 * types.Core
	taskCores   = types.Core
	taskMemory  = types.MiB(64)
	maxLeaseTTL = 6 * time.Second
	gangTimeout = 4 * time.Second
	stopTimeout = 100 * time.Millisecond
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

	// harness is one run.
	harness struct {
		config      Config
		clock       clockwork.Clock
		startedAt   time.Time
		platform    *stand.Platform
		runnerProxy *proxy
		daemons     []*daemon
		recorder    *recorder

		mu          sync.Mutex
		faultCounts map[string]int
		events      []string
		// runnerCount counts the runners that ever came, version the catalogs that were written.
		runnerCount    int
		catalogVersion int
	}
)

// Run runs one seed. An error means that the run itself did not come about.
func Run(ctx context.Context, c Config) (*Report, error) {
	h, err := newHarness(c)
	if err != nil {
		return nil, err
	}
	defer h.close()
	if err := h.startDaemons(ctx); err != nil {
		return nil, err
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var loops sync.WaitGroup
	for i := range c.Callers {
		loops.Go(func() { newCaller(h, i).run(callCtx) })
	}
	loops.Go(func() { h.watchViolations(callCtx) })
	h.injectFaults(ctx)
	stopCalls()
	loops.Wait()
	h.awaitCompletion(ctx)
	h.stopDaemons()
	h.recorder.checkStarts(h.platform.Fleet)
	return h.report(), nil
}

func newHarness(c Config) (*harness, error) {
	clock := clockwork.NewRealClock()
	h := &harness{config: c, clock: clock, startedAt: clock.Now(), faultCounts: make(map[string]int), catalogVersion: 1}
	h.recorder = newRecorder(clock, h.startedAt)
	platform, err := stand.Start(clock, agent.World{
		RunTime:     runTime,
		Takes:       func(specs.Ref) types.Resources { return types.Resources{Cores: taskCores, Memory: taskMemory} },
		Gang:        h.recorder.gangSize,
		GangTimeout: gangTimeout, MaxLeaseTTL: maxLeaseTTL, StopTimeout: stopTimeout,
	})
	if err != nil {
		return nil, err
	}
	h.platform = platform
	if h.runnerProxy, err = newProxy(clock, platform.Address); err != nil {
		return nil, err
	}
	if err := platform.Configure(1, host, prefix, string(service)); err != nil {
		return nil, err
	}
	for range c.Runners {
		if err := h.addRunner(); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// runTime returns how long a task runs, which depends on its name alone.
func runTime(ref specs.Ref) time.Duration {
	const minMs, stepCount, stepMs = 20, 8, 40
	sum := ref.Index
	for _, b := range []byte(ref.Job) {
		sum += int(b)
	}
	return time.Duration(minMs+sum%stepCount*stepMs) * time.Millisecond
}

func (h *harness) addRunner() error {
	h.mu.Lock()
	h.runnerCount++
	id := specs.RunnerID(fmt.Sprintf("w%03d", h.runnerCount))
	h.mu.Unlock()
	return h.platform.AddRunner(agent.Runner{
		ID: id, Service: service, DataCentre: "dc1", Address: h.runnerProxy.address,
		Capacity: types.Resources{Cores: runnerCores, Memory: types.GiB},
	})
}

func (h *harness) elapsed() time.Duration { return h.clock.Since(h.startedAt) }

func (h *harness) startDaemons(ctx context.Context) error {
	for i := range h.config.Daemons {
		d, err := newDaemon(h, types.VMID(fmt.Sprintf("e%d", i)))
		if err != nil {
			return err
		}
		h.daemons = append(h.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return h.waitFor(ctx, readyTimeout, "the daemons serve", func() bool {
		client := stand.NewCaller(host, prefix)
		defer client.Close()
		for _, d := range h.daemons {
			if !client.State(ctx, d.config.Front, "").Accepted() {
				return false
			}
		}
		return true
	})
}

// waitFor waits until something holds.
func (h *harness) waitFor(ctx context.Context, timeout time.Duration, what string, condition func() bool) error {
	deadline := h.clock.Now().Add(timeout)
	for !condition() {
		if h.clock.Now().After(deadline) {
			return errs.New(errs.Deadline, "not so within %s: %s", timeout, what)
		}
		if ctx.Err() != nil {
			return errs.New(errs.Unavailable, "the run was ended while waiting: %s", what)
		}
		h.clock.Sleep(pollInterval)
	}
	return nil
}

// watchViolations notes broken promises that the runners saw, as they are seen.
func (h *harness) watchViolations(ctx context.Context) {
	reported := 0
	for ctx.Err() == nil {
		violations := h.platform.Fleet.Violations()
		for _, v := range violations[reported:] {
			h.recorder.addViolation("runners saw: %s", v)
		}
		reported = len(violations)
		h.clock.Sleep(violationPollInterval)
	}
}

// awaitCompletion asks until every accepted job has ended.
func (h *harness) awaitCompletion(ctx context.Context) {
	poller := newCaller(h, h.config.Callers)
	defer poller.close()
	err := h.waitFor(ctx, completionTimeout, "every accepted job has ended", func() bool {
		for _, id := range h.recorder.openJobs() {
			poller.queryState(ctx, id)
		}
		return len(h.recorder.openJobs()) == 0
	})
	if err != nil {
		h.recorder.addViolation("%d accepted jobs have not ended %s after the last failure, among them %s",
			len(h.recorder.openJobs()), completionTimeout, h.recorder.openJobs()[0])
	}
	for _, v := range h.platform.Fleet.Violations() {
		h.recorder.addViolation("runners saw: %s", v)
	}
}

// stopDaemons stops every daemon, which must end in time by itself.
func (h *harness) stopDaemons() {
	for _, d := range h.daemons {
		for deadline := h.clock.Now().Add(listenTimeout); !d.terminate() && h.clock.Now().Before(deadline); {
			h.clock.Sleep(pollInterval)
		}
	}
	for _, d := range h.daemons {
		d.awaitExit()
	}
}

func (h *harness) close() {
	for _, d := range h.daemons {
		d.close()
	}
	h.runnerProxy.close()
	h.platform.Close()
}

func (h *harness) report() *Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &Report{
		Seed: h.config.Seed, Daemons: h.config.Daemons, Faults: h.faultCounts, Events: h.events,
		Starts: h.platform.Fleet.Starts(), Directory: h.config.Directory,
	}
	h.recorder.fillReport(r)
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
