package order

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// setWeights puts a catalog in force with organisations of the given weights, without quotas.
func (f *tableFixture) setWeights(weights map[specs.OrganisationName]float64) {
	c := &specs.Catalog{Version: 1}
	for name, weight := range weights {
		c.Organisations = append(c.Organisations, specs.Organisation{Name: name, Weight: weight})
	}
	f.table.SetLimits(c)
}

type weights = map[specs.OrganisationName]float64

func TestSurplus(t *testing.T) {
	const core = types.Core
	// Surplus work must leave the capacity to the work within the weights, however urgent and old it is.
	t.Run("AfterWorkWithinTheWeights", func(t *testing.T) {
		f := newTableFixture(t, 1)
		f.setWeights(weights{"a": 1, "b": 1})
		urgent := f.addSurplus("a", 1, stepOf(4, core))
		urgent.Spec.Queue = queueOf(0)
		late := f.addJobOf("b", 2, stepOf(3, core))
		late.Occurrences[0].Due = start.Add(-4 * time.Second)
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 1, "b": 3})
	})
	// Callers gain nothing from overdue work.
	t.Run("BeforeWhatIsOverdue", func(t *testing.T) {
		f := newTableFixture(t, 1)
		f.setWeights(weights{"a": 1, "b": 1})
		f.addSurplus("a", 1, stepOf(3, core))
		overdueJob := f.addJobOf("b", 2, stepOf(4, core))
		overdueJob.Occurrences[0].Due = start.Add(-time.Minute)
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 3, "b": 1})
	})
	// If the share were computed once for a plan, the first wide step would take all that is left.
	t.Run("WideStepsShareOnePlan", func(t *testing.T) {
		f := newTableFixture(t, 10)
		f.setWeights(weights{"a": 1, "b": 3})
		f.addSurplus("a", 1, stepOf(100, core))
		f.addSurplus("b", 2, stepOf(100, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 10, "b": 30})
	})
	t.Run("LargestFractionOfAnyResourceDecides", func(t *testing.T) {
		// Each runner has 4 cores and 64 GiB: a task of 32 GiB is worth as much as two cores.
		f := newTableFixture(t, 10)
		f.setWeights(weights{"a": 1, "b": 1})
		large := stepOf(100, 100)
		large.Resources.Memory = 32 * types.GiB
		f.addSurplus("a", 1, large)
		f.addSurplus("b", 2, stepOf(100, core))
		got := f.carryOut(f.plan(start))
		if a, b := got["a"]*2, got["b"]; b == 0 || math.Abs(float64(a-b)) > 2 {
			t.Errorf("%d tasks of half a runner's memory and %d of a quarter of its cores start, want half as many", got["a"], got["b"])
		}
	})
	// The organisations without a weight, and those that were removed, get a share as well.
	t.Run("NobodyStarves", func(t *testing.T) {
		f := newTableFixture(t, 10)
		f.setWeights(weights{"a": 5, "b": 5, "zero": 0})
		for i, name := range []specs.OrganisationName{"a", "b", "zero", "gone"} {
			f.addSurplus(name, i, stepOf(100, core))
		}
		f.table.Organisations["gone"].Removed = true
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 10, "b": 10, "zero": 10, "gone": 10})
	})
	// A step of the organisation with the lowest share that can't start must not keep the others from being served.
	t.Run("StepsThatCanNotStartHoldUpNobodyElse", func(t *testing.T) {
		f := newTableFixture(t, 2)
		f.setWeights(weights{"a": 1, "b": 1})
		for n := range 2 * maxSteps {
			s := stepOf(1, core)
			s.Label = "nowhere"
			f.addSurplus("a", n, s)
		}
		f.table.Organisations["b"].Running = types.Resources{Cores: core}
		f.addSurplus("b", 10_000, stepOf(1, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"b": 1})
	})
	// The reservation of a gang that does not fit leaves the rest of the capacity to the other organisations.
	t.Run("ReservationOfAGangLeavesCapacity", func(t *testing.T) {
		f := newTableFixture(t, 10)
		f.setWeights(weights{"a": 1, "b": 1})
		for i := range 10 {
			f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))].Used.Cores = core
		}
		for n := range 20 {
			f.addSurplus("a", n, gangStepOf(2, 4*core))
		}
		f.addSurplus("b", 100, stepOf(100, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"b": 24})
	})
	// Work within the weights takes what a surplus gang would have reserved.
	t.Run("GangReservesNothingAgainstWorkWithinTheWeights", func(t *testing.T) {
		f := newTableFixture(t, 10)
		f.setWeights(weights{"a": 1, "b": 1})
		for i := range 10 {
			f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))].Used.Cores = core
		}
		f.addSurplus("a", 1, gangStepOf(2, 4*core))
		f.addJobOf("b", 100, stepOf(30, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"b": 30})
	})
	// One organisation's many steps that need advice would otherwise use up what a plan may ask for.
	t.Run("AdviceIsShared", func(t *testing.T) {
		f := newTableFixture(t, 20)
		f.setWeights(weights{"a": 1, "b": 1})
		for n := range 100 {
			f.addSurplus("a", n, stepOf(1, core)).Spec.Queue.Advice = advicePolicy()
			f.addSurplus("b", 1000+n, stepOf(1, core)).Spec.Queue.Advice = advicePolicy()
		}
		calls := make(map[specs.OrganisationName]int)
		for _, c := range MakePlan(f.table, start, Limits{AdviceBudget: specs.AdviceBudget{Short: time.Minute, Long: time.Minute}}).AdviceCalls {
			calls[c.Step.Job.Spec.Organisation]++
		}
		if calls["a"] == 0 || calls["a"] != calls["b"] {
			t.Errorf("%v calls for advice by organisation, want as many for each", calls)
		}
	})
	// A step that is served in turns must neither start a task twice nor exceed its limit for one runner.
	t.Run("TurnsKeepTheLimitsOfAStep", func(t *testing.T) {
		f := newTableFixture(t, 4)
		f.setWeights(weights{"a": 1, "b": 1})
		s := stepOf(10, 100)
		s.PerRunner = 2
		f.addSurplus("a", 1, s)
		f.addSurplus("b", 2, s)
		seen := make(map[specs.Ref]bool)
		p := f.plan(start)
		for _, st := range p.Starts {
			if seen[st.Task.Ref] {
				t.Errorf("task %s is started twice", st.Task.Ref)
			}
			seen[st.Task.Ref] = true
		}
		f.wantCounts(f.carryOut(p), starts{"a": 8, "b": 8})
	})
}

