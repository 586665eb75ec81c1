package plan

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// RandomFit is a baseline for comparisons: it starts tasks in order of arrival, each on a random worker that has
// the capacity.
type RandomFit struct {
	random *rand.Rand
}

// NewRandomFit returns the baseline with its random numbers seeded by seed.
func NewRandomFit(seed uint64) *RandomFit {
	return &RandomFit{random: rand.New(rand.NewPCG(seed, seed))}
}

// Plan starts each waiting task that fits on some worker.
func (r *RandomFit) Plan(s *table.State, _ time.Time) []Action {
	return planInArrivalOrder(s, "random worker with room", func(fitting []*table.Worker, _ []types.Resources) *table.Worker {
		return fitting[r.random.IntN(len(fitting))]
	})
}
