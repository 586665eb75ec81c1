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

// bench is a table with runners of four cores.
type bench struct {
	t     *testing.T
	table *tasks.Table
}

func newBench(t *testing.T, runners int) *bench {
	b := &bench{t: t, table: tasks.New()}
	for i := range runners {
		b.runner(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/2))
	}
	return b
}

func (b *bench) runner(id, rack string) *tasks.Runner {
	r := tasks.NewRunner(agent.Runner{
		ID: specs.RunnerID(id), Service: "svc", Rack: specs.Label(rack), Labels: []specs.Label{"a", specs.Label(rack)},
		Capacity: types.Resources{Cores: 4 * types.Core, Memory: 64 * types.GiB},
	}, 1)
	r.Synced = true
	b.table.Runners[r.Info.ID] = r
	return r
}

func (b *bench) job(id string, priority int, steps ...specs.Step) *tasks.Job {
	q := specs.Queue{
		Name: specs.QueueName(fmt.Sprintf("q%d", priority)), Service: "svc", Priority: priority, MaxAttempts: 3,
		Stretch: 2, Latency: time.Second,
	}
	return b.table.AddJob(&specs.Job{ID: specs.JobID(id), Queue: q, Steps: steps, Accepted: start})
}

func (b *bench) plan(now time.Time) Plan {
	room := specs.AdviceBudget{Short: time.Second, Long: time.Second}
	return MakePlan(b.table, now, Limits{AdviceBudget: room, TicketMargin: 100 * time.Millisecond})
}

func cores(count int, each types.MilliCores) specs.Step {
	return specs.Step{Count: count, Resources: types.Resources{Cores: each, Memory: types.GiB}, Estimate: time.Second}
}

func gangOf(count int, each types.MilliCores) specs.Step {
	s := cores(count, each)
	s.Gang = true
	return s
}

// jobs returns the jobs of the starts, in order, each once.
func jobs(p Plan) []specs.JobID {
	var out []specs.JobID
	for _, s := range p.Starts {
		id := s.Task.Ref.Job
		if len(out) == 0 || out[len(out)-1] != id {
			out = append(out, id)
		}
	}
	return out
}

func (b *bench) starts(p Plan, want ...specs.JobID) {
	b.t.Helper()
	if got := jobs(p); fmt.Sprint(got) != fmt.Sprint(want) {
		b.t.Errorf("starts %v, want %v", got, want)
	}
}

func TestOrder(t *testing.T) {
	t.Run("PriorityFirst", func(t *testing.T) {
		b := newBench(t, 1)
		b.job("low", 2, cores(1, 3*types.Core))
		b.job("high", 0, cores(1, 3*types.Core))
		b.starts(b.plan(start), "high")
	})
	t.Run("LateAfterWhatIsInTime", func(t *testing.T) {
		b := newBench(t, 1)
		late := b.job("late", 0, cores(1, 3*types.Core))
		late.Occurrences[0].Due = start.Add(-5 * time.Second)
		b.job("intime", 2, cores(1, 3*types.Core))
		b.starts(b.plan(start), "intime")
	})
	t.Run("LeastTimeLeftFirst", func(t *testing.T) {
		b := newBench(t, 1)
		b.job("new", 0, cores(1, 3*types.Core))
		older := b.job("older", 0, cores(1, 3*types.Core))
		older.Occurrences[0].Due = start.Add(-time.Second)
		b.starts(b.plan(start), "older")
	})
	t.Run("SmallBeforeLarge", func(t *testing.T) {
		b := newBench(t, 2)
		wide := b.job("wide", 0, cores(4, 2*types.Core))
		wide.Occurrences[0].Due = start.Add(-time.Second)
		b.job("narrow", 0, cores(2, 2*types.Core))
		b.starts(b.plan(start), "narrow", "wide")
	})
	t.Run("StepsWaitForThoseBefore", func(t *testing.T) {
		b := newBench(t, 2)
		second := cores(1, types.Core)
		second.After = []int{0}
		b.job("j", 0, cores(1, types.Core), second)
		if p := b.plan(start); len(p.Starts) != 1 || p.Starts[0].Task.Ref.Step != 0 {
			t.Errorf("%d starts, want the first step alone", len(p.Starts))
		}
	})
}

