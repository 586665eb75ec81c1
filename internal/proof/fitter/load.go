package fitter

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	mechanismWorkers  = "`sched/lead`: one call for each worker renews all of its tasks, a third of the lease apart; a call for each start; a question when a task should have ended"
	mechanismJournal  = "`sched/commit`: at most one batched segment for each tick and lead; `sched/claim`: one renewal a second"
	mechanismTick     = "`sched/lead` and `sched/plan`: one pass over the tables every 250 ms; the stand-ins' own work is in it"
	mechanismTakeover = "`sched/lead`: the claim lapses, the journal is read, each worker is fenced and reports what it runs"
	driverStarts      = "starts a second of a lead with 363 tasks"
	driverTasks       = "tasks of the data centre"
	// takeoverTimeout is how long the measurement of a takeover waits for the urgent task.
	takeoverTimeout = 2 * time.Minute
)

type (
	// counts is the work of one leader during a window of time or until an event.
	counts struct {
		workerBytes float64
		workerCalls float64
		storeBytes  float64
		writes      float64
		reads       float64
		seconds     float64
	}

	// memo runs a load once for each size and caches its counts for all measures that read them.
	memo struct {
		run  func(size int) (counts, error)
		done map[int]counts
	}
)

var wallClock = clockwork.NewRealClock()

// loadMeasures returns the measures of a leader's cost under a steady load.
func loadMeasures() []Measure {
	m := &memo{run: measureLoad, done: make(map[int]counts)}
	starts := func(role Role, duty, mechanism string, b Budget, factor float64, get func(counts) float64) Measure {
		return Measure{
			Role: role, Duty: duty, Budget: b, Mechanism: mechanism, Driver: driverStarts,
			Sizes: []int{0, 6, 12, 18}, AtTarget: LeaderStarts, Factor: factor / loadWindow.Seconds(),
			Exact: b != Processor, Run: m.get(get),
		}
	}
	return []Measure{
		starts(RoleLeader, "calls to workers", mechanismWorkers, Control, 1, func(c counts) float64 { return c.workerBytes }),
		starts(RoleLeader, "calls to workers", mechanismWorkers, Messages, 1, func(c counts) float64 { return c.workerCalls }),
		starts(RoleLeader, "journal, claim and audit", mechanismJournal, Control, 1, func(c counts) float64 { return c.storeBytes }),
		starts(RoleStore, "leads' writes", mechanismJournal, StoreWrites, TargetDataCentres, func(c counts) float64 { return c.writes }),
		starts(RoleStore, "leads' reads", mechanismJournal, StoreReads, TargetDataCentres, func(c counts) float64 { return c.reads }),
		starts(RoleLeader, "ticks", mechanismTick, Processor, 1, func(c counts) float64 { return c.seconds }),
	}
}

// takeoverMeasures returns the measures of the cost of a leader's failure, until an urgent task runs again.
func takeoverMeasures() []Measure {
	m := &memo{run: measureTakeover, done: make(map[int]counts)}
	event := func(b Budget, get func(counts) float64) Measure {
		return Measure{
			Role: RoleFailure, Duty: "a lead's VM fails", Budget: b, Mechanism: mechanismTakeover, Driver: driverTasks,
			Sizes: []int{180, 360, 720}, AtTarget: LeaderTasks, Exact: true, Run: m.get(get),
		}
	}
	return []Measure{
		event(EventBytes, func(c counts) float64 { return c.workerBytes + c.storeBytes }),
		event(EventMessages, func(c counts) float64 { return c.workerCalls + c.writes + c.reads }),
		event(EventSeconds, func(c counts) float64 { return c.seconds }),
	}
}

// get returns the Run function of a measure that reads one of the counts.
func (m *memo) get(read func(counts) float64) func(int) (float64, error) {
	return func(size int) (float64, error) {
		if c, ok := m.done[size]; ok {
			return read(c), nil
		}
		c, err := m.run(size)
		if err != nil {
			return 0, err
		}
		m.done[size] = c
		return read(c), nil
	}
}

// measureLoad returns the counts of a window with a steady number of starts a second. The seconds are the wall-clock time
// that the window took, in which one goroutine does all the work without waiting.
func measureLoad(starts int) (counts, error) {
	c, err := newDataCentre(fitWorkers)
	if err != nil {
		return counts{}, err
	}
	if err := c.startLongTasks(fitTasks - starts*int(shortRunTime/time.Second)); err != nil {
		return counts{}, err
	}
	if err := c.runLoad(starts, loadWarmUpTime); err != nil {
		return counts{}, err
	}
	before, startedAt := c.leaders[0].counts(), wallClock.Now()
	err = c.runLoad(starts, loadWindow)
	out := c.leaders[0].counts().minus(before)
	out.seconds = wallClock.Since(startedAt).Seconds()
	return out, err
}

// measureTakeover stops the leader and returns the counts of a second daemon that takes over. The seconds are the time on
// the fake clock from the failure until an urgent task runs, which is submitted as soon as the second daemon leads.
func measureTakeover(tasks int) (counts, error) {
	c, err := newDataCentre(fitWorkers)
	if err != nil {
		return counts{}, err
	}
	if err := c.startLongTasks(tasks); err != nil {
		return counts{}, err
	}
	if err := c.addLeader(1); err != nil {
		return counts{}, err
	}
	c.runFor(stabilisationTime)
	c.leaders[0].stopped = true
	failedAt, before, next := c.clock.Now(), c.leaders[1].counts(), c.leaders[1]
	submitted := false
	for next.Overview().Tasks[table.TaskRunning] <= tasks || !submitted {
		if c.clock.Since(failedAt) > takeoverTimeout {
			return counts{}, errs.New(errs.Internal, "no urgent task was running %s after the leader's failure", takeoverTimeout)
		}
		if _, leading := next.Leading(); leading && !submitted {
			_, err := c.submitJob(next, 1, types.ClassUrgent, longRunTime)
			submitted = err == nil
		}
		c.runFor(leaderTickInterval)
	}
	out := next.counts().minus(before)
	out.seconds = c.clock.Since(failedAt).Seconds()
	return out, nil
}

func (d *daemon) counts() counts {
	return counts{
		workerBytes: float64(d.totalBytes(prefixWorker)),
		workerCalls: float64(d.calls.Total(prefixWorker, meter.Calls)),
		storeBytes:  float64(d.totalBytes(prefixStore)),
		writes:      float64(d.writes()),
		reads:       float64(d.reads()),
	}
}

func (c counts) minus(o counts) counts {
	return counts{
		workerBytes: c.workerBytes - o.workerBytes,
		workerCalls: c.workerCalls - o.workerCalls,
		storeBytes:  c.storeBytes - o.storeBytes,
		writes:      c.writes - o.writes,
		reads:       c.reads - o.reads,
	}
}
