package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// nearTime is the estimate of the tasks of a progressFleet, and how long they run on the rack of their data, r0, if they are as
// long as estimated. Elsewhere they take three times as long.
const nearTime = 4 * time.Second

// progressFleet is an owner whose runners report the progress of tasks.
type progressFleet struct {
	*Owner

	t     *testing.T
	began time.Time
	jobs  int
}

// newProgressFleet returns a fleet that knows nothing but the estimates of its tasks.
func newProgressFleet(t *testing.T) *progressFleet {
	t.Helper()
	base := newFixture(t, quickWorld())
	f := &progressFleet{Owner: base.newLockedOwner(), t: t, began: base.clock.Now()}
	f.config.Bounds.FarFactor = 3
	return f
}

// newLearnedFleet returns a fleet that has learned how long its tasks take.
func newLearnedFleet(t *testing.T) *progressFleet {
	t.Helper()
	f := newProgressFleet(t)
	for range 2 * minKnownRuns {
		f.table.Times.ObserveRunTime("q", nearTime, nearTime)
	}
	return f
}

func (f *progressFleet) addRunnerOn(rack specs.Label) *tasks.Runner {
	info := runner(len(f.table.Runners))
	info.Address, info.Rack, info.Labels = "", rack, []specs.Label{rack}
	r := f.addRunner(info)
	r.Synced = true
	return r
}

// place adds a job of one step with a task on each of the runners, and returns the runs.
func (f *progressFleet) place(s specs.Step, runners ...*tasks.Runner) []*tasks.Run {
	s.Count, s.Estimate = len(runners), nearTime
	f.jobs++
	var out []*tasks.Run
	for i, task := range f.table.AddJob(job(fmt.Sprintf("j%d", f.jobs), s)).Occurrences[0].Steps[0].Tasks {
		out = append(out, f.placeAgain(task, runners[i]))
	}
	return out
}

// placeAgain is placeNext for an attempt whose start was sent.
func (f *progressFleet) placeAgain(task *tasks.Task, r *tasks.Runner) *tasks.Run {
	run := f.placeNext(task, r)
	run.Sent, run.Tries = true, 1
	return run
}

func atRack() specs.Step {
	s := step(1)
	s.Rack = "r0"
	return s
}

// play reports the progress of runs that take the given time in all, up to the given time after the begin.
func (f *progressFleet) play(runs []*tasks.Run, takes, length time.Duration) {
	f.playEach(runs, func(*tasks.Run) time.Duration { return takes }, length)
}

// playEach is play with runs that take different times.
func (f *progressFleet) playEach(runs []*tasks.Run, takes func(*tasks.Run) time.Duration, length time.Duration) {
	for after := time.Duration(0); after <= length; after += reportStep {
		now := f.began.Add(after)
		for _, run := range runs {
			f.applyRunning(run.Runner, agent.Running{Ref: run.Key.Ref, Attempt: run.Key.Attempt, Percent: int(100 * after / takes(run))}, now)
			f.checkProgress(run.Runner, now)
		}
		if after%summaryInterval < reportStep {
			f.updateUsualSpeeds()
		}
	}
}

func (f *progressFleet) assertHealthy(runs []*tasks.Run) {
	f.t.Helper()
	for _, run := range runs {
		if run.Runner.Health.Slow() || run.StartCancelled {
			f.t.Errorf("runner %s has speed %.2f, and its run is stopped: %v; want a runner that is not slow", run.Runner.Info.ID,
				run.Runner.Health.Speed, run.StartCancelled)
		}
	}
}

