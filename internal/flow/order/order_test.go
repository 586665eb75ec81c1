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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tableFixture is a table whose runners have four cores each and are two to a rack.
type tableFixture struct {
	t     *testing.T
	table *tasks.Table
}

func newTableFixture(t *testing.T, runnerCount int) *tableFixture {
	f := &tableFixture{t: t, table: tasks.New()}
	for i := range runnerCount {
		f.addRunner(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/2))
	}
	return f
}

func (f *tableFixture) addRunner(id, rack string) *tasks.Runner {
	r := tasks.NewRunner(agent.Runner{
		ID: specs.RunnerID(id), Service: "svc", Rack: specs.Label(rack), Labels: []specs.Label{"a", specs.Label(rack)},
		Capacity: types.Resources{Cores: 4 * types.Core, Memory: 64 * types.GiB},
	}, 1)
	r.Synced = true
	f.table.SetRunner(r)
	return r
}

func (f *tableFixture) addJob(id string, priority int, steps ...specs.Step) *tasks.Job {
	return f.table.AddJob(&specs.Job{ID: specs.JobID(id), Queue: queueOf(priority), Steps: steps, Accepted: start})
}

// newJob returns a job that is not in the table.
func (f *tableFixture) newJob(priority int, steps ...specs.Step) *tasks.Job {
	return f.table.NewJob(&specs.Job{ID: "new", Queue: queueOf(priority), Steps: steps, Accepted: start})
}

func queueOf(priority int) specs.Queue {
	return specs.Queue{
		Name: specs.QueueName(fmt.Sprintf("q%d", priority)), Service: "svc", Priority: priority, MaxAttempts: 3,
		Stretch: 2, Latency: time.Second,
	}
}

func (f *tableFixture) plan(now time.Time) Plan {
	budget := specs.AdviceBudget{Short: time.Second, Long: time.Second}
	return MakePlan(f.table, now, Limits{AdviceBudget: budget, TicketMargin: 100 * time.Millisecond})
}

// stepOf returns a step of count tasks that take the given cores each, in thousandths of a core.
func stepOf(count int, each types.MilliCores) specs.Step {
	return specs.Step{Count: count, Resources: types.Resources{Cores: each, Memory: types.GiB}, Estimate: time.Second}
}

func gangStepOf(count int, each types.MilliCores) specs.Step {
	s := stepOf(count, each)
	s.Gang = true
	return s
}

// finish marks a task as done.
func (f *tableFixture) finish(task *tasks.Task) {
	c := task.Change()
	c.State = tasks.Done
	f.table.Apply(tasks.Record{Task: c})
}

// startedJobs returns the jobs of the plan's starts, in order, adjacent starts of one job merged.
func startedJobs(p Plan) []specs.JobID {
	var out []specs.JobID
	for _, s := range p.Starts {
		id := s.Task.Ref.Job
		if len(out) == 0 || out[len(out)-1] != id {
			out = append(out, id)
		}
	}
	return out
}

func (f *tableFixture) wantStarts(p Plan, want ...specs.JobID) {
	f.t.Helper()
	if got := startedJobs(p); fmt.Sprint(got) != fmt.Sprint(want) {
		f.t.Errorf("plan starts tasks of jobs %v, want %v", got, want)
	}
}

func TestOrder(t *testing.T) {
	t.Run("PriorityFirst", func(t *testing.T) {
		f := newTableFixture(t, 1)
		f.addJob("low", 2, stepOf(1, 3*types.Core))
		f.addJob("high", 0, stepOf(1, 3*types.Core))
		f.wantStarts(f.plan(start), "high")
	})
	t.Run("LateAfterWhatIsInTime", func(t *testing.T) {
		f := newTableFixture(t, 1)
		late := f.addJob("late", 0, stepOf(1, 3*types.Core))
		late.Occurrences[0].Due = start.Add(-5 * time.Second)
		f.addJob("intime", 2, stepOf(1, 3*types.Core))
		f.wantStarts(f.plan(start), "intime")
	})
	t.Run("LeastTimeLeftFirst", func(t *testing.T) {
		f := newTableFixture(t, 1)
		f.addJob("new", 0, stepOf(1, 3*types.Core))
		older := f.addJob("older", 0, stepOf(1, 3*types.Core))
		older.Occurrences[0].Due = start.Add(-time.Second)
		f.wantStarts(f.plan(start), "older")
	})
	t.Run("SmallBeforeLarge", func(t *testing.T) {
		f := newTableFixture(t, 2)
		wide := f.addJob("wide", 0, stepOf(4, 2*types.Core))
		wide.Occurrences[0].Due = start.Add(-time.Second)
		f.addJob("narrow", 0, stepOf(2, 2*types.Core))
		f.wantStarts(f.plan(start), "narrow", "wide")
	})
	t.Run("StepsWaitForThoseBefore", func(t *testing.T) {
		f := newTableFixture(t, 2)
		second := stepOf(1, types.Core)
		second.After = []int{0}
		f.addJob("j", 0, stepOf(1, types.Core), second)
		if p := f.plan(start); len(p.Starts) != 1 || p.Starts[0].Task.Ref.Step != 0 {
			t.Errorf("%d starts, want the first step alone", len(p.Starts))
		}
	})
}

