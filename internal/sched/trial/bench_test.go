package trial

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// fullCell returns a cell whose workers are taken by batch work, with a backlog of waiting jobs.
func fullCell(workers, backlog int) *cell {
	c := Site(1)
	c.Workers = workers
	c.Arrivals = func(Config) []Arrival { return nil }
	x := newCell(c, Entrants(1)[0])
	m := newMaker(c)
	m.mean = 8 * types.Core
	for range workers * 40 {
		x.add(m.job(types.ClassBatch, time.Hour))
	}
	for range 20 {
		for _, a := range x.planner.Plan(x.tables, x.now) {
			if err := x.apply(a); err != nil {
				panic(err)
			}
		}
	}
	for _, j := range append([]*table.Job(nil), x.tables.Waiting()...) {
		if err := x.tables.RemoveJob(j.Spec.ID); err != nil {
			panic(err)
		}
	}
	for range backlog {
		j := m.job(types.ClassBatch, time.Hour)
		j.Batch.Deadline = x.now.Add(m.between(10*time.Hour, 12*time.Hour))
		x.add(j)
	}
	return x
}

func (x *cell) add(j types.Job) *table.Job {
	out := x.tables.AddJob(j, x.now)
	for _, k := range out.Tasks {
		x.work[k.ID] = &progress{left: time.Hour}
	}
	return out
}

// BenchmarkBacklog measures a tick of a full cell that starts nothing.
func BenchmarkBacklog(b *testing.B) {
	for _, backlog := range []int{100, 1000, 6000} {
		b.Run(fmt.Sprintf("waiting=%d", backlog), func(b *testing.B) {
			x := fullCell(siteWorkers, backlog)
			for b.Loop() {
				x.planner.Plan(x.tables, x.now)
			}
		})
	}
}

// BenchmarkPlacement measures the placement of tasks at the sizes of the users' cells, applied to the
// tables and freed again.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{50, 250}, {84, 365}, {670, 2900}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			placements(b, size.workers, size.tasks)
		})
	}
}

func placements(b *testing.B, workers, tasks int) {
	c := Site(1)
	c.Workers = workers
	c.Arrivals = func(Config) []Arrival { return nil }
	x := newCell(c, Entrants(1)[0])
	m := newMaker(c)
	m.mean = c.Capacity.Cores * types.MilliCores(workers) * 8 / 10 / types.MilliCores(tasks)
	var running []*table.Job
	next := func() {
		class := types.Classes()[len(running)%3]
		running = append(running, x.add(m.job(class, time.Minute)))
	}
	starts := 0
	tick := func() {
		for _, a := range x.planner.Plan(x.tables, x.now) {
			if err := x.apply(a); err != nil {
				b.Fatal(err)
			}
			if _, ok := a.(plan.StartAction); ok {
				starts++
			}
		}
	}
	for range tasks {
		next()
	}
	tick()
	perTick := max(1, workers/70)
	starts = 0
	before := x.planner.(*plan.Systems).Examined()
	for b.Loop() {
		for range perTick {
			x.endFirst(b, &running)
			next()
		}
		tick()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(max(1, starts)), "us/placement")
	b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "placements/s")
	b.ReportMetric(float64(x.planner.(*plan.Systems).Examined()-before)/float64(max(1, starts)), "workers/placement")
}

// endFirst ends the oldest job that runs.
func (x *cell) endFirst(b *testing.B, running *[]*table.Job) {
	for i, j := range *running {
		k := j.Tasks[0]
		if !k.State.Occupies() {
			continue
		}
		if err := x.tables.Finish(k, table.TaskDone, "", x.now); err != nil {
			b.Fatal(err)
		}
		if err := x.tables.RemoveJob(j.Spec.ID); err != nil {
			b.Fatal(err)
		}
		*running = append((*running)[:i], (*running)[i+1:]...)
		x.events = x.events[:0]
		return
	}
}
