package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
)

const (
	// seriesCount is the number of fault series that run concurrently.
	seriesCount = 3
	// The further series have random streams of their own.
	catalogStream = seriesCount
	termStream    = seriesCount + 1
	powerStream   = seriesCount + 2
	gateStream    = seriesCount + 3
	rebootStream  = seriesCount + 4
	policyStream  = seriesCount + 5
	// minFaultDuration and maxFaultDuration bound how long one fault lasts, maxFaultDelay the time between two faults of
	// a series.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	maxFaultDelay    = 700 * time.Millisecond
	// maxChunkDelay is the maximum by which a proxy delays each chunk of data.
	maxChunkDelay = 400 * time.Millisecond
	// lostStarts is the number of starts whose answers are lost; each is carried out lateStartDelay later.
	lostStarts     = 5
	lateStartDelay = 2 * time.Second
	// minTerm and maxTerm bound how long a leader leads with ShortTerms.
	minTerm = 600 * time.Millisecond
	maxTerm = 1800 * time.Millisecond
	// lostStoreAnswers is the number of calls to the store that get no answer.
	lostStoreAnswers = 6
	// changeTimeout is how long a change of the platform's store is retried.
	changeTimeout = 10 * time.Second
)

type (
	// faultSeries injects one fault after another.
	faultSeries struct {
		harness *harness
		rand    *rand.Rand
	}

	// faultKind is a kind of fault and the method that injects it.
	faultKind struct {
		name string
		run  func(s *faultSeries, ctx context.Context)
	}
)

// faultKinds returns all kinds of fault. A seed's random draws are indices into it, so a changed order changes what the
// seeds inject.
func faultKinds() []faultKind {
	return []faultKind{
		{"kill", (*faultSeries).killDaemon},
		{"stop", (*faultSeries).stopDaemon},
		{"pause", (*faultSeries).pauseDaemon},
		{"hang up", (*faultSeries).sendHangup},
		{"kill all", (*faultSeries).killAllDaemons},
		{"store slow", (*faultSeries).slowStoreLinks},
		{"store silent", (*faultSeries).blockStoreLinks},
		{"store answers held", (*faultSeries).blockStoreAnswers},
		{"store connections reset", (*faultSeries).resetStoreLinks},
		{"store down", (*faultSeries).takeStoreDown},
		{"store answers lost", (*faultSeries).loseStoreAnswers},
		{"runners slow", (*faultSeries).slowRunnerLinks},
		{"runner answers held", (*faultSeries).blockRunnerAnswers},
		{"runner connections reset", (*faultSeries).resetRunnerLinks},
		{"runner cut", (*faultSeries).makeRunnerUnreachable},
		{"runner crash", (*faultSeries).crashRunner},
		{"runner drains", (*faultSeries).drainRunner},
		{"starts late", (*faultSeries).delayStarts},
		{"catalog", (*faultSeries).changeCatalog},
	}
}

// faultKinds returns the kinds of fault of a run.
func (c Config) faultKinds() []faultKind {
	kinds := faultKinds()
	if c.StoreFaults {
		kinds = append(kinds, storeFaultKinds()...)
	}
	if c.OnlyFault == "" {
		return kinds
	}
	return slices.DeleteFunc(kinds, func(k faultKind) bool { return k.name != c.OnlyFault })
}

// seriesCount returns the number of fault series that run concurrently.
func (c Config) seriesCount() int {
	if c.OnlyFault != "" {
		return 1
	}
	return seriesCount
}

func newFaultSeries(h *harness, stream uint64) *faultSeries {
	return &faultSeries{harness: h, rand: rand.New(rand.NewPCG(h.config.Seed, stream))}
}

// injectFaults runs the fault series for the length of the run, then restores everything.
func (h *harness) injectFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.config.Length)
	defer cancel()
	var group sync.WaitGroup
	for i := range h.config.seriesCount() {
		s := newFaultSeries(h, uint64(i))
		group.Go(func() { s.run(ctx) })
	}
	if h.config.LargeCatalogs {
		s := newFaultSeries(h, catalogStream)
		group.Go(func() { s.growCatalog(ctx) })
	}
	if h.config.ChangingPolicies {
		s := newFaultSeries(h, policyStream)
		group.Go(func() { s.changePolicies(ctx) })
	}
	if h.config.ShortTerms {
		s := newFaultSeries(h, termStream)
		group.Go(func() { s.shortenTerms(ctx) })
	}
	if h.config.RunnerReboots {
		s := newFaultSeries(h, rebootStream)
		group.Go(func() { s.rebootRunners(ctx) })
	}
	if h.config.ScarceProcessor {
		for _, d := range h.daemons {
			if d.config.Cores < strongCores {
				group.Go(func() { d.slowDown(ctx) })
			}
		}
	}
	group.Wait()
	h.restore()
}

func (s *faultSeries) run(ctx context.Context) {
	kinds := s.harness.config.faultKinds()
	for ctx.Err() == nil {
		f := kinds[s.rand.IntN(len(kinds))]
		f.run(s, ctx)
		every.Sleep(ctx, s.harness.clock, time.Duration(s.rand.Int64N(int64(maxFaultDelay))))
	}
}

