package owner

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// manyRuns is more than the results of one report.
const manyRuns = agent.MaxListedResults + 100

// placeMany places a job of manyRuns tasks on one runner, as after a take-over or, if confirmed, as started a minute ago.
func placeMany(o *Owner, confirmed bool) (*tasks.Runner, *tasks.Job) {
	r := o.addRunner(runner(0))
	j := o.table.AddJob(job("j", step(manyRuns)))
	for _, t := range j.Occurrences[0].Steps[0].Tasks {
		c := t.Change()
		c.State, c.Attempt, c.Runner = tasks.Placed, 1, r.Info.ID
		o.record(tasks.Record{Task: c}, nil)
		run := r.PlaceTask(t, 1)
		run.Sent = true
		if confirmed {
			run.Confirm(o.config.Clock.Now().Add(-time.Minute))
		}
	}
	r.Synced = confirmed
	return r, j
}

// doneReport is a report in which the tasks of the job from one index up to another are done, and none runs.
func doneReport(r *tasks.Runner, j *tasks.Job, from, to int) agent.Report {
	out := agent.Report{Boot: r.Info.Boot, Clock: r.Clock}
	for i := from; i < to; i++ {
		ref := j.Occurrences[0].Steps[0].Tasks[i].Ref
		out.Results = append(out.Results, agent.Result{Number: agent.ResultNumber(i + 1), Ref: ref, Attempt: 1, Outcome: agent.Done})
	}
	return out
}

// checkTasks checks how many tasks of the job are in a state.
func checkTasks(t *testing.T, j *tasks.Job, state tasks.State, want int) {
	t.Helper()
	got := 0
	for _, task := range j.Occurrences[0].Steps[0].Tasks {
		if task.State == state {
			got++
		}
	}
	if got != want {
		t.Errorf("%d tasks are %s, want %d", got, state, want)
	}
}

// TestResultsThatAReportHasNoRoomFor guards against tasks that start again although they are done: a report lists only so many results, and
// an attempt that it does not name has perhaps ended with a later one.
func TestResultsThatAReportHasNoRoomFor(t *testing.T) {
	for name, confirmed := range map[string]bool{"AfterATakeOver": false, "OfTheSameLeader": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newLockedOwner()
			r, j := placeMany(o, confirmed)
			request := agent.RenewRequest{Fence: r.Fence}
			o.applyReport(r, request, doneReport(r, j, 0, agent.MaxListedResults), f.clock.Now())
			checkTasks(t, j, tasks.Done, agent.MaxListedResults)
			checkTasks(t, j, tasks.Placed, manyRuns-agent.MaxListedResults)
			checkNoneStopping(t, r)
			o.applyReport(r, request, doneReport(r, j, agent.MaxListedResults, manyRuns), f.clock.Now())
			checkTasks(t, j, tasks.Done, manyRuns)
		})
	}
}

func checkNoneStopping(t *testing.T, r *tasks.Runner) {
	t.Helper()
	for key, run := range r.Runs {
		if run.Stopping {
			t.Errorf("%s is being stopped, want it to be left alone", key.Ref)
		}
	}
}

// TestRunsThatAFullReportOmitsAreLost guards against tasks that wait for ever because the end of their attempts was never listed.
func TestRunsThatAFullReportOmitsAreLost(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	r, j := placeMany(o, false)
	request := agent.RenewRequest{Fence: r.Fence}
	o.applyReport(r, request, doneReport(r, j, 0, agent.MaxListedResults), f.clock.Now())
	o.applyReport(r, request, doneReport(r, j, agent.MaxListedResults, agent.MaxListedResults+1), f.clock.Now())
	checkTasks(t, j, tasks.Done, agent.MaxListedResults+1)
	checkTasks(t, j, tasks.Waiting, manyRuns-agent.MaxListedResults-1)
}

// TestReportListsResultsInTurn guards against a stand-in whose reports have room for everything, with which no test meets a report that is cut
// short.
func TestReportListsResultsInTurn(t *testing.T) {
	w := quickWorld()
	w.Takes = nil
	w.RunTime = func(specs.Ref) time.Duration { return 0 }
	f := newFixture(t, w)
	f.addRunners(1)
	to := runner(0)
	to.Boot = f.boot(to.ID)
	for i := range manyRuns {
		request := agent.StartRequest{Ref: specs.Ref{Index: i}, Attempt: 1, Deadline: agent.Clock(time.Minute), Fence: 1}
		if err := f.fleet.Start(t.Context(), to, request); err != nil {
			t.Fatal(err)
		}
	}
	checkListed(t, f, to, 0, agent.MaxListedResults)
	checkListed(t, f, to, agent.MaxListedResults, manyRuns-agent.MaxListedResults)
}

// checkListed checks how many results the runner lists once those up to a number are acknowledged.
func checkListed(t *testing.T, f *fixture, to agent.Runner, acknowledged agent.ResultNumber, want int) {
	t.Helper()
	report, err := f.fleet.RenewLeases(t.Context(), to, agent.RenewRequest{Fence: 1, Acknowledged: acknowledged})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Results) != want || report.ListsAllResults() != (want < agent.MaxListedResults) {
		t.Errorf("%d results are listed, all: %v; want %d", len(report.Results), report.ListsAllResults(), want)
	}
}
