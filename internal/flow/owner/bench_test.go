package owner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// benchRunners runners are a large fleet, and benchEnded ended jobs those of its latest minute or two.
	benchRunners = 1100
	benchEnded   = 15_000
	// benchRuns is the number of runs on each runner.
	benchRuns = 4
)

// BenchmarkTickLargeFleet measures one tick of a leader of 1,100 runners.
func BenchmarkTickLargeFleet(b *testing.B) {
	for _, jobs := range []int{200, 1000, 4000} {
		b.Run(fmt.Sprintf("Jobs%d", jobs), func(b *testing.B) {
			o := newBenchOwner(b, jobs)
			b.ReportAllocs()
			for b.Loop() {
				o.tick()
			}
		})
	}
}

// BenchmarkReport measures the report of one runner with benchRuns runs, none of which has ended.
func BenchmarkReport(b *testing.B) {
	o := newBenchOwner(b, 200)
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.table.OrderedRunners()[0]
	var report agent.Report
	for key := range r.Runs {
		report.Running = append(report.Running, agent.Running{Ref: key.Ref, Attempt: key.Attempt, Percent: 30})
	}
	request := agent.RenewRequest{Fence: r.Fence}
	b.ReportAllocs()
	for b.Loop() {
		report.Clock += 400
		o.applyReport(r, request, report, o.config.Clock.Now())
	}
}

// BenchmarkEncodeStarts measures the encoding of the changes of 40 tasks that start.
func BenchmarkEncodeStarts(b *testing.B) {
	var records []tasks.Record
	for i := range 40 {
		ref := specs.Ref{StepRef: specs.StepRef{Job: "c1e690be3257c250", Occurrence: 0, Step: 1}, Index: i}
		records = append(records, tasks.Record{Task: &tasks.TaskChange{
			Ref: ref, State: tasks.Placed, Attempt: 1, Runner: specs.RunnerID(fmt.Sprintf("booking-desk-sousse-%d", i)),
		}})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := json.Marshal(records); err != nil {
			b.Fatal(err)
		}
	}
}

// newBenchOwner returns the owner of a term that does not run, with waiting jobs, running ones on each runner and ended ones.
func newBenchOwner(b *testing.B, jobs int) *Owner {
	o := newFixture(b, quickWorld()).newOwner()
	b.Cleanup(o.Stop)
	now := o.config.Clock.Now()
	for i := range benchRunners {
		r := tasks.NewRunner(runner(i), 1)
		r.Info.Capacity = types.Resources{Cores: 64 * types.Core, Memory: 256 * types.GiB}
		r.Synced, r.ClockAt = true, now
		o.table.SetRunner(r)
		spec := job(fmt.Sprintf("running-%d", i), step(benchRuns))
		spec.Accepted = now
		for _, t := range o.table.AddJob(spec).Occurrences[0].Steps[0].Tasks {
			o.placeNext(t, r).Confirm(now)
		}
	}
	for i := range jobs {
		spec := job(fmt.Sprintf("waiting-%d", i), step(1+i%8))
		spec.Accepted = now.Add(-time.Duration(i%3000) * time.Millisecond)
		o.table.AddJob(spec)
	}
	for i := range benchEnded {
		id := specs.JobID(fmt.Sprintf("ended-%d", i))
		o.table.Apply(tasks.Record{End: &tasks.JobResult{Job: id, Queue: "q", State: tasks.JobCompleted, At: now.Add(time.Hour)}})
	}
	return o
}
