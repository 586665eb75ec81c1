package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// plansUntilStart plans until the job starts, each plan going on where the one before ended, and returns how many plans that took.
func (f *tableFixture) plansUntilStart(id specs.JobID, limit int) int {
	f.t.Helper()
	var resume specs.StepRef
	for n := 1; n <= limit; n++ {
		p := MakePlan(f.table, start, Limits{ServeRest: true, Resume: resume})
		for _, s := range p.Starts {
			if s.Task.Ref.Job == id {
				return n
			}
		}
		resume = p.Resume
	}
	f.t.Errorf("job %s does not start in %d plans", id, limit)
	return 0
}

// Guards against work that never starts beside free capacity, because more steps than a plan serves rank before it and can do
// nothing in their turns: gangs without places, steps for which the advice service allows no runner, those at their limit on each
// runner.
func TestEachStepIsServedInABoundedNumberOfPlans(t *testing.T) {
	const crowd = 3 * maxSteps
	limit := 2 + (crowd-maxSteps)/maxRestSteps
	advised := queueOf(0)
	advised.Advice = &specs.AdvicePolicy{Decision: time.Millisecond, Validity: time.Second}
	limited := stepOf(2, types.Core)
	limited.PerRunner = 1
	for name, test := range map[string]struct {
		queue specs.Queue
		step  specs.Step
	}{
		"GangsWithoutPlaces": {queue: queueOf(0), step: gangStepOf(5, 2*types.Core)},
		"NeverAllowed":       {queue: advised, step: stepOf(1, types.Core)},
		"LimitOnEachRunner":  {queue: queueOf(0), step: limited},
	} {
		for _, owner := range []specs.OrganisationName{"", "a"} {
			t.Run(name+string(owner), func(t *testing.T) {
				f := newTableFixture(t, 2)
				f.setWeights(weights{"a": 1})
				add := func(id string, q specs.Queue, s specs.Step) *tasks.Job {
					return f.table.AddJob(&specs.Job{
						ID: specs.JobID(id), Queue: q, Steps: []specs.Step{s}, Accepted: start, Organisation: owner, Surplus: owner != "",
					})
				}
				for i := range crowd {
					j := add(fmt.Sprintf("stuck%04d", i), test.queue, test.step)
					f.blockPerRunner(j)
				}
				add("behind", queueOf(1), stepOf(1, types.Core))
				f.plansUntilStart("behind", limit)
			})
		}
	}
}

// blockPerRunner puts one run of a step that is limited on each runner there, so that its other tasks wait. It takes no room.
func (f *tableFixture) blockPerRunner(j *tasks.Job) {
	s := j.Occurrences[0].Steps[0]
	if s.Spec.PerRunner == 0 {
		return
	}
	for i, r := range f.table.OrderedRunners() {
		key := tasks.RunKey{Ref: specs.Ref{StepRef: s.Ref, Index: len(s.Tasks) + i}, Attempt: 1}
		r.AddRun(&tasks.Run{Key: key, Runner: r})
	}
}

// Guards against steps that the turn passes over, or that get two turns while others wait.
func TestRestIsServedInTurn(t *testing.T) {
	f := newTableFixture(t, 1)
	entries := make([]entry, 0, 5)
	for i := range 5 {
		entries = append(entries, entry{step: f.addJob(fmt.Sprintf("j%d", i), 0, stepOf(1, types.Core)).Occurrences[0].Steps[0]})
	}
	p := newPass(f.table, start, Limits{Resume: entries[2].step.Ref})
	sortLeast(entries, len(entries), p.byTurn)
	got := ""
	for _, e := range entries {
		got += string(e.step.Ref.Job)
	}
	if want := "j3j4j0j1j2"; got != want {
		t.Errorf("the order is %s, want %s", got, want)
	}
}
