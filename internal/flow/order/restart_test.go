package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// brokenGang is a gang of four tasks of two cores on w0 and w1, of whose first attempt a member has ended early. Members 0
// and 1 were on w0, 2 and 3 on w1.
type brokenGang struct {
	*tableFixture

	step   *tasks.Step
	job    *tasks.Job
	budget specs.AdviceBudget
}

// newBrokenGang returns the gang as one of six runners' tables, of which none but w0 and w1 is occupied. Member 0 has ended.
func newBrokenGang(t *testing.T) *brokenGang {
	f := &brokenGang{tableFixture: newTableFixture(t, 6), budget: specs.AdviceBudget{Long: time.Second}}
	f.job = f.addJob("gang", 1, gangStepOf(4, 2*types.Core))
	f.job.Spec.Queue.Advice = &specs.AdvicePolicy{Decision: 200 * time.Millisecond, PerRunner: time.Millisecond, Validity: 1500 * time.Millisecond}
	f.step = f.job.Occurrences[0].Steps[0]
	for i, task := range f.step.Tasks {
		r := f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i/2))]
		c := task.Change()
		c.State, c.Attempt, c.Runner = tasks.Placed, 1, r.Info.ID
		f.table.Apply(tasks.Record{Task: c})
		run := r.PlaceTask(task, 1)
		run.Sent, run.StartCancelled, run.Stopping = true, true, true
	}
	f.allow(start.Add(-time.Second), "w0", "w1", "w2", "w3")
	f.step.Break(1, start)
	f.end(0)
	return f
}

// allow records that the gang may run on runners, with tickets that are valid until a time.
func (f *brokenGang) allow(until time.Time, ids ...specs.RunnerID) {
	var named []tasks.Incarnation
	var permits []agent.Permit
	for _, id := range ids {
		named = append(named, f.table.Runners[id].Incarnation())
		permits = append(permits, agent.Permit{Runner: id, Ticket: "T"})
	}
	f.step.Advice.RecordAnswer(named, permits, until)
	f.step.Advice.Asked = named
}

// addFullRunners adds runners on which nothing is free, which raises what gangs may reserve.
func (f *brokenGang) addFullRunners(count int) {
	for i := range count {
		r := f.addRunner(fmt.Sprintf("full%d", i), "r9")
		r.Used = r.Info.Capacity
	}
}

// end ends members of the gang.
func (f *brokenGang) end(members ...int) {
	for _, m := range members {
		task := f.step.Tasks[m]
		task.Run.Runner.RemoveRun(task.Run)
		f.table.Apply(tasks.Record{Task: task.WaitingChange()})
	}
}

// fill adds a job of a priority that would take all free cores, and returns how many it gets.
func (f *brokenGang) fill(priority int) types.MilliCores {
	f.addJob("other", priority, stepOf(48, 500))
	var cores types.MilliCores
	for _, s := range MakePlan(f.table, start, Limits{AdviceBudget: f.budget}).Starts {
		if s.Task.Ref.Job == "other" {
			cores += s.Task.Step.Spec.Resources.Cores
		}
	}
	return cores
}

// The call for tickets takes about as long as the last members need to end. Made after that, it delays every restart by
// its whole duration.
func TestTicketsOfABrokenGangAreRequestedWhileItsMembersEnd(t *testing.T) {
	f := newBrokenGang(t)
	p := f.plan(start)
	if len(p.AdviceCalls) != 1 {
		t.Fatalf("%d calls for advice, want one", len(p.AdviceCalls))
	}
	var named []specs.RunnerID
	for _, r := range p.AdviceCalls[0].Runners {
		named = append(named, r.Info.ID)
	}
	if !slices.Contains(named, "w0") || !slices.Contains(named, "w1") || len(named) != 2+spareTickets {
		t.Errorf("the call names %v, want w0 and w1, which the gang is on, and %d spare runners", named, spareTickets)
	}
	f.step.Advice.Pending = 1
	if p := f.plan(start); len(p.AdviceCalls) != 0 {
		t.Errorf("%d more calls while one is in flight, want none", len(p.AdviceCalls))
	}
	f.step.Advice.Pending = 0
	f.allow(start.Add(time.Second), "w0", "w1")
	if p := f.plan(start); len(p.AdviceCalls) != 0 {
		t.Errorf("%d more calls while the tickets are valid, want none", len(p.AdviceCalls))
	}
	f.end(1, 2, 3)
	if p := f.plan(start); len(p.Starts) != 4 {
		t.Errorf("%d starts once the last member has ended, want 4", len(p.Starts))
	}
}

// The capacity that the first members free must still be there when the last one has ended, as far as the gang has tickets
// or a call in flight, and only against work behind it.
func TestCapacityOfABrokenGangIsKept(t *testing.T) {
	// Of the six runners w1 is full, and the gang has freed the four cores of w0.
	const all, kept = 20 * types.Core, 16 * types.Core
	cases := map[string]struct {
		prepare  func(f *brokenGang)
		priority int
		want     types.MilliCores
	}{
		"CallInFlight":         {func(f *brokenGang) { f.step.Advice.Pending = 1 }, 2, kept},
		"ValidTickets":         {func(f *brokenGang) { f.allow(start.Add(time.Second), "w0", "w1") }, 2, kept},
		"NotAgainstUrgentWork": {func(f *brokenGang) { f.step.Advice.Pending = 1 }, 0, all},
		"NotWithoutAttemptsLeft": {func(f *brokenGang) {
			f.step.Advice.Pending = 1
			f.step.Tasks[0].Failures = f.job.Spec.Queue.MaxAttempts
		}, 2, all},
		"NotForLong": {func(f *brokenGang) {
			f.step.Advice.Pending = 1
			f.step.BrokenAt = start.Add(-restartWindow)
		}, 2, all},
		"NotWhileARunnerDoesNotAnswer": {func(f *brokenGang) {
			f.step.Advice.Pending = 1
			f.table.Runners["w1"].UnreachableSince = start
			f.addFullRunners(20)
		}, 2, all},
		"CallIsMade":       {func(*brokenGang) {}, 2, kept},
		"NotWithoutBudget": {func(f *brokenGang) { f.budget = specs.AdviceBudget{} }, 2, all},
		"NotForMoreThanTheReservedShare": {func(f *brokenGang) {
			f.step.Advice.Pending = 1
			for _, id := range []specs.RunnerID{"w4", "w5"} {
				f.table.Runners[id].Health.QuarantinedUntil = start.Add(time.Second)
			}
		}, 2, 12 * types.Core},
		"NotWithoutTickets": {func(f *brokenGang) {
			f.allow(start.Add(-time.Second))
			f.step.Advice.Allowed = nil
		}, 2, all},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			f := newBrokenGang(t)
			f.end(1)
			tt.prepare(f)
			if got := f.fill(tt.priority); got != tt.want {
				t.Errorf("other work gets %d thousandths of a core, want %d", got, tt.want)
			}
		})
	}
}

// A gang of which each runner may hold one task fits where its ending members are.
func TestRestartCountsEndingMembersAsGone(t *testing.T) {
	f := newBrokenGang(t)
	f.step.Spec.PerRunner = 2
	for _, id := range []specs.RunnerID{"w2", "w3", "w4", "w5"} {
		f.table.Runners[id].Used = f.table.Runners[id].Info.Capacity
	}
	if p := f.plan(start); len(p.AdviceCalls) != 1 {
		t.Errorf("%d calls for advice, want one for the runners that the gang is on", len(p.AdviceCalls))
	}
}
