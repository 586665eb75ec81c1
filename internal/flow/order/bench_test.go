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

// BenchmarkMake measures one plan during a burst in the larger deployment: 350 runners, and many small jobs that need
// advice.
func BenchmarkMake(b *testing.B) {
	for _, jobs := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("Jobs%d", jobs), func(b *testing.B) {
			t := newLoadedTable(jobs)
			b.ReportAllocs()
			for b.Loop() {
				MakePlan(t, start, Limits{AdviceBudget: specs.AdviceBudget{Short: time.Second, Long: time.Second}})
			}
		})
	}
}

// newLoadedTable returns a table whose runners are nearly full, with jobs that wait for free capacity on the runners
// that the advice service allows them.
func newLoadedTable(jobs int) *tasks.Table {
	const runners, advised = 350, 24
	t := tasks.New()
	var incarnations []tasks.Incarnation
	for i := range runners {
		r := tasks.NewRunner(agent.Runner{
			ID: specs.RunnerID(fmt.Sprintf("w%03d", i)), Service: "svc", Boot: 1,
			Capacity: types.Resources{Cores: 32 * types.Core, Memory: 128 * types.GiB},
		}, 1)
		r.Synced = true
		r.Used.Cores = 28 * types.Core
		t.SetRunner(r)
		incarnations = append(incarnations, r.Incarnation())
	}
	q := specs.Queue{
		Name: "check", Service: "svc", MaxAttempts: 3, Stretch: 1.5, Latency: 400 * time.Millisecond,
		Advice: &specs.AdvicePolicy{Decision: 7 * time.Millisecond, PerRunner: 100 * time.Microsecond, Validity: time.Second},
	}
	for n := range jobs {
		s := specs.Step{Count: 3, Estimate: time.Second, Resources: types.Resources{Cores: 5 * types.Core, Memory: types.GiB}}
		j := t.AddJob(&specs.Job{ID: specs.JobID(fmt.Sprintf("j%04d", n)), Queue: q, Steps: []specs.Step{s}, Accepted: start})
		asked := make([]tasks.Incarnation, 0, advised)
		var permits []agent.Permit
		for i := range advised {
			incarnation := incarnations[(n*advised+i)%runners]
			asked = append(asked, incarnation)
			permits = append(permits, agent.Permit{Runner: incarnation.Runner, Ticket: "t"})
		}
		j.Occurrences[0].Steps[0].Advice.RecordAnswer(asked, permits, start.Add(time.Second))
	}
	return t
}
