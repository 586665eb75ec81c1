// Package soak runs the real daemons as separate processes against the stand-in of the platform, injects faults from
// outside, and checks during the run that the promises to callers and runners are kept.
//
// Connections to the store and to the runners go through proxies, which delay, hold back or reset them; processes are
// paused, killed, stopped and restarted. The checks use the answers that callers got and the requests that runners
// received, never the daemons' own logs.
package soak

import (
	"context"
	"fmt"
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
	// DefaultMaxTasks is the default of Config.MaxTasks.
	DefaultMaxTasks = 4
)

const (
	host    = "jobs.example"
	prefix  = "/q1/"
	service = types.ServiceName("svc")

	// readyTimeout is how long the daemons may take at the start of a run until all of them serve.
	readyTimeout = 20 * time.Second
	// completionTimeout is how long after the last fault every accepted job must have ended.
	completionTimeout = 40 * time.Second
	// firstCatalog is the version of the catalog that a run begins with.
	firstCatalog = 1
	// storeLinkRate is the rate of a daemon's link to the store with LargeCatalogs, in bytes per second, extraRoutes the
	// number of routes that these catalogs have besides the one in use, and catalogInterval the time between two of them.
	storeLinkRate   = 2_000_000 / 8
	extraRoutes     = 1400
	catalogInterval = 1500 * time.Millisecond
	// catalogTimeout is how long the latest catalog may take to be in force everywhere after the last fault.
	catalogTimeout = 10 * time.Second
	// narrowLinkMbps is the bandwidth of a daemon's link with NarrowLinks, in Mbit/s.
	narrowLinkMbps = 4
	// violationPollInterval is the interval at which the violations that the runners saw are collected.
	violationPollInterval = 100 * time.Millisecond
	pollInterval          = 20 * time.Millisecond

	runnerCores = 4 * types.Core
	taskCores   = types.Core
	taskMemory  = types.MiB(64)
	maxLeaseTTL = 6 * time.Second
	gangTimeout = 4 * time.Second
	// gangCheckpoint is the work after which each member of a gang saves its state.
	gangCheckpoint = 20 * time.Millisecond
	stopTimeout    = 100 * time.Millisecond
	// crashingShare is the number of jobs of which one has a task that crashes its runners, restartDelay how long another runner
	// takes to start then, and maxCrashingStarts how often such a task may be started: twice more after the third crash.
	// A job with a task under which minCrashes runners have crashed may end as failed.
	minCrashes        = 2
	crashingShare     = 30
	restartDelay      = time.Second
	maxCrashingStarts = 5
)

type (
	// Config describes a run.
	Config struct {
		// Seed determines the faults and the jobs of the run.
		Seed uint64
		// Command starts a daemon; the path of its settings and its metrics port are appended as flags.
		Command []string
		// Former, if not empty, starts a daemon of a former build. All daemons begin with it, and each later start of one is an upgrade
		// or, less often, a rollback.
		Former []string
		// Directory is where the settings and the logs of the daemons are written.
		Directory string
		Daemons   int
		Runners   int
		Callers   int
		// Length is how long faults are injected.
		Length time.Duration
		// NarrowLinks makes the settings state links so narrow that the leader calls the runners through relays.
		NarrowLinks bool
		// LargeCatalogs makes the operator's catalogs large, and the daemons' links to the store narrow.
		LargeCatalogs bool
		// ChangingPolicies moves the queue between two services of half of the runners each, gives and takes its recommendation, and
		// removes its route, every second or two.
		ChangingPolicies bool
		// ShortTerms kills the leader every second or two and refuses its snapshots, so that no term lasts until its snapshot is
		// written and the ledger's ring fills.
		ShortTerms bool
		// RunnerReboots restarts several runners at once under their ids, every second or two, while starts are under way and long
		// tasks run. At times the leader is killed or runners are cut off soon after.
		RunnerReboots bool
		// StoreFaults adds the faults of the store that depend on the call or on its daemon, and those of the leader.
		StoreFaults bool
		// ScarceProcessor gives each daemon one processor, and the weak ones only a share of it.
		ScarceProcessor bool
		// PowerLosses is the number of times that all daemons are killed at once after the other faults, right after a job was accepted.
		PowerLosses int
		// OnlyFault, if not empty, is the name of the only kind of fault, of which one is injected at a time.
		OnlyFault string
		// MaxTasks is the maximum number of tasks in a step of a job; zero means DefaultMaxTasks.
		MaxTasks int
	}

	// Report is the result of a run.
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
		// UnstoppableStarts is the number of starts that agent.Fleet.UnstoppableStarts counts.
		UnstoppableStarts int
		// LongestTermless is the longest time for which the leader record was seen to name a daemon without a term.
		LongestTermless time.Duration
		// Broken lists the broken promises in the order in which they were detected.
		Broken []string
		// Events lists the injected faults in order, with the time since the start of the run.
		Events []string
		// Directory holds the daemons' logs.
		Directory string
	}

	// harness holds the platform's stand-in, the daemons and the records of one run.
	harness struct {
		config      Config
		clock       clockwork.Clock
		startedAt   time.Time
		platform    *stand.Platform
		gate        *storeGate
		runnerProxy *proxy
		daemons     []*daemon
		recorder    *recorder
		// catalogMu is held while a catalog is written, so that none is replaced by an older one.
		catalogMu sync.Mutex
		// policy is that of the latest catalog. It is guarded by catalogMu.
		policy queuePolicy

		mu          sync.Mutex
		faultCounts map[string]int
		events      []string
		// runnerCount is the number of runners added so far, runnerAddresses the address of each that has not crashed, and
		// catalogVersion the version of the latest catalog.
		runnerCount     int
		runnerAddresses map[specs.RunnerID]types.Address
		catalogVersion  int
		// services holds the service of the runner at each address.
		services map[types.Address]types.ServiceName
		// violationCount is the number of recorded violations that the runners saw.
		violationCount int
		// longestTermless is the longest time for which the leader record was seen to name a daemon without a term.
		longestTermless time.Duration
	}
)

