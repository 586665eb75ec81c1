package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// paceWeight is the weight of one task in the moving average that is its runner's pace.
	paceWeight = 1.0 / 16
	// minPace and maxPace limit the pace that one task can give a runner, so that a long one counts little, and the
	// factor by which a runner's pace changes a run time.
	minPace = 0.5
	maxPace = 2.0
)

// observeRunTime learns from a run that was done: how long the tasks of its queue run near their data at the usual pace of the
// runners, and the pace of its runner. A run that continued from a checkpoint, or that began in a former term, shows neither. The caller
// must hold o.mu.
func (o *Owner) observeRunTime(run *tasks.Run, now time.Time) {
	if !run.Confirmed || run.Task == nil || run.StartCheckpoint != "" || run.Tries == 0 {
		return
	}
	ran := time.Duration(float64(now.Sub(run.ConfirmedAt)) / o.distanceFactor(run))
	queue, estimate := run.Task.Step.Job.Spec.Queue.Name, run.Task.Step.Spec.Estimate
	expected := o.table.Times.Expect(queue, estimate)
	r := run.Runner
	o.table.Times.ObserveRunTime(queue, estimate, time.Duration(float64(ran)*o.relativePace(r)))
	if ran > 0 {
		r.Health.Pace += (limitPace(float64(expected)/float64(ran)) - r.Health.Pace) * paceWeight
	}
}

// relativePace returns the pace of a runner relative to the usual one of its service. The caller must hold o.mu.
func (o *Owner) relativePace(r *tasks.Runner) float64 {
	usual, ok := o.usualPace[r.Info.Service]
	if !ok {
		return 1
	}
	return limitPace(r.Health.Pace / usual)
}

func limitPace(pace float64) float64 {
	return min(max(pace, minPace), maxPace)
}

// updateUsualPaces updates the median pace of the runners of each service. The caller must hold o.mu.
func (o *Owner) updateUsualPaces() {
	paces := make(map[types.ServiceName][]float64)
	for _, r := range o.table.Runners {
		paces[r.Info.Service] = append(paces[r.Info.Service], r.Health.Pace)
	}
	clear(o.usualPace)
	for name, all := range paces {
		o.usualPace[name] = median(all)
	}
}
