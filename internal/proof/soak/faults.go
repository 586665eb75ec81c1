package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// seriesCount is how many series of failures run beside each other.
	seriesCount = 3
	// shortest and longest bound how long one failure lasts, and longestPause the time between two of a series.
	shortest     = 200 * time.Millisecond
	longest      = 3 * time.Second
	longestPause = 700 * time.Millisecond
	// slowestAnswer is the most by which a proxy delays each piece.
	slowestAnswer = 400 * time.Millisecond
	// lostStarts and lateBy are how many starts get no answer, and by how much they are carried out late.
	lostStarts = 5
	lateBy     = 2 * time.Second
	// lostCalls is how many calls to the store get no answer.
	lostCalls = 6
	// insistLimit is how long a change of the platform's store is repeated.
	insistLimit = 10 * time.Second
)

type (
	// series brings about one failure after another.
	series struct {
		world *world
		rand  *rand.Rand
	}

	// failure is a kind of failure.
	failure struct {
		name string
		run  func(s *series, ctx context.Context)
	}
)

// failures returns the kinds of failure.
func failures() []failure {
	return []failure{
		{"kill", (*series).kill},
		{"stop", (*series).stop},
		{"pause", (*series).pause},
		{"hang up", (*series).hangup},
		{"kill all", (*series).killAll},
		{"store slow", (*series).storeSlow},
		{"store silent", (*series).storeSilent},
		{"store answers held", (*series).storeOneWay},
		{"store connections reset", (*series).storeReset},
		{"store down", (*series).storeDown},
		{"store answers lost", (*series).storeLoses},
		{"runners slow", (*series).runnersSlow},
		{"runner answers held", (*series).runnersOneWay},
		{"runner connections reset", (*series).runnersReset},
		{"runner cut", (*series).runnerCut},
		{"runner crash", (*series).runnerCrash},
		{"runner drains", (*series).runnerDrains},
		{"starts late", (*series).startsLate},
		{"catalog", (*series).catalog},
	}
}

// bringAbout runs the series for the length of the run, and heals everything.
func (w *world) bringAbout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.config.Length)
	defer cancel()
	var all sync.WaitGroup
	for i := range seriesCount {
		s := &series{world: w, rand: rand.New(rand.NewPCG(w.config.Seed, uint64(i)))}
		all.Go(func() { s.run(ctx) })
	}
	all.Wait()
	w.heal()
}

func (s *series) run(ctx context.Context) {
	kinds := failures()
	for ctx.Err() == nil {
		f := kinds[s.rand.IntN(len(kinds))]
		f.run(s, ctx)
		s.sleep(ctx, time.Duration(s.rand.Int64N(int64(longestPause))))
	}
}

// heal ends every failure and starts what does not run.
func (w *world) heal() {
	w.platform.Memory.Faults.SetDown(false)
	w.platform.Memory.Faults.LoseAnswers(0)
	w.platform.Fleet.LoseStarts(0, 0)
	w.runners.set(trouble{})
	for _, d := range w.daemons {
		d.store.set(trouble{})
		d.signal(syscall.SIGCONT, false)
	}
	for _, d := range w.daemons {
		w.again(d)
	}
	w.event("all", "everything is healed")
}

// again starts a daemon whose process has ended or is ending.
func (w *world) again(d *daemon) {
	d.mu.Lock()
	p := d.now
	ending := p != nil && !p.told.IsZero()
	d.mu.Unlock()
	if ending {
		d.awaitExit()
	}
	if err := d.start(); err != nil {
		w.book.broke("daemon %s could not be started: %v", d.where.Name, err)
	}
}

// event notes a failure.
func (w *world) event(kind string, format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[kind]++
	w.events = append(w.events, fmt.Sprintf("  %7.3f s %s: %s", w.since().Seconds(), kind, fmt.Sprintf(format, values...)))
}

func (s *series) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.world.clock.After(d):
	}
}

func (s *series) span() time.Duration {
	return shortest + time.Duration(s.rand.Int64N(int64(longest-shortest)))
}

func (s *series) daemon() *daemon {
	return s.world.daemons[s.rand.IntN(len(s.world.daemons))]
}

func (s *series) kill(ctx context.Context) {
	d, span := s.daemon(), s.span()
	s.world.event("kill", "%s, for %s", d.where.Name, span)
	d.signal(syscall.SIGKILL, true)
	s.sleep(ctx, span)
	s.world.again(d)
}

func (s *series) stop(ctx context.Context) {
	d := s.daemon()
	s.world.event("stop", "%s", d.where.Name)
	if !d.terminate() {
		return
	}
	d.awaitExit()
	s.sleep(ctx, s.span())
	s.world.again(d)
}

func (s *series) pause(ctx context.Context) {
	d, span := s.daemon(), s.span()
	s.world.event("pause", "%s, for %s", d.where.Name, span)
	d.signal(syscall.SIGSTOP, true)
	s.sleep(ctx, span)
	d.signal(syscall.SIGCONT, true)
}

