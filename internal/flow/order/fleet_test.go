package order

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// fleetRunners runners are a large fleet.
	fleetRunners = 1100
	// runningCores is the mean of what the tasks that run take, in cores.
	runningCores = 14
)

// fleetKind is one kind of waiting job in a large fleet; width and cores are means.
type fleetKind struct {
	queue specs.Queue
	// share is the part of all jobs that are of this kind, allowed the part of the runners that the advice service allows.
	share   float64
	allowed float64
	width   float64
	cores   float64
	seconds float64
	gangs   float64
}

func fleetKinds() []fleetKind {
	advice := func(decision, perRunner time.Duration) *specs.AdvicePolicy {
		return &specs.AdvicePolicy{Decision: decision, PerRunner: perRunner, Validity: 1500 * time.Millisecond}
	}
	return []fleetKind{
		{
			queue: specs.Queue{
				Name: "bundle", Service: "svc", Priority: 1, MaxAttempts: 4, Stretch: 2.2, Latency: 1200 * time.Millisecond,
				Advice: advice(480*time.Millisecond, 6900*time.Microsecond),
			},
			share: 0.04, allowed: 0.25, width: 40, cores: 18, seconds: 5, gangs: 1,
		},
		{
			queue: specs.Queue{
				Name: "roster", Service: "svc", Priority: 2, MaxAttempts: 4, Stretch: 4, Latency: 3 * time.Second,
				Advice: advice(140*time.Millisecond, 2*time.Millisecond),
			},
			share: 0.07, allowed: 0.45, width: 32, cores: 11, seconds: 3.4,
		},
		{
			queue: specs.Queue{
				Name: "check", Service: "svc", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Latency: 400 * time.Millisecond,
				Advice: advice(11*time.Millisecond, 160*time.Microsecond),
			},
			share: 0.89, allowed: 0.7, width: 4.5, cores: 16, seconds: 0.8, gangs: 0.3,
		},
	}
}

// BenchmarkMakePlanLargeFleet measures one plan for 1,100 runners that are mostly full.
func BenchmarkMakePlanLargeFleet(b *testing.B) {
	for _, jobs := range []int{200, 1000, 4000} {
		b.Run(fmt.Sprintf("Jobs%d", jobs), func(b *testing.B) {
			t := newFleetTable(1, fleetRunners, jobs)
			b.ReportAllocs()
			for b.Loop() {
				MakePlan(t, start, Limits{AdviceBudget: specs.AdviceBudget{Short: time.Second, Long: 3 * time.Second}, TicketMargin: 100 * time.Millisecond})
			}
		})
	}
}