// Under full load, organisations that send more than their weights must get capacity by weight in the long run.
func TestSurplusIsSharedByWeight(t *testing.T) {
	shares := weights{"a": 1, "b": 2, "c": 5}
	f := newTableFixture(t, 20)
	f.setWeights(shares)
	got := make(map[specs.OrganisationName]int)
	number := 0
	const rounds = 300
	for round := range rounds {
		now := start.Add(time.Duration(round) * 100 * time.Millisecond)
		for name := range shares {
			for range 12 {
				number++
				j := f.addSurplus(name, number, stepOf(1+number%4, types.Core))
				j.Occurrences[0].Due = now
			}
		}
		for name, n := range f.carryOut(f.plan(now)) {
			got[name] += n
		}
		for name := range shares {
			// Ten of a hundred runs end in each round.
			f.endRuns(name, int(f.table.Organisations[name].Running.Cores/types.Core+9)/10)
		}
	}
	total := got["a"] + got["b"] + got["c"]
	for name, weight := range shares {
		if want, is := weight/8, float64(got[name])/float64(total); math.Abs(is-want) > want/5 {
			t.Errorf("%s got %.3f of %d starts, want %.3f", name, is, total, want)
		}
	}
}

// BenchmarkOrganisations measures one plan of a full deployment: without organisations, with all work within the weights,
// and with half of it surplus.
func BenchmarkOrganisations(b *testing.B) {
	for _, runners := range []int{350, 1100} {
		for _, organisations := range []int{0, 20, 270} {
			for _, surplus := range []bool{false, true} {
				if organisations == 0 && surplus {
					continue
				}
				b.Run(fmt.Sprintf("Runners%d/Organisations%d/Surplus%v", runners, organisations, surplus), func(b *testing.B) {
					t := newSharedTable(runners, organisations, surplus)
					b.ReportAllocs()
					for b.Loop() {
						MakePlan(t, start, Limits{AdviceBudget: specs.AdviceBudget{Short: time.Second, Long: time.Second}})
					}
				})
			}
		}
	}
}

// newSharedTable returns a table whose runners have a quarter of their cores free, with 600 waiting jobs of 3 tasks.
func newSharedTable(runners, organisations int, surplus bool) *tasks.Table {
	t := tasks.New()
	c := &specs.Catalog{Version: 1}
	for i := range organisations {
		c.Organisations = append(c.Organisations, specs.Organisation{
			Name: organisationName(i), Weight: float64(1 + i%7), Quota: types.Resources{Cores: 500 * types.Core},
		})
	}
	t.SetLimits(c)
	for i := range runners {
		r := tasks.NewRunner(agent.Runner{
			ID: specs.RunnerID(fmt.Sprintf("w%04d", i)), Service: "svc", Boot: 1,
			Capacity: types.Resources{Cores: 16 * types.Core, Memory: 128 * types.GiB},
		}, 1)
		r.Synced = true
		r.Used.Cores = 12 * types.Core
		t.SetRunner(r)
	}
	for n := range 600 {
		j := &specs.Job{ID: specs.JobID(fmt.Sprintf("j%04d", n)), Queue: queueOf(n % 3), Steps: []specs.Step{stepOf(3, 2*types.Core)}, Accepted: start}
		if organisations > 0 {
			j.Organisation = organisationName(n % organisations)
			j.Surplus = surplus && n%2 == 0
		}
		t.AddJob(j)
	}
	return t
}

func organisationName(i int) specs.OrganisationName {
	return specs.OrganisationName(fmt.Sprintf("o%03d", i))
}
