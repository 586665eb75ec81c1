package plan

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// LeastLoaded is a baseline for comparisons: it starts tasks in order of arrival, each on the worker with the most
// free cores.
type LeastLoaded struct{}

// Plan starts each waiting task that fits on some worker.
func (LeastLoaded) Plan(s *table.State, _ time.Time) []Action {
	return planInArrivalOrder(s, "worker with the most free cores", func(fitting []*table.Worker, free []types.Resources) *table.Worker {
		best := fitting[0]
		for _, w := range fitting[1:] {
			if free[w.Index].Cores > free[best.Index].Cores {
				best = w
			}
		}
		return best
	})
}
