package order

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// setQuotas puts a catalog in force with organisations of weight 1 that may occupy the given cores.
func (f *tableFixture) setQuotas(cores map[specs.OrganisationName]types.MilliCores) {
	c := &specs.Catalog{Version: 1}
	for name, quota := range cores {
		c.Organisations = append(c.Organisations, specs.Organisation{Name: name, Weight: 1, Quota: types.Resources{Cores: quota}})
	}
	f.table.SetLimits(c)
}

// addJobOf adds a job of an organisation. Among jobs of one priority and size, those that are added with a lower number
// come first.
func (f *tableFixture) addJobOf(owner specs.OrganisationName, number int, steps ...specs.Step) *tasks.Job {
	id := specs.JobID(fmt.Sprintf("%s%04d", owner, number))
	return f.table.AddJob(&specs.Job{
		ID: id, Queue: queueOf(1), Steps: steps, Accepted: start.Add(time.Duration(number) * time.Microsecond), Organisation: owner,
	})
}

func (f *tableFixture) addSurplus(owner specs.OrganisationName, number int, steps ...specs.Step) *tasks.Job {
	j := f.addJobOf(owner, number, steps...)
	j.Spec.Surplus = true
	return j
}

// carryOut places the tasks that a plan starts, and returns how many there are of each organisation.
func (f *tableFixture) carryOut(p Plan) map[specs.OrganisationName]int {
	out := make(map[specs.OrganisationName]int)
	for _, s := range p.Starts {
		c := s.Task.Change()
		c.State, c.Attempt = tasks.Placed, c.Attempt+1
		s.Runner.PlaceTask(s.Task, c.Attempt)
		f.table.Apply(tasks.Record{Task: c})
		out[s.Task.Step.Job.Spec.Organisation]++
	}
	return out
}

// endRuns ends the first runs of an organisation, at most count.
func (f *tableFixture) endRuns(owner specs.OrganisationName, count int) {
	for _, r := range f.table.OrderedRunners() {
		for _, run := range r.Runs {
			if count > 0 && run.Organisation != nil && run.Organisation.Name == owner {
				r.RemoveRun(run)
				f.finish(run.Task)
				count--
			}
		}
	}
}

func (f *tableFixture) wantCounts(got map[specs.OrganisationName]int, want map[specs.OrganisationName]int) {
	f.t.Helper()
	if !reflect.DeepEqual(got, want) {
		f.t.Errorf("counts by organisation: %v, want %v", got, want)
	}
}

type starts = map[specs.OrganisationName]int