func TestPlaces(t *testing.T) {
	t.Run("NeverOverTheFreeCapacity", func(t *testing.T) {
		// Two tasks of 1.5 cores fit on each of the three runners with 4 cores.
		f := newTableFixture(t, 3)
		f.addJob("j", 0, stepOf(20, 1500))
		if got := len(f.plan(start).Starts); got != 6 {
			t.Errorf("%d starts, want 6", got)
		}
	})
	t.Run("PerRunner", func(t *testing.T) {
		f := newTableFixture(t, 3)
		s := stepOf(5, 100)
		s.PerRunner = 1
		f.addJob("j", 0, s)
		if got := len(f.plan(start).Starts); got != 3 {
			t.Errorf("%d starts, want 3", got)
		}
	})
	t.Run("Label", func(t *testing.T) {
		f := newTableFixture(t, 4)
		s := stepOf(1, types.Core)
		s.Label = "r1"
		f.addJob("j", 0, s)
		if p := f.plan(start); len(p.Starts) != 1 || p.Starts[0].Runner.Info.Rack != "r1" {
			t.Error("plan does not consist of one start on rack r1, whose runners have the label of the step")
		}
	})
	t.Run("Rack", func(t *testing.T) {
		f := newTableFixture(t, 6)
		s := stepOf(2, types.Core)
		s.Rack = "r2"
		f.addJob("j", 0, s)
		starts := f.plan(start).Starts
		if len(starts) != 2 {
			t.Errorf("%d starts, want 2", len(starts))
		}
		for _, st := range starts {
			if st.Runner.Info.Rack != "r2" {
				t.Errorf("task starts on rack %s, want r2", st.Runner.Info.Rack)
			}
		}
	})
	t.Run("NotOnQuarantinedOrSlowRunners", func(t *testing.T) {
		f := newTableFixture(t, 2)
		f.table.Runners["w0"].Health.QuarantinedUntil = start.Add(time.Second)
		f.table.Runners["w1"].Health.Speed = 0.1
		f.addJob("j", 0, stepOf(1, types.Core))
		f.wantStarts(f.plan(start))
	})
	t.Run("NotAgainWhereItFailed", func(t *testing.T) {
		f := newTableFixture(t, 2)
		j := f.addJob("j", 0, stepOf(1, types.Core))
		task := j.Occurrences[0].Steps[0].Tasks[0]
		task.Failures, task.Runner = 1, "w0"
		if p := f.plan(start); len(p.Starts) != 1 || p.Starts[0].Runner.Info.ID != "w1" {
			t.Error("plan does not consist of one start on w1; the task failed on w0")
		}
	})
}

