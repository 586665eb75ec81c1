package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// suspect makes a waiting task one that was lost with a runner at the given time and is suspected of it.
func (f *tableFixture) suspect(j *tasks.Job, at time.Time) *tasks.Task {
	f.t.Helper()
	task := j.Occurrences[0].Steps[0].Tasks[0]
	c := task.Change()
	c.Attempt = 1
	c.Losses.Add(tasks.Loss{Counts: true, Crashed: true, Suspect: true}, 1)
	f.table.Apply(tasks.Record{Task: c})
	task.NotBefore = at
	return task
}

// startOf returns the plan's start of a task, or nil.
func startOf(p Plan, task *tasks.Task) *Start {
	for i := range p.Starts {
		if p.Starts[i].Task == task {
			return &p.Starts[i]
		}
	}
	return nil
}

// runnersOfStarts returns how many starts the plan has on each runner.
func runnersOfStarts(p Plan) map[specs.RunnerID]int {
	out := make(map[specs.RunnerID]int)
	for _, s := range p.Starts {
		out[s.Runner.Info.ID]++
	}
	return out
}

// TestSuspectedTaskStartsApart guards against a task that may have crashed its runner and starts beside others, so that a second crash
// harms them and tells nothing.
func TestSuspectedTaskStartsApart(t *testing.T) {
	t.Run("OnTheEmptiestSettledRunner", func(t *testing.T) {
		f := newTableFixture(t, 3)
		busy := f.addJob("busy", 0, stepOf(1, 3*types.Core))
		f.table.Runners["w0"].PlaceTask(busy.Occurrences[0].Steps[0].Tasks[0], 1)
		f.table.Runners["w1"].LastStartAt = start
		task := f.suspect(f.addJob("suspect", 0, stepOf(1, types.Core)), start)
		s := startOf(f.plan(start), task)
		if s == nil || s.Runner.Info.ID != "w2" || !s.Quiet {
			t.Errorf("got start %+v, want a quiet one on w2", s)
		}
	})
	t.Run("WithoutOthersInTheSamePlan", func(t *testing.T) {
		f := newTableFixture(t, 3)
		task := f.suspect(f.addJob("suspect", 2, stepOf(1, types.Core)), start)
		f.addJob("urgent", 0, stepOf(12, types.Core))
		p := f.plan(start)
		s := startOf(p, task)
		if s == nil || runnersOfStarts(p)[s.Runner.Info.ID] != 1 {
			t.Errorf("starts by runner: %v, start of the suspected task: %+v; want it alone", runnersOfStarts(p), s)
		}
	})
	t.Run("BeforeLaterStarts", func(t *testing.T) {
		f := newTableFixture(t, 1)
		task := f.suspect(f.addJob("suspect", 0, stepOf(1, types.Core)), start)
		s := startOf(f.plan(start), task)
		run := s.Runner.PlaceTask(task, 2)
		s.Runner.KeepQuiet(run)
		run.Sent, run.SentAt = true, start
		f.addJob("next", 0, stepOf(1, types.Core))
		f.wantStarts(f.plan(start.Add(tasks.QuietTime - time.Millisecond)))
		f.wantStarts(f.plan(start.Add(tasks.QuietTime)), "next")
	})
}

// TestRunnerSettlesForASuspectedTask guards against a runner that never settles, because more urgent work starts there in each plan.
func TestRunnerSettlesForASuspectedTask(t *testing.T) {
	f := newTableFixture(t, 1)
	f.table.Runners["w0"].LastStartAt = start
	task := f.suspect(f.addJob("suspect", 2, stepOf(1, types.Core)), start)
	f.addJob("urgent", 0, stepOf(1, types.Core))
	f.wantStarts(f.plan(start.Add(tasks.QuietTime - time.Millisecond)))
	if s := startOf(f.plan(start.Add(tasks.QuietTime)), task); s == nil || !s.Quiet {
		t.Errorf("got start %+v of the suspected task once the runner has settled, want a quiet one", s)
	}
}

// TestSuspectedTasksLeaveRunnersToOthers guards against callers of other tasks who wait while many suspected tasks start one by one.
func TestSuspectedTasksLeaveRunnersToOthers(t *testing.T) {
	f := newTableFixture(t, 8)
	for i := range 8 {
		busy := f.addJob(fmt.Sprintf("busy%d", i), 0, stepOf(1, 3*types.Core))
		f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))].PlaceTask(busy.Occurrences[0].Steps[0].Tasks[0], 1)
		f.suspect(f.addJob(fmt.Sprintf("suspect%d", i), 0, stepOf(1, types.Core)), start)
	}
	f.addJob("other", 2, stepOf(8, types.Core))
	quiet := 0
	p := f.plan(start)
	for _, s := range p.Starts {
		if s.Quiet {
			quiet++
		}
	}
	if want := 8 / quietShareDivisor; quiet != want || len(p.Starts) != 8 {
		t.Errorf("%d quiet starts of %d, want %d of 8", quiet, len(p.Starts), want)
	}
}

// TestSuspectedTaskStartsInTheEnd guards against an innocent task that waits for a settled runner for ever.
func TestSuspectedTaskStartsInTheEnd(t *testing.T) {
	f := newTableFixture(t, 1)
	task := f.suspect(f.addJob("suspect", 0, stepOf(1, types.Core)), start)
	at := start
	for range 200 {
		f.table.Runners["w0"].LastStartAt = at
		if s := startOf(f.plan(at), task); s != nil {
			if waited := at.Sub(start); waited > 2*time.Second+timeStep {
				t.Errorf("started after %s, want 2 s at most", waited)
			}
			return
		}
		at = at.Add(timeStep)
	}
	t.Error("the suspected task never started")
}