// Guards against sound runners that get no work since their tasks have their data on another rack, and against such tasks being
// moved to runners that are as far away.
func TestTasksAwayFromTheirDataAreNotTakenForSlow(t *testing.T) {
	for name, place := range map[string]func(f *progressFleet) []*tasks.Run{
		"AwayFromTheirRack": func(f *progressFleet) []*tasks.Run {
			f.addRunnerOn("r1")
			return append(f.place(atRack(), f.addRunnerOn("r1")), f.place(atRack(), f.addRunnerOn("r2"))...)
		},
		"GangOnSeveralRacks": func(f *progressFleet) []*tasks.Run {
			s := gang(2)
			s.SameRack = true
			return f.place(s, f.addRunnerOn("r1"), f.addRunnerOn("r2"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLearnedFleet(t)
			runs := place(f)
			f.play(runs, 3*nearTime, 2*nearTime)
			f.assertHealthy(runs)
		})
	}
}

// Guards against a slow runner that stays unnoticed because its tasks are away from their data.
func TestSlowRunnerIsNoticedAwayFromTheData(t *testing.T) {
	f := newLearnedFleet(t)
	near := f.addRunnerOn("r0")
	slow := f.addRunnerOn("r1")
	runs := append(f.place(atRack(), slow), f.place(atRack(), slow)...)
	f.play(runs, 3*slowFactor*nearTime, nearTime)
	if !slow.Health.Slow() || !runs[0].StartCancelled {
		t.Errorf("speed %.2f, stopped %v, want a slow runner whose tasks move to %s", slow.Health.Speed, runs[0].StartCancelled, near.Info.ID)
	}
}

// Guards against a move from a slow runner near the data to one so far away that the task takes as long there.
func TestMoveCountsTheDistanceOfTheOtherRunners(t *testing.T) {
	f := newLearnedFleet(t)
	slow, far := f.addRunnerOn("r0"), f.addRunnerOn("r1")
	slow.Health.Speed = 1.0 / slowFactor
	run, farRun := f.place(atRack(), slow)[0], f.place(atRack(), far)[0]
	near := f.table.Times.Expect("q", nearTime)
	check := func(what string, run *tasks.Run, want time.Duration) {
		t.Helper()
		total := slowFactor * f.expectedRunTime(run)
		if got := f.remainingElsewhere(run, total, 1.0/slowFactor, f.began); got < want-time.Millisecond || got > want+time.Millisecond {
			t.Errorf("%s: %s elsewhere, want %s", what, got, want)
		}
	}
	check("near the data, without another runner there", run, moveOverhead+3*near)
	check("away from the data, no room near it", farRun, moveOverhead+3*near)
	f.addRunnerOn("r0")
	check("near the data, with another runner there", run, moveOverhead+near)
	check("away from the data, with room near it", farRun, moveOverhead+near)
}

// Guards against run times away from the data that make all tasks of the queue look long, and their runners slow.
func TestRunTimesAreThoseNearTheData(t *testing.T) {
	f := newLearnedFleet(t)
	run := f.place(atRack(), f.addRunnerOn("r1"))[0]
	run.Confirm(f.began)
	f.updateUsualPaces()
	for range 4 * minKnownRuns {
		f.observeRunTime(run, f.began.Add(3*nearTime))
	}
	if got := f.table.Times.Expect("q", nearTime); got < nearTime*9/10 || got > nearTime*11/10 {
		t.Errorf("%s are expected near the data, want %s", got, nearTime)
	}
	if got := run.Runner.Health.Pace; got < 0.9 {
		t.Errorf("the pace is %.2f after tasks that took as long as their distance explains, want 1", got)
	}
}

// Guards against a task away from its data that is kept on a runner that leaves before the task ends.
func TestRemainingTimeCountsTheDistance(t *testing.T) {
	f := newLearnedFleet(t)
	run := f.place(atRack(), f.addRunnerOn("r1"))[0]
	run.Confirm(f.began)
	got := f.leavingRun(run, f.began.Add(nearTime)).untilEnd
	if want := 2 * nearTime; got < want*9/10 || got > want*11/10 {
		t.Errorf("%s until the end, want %s: a task that takes %s there has run for %s", got, want, 3*nearTime, nearTime)
	}
}