func TestGangs(t *testing.T) {
	t.Run("AllOrNone", func(t *testing.T) {
		f := newTableFixture(t, 2)
		f.addJob("j", 0, gangStepOf(5, 2*types.Core))
		f.wantStarts(f.plan(start))
		// The gang needs 10 cores: two runners have 8, three have 12.
		f.addRunner("w9", "r9")
		if got := len(f.plan(start).Starts); got != 5 {
			t.Errorf("%d starts, want 5", got)
		}
	})
	t.Run("OneRackWherePossible", func(t *testing.T) {
		f := newTableFixture(t, 6)
		f.table.Runners["w0"].Used = types.Resources{Cores: 2 * types.Core}
		s := gangStepOf(4, 2*types.Core)
		s.SameRack = true
		f.addJob("j", 0, s)
		racks := make(map[specs.Label]bool)
		for _, st := range f.plan(start).Starts {
			racks[st.Runner.Info.Rack] = true
		}
		if len(racks) != 1 {
			t.Errorf("the gang is on %d racks, want 1", len(racks))
		}
	})
	// The gang needs two empty runners, but w0 and w1 have half a core free, and w2 to w9 two cores. Two of the latter
	// must get no small task, and all other free cores must be used.
	t.Run("ReservesCapacityAgainstWorkBehindIt", func(t *testing.T) {
		f := newTableFixture(t, 10)
		for _, id := range []specs.RunnerID{"w0", "w1"} {
			f.table.Runners[id].Used = types.Resources{Cores: 3500}
		}
		for i := 2; i < 10; i++ {
			f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))].Used = types.Resources{Cores: 2 * types.Core}
		}
		f.addJob("gang", 1, gangStepOf(2, 4*types.Core))
		f.addJob("small", 2, stepOf(40, 500))
		got := make(map[specs.RunnerID]int)
		for _, st := range f.plan(start).Starts {
			got[st.Runner.Info.ID]++
		}
		withoutStart := 0
		for i := 2; i < 10; i++ {
			if got[specs.RunnerID(fmt.Sprintf("w%d", i))] == 0 {
				withoutStart++
			}
		}
		if withoutStart != 2 {
			t.Errorf("%d of the runners w2 to w9 get no task, want 2, reserved for the gang", withoutStart)
		}
		// 6 runners have room for 4 small tasks each, w0 and w1 for one each.
		total := 0
		for _, n := range got {
			total += n
		}
		if total != 26 {
			t.Errorf("%d small tasks start, want 26", total)
		}
	})
}