// BenchmarkMakePlanFullFleet measures one plan for 1,100 runners of which one in fifty has room.
func BenchmarkMakePlanFullFleet(b *testing.B) {
	const roomEvery = 50
	for _, jobs := range []int{200, 1000, 4000} {
		b.Run(fmt.Sprintf("Jobs%d", jobs), func(b *testing.B) {
			t := newFleetTable(1, fleetRunners, jobs)
			for i, r := range t.OrderedRunners() {
				if i%roomEvery > 0 {
					r.Used = r.Info.Capacity
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				MakePlan(t, start, Limits{AdviceBudget: specs.AdviceBudget{Short: time.Second, Long: 3 * time.Second}, TicketMargin: 100 * time.Millisecond})
			}
		})
	}
}

// BenchmarkMeasureBacklogLargeFleet measures the backlog of a large fleet.
func BenchmarkMeasureBacklogLargeFleet(b *testing.B) {
	for _, jobs := range []int{200, 1000, 4000} {
		b.Run(fmt.Sprintf("Jobs%d", jobs), func(b *testing.B) {
			t := newFleetTable(1, fleetRunners, jobs)
			b.ReportAllocs()
			for b.Loop() {
				MeasureBacklog(t, start)
			}
		})
	}
}

// newFleetTable returns a table of a large fleet with waiting jobs of all ages, most of which have some advice.
func newFleetTable(seed uint64, runners, jobs int) *tasks.Table {
	rnd := rand.New(rand.NewPCG(seed, 2))
	t := tasks.New()
	var incarnations []tasks.Incarnation
	for i := range runners {
		r := tasks.NewRunner(agent.Runner{
			ID: specs.RunnerID(fmt.Sprintf("booking-desk-%04d", i)), Service: "svc", Boot: 1,
			Rack: specs.Label(fmt.Sprintf("rack%d", i/8)), Labels: []specs.Label{"a"},
			Capacity: types.Resources{Cores: 64 * types.Core, Memory: 256 * types.GiB},
		}, 1)
		r.Synced, r.Listed = true, true
		t.SetRunner(r)
		incarnations = append(incarnations, r.Incarnation())
		fillRunner(rnd, r, i)
	}
	kinds := fleetKinds()
	for n := range jobs {
		addFleetJob(rnd, t, &kinds[pickKind(rnd, kinds)], n, incarnations)
	}
	return t
}

// fillRunner puts runs on a runner until little of it is free.
func fillRunner(rnd *rand.Rand, r *tasks.Runner, number int) {
	limit := types.MilliCores(rnd.Float64() * 1.3 * float64(r.Info.Capacity.Cores))
	for i := 0; ; i++ {
		need := types.Resources{Cores: types.MilliCores((0.4 + 1.2*rnd.Float64()) * runningCores * 1000), Memory: 40 * types.GiB}
		if !need.Fits(r.Free()) || r.Used.Cores+need.Cores > limit {
			return
		}
		ref := specs.Ref{StepRef: specs.StepRef{Job: specs.JobID(fmt.Sprintf("running-%d", number))}, Index: i}
		r.AddRun(&tasks.Run{Key: tasks.RunKey{Ref: ref, Attempt: 1}, Runner: r, Sent: true, Confirmed: true, Resources: need})
	}
}

func pickKind(rnd *rand.Rand, kinds []fleetKind) int {
	x := rnd.Float64()
	for i := range kinds {
		if x -= kinds[i].share; x < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

func addFleetJob(rnd *rand.Rand, t *tasks.Table, k *fleetKind, number int, incarnations []tasks.Incarnation) {
	vary := func(mean, spread float64) float64 { return mean * math.Exp(rnd.NormFloat64()*spread-spread*spread/2) }
	isGang := rnd.Float64() < k.gangs
	first := specs.Step{
		Count: max(1, int(vary(k.width, 0.7))), Gang: isGang, Estimate: time.Duration(vary(k.seconds, 0.5) * float64(time.Second)),
		Resources: types.Resources{Cores: types.MilliCores(min(vary(k.cores, 0.4), 47) * 1000), Memory: types.MiB(min(vary(45, 0.5), 120) * float64(types.GiB))},
		SameRack:  rnd.Float64() < 0.1,
	}
	second := first
	second.After = []int{0}
	spec := specs.Job{ID: specs.JobID(fmt.Sprintf("job-%06d", number)), Queue: k.queue, Steps: []specs.Step{first}}
	if rnd.Float64() < 0.2 {
		spec.Steps = append(spec.Steps, second)
	}
	spec.Accepted = start.Add(-time.Duration(rnd.Float64() * 3 * float64(time.Second)))
	s := t.AddJob(&spec).Occurrences[0].Steps[0]
	for range rnd.IntN(4) {
		answerCall(rnd, s, k, incarnations)
	}
	if len(s.Advice.Answers) > 0 && rnd.Float64() < 0.3 {
		s.Advice.Pending = 1
	}
}

// answerCall records the answer to a call for advice on runners with neighbouring ids.
func answerCall(rnd *rand.Rand, s *tasks.Step, k *fleetKind, incarnations []tasks.Incarnation) {
	named := min(maxNamed(s), max(minAskedRunners, s.WaitingTasks*3), len(incarnations))
	from := rnd.IntN(len(incarnations) - named + 1)
	asked := incarnations[from : from+named]
	var permits []agent.Permit
	for _, incarnation := range asked {
		if rnd.Float64() < k.allowed {
			permits = append(permits, agent.Permit{Runner: incarnation.Runner, Ticket: "0123456789abcdef"})
		}
	}
	s.Advice.Asked = asked
	s.Advice.RecordAnswer(asked, permits, start.Add(time.Duration((rnd.Float64()*2-0.5)*float64(time.Second))))
}