// restore ends every fault and starts the daemons that are not running.
func (h *harness) restore() {
	h.platform.Memory.Faults.SetDown(false)
	h.platform.Memory.Faults.SetDelay(0)
	h.platform.Memory.Faults.LoseAnswers(0)
	h.gate.restore()
	h.platform.Memory.Faults.RefuseWrites("")
	h.platform.Fleet.LoseStarts(0, 0)
	h.runnerProxy.setFault(linkFault{})
	for _, d := range h.daemons {
		d.storeProxy.setFault(linkFault{})
		d.signal(syscall.SIGCONT, false)
	}
	for _, d := range h.daemons {
		h.ensureRunning(d)
	}
	h.recordFault("all", "everything is healed")
}

// ensureRunning starts a daemon unless its process is running. A process that was told to stop is awaited first.
func (h *harness) ensureRunning(d *daemon) {
	d.mu.Lock()
	p := d.process
	stopping := p != nil && !p.stopSentAt.IsZero()
	d.mu.Unlock()
	if stopping {
		d.awaitExit()
	}
	if err := d.start(); err != nil {
		h.recorder.addViolation("daemon %s did not start: %v", d.config.Name, err)
	}
}

// recordFault counts a fault and records it with the time since the start of the run.
func (h *harness) recordFault(kind string, format string, values ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultCounts[kind]++
	h.events = append(h.events, fmt.Sprintf("  %7.3f s %s: %s", h.elapsed().Seconds(), kind, fmt.Sprintf(format, values...)))
}

func (s *faultSeries) randomDuration() time.Duration {
	return minFaultDuration + time.Duration(s.rand.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

func (s *faultSeries) randomDaemon() *daemon {
	return s.harness.daemons[s.rand.IntN(len(s.harness.daemons))]
}

func (s *faultSeries) killDaemon(ctx context.Context) {
	d, duration := s.randomDaemon(), s.randomDuration()
	s.harness.recordFault("kill", "%s, for %s", d.config.Name, duration)
	d.signal(syscall.SIGKILL, true)
	every.Sleep(ctx, s.harness.clock, duration)
	s.harness.ensureRunning(d)
}

func (s *faultSeries) stopDaemon(ctx context.Context) {
	d := s.randomDaemon()
	s.harness.recordFault("stop", "%s", d.config.Name)
	if !d.terminate() {
		return
	}
	d.awaitExit()
	every.Sleep(ctx, s.harness.clock, s.randomDuration())
	s.harness.ensureRunning(d)
}

func (s *faultSeries) pauseDaemon(ctx context.Context) {
	d, duration := s.randomDaemon(), s.randomDuration()
	s.harness.recordFault("pause", "%s, for %s", d.config.Name, duration)
	d.signal(syscall.SIGSTOP, true)
	every.Sleep(ctx, s.harness.clock, duration)
	d.signal(syscall.SIGCONT, true)
}

func (s *faultSeries) sendHangup(context.Context) {
	d := s.randomDaemon()
	if !d.isListening() {
		return
	}
	s.harness.recordFault("hang up", "%s", d.config.Name)
	d.signal(syscall.SIGHUP, false)
}

func (s *faultSeries) killAllDaemons(ctx context.Context) {
	s.cutPower(ctx, s.randomDuration())
}

// retryChange retries a change that the platform may reject for the moment, as a runner or an operator would. It records
// a violation if the change still fails after changeTimeout.
func (h *harness) retryChange(change func() error) {
	err := change()
	for deadline := h.clock.Now().Add(changeTimeout); err != nil && h.clock.Now().Before(deadline); err = change() {
		h.clock.Sleep(pollInterval)
	}
	if err != nil {
		h.recorder.addViolation("the stand-in did not accept a change in time: %v", err)
	}
}

// shortenTerms refuses snapshots of the ledger and kills one leader after the other until ctx ends.
func (s *faultSeries) shortenTerms(ctx context.Context) {
	s.harness.recordFault("snapshots refused", "until the end")
	s.harness.platform.Memory.Faults.RefuseWrites(string(ledger.SnapshotPrefix))
	for ctx.Err() == nil {
		every.Sleep(ctx, s.harness.clock, minTerm+time.Duration(s.rand.Int64N(int64(maxTerm-minTerm))))
		s.killLeaderFor(ctx, minFaultDuration)
	}
}

// growCatalog writes one large catalog after the other until ctx ends.
func (s *faultSeries) growCatalog(ctx context.Context) {
	for ctx.Err() == nil {
		s.changeCatalog(ctx)
		every.Sleep(ctx, s.harness.clock, catalogInterval)
	}
}

func (s *faultSeries) changeCatalog(context.Context) {
	s.harness.catalogMu.Lock()
	defer s.harness.catalogMu.Unlock()
	version := s.harness.nextCatalog()
	s.harness.recordFault("catalog", "version %d", version)
	s.harness.writeCatalog(version)
}