func TestAdvice(t *testing.T) {
	policy := &specs.AdvicePolicy{Decision: 10 * time.Millisecond, PerRunner: time.Millisecond, Validity: time.Second}
	advised := func(t *testing.T, runnerCount int) (*tableFixture, *tasks.Step) {
		f := newTableFixture(t, runnerCount)
		j := f.addJob("j", 0, stepOf(1, types.Core))
		j.Spec.Queue.Advice = policy
		return f, j.Occurrences[0].Steps[0]
	}
	t.Run("AsksFirst", func(t *testing.T) {
		f, _ := advised(t, 3)
		p := f.plan(start)
		if len(p.Starts) != 0 || len(p.AdviceCalls) != 1 || len(p.AdviceCalls[0].Runners) != 3 {
			t.Errorf("%d starts, %d calls for advice; want no start and one call that names all 3 runners", len(p.Starts), len(p.AdviceCalls))
		}
	})
	// The queue is allowed 0.375 of the runners: Learn raises the share from 0.3, since one answer weighs 1/8. So a runner
	// counts for 1.5 of its 4 cores. The call must name enough runners for askedCapacityFactor times the tasks, but at
	// least minAskedRunners.
	t.Run("NamesNoMoreRunnersThanTheStepNeeds", func(t *testing.T) {
		for _, tt := range []struct{ tasks, want int }{{tasks: 1, want: minAskedRunners}, {tasks: 15, want: 40}} {
			f := newTableFixture(t, 60)
			j := f.addJob("j", 0, stepOf(tt.tasks, types.Core))
			j.Spec.Queue.Advice = policy
			f.table.Shares.Learn("q0", 10, 9)
			p := f.plan(start)
			if len(p.AdviceCalls) != 1 || len(p.AdviceCalls[0].Runners) != tt.want {
				t.Errorf("%d calls for advice for %d tasks; want one that names %d runners", len(p.AdviceCalls), tt.tasks, tt.want)
			}
		}
	})
	t.Run("NamesRunnersWithFreeCapacityFirst", func(t *testing.T) {
		f, _ := advised(t, 40)
		for i := range 25 {
			full := f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))]
			full.Used = full.Info.Capacity
		}
		p := f.plan(start)
		if len(p.AdviceCalls) != 1 {
			t.Fatalf("%d calls for advice, want one", len(p.AdviceCalls))
		}
		for _, r := range p.AdviceCalls[0].Runners {
			if r.Free().Cores == 0 {
				t.Errorf("the call names %s, which is full, though 15 runners have free capacity", r.Info.ID)
			}
		}
	})
	t.Run("NamesTheEmptiestRunnersForAGang", func(t *testing.T) {
		f := newTableFixture(t, 2*agent.MaxAdvised)
		j := f.addJob("j", 0, gangStepOf(100, types.Core))
		j.Spec.Queue.Advice = policy
		for i := range agent.MaxAdvised {
			f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))].Used = types.Resources{Cores: 3 * types.Core}
		}
		p := f.plan(start)
		if len(p.AdviceCalls) == 0 {
			t.Fatal("no calls for advice")
		}
		for _, r := range p.AdviceCalls[0].Runners {
			if r.Used.Cores > 0 {
				t.Errorf("the first call names %s, which has one core free, though %d runners are empty", r.Info.ID, agent.MaxAdvised)
			}
		}
	})
	// A wide gang needs more runners than one call may name, and its tickets must be valid together.
	t.Run("NamesTheRunnersOfAWideGangInCallsAtTheSameTime", func(t *testing.T) {
		f := newTableFixture(t, 500)
		j := f.addJob("j", 0, gangStepOf(100, 4*types.Core))
		j.Spec.Queue.Advice = policy
		p := f.plan(start)
		named := make(map[specs.RunnerID]bool)
		for _, call := range p.AdviceCalls {
			if len(call.Runners) > gangCallRunners {
				t.Errorf("a call names %d runners, want at most %d", len(call.Runners), gangCallRunners)
			}
			for _, r := range call.Runners {
				named[r.Info.ID] = true
			}
		}
		if len(p.AdviceCalls) != maxGangCalls || len(named) != maxGangCalls*gangCallRunners {
			t.Errorf("%d calls name %d runners, want %d that name %d", len(p.AdviceCalls), len(named), maxGangCalls, maxGangCalls*gangCallRunners)
		}
	})
	// Under overload, tickets of steps that are served much later would expire unused.
	t.Run("AsksOnlyForTheCoresThatComeFree", func(t *testing.T) {
		f := newTableFixture(t, 30)
		for _, r := range f.table.Runners {
			r.Used = r.Info.Capacity
		}
		for i := range 100 {
			f.addJob(fmt.Sprintf("j%02d", i), 0, stepOf(1, types.Core)).Spec.Queue.Advice = policy
		}
		if got, want := len(f.plan(start).AdviceCalls), int(askAheadShare*30*4); got != want {
			t.Errorf("%d calls for advice, want %d, one for each core that may come free", got, want)
		}
	})
	// The answers of many waiting steps about every runner of a large deployment do not fit a leader's memory.
	t.Run("AsksAboutNoMoreThanItCanKeep", func(t *testing.T) {
		for _, tt := range []struct{ known, calls int }{{known: maxKnownRunners - 1, calls: 1}, {known: maxKnownRunners, calls: 0}} {
			f := newTableFixture(t, maxKnownRunners+50)
			j := f.addJob("j", 0, stepOf(1, types.Core))
			j.Spec.Queue.Advice = policy
			s := j.Occurrences[0].Steps[0]
			var asked []tasks.Incarnation
			var permits []agent.Permit
			for i := range tt.known {
				r := f.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))]
				r.Used = r.Info.Capacity
				asked = append(asked, r.Incarnation())
				permits = append(permits, agent.Permit{Runner: r.Info.ID, Ticket: "T"})
			}
			s.Advice.RecordAnswer(asked, permits, start.Add(time.Second))
			if p := f.plan(start); len(p.AdviceCalls) != tt.calls {
				t.Errorf("%d calls for advice with answers about %d runners, want %d", len(p.AdviceCalls), tt.known, tt.calls)
			}
		}
	})
	t.Run("AsksAboutMoreWhenAllowedRunnersAreFull", func(t *testing.T) {
		f, s := advised(t, 30)
		full := f.table.Runners["w1"]
		full.Used = full.Info.Capacity
		s.Advice.RecordAnswer([]tasks.Incarnation{full.Incarnation()}, []agent.Permit{{Runner: "w1", Ticket: "T"}}, start.Add(time.Second))
		if p := f.plan(start); len(p.AdviceCalls) != 1 {
			t.Errorf("%d calls for advice, want one", len(p.AdviceCalls))
		}
	})
	t.Run("AsksNothingWhenAllRunnersAreFull", func(t *testing.T) {
		f, s := advised(t, 30)
		f.allowOne(s, "w1", start.Add(time.Second))
		for _, r := range f.table.Runners {
			r.Used = r.Info.Capacity
		}
		// The added runner is full as well, and the only one without an answer of the advice service.
		f.addRunner("full", "r1").Used = types.Resources{Cores: 4 * types.Core}
		if p := f.plan(start); len(p.AdviceCalls) != 0 {
			t.Errorf("%d calls for advice, want none", len(p.AdviceCalls))
		}
	})
	t.Run("AsksAboutMoreWhenNoneIsAllowed", func(t *testing.T) {
		f, s := advised(t, 30)
		s.Advice.RecordAnswer([]tasks.Incarnation{f.table.Runners["w1"].Incarnation()}, nil, start.Add(time.Second))
		if p := f.plan(start); len(p.AdviceCalls) != 1 {
			t.Errorf("%d calls for advice, want one", len(p.AdviceCalls))
		}
	})
	t.Run("StartsOnlyWhereAllowed", func(t *testing.T) {
		f, s := advised(t, 3)
		f.allowOne(s, "w1", start.Add(time.Second))
		if p := f.plan(start); len(p.Starts) != 1 || p.Starts[0].Runner.Info.ID != "w1" || p.Starts[0].Ticket != "T" {
			t.Error("plan does not consist of one start on w1, the only allowed runner, with its ticket")
		}
	})
	t.Run("RenewsATicketThatExpiresSoon", func(t *testing.T) {
		f, s := advised(t, 3)
		f.allowOne(s, "w1", start.Add(50*time.Millisecond))
		p := f.plan(start)
		if len(p.Starts) != 0 || len(p.AdviceCalls) != 1 || p.AdviceCalls[0].Runners[0].Info.ID != "w1" {
			t.Errorf("%d starts, %d calls for advice; want no start and one call that names w1 first", len(p.Starts), len(p.AdviceCalls))
		}
	})
	t.Run("StartsThoughWritesTookLongerThanTicketsLast", func(t *testing.T) {
		f, s := advised(t, 3)
		// The ticket margin includes the time that writes take, here three times the validity of a ticket. The planner
		// limits it to half of the validity, so that a fresh ticket suffices.
		f.allowOne(s, "w1", start.Add(policy.Validity))
		budget := specs.AdviceBudget{Short: time.Second, Long: time.Second}
		if p := MakePlan(f.table, start, Limits{AdviceBudget: budget, TicketMargin: 3 * policy.Validity}); len(p.Starts) != 1 {
			t.Errorf("%d starts with a fresh ticket, want one", len(p.Starts))
		}
	})
	t.Run("GangStartsWhereItsTicketsAre", func(t *testing.T) {
		f := newTableFixture(t, 8)
		j := f.addJob("j", 0, gangStepOf(3, 3*types.Core))
		j.Spec.Queue.Advice = policy
		s := j.Occurrences[0].Steps[0]
		f.allowAll(s, start.Add(-time.Second))
		p := f.plan(start)
		if len(p.AdviceCalls) != 1 || len(p.AdviceCalls[0].Runners) <= 3 {
			t.Fatalf("%d calls for advice, want one that names more than three runners", len(p.AdviceCalls))
		}
		// Before the answer, a runner is added that no call has named, and one of the named runners has only 2 cores
		// left, too little for a task of 3.
		s.Advice.Pending = 0
		for _, r := range p.AdviceCalls[0].Runners {
			s.Advice.Answers[r.Incarnation()] = tasks.RunnerAdvice{Allowed: true, Ticket: "T", Until: start.Add(time.Second)}
		}
		p.AdviceCalls[0].Runners[0].Used = types.Resources{Cores: 2 * types.Core}
		f.addRunner("w9", "r9")
		if got := len(f.plan(start).Starts); got != 3 {
			t.Errorf("%d starts, want 3", got)
		}
	})
	t.Run("NotBeyondTheAdviceBudget", func(t *testing.T) {
		f, _ := advised(t, 3)
		if p := MakePlan(f.table, start, Limits{}); len(p.AdviceCalls) != 0 {
			t.Error("plan calls for advice without an advice budget")
		}
	})
}

// allowOne records advice on every runner of which only one is allowed.
func (f *tableFixture) allowOne(s *tasks.Step, allowed specs.RunnerID, until time.Time) {
	var incarnations []tasks.Incarnation
	for _, r := range f.table.Runners {
		incarnations = append(incarnations, r.Incarnation())
	}
	s.Advice.RecordAnswer(incarnations, []agent.Permit{{Runner: allowed, Ticket: "T"}}, until)
}

// allowAll records advice that allows every runner.
func (f *tableFixture) allowAll(s *tasks.Step, until time.Time) {
	var incarnations []tasks.Incarnation
	var permits []agent.Permit
	for _, r := range f.table.Runners {
		incarnations = append(incarnations, r.Incarnation())
		permits = append(permits, agent.Permit{Runner: r.Info.ID, Ticket: "T"})
	}
	s.Advice.RecordAnswer(incarnations, permits, until)
}