func TestPlaces(t *testing.T) {
	t.Run("NeverOverTheRoom", func(t *testing.T) {
		b := newBench(t, 3)
		b.job("j", 0, cores(20, 1500))
		if got := len(b.plan(start).Starts); got != 6 {
			t.Errorf("%d starts, want 6", got)
		}
	})
	t.Run("PerRunner", func(t *testing.T) {
		b := newBench(t, 3)
		s := cores(5, 100)
		s.PerRunner = 1
		b.job("j", 0, s)
		if got := len(b.plan(start).Starts); got != 3 {
			t.Errorf("%d starts, want 3", got)
		}
	})
	t.Run("Label", func(t *testing.T) {
		b := newBench(t, 4)
		s := cores(1, types.Core)
		s.Label = "r1"
		b.job("j", 0, s)
		if p := b.plan(start); len(p.Starts) != 1 || p.Starts[0].Runner.Info.Rack != "r1" {
			t.Error("the task is not on a runner with its label")
		}
	})
	t.Run("Rack", func(t *testing.T) {
		b := newBench(t, 6)
		s := cores(2, types.Core)
		s.Rack = "r2"
		b.job("j", 0, s)
		for _, st := range b.plan(start).Starts {
			if st.Runner.Info.Rack != "r2" {
				t.Errorf("a task is on %s, away from its data", st.Runner.Info.Rack)
			}
		}
	})
	t.Run("NotOnRunnersThatRestOrAreSlow", func(t *testing.T) {
		b := newBench(t, 2)
		b.table.Runners["w0"].Health.QuarantinedUntil = start.Add(time.Second)
		b.table.Runners["w1"].Health.Speed = 0.1
		b.job("j", 0, cores(1, types.Core))
		b.starts(b.plan(start))
	})
	t.Run("NotAgainWhereItFailed", func(t *testing.T) {
		b := newBench(t, 2)
		j := b.job("j", 0, cores(1, types.Core))
		task := j.Occurrences[0].Steps[0].Tasks[0]
		task.Failures, task.Runner = 1, "w0"
		if p := b.plan(start); len(p.Starts) != 1 || p.Starts[0].Runner.Info.ID != "w1" {
			t.Error("the task is on the runner where it failed")
		}
	})
}

func TestGangs(t *testing.T) {
	t.Run("AllOrNone", func(t *testing.T) {
		b := newBench(t, 2)
		b.job("j", 0, gangOf(5, 2*types.Core))
		b.starts(b.plan(start))
		b.runner("w9", "r9")
		if got := len(b.plan(start).Starts); got != 5 {
			t.Errorf("%d starts, want 5", got)
		}
	})
	t.Run("OneRackWherePossible", func(t *testing.T) {
		b := newBench(t, 6)
		b.table.Runners["w0"].Used = types.Resources{Cores: 2 * types.Core}
		s := gangOf(4, 2*types.Core)
		s.SameRack = true
		b.job("j", 0, s)
		racks := make(map[specs.Label]bool)
		for _, st := range b.plan(start).Starts {
			racks[st.Runner.Info.Rack] = true
		}
		if len(racks) != 1 {
			t.Errorf("the gang is on %d racks, want 1", len(racks))
		}
	})
	t.Run("KeepsRoomFromWorkBehindIt", func(t *testing.T) {
		b := newBench(t, 10)
		for _, id := range []specs.RunnerID{"w0", "w1"} {
			b.table.Runners[id].Used = types.Resources{Cores: 3500}
		}
		for i := 2; i < 10; i++ {
			b.table.Runners[specs.RunnerID(fmt.Sprintf("w%d", i))].Used = types.Resources{Cores: 2 * types.Core}
		}
		b.job("gang", 1, gangOf(2, 4*types.Core))
		b.job("small", 2, cores(40, 500))
		got := make(map[specs.RunnerID]int)
		for _, st := range b.plan(start).Starts {
			got[st.Runner.Info.ID]++
		}
		free := 0
		for i := 2; i < 10; i++ {
			if got[specs.RunnerID(fmt.Sprintf("w%d", i))] == 0 {
				free++
			}
		}
		if free != 2 {
			t.Errorf("%d runners are kept for the gang, want 2", free)
		}
	})
}

