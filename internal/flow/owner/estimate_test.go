//go:build !race

package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// Guards against work that is stopped again and again, and is late or never done, because its estimate is far off.
func TestWorkIsDoneInTimeHoweverFarOffItsEstimate(t *testing.T) {
	const work = 30 * time.Second
	for _, estimate := range []time.Duration{work / 100, work / 10, work, 10 * work} {
		for _, runners := range []int{1, 6} {
			for _, width := range []int{1, 4} {
				t.Run(fmt.Sprintf("Estimate%s/Runners%d/Tasks%d", estimate, runners, width), func(t *testing.T) {
					simulate(t, func(t *testing.T) {
						w := quickWorld()
						w.RunTime = func(specs.Ref) time.Duration { return work }
						f := newFixture(t, w)
						f.addRunners(runners)
						o, _ := f.startOwner()
						s := step(width)
						s.Estimate = estimate
						f.submit(o, job("j", s))
						time.Sleep(work * 13 / 10)
						if state, err := o.State(t.Context(), specs.Caller{}, "j"); err != nil || state != tasks.JobCompleted {
							t.Errorf("after 1.3 times the work the job is %s, error %v, with %d starts", state, err, f.fleet.StartCount())
						}
					})
				})
			}
		}
	}
}