func (s *series) hangup(context.Context) {
	d := s.daemon()
	if !d.listens() {
		return
	}
	s.world.event("hang up", "%s", d.where.Name)
	d.signal(syscall.SIGHUP, false)
}

func (s *series) killAll(ctx context.Context) {
	span := s.span()
	s.world.event("kill all", "for %s", span)
	for _, d := range s.world.daemons {
		d.signal(syscall.SIGKILL, true)
	}
	s.sleep(ctx, span)
	for _, d := range s.world.daemons {
		s.world.again(d)
	}
}

// onStore puts a trouble on the way of one daemon, or of all, to the store.
func (s *series) onStore(ctx context.Context, kind string, t trouble) {
	hit := s.world.daemons
	if s.rand.IntN(2) == 0 {
		hit = []*daemon{s.daemon()}
	}
	span := s.span()
	s.world.event(kind, "%d daemons from %s on, for %s", len(hit), hit[0].where.Name, span)
	for _, d := range hit {
		d.store.set(t)
	}
	s.sleep(ctx, span)
	for _, d := range hit {
		d.store.set(trouble{})
	}
}

func (s *series) delay() time.Duration {
	return time.Duration(s.rand.Int64N(int64(slowestAnswer)))
}

func (s *series) storeSlow(ctx context.Context) {
	s.onStore(ctx, "store slow", trouble{delay: s.delay()})
}

func (s *series) storeSilent(ctx context.Context) {
	s.onStore(ctx, "store silent", trouble{holdRequests: true, holdAnswers: true})
}

func (s *series) storeOneWay(ctx context.Context) {
	s.onStore(ctx, "store answers held", trouble{holdAnswers: true})
}

func (s *series) storeReset(context.Context) {
	d := s.daemon()
	s.world.event("store connections reset", "%s", d.where.Name)
	d.store.reset()
}

func (s *series) storeDown(ctx context.Context) {
	span := s.span()
	s.world.event("store down", "for %s", span)
	s.world.platform.Memory.Faults.SetDown(true)
	s.sleep(ctx, span)
	s.world.platform.Memory.Faults.SetDown(false)
}

func (s *series) storeLoses(context.Context) {
	s.world.event("store answers lost", "%d calls", lostCalls)
	s.world.platform.Memory.Faults.LoseAnswers(lostCalls)
}

// onRunners puts a trouble on the way to all runners.
func (s *series) onRunners(ctx context.Context, kind string, t trouble) {
	span := s.span()
	s.world.event(kind, "for %s", span)
	s.world.runners.set(t)
	s.sleep(ctx, span)
	s.world.runners.set(trouble{})
}

func (s *series) runnersSlow(ctx context.Context) {
	s.onRunners(ctx, "runners slow", trouble{delay: s.delay()})
}

func (s *series) runnersOneWay(ctx context.Context) {
	s.onRunners(ctx, "runner answers held", trouble{holdAnswers: true})
}

func (s *series) runnersReset(context.Context) {
	s.world.event("runner connections reset", "all")
	s.world.runners.reset()
}

// runner returns the runner that has been there the longest.
func (s *series) runner() specs.RunnerID {
	// The stand-in's list does not fail.
	all, _, _ := s.world.platform.Fleet.List(context.Background())
	low := all[0].ID
	for _, r := range all {
		low = min(low, r.ID)
	}
	return low
}

func (s *series) runnerCut(ctx context.Context) {
	id, span := s.runner(), s.span()
	s.world.event("runner cut", "%s, for %s", id, span)
	s.world.platform.Fleet.SetUnreachable(id, true)
	s.sleep(ctx, span)
	s.world.platform.Fleet.SetUnreachable(id, false)
}

// insist repeats what the platform may refuse at the moment, as a runner or an operator does.
func (s *series) insist(do func() error) {
	err := do()
	for end := s.world.clock.Now().Add(insistLimit); err != nil && s.world.clock.Now().Before(end); err = do() {
		s.world.clock.Sleep(pollPeriod)
	}
	if err != nil {
		s.world.book.broke("the stand-in did not take a change: %v", err)
	}
}

func (s *series) runnerCrash(context.Context) {
	id := s.runner()
	s.world.event("runner crash", "%s", id)
	s.insist(func() error { return s.world.platform.CrashRunner(id) })
	s.insist(s.world.addRunner)
}

func (s *series) runnerDrains(ctx context.Context) {
	id := s.runner()
	s.world.event("runner drains", "%s", id)
	s.insist(func() error { return s.world.platform.DrainRunner(id) })
	s.sleep(ctx, s.span())
	s.insist(func() error { return s.world.platform.CrashRunner(id) })
	s.insist(s.world.addRunner)
}

func (s *series) startsLate(context.Context) {
	s.world.event("starts late", "%d by %s", lostStarts, lateBy)
	s.world.platform.Fleet.LoseStarts(lostStarts, lateBy)
}

func (s *series) catalog(context.Context) {
	s.world.mu.Lock()
	s.world.version++
	version := s.world.version
	s.world.mu.Unlock()
	s.world.event("catalog", "version %d", version)
	s.insist(func() error { return s.world.platform.Configure(version, host, prefix, string(service)) })
}
