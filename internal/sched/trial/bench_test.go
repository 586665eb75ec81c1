package trial

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// fullCell returns a cell whose workers are occupied by batch work, with a backlog of waiting jobs.
func fullCell(workers, backlog int) *cell {
	c := Site(1)
	c.Workers = workers
	c.Arrivals = func(Config) []Arrival { return nil }
	cell := newCell(c, Entrants(1)[0])
	g := newJobGenerator(c)
	g.meanCores = 8 * types.Core
	for range workers * 40 {
		cell.addJob(g.newJob(types.ClassBatch, time.Hour))
	}
	for range 20 {
		for _, a := range cell.planner.Plan(cell.tables, cell.now) {
			if err := cell.applyAction(a); err != nil {
				panic(err)
			}
		}
	}
	for _, j := range append([]*table.Job(nil), cell.tables.Waiting()...) {
		if err := cell.tables.RemoveJob(j.Spec.ID); err != nil {
			panic(err)
		}
	}
	for range backlog {
		j := g.newJob(types.ClassBatch, time.Hour)
		j.Batch.Deadline = cell.now.Add(g.durationBetween(10*time.Hour, 12*time.Hour))
		cell.addJob(j)
	}
	return cell
}

func (c *cell) addJob(j types.Job) *table.Job {
	out := c.tables.AddJob(j, c.now)
	for _, t := range out.Tasks {
		c.progress[t.ID] = &progress{remaining: time.Hour}
	}
	return out
}

// BenchmarkBacklog measures a planning pass over a full cell, in which nothing can start.
func BenchmarkBacklog(b *testing.B) {
	for _, backlog := range []int{100, 1000, 6000} {
		b.Run(fmt.Sprintf("waiting=%d", backlog), func(b *testing.B) {
			cell := fullCell(siteWorkers, backlog)
			for b.Loop() {
				cell.planner.Plan(cell.tables, cell.now)
			}
		})
	}
}

// BenchmarkPlacement measures the placement of tasks at the sizes of the users' cells, with the time to apply the
// starts to the tables and to end tasks again.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{50, 250}, {84, 365}, {670, 2900}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			benchmarkPlacements(b, size.workers, size.tasks)
		})
	}
}

func benchmarkPlacements(b *testing.B, workers, tasks int) {
	c := Site(1)
	c.Workers = workers
	c.Arrivals = func(Config) []Arrival { return nil }
	cell := newCell(c, Entrants(1)[0])
	g := newJobGenerator(c)
	g.meanCores = c.Capacity.Cores * types.MilliCores(workers) * 8 / 10 / types.MilliCores(tasks)
	var running []*table.Job
	addNext := func() {
		class := types.Classes()[len(running)%3]
		running = append(running, cell.addJob(g.newJob(class, time.Minute)))
	}
	starts := 0
	tick := func() {
		for _, a := range cell.planner.Plan(cell.tables, cell.now) {
			if err := cell.applyAction(a); err != nil {
				b.Fatal(err)
			}
			if _, ok := a.(plan.StartAction); ok {
				starts++
			}
		}
	}
	for range tasks {
		addNext()
	}
	tick()
	perTick := max(1, workers/70)
	starts = 0
	before := cell.planner.(*plan.Systems).Examined()
	for b.Loop() {
		for range perTick {
			cell.endOldestRunning(b, &running)
			addNext()
		}
		tick()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(max(1, starts)), "us/placement")
	b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "placements/s")
	b.ReportMetric(float64(cell.planner.(*plan.Systems).Examined()-before)/float64(max(1, starts)), "workers/placement")
}

// endOldestRunning ends and removes the oldest job that occupies a worker, and discards all scheduled events.
func (c *cell) endOldestRunning(b *testing.B, running *[]*table.Job) {
	for i, j := range *running {
		t := j.Tasks[0]
		if !t.State.Occupies() {
			continue
		}
		if err := c.tables.Finish(t, table.TaskDone, "", c.now); err != nil {
			b.Fatal(err)
		}
		if err := c.tables.RemoveJob(j.Spec.ID); err != nil {
			b.Fatal(err)
		}
		*running = append((*running)[:i], (*running)[i+1:]...)
		c.events = c.events[:0]
		return
	}
}