func TestQuotas(t *testing.T) {
	const core = types.Core
	quotas := func(cores types.MilliCores) map[specs.OrganisationName]types.MilliCores {
		return map[specs.OrganisationName]types.MilliCores{"a": cores, "b": 0}
	}
	// Without this, a wide step starts all that fits on the runners.
	t.Run("WideStepStartsInWaves", func(t *testing.T) {
		f := newTableFixture(t, 4)
		f.setQuotas(quotas(3 * core))
		f.addJobOf("a", 1, stepOf(8, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 3})
		f.wantCounts(f.carryOut(f.plan(start)), starts{})
		f.endRuns("a", 2)
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 2})
	})
	t.Run("EachResourceIsLimited", func(t *testing.T) {
		f := newTableFixture(t, 4)
		f.table.SetLimits(&specs.Catalog{Organisations: []specs.Organisation{{Name: "a", Quota: types.Resources{Memory: 2 * types.GiB}}}})
		f.addJobOf("a", 1, stepOf(8, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 2})
	})
	// The platform counts what a task requests, also if it takes only cores that others leave unused.
	t.Run("RequestedCoresOfTasksThatFillCount", func(t *testing.T) {
		f := newTableFixture(t, 1)
		f.setQuotas(quotas(6 * core))
		s := stepOf(20, 2*core)
		s.Fills = true
		f.addJobOf("a", 1, s)
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 3})
		if used := f.table.Runners["w0"].Used.Cores; used != 0 {
			t.Errorf("the tasks occupy %d thousandths of a core of the runner, want none", used)
		}
	})
	// A gang that is started in part never runs.
	t.Run("GangStartsAsAWhole", func(t *testing.T) {
		f := newTableFixture(t, 4)
		f.setQuotas(quotas(3 * core))
		f.addJobOf("a", 1, gangStepOf(4, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{})
		f.setQuotas(quotas(4 * core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 4})
	})
	// A gang without headroom would otherwise take a reservation, or make calls for advice whose tickets expire unused.
	t.Run("GangThatWaitsHoldsUpNobodyElse", func(t *testing.T) {
		f := newTableFixture(t, 10)
		f.setQuotas(quotas(4 * core))
		for i := range 10 {
			f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))].Used.Cores = core
		}
		f.addJobOf("a", 1, gangStepOf(2, 4*core))
		f.addJobOf("b", 2, stepOf(30, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"b": 30})
	})
	// A job that asks for advice while it must wait spends the budget of the others.
	t.Run("AsksForNoAdvice", func(t *testing.T) {
		f := newTableFixture(t, 4)
		f.setQuotas(quotas(core))
		for n, s := range []specs.Step{stepOf(1, core), gangStepOf(2, core), stepOf(4, 2*core)} {
			f.addJobOf("a", n, s).Spec.Queue.Advice = advicePolicy()
		}
		f.table.Organisations["a"].Running = types.Resources{Cores: core}
		f.addJobOf("b", 9, stepOf(1, core)).Spec.Queue.Advice = advicePolicy()
		p := f.plan(start)
		if len(p.AdviceCalls) != 1 || p.AdviceCalls[0].Step.Job.Spec.Organisation != "b" {
			t.Errorf("%d calls for advice, want one for the job of b", len(p.AdviceCalls))
		}
	})
	// The queue is usually allowed 0.3 of the runners, of 4 cores each. For one task, twelve runners are named.
	t.Run("AsksForNoMoreThanItMayStart", func(t *testing.T) {
		f := newTableFixture(t, 200)
		f.setQuotas(quotas(core))
		f.addJobOf("a", 1, stepOf(100, core)).Spec.Queue.Advice = advicePolicy()
		p := f.plan(start)
		if len(p.AdviceCalls) != 1 || len(p.AdviceCalls[0].Runners) != minAskedRunners {
			t.Errorf("%d calls for advice, want one that names %d runners", len(p.AdviceCalls), minAskedRunners)
		}
	})
	// Advice for more than the quota leaves room for expires unused, and spends the budget of the jobs behind.
	t.Run("AsksForNoMoreThanTheHeadroomOfAllSteps", func(t *testing.T) {
		for name, s := range map[string]specs.Step{"Tasks": stepOf(1, 2*core), "Gangs": gangStepOf(2, core)} {
			t.Run(name, func(t *testing.T) {
				f := newTableFixture(t, 200)
				f.setQuotas(quotas(3 * core))
				for n := range 300 {
					f.addJobOf("a", n, s).Spec.Queue.Advice = advicePolicy()
				}
				f.addJobOf("b", 300, s).Spec.Queue.Advice = advicePolicy()
				f.wantCounts(adviceCalls(f.plan(start)), starts{"a": 1, "b": 1})
			})
		}
	})
	// Calls in flight count as well, or the next plan would make the same calls for the next steps.
	t.Run("AsksForNoMoreBesideACallInFlight", func(t *testing.T) {
		f := newTableFixture(t, 20)
		f.setQuotas(quotas(core))
		for n := range 2 {
			f.addJobOf("a", n, stepOf(1, core)).Spec.Queue.Advice = advicePolicy()
		}
		f.table.Jobs["a0000"].Occurrences[0].Steps[0].Advice.Pending = 1
		f.wantCounts(adviceCalls(f.plan(start)), starts{})
	})
	// A task that waits for a new ticket must not take its part of the headroom twice, or the next step asks too late.
	t.Run("AsksBesideAStepThatRenewsItsTicket", func(t *testing.T) {
		f := newTableFixture(t, 20)
		f.setQuotas(quotas(2 * core))
		for n := range 3 {
			f.addJobOf("a", n, stepOf(1, core)).Spec.Queue.Advice = advicePolicy()
		}
		f.allowOne(f.table.Jobs["a0000"].Occurrences[0].Steps[0], "w0", start)
		f.wantCounts(adviceCalls(f.plan(start)), starts{"a": 2})
	})
	// Small tasks behind a gang would otherwise take each core that its organisation gets, and the gang would never start.
	t.Run("GangIsNotOvertakenWithinItsOrganisation", func(t *testing.T) {
		f := newTableFixture(t, 8)
		f.setQuotas(quotas(4 * core))
		f.addJobOf("a", 1, stepOf(4, core))
		f.carryOut(f.plan(start))
		f.addJobOf("a", 2, gangStepOf(3, core))
		for n := range 20 {
			f.addJobOf("a", 10+n, stepOf(1, core))
		}
		f.table.Jobs["a0002"].Occurrences[0].Due = start.Add(-time.Second)
		for range 2 {
			f.endRuns("a", 1)
			f.wantCounts(f.carryOut(f.plan(start)), starts{})
		}
		f.endRuns("a", 1)
		f.wantStarts(f.plan(start), "a0002")
	})
	// A patient gang may wait for seconds. Urgent tasks that are late rank behind it, and must not wait for the quota that the
	// gang keeps while it cannot start.
	t.Run("PatientGangDoesNotHoldUpUrgentTasks", func(t *testing.T) {
		f := newTableFixture(t, 8)
		f.setQuotas(quotas(4 * core))
		f.addJobOf("a", 1, stepOf(2, core))
		f.carryOut(f.plan(start))
		gang := f.addJobOf("a", 2, gangStepOf(3, core))
		gang.Spec.Queue.Priority, gang.Spec.Queue.Latency = 2, time.Minute
		urgent := f.addJobOf("a", 3, stepOf(1, core))
		urgent.Spec.Queue.Priority = 0
		urgent.Occurrences[0].Due = start.Add(-urgent.Allowance())
		f.wantStarts(f.plan(start), "a0003")
	})
	// A wide patient step that takes the whole quota makes urgent tasks that come next wait until one of its tasks ends.
	t.Run("PatientStepLeavesAPartToUrgentTasks", func(t *testing.T) {
		f := newTableFixture(t, 8)
		f.setQuotas(quotas(8 * core))
		f.addJob("of nobody", 0, stepOf(1, core))
		patient := f.addJobOf("a", 1, stepOf(20, core))
		patient.Spec.Queue.Priority = 2
		f.wantCounts(f.carryOut(f.plan(start)), starts{"": 1, "a": 7})
		urgent := f.addJobOf("a", 2, stepOf(1, core))
		urgent.Spec.Queue.Priority = 0
		f.wantStarts(f.plan(start), "a0002")
	})
	// Work that needs the part for urgent work must not wait for ever.
	t.Run("PatientGangMayNeedTheWholeQuota", func(t *testing.T) {
		f := newTableFixture(t, 8)
		f.setQuotas(quotas(8 * core))
		f.addJob("of nobody", 0, stepOf(1, core))
		gang := f.addJobOf("a", 1, gangStepOf(8, core))
		gang.Spec.Queue.Priority = 2
		f.wantCounts(f.carryOut(f.plan(start)), starts{"": 1, "a": 8})
	})
	// Services end only when they are cancelled, so a gang that fits beside them but not beside the part for urgent work as well
	// would never start, and a service would never have all its tasks.
	t.Run("ServicesMayTakeThePartForUrgentTasks", func(t *testing.T) {
		f := newTableFixture(t, 8)
		f.setQuotas(map[specs.OrganisationName]types.MilliCores{"a": 8 * core, "b": 8 * core})
		f.addJob("of nobody", 0, stepOf(1, core))
		small, large := stepOf(4, core), stepOf(8, core)
		small.Service, large.Service = true, true
		f.addJobOf("a", 1, small).Spec.Queue.Priority = 2
		f.addJobOf("b", 2, large).Spec.Queue.Priority = 2
		f.wantCounts(f.carryOut(f.plan(start)), starts{"": 1, "a": 4, "b": 8})
		f.addJobOf("a", 3, gangStepOf(4, core)).Spec.Queue.Priority = 2
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 4})
	})
	// A gang that never fits must not keep its organisation from running what does.
	t.Run("GangThatNeverFitsHoldsNothingBack", func(t *testing.T) {
		withoutRunners, limited := gangStepOf(4, core), gangStepOf(4, core)
		withoutRunners.Label = "nowhere"
		// Two runners have this label.
		limited.Label, limited.PerRunner = "r0", 1
		for name, s := range map[string]specs.Step{"AboveTheQuota": gangStepOf(5, core), "WithoutRunners": withoutRunners, "AboveTheLimitPerRunner": limited} {
			t.Run(name, func(t *testing.T) {
				f := newTableFixture(t, 8)
				f.setQuotas(quotas(4 * core))
				f.table.Organisations["a"].Running = types.Resources{Cores: core}
				// Without this, the ranking puts small work before the gang.
				f.addJobOf("a", 1, s).Occurrences[0].Due = start.Add(-time.Second)
				f.addJobOf("a", 2, stepOf(3, core))
				f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 3})
			})
		}
		// With the reservation of its capacity it would keep the headroom that it has.
		t.Run("WithHeadroom", func(t *testing.T) {
			f := newTableFixture(t, 8)
			f.setQuotas(quotas(4 * core))
			f.addJobOf("a", 1, limited).Occurrences[0].Due = start.Add(-time.Second)
			f.addJobOf("a", 2, stepOf(4, core))
			f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 4})
		})
		// A service runs until it is cancelled, so what it occupies does not become free.
		t.Run("BesideAService", func(t *testing.T) {
			f := newTableFixture(t, 8)
			f.setQuotas(quotas(4 * core))
			service := stepOf(1, core)
			service.Service = true
			f.addJobOf("a", 1, service)
			f.carryOut(f.plan(start))
			f.addJobOf("a", 2, gangStepOf(4, core)).Occurrences[0].Due = start.Add(-time.Second)
			f.addJobOf("a", 3, stepOf(3, core))
			f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 3})
		})
	})
	// A gang waits for its tickets with headroom for all of it; if smaller tasks took that, it would wait again.
	t.Run("GangKeepsItsHeadroomWhileItWaitsForTickets", func(t *testing.T) {
		f := newTableFixture(t, 8)
		f.setQuotas(quotas(4 * core))
		gang := f.addJobOf("a", 1, gangStepOf(4, core))
		gang.Spec.Queue.Advice = advicePolicy()
		s := gang.Occurrences[0].Steps[0]
		var named []tasks.Incarnation
		for _, r := range f.table.OrderedRunners() {
			named = append(named, r.Incarnation())
		}
		s.Advice.Asked, s.Advice.Pending, s.Advice.Allowed = named, 1, named
		s.Advice.Answers = make(map[tasks.Incarnation]tasks.RunnerAdvice)
		for _, i := range named {
			s.Advice.Answers[i] = tasks.RunnerAdvice{Allowed: true, Until: start}
		}
		gang.Occurrences[0].Due = start.Add(-time.Second)
		f.addJobOf("a", 2, stepOf(4, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{})
	})
	// Until its first advice arrives, a gang has no runners that it could reserve.
	t.Run("GangKeepsItsHeadroomWhileItsFirstCallIsMade", func(t *testing.T) {
		for name, pending := range map[string]int{"Planned": 0, "InFlight": 1} {
			t.Run(name, func(t *testing.T) {
				f := newTableFixture(t, 8)
				f.setQuotas(quotas(5 * core))
				gang := f.addJobOf("a", 1, gangStepOf(4, core))
				gang.Spec.Queue.Advice = advicePolicy()
				gang.Occurrences[0].Steps[0].Advice.Pending = pending
				gang.Occurrences[0].Due = start.Add(-time.Second)
				f.addJobOf("a", 2, stepOf(4, core))
				f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 1})
			})
		}
		// It must not keep what it can never use.
		t.Run("UnlessItNeverFits", func(t *testing.T) {
			f := newTableFixture(t, 8)
			f.setQuotas(quotas(5 * core))
			s := gangStepOf(4, core)
			s.Label, s.PerRunner = "r0", 1
			gang := f.addJobOf("a", 1, s)
			gang.Spec.Queue.Advice = advicePolicy()
			gang.Occurrences[0].Due = start.Add(-time.Second)
			f.addJobOf("a", 2, stepOf(5, core))
			f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 5})
		})
	})
	// A gang that asks takes its part of the headroom once, and one that never fits takes none; or the next step asks too late.
	t.Run("AsksBesideAGangThatAsks", func(t *testing.T) {
		limited := gangStepOf(4, core)
		limited.Label, limited.PerRunner = "r0", 1
		for name, s := range map[string]specs.Step{"Fits": gangStepOf(4, core), "NeverFits": limited} {
			t.Run(name, func(t *testing.T) {
				f := newTableFixture(t, 20)
				f.setQuotas(quotas(5 * core))
				f.addJobOf("a", 1, s).Spec.Queue.Advice = advicePolicy()
				f.table.Jobs["a0001"].Occurrences[0].Due = start.Add(-time.Second)
				f.addJobOf("a", 2, stepOf(5, core)).Spec.Queue.Advice = advicePolicy()
				f.wantCounts(adviceCalls(f.plan(start)), starts{"a": 2})
			})
		}
	})
	// Before a catalog is known, the quota is not.
	t.Run("NothingStartsBeforeACatalogIsKnown", func(t *testing.T) {
		f := newTableFixture(t, 2)
		f.addJobOf("a", 1, stepOf(1, core))
		f.addSurplus("b", 1, stepOf(1, core))
		f.addJob("none", 1, stepOf(1, core))
		p := f.plan(start)
		f.wantStarts(p, "none")
		if len(p.WaitingForQuota) != 0 {
			t.Error("organisations are said to wait for a quota that is not known")
		}
	})
	// The jobs of a removed organisation were accepted; they must not wait for ever, and not go before others. A new one,
	// which only a newer catalog names, must wait for its quota to be known.
	t.Run("RemovedOrganisationGoesOnAfterTheOthers", func(t *testing.T) {
		f := newTableFixture(t, 2)
		f.setQuotas(quotas(0))
		f.addJobOf("gone", 1, stepOf(8, core))
		f.addJobOf("new", 1, stepOf(8, core))
		f.table.Organisations["gone"].Removed = true
		f.addJobOf("b", 2, stepOf(3, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"b": 3, "gone": 5})
	})
	t.Run("LoweredQuotaWaitsAndRaisedOneStarts", func(t *testing.T) {
		f := newTableFixture(t, 4)
		f.setQuotas(quotas(6 * core))
		f.addJobOf("a", 1, stepOf(12, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 6})
		f.setQuotas(quotas(4 * core))
		f.endRuns("a", 2)
		f.wantCounts(f.carryOut(f.plan(start)), starts{})
		f.setQuotas(quotas(7 * core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 3})
	})
	// A run whose organisation is not known may be of any.
	t.Run("UnattributedRunsCountForAll", func(t *testing.T) {
		f := newTableFixture(t, 4)
		f.setQuotas(quotas(6 * core))
		f.table.Unattributed.Running = types.Resources{Cores: 4 * core}
		f.addJobOf("a", 1, stepOf(12, core))
		f.wantCounts(f.carryOut(f.plan(start)), starts{"a": 2})
	})
	// A plan serves maxSteps steps. If those without headroom counted, an organisation with many would hold up the others.
	t.Run("ManyWaitingStepsHoldUpNobodyElse", func(t *testing.T) {
		f := newTableFixture(t, 4)
		f.setQuotas(quotas(core))
		f.table.Organisations["a"].Running = types.Resources{Cores: core}
		for n := range 2 * maxSteps {
			f.addJobOf("a", n, stepOf(1, core))
		}
		f.addJobOf("b", 10_000, stepOf(1, core))
		p := f.plan(start)
		f.wantStarts(p, "b10000")
		if len(p.WaitingForQuota) != 1 || p.WaitingForQuota[0].Name != "a" {
			t.Errorf("%d organisations wait for their quota, want only a", len(p.WaitingForQuota))
		}
	})
}