func TestAdvice(t *testing.T) {
	policy := &specs.AdvicePolicy{Decision: 10 * time.Millisecond, PerRunner: time.Millisecond, Validity: time.Second}
	advised := func(t *testing.T, runners int) (*bench, *tasks.Step) {
		b := newBench(t, runners)
		j := b.job("j", 0, cores(1, types.Core))
		j.Spec.Queue.Advice = policy
		return b, j.Occurrences[0].Steps[0]
	}
	t.Run("AsksFirst", func(t *testing.T) {
		b, _ := advised(t, 3)
		p := b.plan(start)
		if len(p.Starts) != 0 || len(p.AdviceCalls) != 1 || len(p.AdviceCalls[0].Runners) != 3 {
			t.Errorf("%d starts, %d calls for advice", len(p.Starts), len(p.AdviceCalls))
		}
	})
	t.Run("NamesNoMoreRunnersThanTheStepNeeds", func(t *testing.T) {
		b, _ := advised(t, 60)
		b.table.Shares.Learn("q0", 10, 9)
		if p := b.plan(start); len(p.AdviceCalls) != 1 || len(p.AdviceCalls[0].Runners) > 15 {
			t.Errorf("asks about %d runners for one task", len(p.AdviceCalls[0].Runners))
		}
	})
	t.Run("AsksAboutMoreWhenThereIsNoRoom", func(t *testing.T) {
		b, s := advised(t, 30)
		full := b.table.Runners["w1"]
		full.Used = full.Info.Capacity
		s.Advice.RecordAnswer([]tasks.Incarnation{full.Incarnation()}, []agent.Permit{{Runner: "w1", Ticket: "T"}}, start.Add(time.Second))
		if p := b.plan(start); len(p.AdviceCalls) != 1 {
			t.Errorf("%d calls for advice, want one", len(p.AdviceCalls))
		}
	})
	t.Run("AsksNothingWhenNoRunnerHasRoom", func(t *testing.T) {
		b, s := advised(t, 30)
		b.judge(s, "w1", start.Add(time.Second))
		for _, r := range b.table.Runners {
			r.Used = r.Info.Capacity
		}
		b.runner("full", "r1").Used = types.Resources{Cores: 4 * types.Core}
		if p := b.plan(start); len(p.AdviceCalls) != 0 {
			t.Errorf("%d calls for advice, want none", len(p.AdviceCalls))
		}
	})
	t.Run("AsksAboutMoreWhenNoneIsAllowed", func(t *testing.T) {
		b, s := advised(t, 30)
		s.Advice.RecordAnswer([]tasks.Incarnation{b.table.Runners["w1"].Incarnation()}, nil, start.Add(time.Second))
		if p := b.plan(start); len(p.AdviceCalls) != 1 {
			t.Errorf("%d calls for advice, want one", len(p.AdviceCalls))
		}
	})
	t.Run("StartsOnlyWhereAllowed", func(t *testing.T) {
		b, s := advised(t, 3)
		b.judge(s, "w1", start.Add(time.Second))
		if p := b.plan(start); len(p.Starts) != 1 || p.Starts[0].Runner.Info.ID != "w1" || p.Starts[0].Ticket != "T" {
			t.Error("the task does not start where it is allowed")
		}
	})
	t.Run("RenewsATicketThatEndsSoon", func(t *testing.T) {
		b, s := advised(t, 3)
		b.judge(s, "w1", start.Add(50*time.Millisecond))
		p := b.plan(start)
		if len(p.Starts) != 0 || len(p.AdviceCalls) != 1 || p.AdviceCalls[0].Runners[0].Info.ID != "w1" {
			t.Errorf("%d starts, %d calls for advice", len(p.Starts), len(p.AdviceCalls))
		}
	})
	t.Run("StartsThoughWritesTookLongerThanTicketsLast", func(t *testing.T) {
		b, s := advised(t, 3)
		b.judge(s, "w1", start.Add(policy.Validity))
		room := specs.AdviceBudget{Short: time.Second, Long: time.Second}
		if p := MakePlan(b.table, start, Limits{AdviceBudget: room, TicketMargin: 3 * policy.Validity}); len(p.Starts) != 1 {
			t.Errorf("%d starts with a fresh ticket, want one", len(p.Starts))
		}
	})
	t.Run("GangStartsWhereItsTicketsAre", func(t *testing.T) {
		b := newBench(t, 8)
		j := b.job("j", 0, gangOf(3, 3*types.Core))
		j.Spec.Queue.Advice = policy
		s := j.Occurrences[0].Steps[0]
		b.judgeAll(s, start.Add(-time.Second))
		p := b.plan(start)
		if len(p.AdviceCalls) != 1 || len(p.AdviceCalls[0].Runners) <= 3 {
			t.Fatalf("%d calls for advice, want one that names more than three runners", len(p.AdviceCalls))
		}
		// Meanwhile a better runner appears and one of those that were named fills up.
		s.Advice.Pending = 0
		for _, r := range p.AdviceCalls[0].Runners {
			s.Advice.Answers[r.Incarnation()] = tasks.RunnerAdvice{Allowed: true, Ticket: "T", Until: start.Add(time.Second)}
		}
		p.AdviceCalls[0].Runners[0].Used = types.Resources{Cores: 2 * types.Core}
		b.runner("w9", "r9")
		if got := len(b.plan(start).Starts); got != 3 {
			t.Errorf("%d starts, want 3", got)
		}
	})
	t.Run("NotBeyondTheRoomOfTheService", func(t *testing.T) {
		b, _ := advised(t, 3)
		if p := MakePlan(b.table, start, Limits{}); len(p.AdviceCalls) != 0 {
			t.Error("asks though the service has no room")
		}
	})
}

// judge notes advice on every runner, that allows one.
func (b *bench) judge(s *tasks.Step, good specs.RunnerID, until time.Time) {
	var lives []tasks.Incarnation
	for _, r := range b.table.Runners {
		lives = append(lives, r.Incarnation())
	}
	s.Advice.RecordAnswer(lives, []agent.Permit{{Runner: good, Ticket: "T"}}, until)
}

// judgeAll notes advice that allows every runner.
func (b *bench) judgeAll(s *tasks.Step, until time.Time) {
	var lives []tasks.Incarnation
	var permits []agent.Permit
	for _, r := range b.table.Runners {
		lives = append(lives, r.Incarnation())
		permits = append(permits, agent.Permit{Runner: r.Info.ID, Ticket: "T"})
	}
	s.Advice.RecordAnswer(lives, permits, until)
}
