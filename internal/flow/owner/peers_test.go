package owner

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// Guards against sound runners that get no work, and tasks that are stopped again and again, because an estimate is too short: it
// says nothing of the runners, and all tasks of the queue are as late.
func TestEstimateThatIsTooShortMakesNoRunnerSlow(t *testing.T) {
	for name, test := range map[string]struct {
		runners, tasks int
		takes          time.Duration
	}{
		"OneTask":               {runners: 1, tasks: 1, takes: 10 * nearTime},
		"OneTaskOnEachRunner":   {runners: 8, tasks: 1, takes: 3 * nearTime},
		"TwoTasksOnEachRunner":  {runners: 8, tasks: 2, takes: 3 * nearTime},
		"FourTasksOnEachRunner": {runners: 8, tasks: 4, takes: 10 * nearTime},
	} {
		t.Run(name, func(t *testing.T) {
			f := newProgressFleet(t)
			var runs []*tasks.Run
			for range test.runners {
				r := f.addRunnerOn("r0")
				for range test.tasks {
					runs = append(runs, f.place(step(1), r)...)
				}
			}
			f.play(runs, test.takes, 2*nearTime)
			f.assertHealthy(runs)
		})
	}
}

// Guards against a slow runner that stays unnoticed because the run times of its only queue are not known yet.
func TestSlowRunnerIsToldByTheTasksOnOthers(t *testing.T) {
	f := newProgressFleet(t)
	var runs []*tasks.Run
	for range 2 * minPeerRunners {
		runs = append(runs, f.place(step(1), f.addRunnerOn("r0"))...)
	}
	slow := runs[0].Runner
	f.playEach(runs, func(run *tasks.Run) time.Duration {
		if run.Runner == slow {
			return 3 * slowFactor * nearTime
		}
		return 3 * nearTime
	}, nearTime)
	if !slow.Health.Slow() {
		t.Errorf("the slow runner has speed %.2f", slow.Health.Speed)
	}
	f.assertHealthy(runs[1:])
}

// Guards against a task that is far longer than all others of its queue and is moved from runner to runner without end: the first
// runner may be slow, but the task is long on the second, too.
func TestLongTaskIsMovedOnce(t *testing.T) {
	const takes = 10 * nearTime
	f := newLearnedFleet(t)
	first, second := f.addRunnerOn("r0"), f.addRunnerOn("r0")
	f.addRunnerOn("r0")
	run := f.place(step(1), first)[0]
	f.play([]*tasks.Run{run}, takes, nearTime)
	if !run.StartCancelled || run.StopCause != tasks.EndedSlow {
		t.Fatalf("the task is stopped: %v, cause %q; want that it is moved", run.StartCancelled, run.StopCause)
	}
	f.applyResult(first, agent.Result{Number: 1, Ref: run.Key.Ref, Attempt: 1, Outcome: agent.Stopped})
	next := f.placeAgain(run.Task, second)
	f.play([]*tasks.Run{next}, takes, takes/2)
	f.assertHealthy([]*tasks.Run{next})
}

// Guards against tasks that are stopped again and again on slow runners, since no other could run them.
func TestTasksStayOnASlowRunnerWithoutAnother(t *testing.T) {
	labelled := step(1)
	labelled.Label = "r1"
	for name, place := range map[string]func(f *progressFleet, slow *tasks.Runner) []*tasks.Run{
		"NoOther": func(f *progressFleet, slow *tasks.Runner) []*tasks.Run { return f.place(step(1), slow) },
		"NoOtherWithTheLabel": func(f *progressFleet, slow *tasks.Runner) []*tasks.Run {
			f.addRunnerOn("r0")
			return f.place(labelled, slow)
		},
		"TheOtherIsSlowToo": func(f *progressFleet, slow *tasks.Runner) []*tasks.Run {
			f.addRunnerOn("r0").Health.Speed = 1.0 / slowFactor
			return f.place(step(1), slow)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLearnedFleet(t)
			runs := place(f, f.addRunnerOn("r1"))
			f.play(runs, slowFactor*nearTime, 2*nearTime)
			if r := runs[0].Runner; !r.Health.Slow() || runs[0].StartCancelled {
				t.Errorf("speed %.2f, stopped %v, want a slow runner whose task stays", r.Health.Speed, runs[0].StartCancelled)
			}
		})
	}
}