// adviceCalls returns how many calls for advice a plan makes for each organisation.
func adviceCalls(p Plan) map[specs.OrganisationName]int {
	out := make(map[specs.OrganisationName]int)
	for _, call := range p.AdviceCalls {
		out[call.Step.Job.Spec.Organisation]++
	}
	return out
}

func advicePolicy() *specs.AdvicePolicy {
	return &specs.AdvicePolicy{Decision: 10 * time.Millisecond, PerRunner: time.Millisecond, Validity: time.Second}
}

// A table without organisations must be planned as before there were any: quotas and shares must not change its order.
func TestPlanWithoutOrganisationsIsUnchanged(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates thirty seconds of load")
	}
	sim := newSimulation(1)
	for i := range sim.kinds {
		sim.kinds[i].perSec *= 1.5
	}
	planned := 0
	for at := time.Duration(0); at < loadDuration; at += timeStep {
		now := start.Add(at)
		sim.addArrivals(now, at)
		sim.finishDue(now)
		got, want := MakePlan(sim.table, now, Limits{}), planInOrder(sim.table, now)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("after %s the plan has %d starts that differ from the %d of the plain order", at, len(got.Starts), len(want.Starts))
		}
		planned += len(got.Starts)
		for _, s := range got.Starts {
			sim.startTask(s, now)
		}
	}
	if planned == 0 {
		t.Error("nothing was started")
	}
}

// planInOrder serves the steps in the order of their urgency and does nothing else.
func planInOrder(table *tasks.Table, now time.Time) Plan {
	p := newPass(table, now, Limits{})
	if p.out.Idle = !hasWaitingStep(table); p.out.Idle {
		return p.out
	}
	p.collectRunners()
	entries := p.entries()
	slices.SortFunc(entries, byUrgency)
	for _, e := range entries[:min(len(entries), maxSteps)] {
		p.serve(e.step)
	}
	return p.out
}
