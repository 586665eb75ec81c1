package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// slowTable returns a table of so many runners with racks r0, r1, ..., two each, of which those with the given numbers are slow.
func slowTable(t *testing.T, runners int, slow ...int) *tableFixture {
	f := newTableFixture(t, runners)
	for _, i := range slow {
		f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))].Health.Speed = slowness
	}
	return f
}

// slowness is the speed of the slow runners.
const slowness = 0.1

// Guards against work that waits beside free capacity because all runners that could run it count as slow, rightly or not.
func TestSlowRunnersGetWhatNoOtherCouldRun(t *testing.T) {
	labelled, advised := stepOf(1, types.Core), queueOf(0)
	labelled.Label = "r1"
	wide := gangStepOf(3, 3*types.Core)
	t.Run("AllAreSlow", func(t *testing.T) {
		f := slowTable(t, 2, 0, 1)
		f.addJob("j", 0, stepOf(1, types.Core))
		f.wantStarts(f.plan(start), "j")
	})
	t.Run("AllWithTheLabelAreSlow", func(t *testing.T) {
		f := slowTable(t, 4, 2, 3)
		f.addJob("j", 0, labelled)
		f.wantStarts(f.plan(start), "j")
	})
	t.Run("OthersAreTooSmall", func(t *testing.T) {
		f := slowTable(t, 2, 1)
		f.table.Runners["w0"].Info.Capacity.Cores = types.Core
		f.addJob("j", 0, stepOf(1, 2*types.Core))
		f.wantStarts(f.plan(start), "j")
	})
	t.Run("GangIsWiderThanTheOthers", func(t *testing.T) {
		f := slowTable(t, 4, 2, 3)
		f.addJob("j", 0, wide)
		f.wantStarts(f.plan(start), "j")
	})
	t.Run("WithAdvice", func(t *testing.T) {
		f := slowTable(t, 4, 2, 3)
		advised.Advice = &specs.AdvicePolicy{Decision: time.Millisecond, Validity: time.Second}
		j := f.table.AddJob(&specs.Job{ID: "j", Queue: advised, Steps: []specs.Step{labelled}, Accepted: start})
		if calls := f.plan(start).AdviceCalls; len(calls) != 1 || len(calls[0].Runners) != 2 {
			t.Fatalf("calls for advice %v, want one on the two slow runners", calls)
		}
		named := []tasks.Incarnation{f.table.Runners["w2"].Incarnation(), f.table.Runners["w3"].Incarnation()}
		j.Occurrences[0].Steps[0].Advice.RecordAnswer(named, []agent.Permit{{Runner: "w3", Ticket: "t"}}, start.Add(time.Second))
		f.wantStarts(f.plan(start), "j")
	})
}

// Guards against slow runners that take work which others do soon.
func TestSlowRunnersGetNothingThatOthersCouldRun(t *testing.T) {
	t.Run("OthersAreFull", func(t *testing.T) {
		f := slowTable(t, 2, 1)
		f.table.Runners["w0"].Used = f.table.Runners["w0"].Info.Capacity
		f.addJob("j", 0, stepOf(1, types.Core))
		f.wantStarts(f.plan(start))
	})
	t.Run("OthersAreQuarantined", func(t *testing.T) {
		f := slowTable(t, 4, 2, 3)
		for _, id := range []specs.RunnerID{"w0", "w1"} {
			f.table.Runners[id].Health.QuarantinedUntil = start.Add(time.Second)
		}
		f.addJob("j", 0, stepOf(1, types.Core))
		f.wantStarts(f.plan(start))
	})
	t.Run("GangFitsOnOthersOnceTheyAreEmpty", func(t *testing.T) {
		f := slowTable(t, 4, 2, 3)
		f.table.Runners["w0"].Used = f.table.Runners["w0"].Info.Capacity
		f.addJob("j", 0, gangStepOf(2, 3*types.Core))
		f.wantStarts(f.plan(start))
	})
}
