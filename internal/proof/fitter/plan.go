package fitter

import (
	"fmt"
	"runtime"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	memoryCopies  = 20
	mechanismRows = "`sched/table`: one row for each worker, task and team, in the memory of the lead alone"
)

func planMeasures() []Measure {
	rows := func(duty, driver string, sizes []int, target float64, fill func(size int) *table.State) Measure {
		return Measure{
			Role: RoleLeader, Duty: duty, Budget: Memory, Mechanism: mechanismRows,
			Driver: driver, Sizes: sizes, AtTarget: target,
			Run: func(size int) (float64, error) { return footprint(func() any { return fill(size) }), nil },
		}
	}
	return []Measure{
		rows("tables of workers", "workers of the data centre", []int{42, 84, 168, 336}, LeaderWorkers, func(n int) *table.State { return newTables(n, 0, 0) }),
		rows("tables of tasks", "tasks of the data centre", []int{180, 360, 720, 1440}, LeaderTasks, func(n int) *table.State { return newTables(0, n, 0) }),
		rows("tables of teams", "teams", []int{135, 270, 540}, TargetTeams, func(n int) *table.State { return newTables(0, 0, n) }),
	}
}

// newTables returns tables with the given numbers of workers, waiting tasks in jobs of jobTasks each, and teams.
func newTables(workers, tasks, teams int) *table.State {
	s := table.New(siteOf(0).DataCentre)
	for i := range workers {
		s.AddWorker(workerVM(0, i))
	}
	for i := range tasks / jobTasks {
		s.AddJob(batchJob(i, jobTasks), time.Unix(0, 0))
	}
	for i := range teams {
		s.SetQuota(types.TeamID(fmt.Sprintf("team-%d", i)), workerCapacity)
	}
	return s
}

const jobTasks = 10

func workerVM(site, index int) types.VM {
	at := siteOf(site)
	at.Rack = types.Rack(fmt.Sprintf("rack-%d", index/8))
	return types.VM{
		ID: types.VMID(fmt.Sprintf("worker-%d-%04d", site, index)), Role: types.RoleWorker, State: types.VMLive, Site: at,
		Address: types.Address(fmt.Sprintf("10.%d.%d.%d:7100", site+1, index/250, index%250)), Capacity: workerCapacity,
	}
}

func batchJob(index, count int) types.Job {
	id := types.MintedID{Home: siteOf(0).DataCentre, Epoch: 1, Random: fmt.Sprintf("%032d", index)}
	return types.Job{
		ID: types.JobID(id.String()), Name: fmt.Sprintf("job-%d", index), Team: teamOf(index), Class: types.ClassBatch,
		Task: types.TaskSpec{
			Resources: types.Resources{Cores: types.Core, Memory: types.GiB}, RunTime: time.Minute, Idempotent: true,
		},
		Batch: &types.Batch{Count: count, Deadline: time.Unix(secondsPerDay, 0)},
	}
}

func teamOf(index int) types.TeamID {
	return types.TeamID(fmt.Sprintf("team-%d", index%TargetTeams))
}

// footprint returns the bytes of heap that one value occupies, as the mean over several copies.
func footprint(build func() any) float64 {
	before := heapBytes()
	kept := make([]any, 0, memoryCopies)
	for range memoryCopies {
		kept = append(kept, build())
	}
	after := heapBytes()
	runtime.KeepAlive(kept)
	return (float64(after) - float64(before)) / memoryCopies
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
