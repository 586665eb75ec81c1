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

// fill gives a runner the label busy, and no free capacity.
func (f *tableFixture) fill(id specs.RunnerID) {
	r := f.table.Runners[id]
	r.Info.Labels = append(r.Info.Labels, "busy")
	r.Used = r.Info.Capacity
}

// newCrowd returns a table of two runners, of which w1 has the label busy and is full, with twice as many steps as a plan serves that
// need that label. The queue and the step of each are those that change makes of the usual ones.
func newCrowd(t *testing.T, change func(number int, q *specs.Queue, s *specs.Step)) *tableFixture {
	f := newTableFixture(t, 2)
	f.fill("w1")
	for i := range 2 * maxSteps {
		q, s := queueOf(2), stepOf(1, 3*types.Core)
		s.Label = "busy"
		change(i, &q, &s)
		f.table.AddJob(&specs.Job{ID: specs.JobID(fmt.Sprintf("stuck%04d", i)), Queue: q, Steps: []specs.Step{s}, Accepted: start})
	}
	return f
}

// Guards against urgent work that never starts on idle runners, because more steps than a plan serves rank before it and wait for
// room on a busy runner.
func TestStepsWithoutRoomTakeNoTurns(t *testing.T) {
	advise := func(q *specs.Queue) {
		q.Advice = &specs.AdvicePolicy{Decision: time.Millisecond, Validity: time.Second}
	}
	asked := func(f *tableFixture, allow bool) {
		named := []tasks.Incarnation{f.table.Runners["w1"].Incarnation()}
		var permits []agent.Permit
		if allow {
			permits = []agent.Permit{{Runner: "w1", Ticket: "t"}}
		}
		for _, j := range f.table.Jobs {
			j.Occurrences[0].Steps[0].Advice.RecordAnswer(named, permits, start.Add(time.Second))
		}
	}
	for name, crowd := range map[string]func(t *testing.T) *tableFixture{
		"OneDemand": func(t *testing.T) *tableFixture {
			return newCrowd(t, func(int, *specs.Queue, *specs.Step) {})
		},
		"GrowingDemands": func(t *testing.T) *tableFixture {
			return newCrowd(t, func(i int, _ *specs.Queue, s *specs.Step) { s.Resources.Cores += types.MilliCores(i) })
		},
		"AllowedByTheAdvice": func(t *testing.T) *tableFixture {
			f := newCrowd(t, func(_ int, q *specs.Queue, _ *specs.Step) { advise(q) })
			asked(f, true)
			return f
		},
		"NeverAsked": func(t *testing.T) *tableFixture {
			return newCrowd(t, func(_ int, q *specs.Queue, _ *specs.Step) { advise(q) })
		},
		"CallsInFlight": func(t *testing.T) *tableFixture {
			f := newCrowd(t, func(_ int, q *specs.Queue, _ *specs.Step) { advise(q) })
			for _, j := range f.table.Jobs {
				j.Occurrences[0].Steps[0].Advice.Pending = 1
			}
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := crowd(t)
			urgent := f.addJob("urgent", 0, stepOf(1, types.Core))
			urgent.Occurrences[0].Due = start.Add(-time.Minute)
			p := f.plan(start)
			if got := startedJobs(p); !slices.Equal(got, []specs.JobID{"urgent"}) || p.Unserved > 0 {
				t.Errorf("the plan starts %v and does not come to %d steps, want the urgent job and 0", got, p.Unserved)
			}
		})
	}
}

// Guards against the same among the surplus work of one organisation.
func TestSurplusStepsWithoutRoomTakeNoTurns(t *testing.T) {
	f := newTableFixture(t, 2)
	f.setWeights(weights{"a": 1})
	f.fill("w1")
	s := stepOf(1, 3*types.Core)
	s.Label = "busy"
	for i := range 2 * maxSteps {
		f.addSurplus("a", i, s)
	}
	late := f.addSurplus("a", 2*maxSteps, stepOf(1, types.Core))
	late.Spec.Queue = queueOf(2)
	f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 1})
}

// Guards against work that is left out although a suspected task or a gang before it has given room back in the same plan.
func TestRoomThatIsReleasedIsSeen(t *testing.T) {
	f := newTableFixture(t, 1)
	p := newPass(f.table, start, Limits{})
	p.collectRunners()
	s := f.addJob("j", 0, stepOf(1, 3*types.Core)).Occurrences[0].Steps[0]
	r := p.runners["svc"][0]
	r.free = types.Resources{}
	if p.noteFull(s); !p.isFull(s) || p.takesTurn(s) {
		t.Error("a step without room takes a turn")
	}
	p.quiet["svc"]++
	if p.release(r); p.isFull(s) || !p.takesTurn(s) {
		t.Error("the step takes no turn although its runner was released")
	}
	r.free = types.Resources{}
	p.noteFull(s)
	gang := f.addJob("gang", 0, gangStepOf(1, 3*types.Core)).Occurrences[0].Steps[0]
	p.places[gang] = []keptPlace{{runner: r, count: 1}}
	if p.releasePlace(gang); p.isFull(s) {
		t.Error("the step counts as without room although a gang has released its place")
	}
}