// Run runs one seed and returns its report. An error means that the run could not be set up; broken promises are in the
// report.
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
	loops.Go(func() { h.watchLeader(callCtx) })
	h.injectFaults(ctx)
	h.losePower(ctx)
	stopCalls()
	loops.Wait()
	h.awaitCompletion(ctx)
	h.awaitCatalog(ctx)
	h.stopDaemons()
	h.recorder.checkStarts(h.platform.Fleet)
	return h.report(), nil
}

func newHarness(c Config) (*harness, error) {
	if len(c.faultKinds()) == 0 {
		return nil, errs.New(errs.Invalid, "there is no kind of fault with the name %q", c.OnlyFault)
	}
	clock := clockwork.NewRealClock()
	if c.MaxTasks == 0 {
		c.MaxTasks = DefaultMaxTasks
	}
	h := &harness{
		config: c, clock: clock, startedAt: clock.Now(), faultCounts: make(map[string]int), catalogVersion: firstCatalog,
		runnerAddresses: make(map[specs.RunnerID]types.Address), services: make(map[types.Address]types.ServiceName),
		policy: queuePolicy{service: service},
	}
	h.recorder = newRecorder(clock, h.startedAt)
	platform, err := stand.Start(clock, agent.FleetConfig{
		RunTime:  c.runTime(),
		Takes:    func(specs.Ref) types.Resources { return types.Resources{Cores: taskCores, Memory: taskMemory} },
		GangSize: h.recorder.gangSize,
		Crashes:  isCrashing, OnCrash: func(id specs.RunnerID) { h.restartRunner(id, restartDelay) },
		GangTimeout: gangTimeout, GangCheckpoint: gangCheckpoint, MaxLeaseTTL: maxLeaseTTL, StopTimeout: c.stopTimeout(),
	})
	if err != nil {
		return nil, err
	}
	h.platform = platform
	h.gate = newStoreGate(h)
	platform.Intercept(h.gate.wrap)
	if h.runnerProxy, err = newProxy(clock, platform.Address, 0); err != nil {
		return nil, err
	}
	if err := platform.Configure(firstCatalog, host, prefix, string(service)); err != nil {
		return nil, err
	}
	for range c.Runners {
		address, err := h.runnerProxy.listen()
		if err != nil {
			return nil, err
		}
		if err := platform.AddRunner(h.newRunner(address)); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// storeRate returns the rate of a daemon's link to the store, or zero when it has no limit.
func (h *harness) storeRate() int64 {
	if h.config.LargeCatalogs {
		return storeLinkRate
	}
	return 0
}

// awaitCatalog records a violation if the latest large catalog is not in force at every daemon within catalogTimeout.
func (h *harness) awaitCatalog(ctx context.Context) {
	h.mu.Lock()
	version := h.catalogVersion
	h.mu.Unlock()
	if !h.config.LargeCatalogs || version == firstCatalog {
		return
	}
	client := stand.NewCaller(host, stand.ExtraRoute(version, extraRoutes-1))
	defer client.Close()
	err := h.waitFor(ctx, catalogTimeout, "the latest catalog is in force", func() bool {
		for _, d := range h.daemons {
			if !client.State(ctx, d.config.Front, "").Accepted() {
				return false
			}
		}
		return true
	})
	if err != nil {
		h.recorder.addViolation("catalog %d is not in force at every daemon %s after the last fault", version, catalogTimeout)
	}
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
	return h.waitFor(ctx, readyTimeout, "all daemons serve", func() bool {
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

// waitFor polls until the condition holds. It returns an error of kind Deadline after the timeout, and of kind
// Unavailable if ctx ends first.
func (h *harness) waitFor(ctx context.Context, timeout time.Duration, what string, condition func() bool) error {
	deadline := h.clock.Now().Add(timeout)
	for !condition() {
		if h.clock.Now().After(deadline) {
			return errs.New(errs.Deadline, "condition not met within %s: %s", timeout, what)
		}
		if ctx.Err() != nil {
			return errs.New(errs.Unavailable, "the run was cancelled while waiting: %s", what)
		}
		h.clock.Sleep(pollInterval)
	}
	return nil
}

// watchViolations records the violations that the runners see, until ctx ends.
func (h *harness) watchViolations(ctx context.Context) {
	for ctx.Err() == nil {
		h.recordViolations()
		h.clock.Sleep(violationPollInterval)
	}
}

// recordViolations records the violations that the runners have seen since the last call.
func (h *harness) recordViolations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := h.platform.Fleet.Violations()
	for _, v := range violations[h.violationCount:] {
		h.recorder.addViolation("runners saw: %s", v)
	}
	h.violationCount = len(violations)
}

// awaitCompletion queries the open jobs until every accepted job has ended. It records a violation if some have not
// ended within completionTimeout, and every violation that the runners saw.
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
		h.recorder.addViolation("%d accepted jobs have not ended %s after the last fault, among them %s",
			len(h.recorder.openJobs()), completionTimeout, h.recorder.openJobs()[0])
	}
	h.recordViolations()
}

// stopDaemons sends SIGTERM to every daemon once it listens, and waits until all have ended.
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
