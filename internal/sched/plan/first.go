package plan

import (
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// FirstFit is a baseline: it takes tasks in order of arrival and the first worker with room.
type FirstFit struct{}

// Plan starts each waiting task that fits on some worker.
func (FirstFit) Plan(s *table.State, _ time.Time) []Action {
	free := make(map[types.VMID]types.Resources, len(s.Workers))
	workers := sortedWorkers(s)
	for _, w := range workers {
		free[w.VM.ID] = w.Free()
	}
	var out []Action
	for _, t := range waitingByArrival(s) {
		need := t.Job.Spec.Task.Resources
		for _, w := range workers {
			if !w.Placeable() || !need.Fits(free[w.VM.ID]) {
				continue
			}
			free[w.VM.ID] = free[w.VM.ID].Sub(need)
			out = append(out, StartAction{Task: t.ID, Worker: w.VM.ID, Reason: "first worker with room"})
			break
		}
	}
	return out
}

func sortedWorkers(s *table.State) []*table.Worker {
	out := make([]*table.Worker, 0, len(s.Workers))
	for _, w := range s.Workers {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM.ID < out[j].VM.ID })
	return out
}

func waitingByArrival(s *table.State) []*table.Task {
	var out []*table.Task
	for _, t := range s.Tasks {
		if t.State == table.TaskWaiting && !t.Job.Cancelled {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if !out[i].Queued.Equal(out[j].Queued) {
			return out[i].Queued.Before(out[j].Queued)
		}
		return out[i].ID < out[j].ID
	})
	return out
}
