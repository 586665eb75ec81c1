package owner

import (
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// minSiblings and maxSiblings bound how many tasks of its step on other runners a task is compared with.
	minSiblings = 2
	maxSiblings = 32
	// minPeerRunners is on how many runners tasks of a queue must run for the usual speed of the queue to be known.
	minPeerRunners = 3
)

// relativeSpeed returns the speed of a run, whose Speed was just measured: relative to that of the tasks of its step on other
// runners, if those are slower than expected too, since the step is long then, or its estimate too short. Without such tasks,
// the run times of its queue tell how long it should take, or the tasks of its queue that run now. It returns false if nothing
// but its estimate does. The caller must hold o.mu.
func (o *Owner) relativeSpeed(run *tasks.Run) (float64, bool) {
	if siblings := siblingSpeeds(run); len(siblings) >= minSiblings {
		return speedAmong(run, median(siblings)), true
	}
	queue := run.Task.Step.Job.Spec.Queue.Name
	if o.knowsRunTimes(queue) {
		return run.Speed, true
	}
	usual, ok := o.usualSpeed[queue]
	if !ok {
		return run.Speed, false
	}
	return speedAmong(run, usual), true
}

// speedAmong returns the speed of a run relative to the usual one of others, if that is below the expected speed.
func speedAmong(run *tasks.Run, usual float64) float64 {
	return min(run.Speed/min(usual, 1), maxSpeedRatio)
}

// siblingSpeeds returns the speeds of the tasks of the run's step on other runners.
func siblingSpeeds(run *tasks.Run) []float64 {
	var speeds []float64
	for _, t := range run.Task.Step.Tasks {
		if len(speeds) == maxSiblings {
			break
		}
		if t.Run != nil && t.Run.Runner != run.Runner && t.Run.Speed > 0 {
			speeds = append(speeds, t.Run.Speed)
		}
	}
	return speeds
}

// knowsRunTimes reports whether enough run times of the queue are known to tell how long its tasks take. The caller must hold
// o.mu.
func (o *Owner) knowsRunTimes(queue specs.QueueName) bool {
	_, runs := o.table.Times.Within(queue, 0, 1)
	return runs >= minKnownRuns
}

// updateUsualSpeeds updates, for each queue whose run times are not known, the usual speed of its tasks that run now: the median
// over their runners, of each the fastest task. The caller must hold o.mu.
func (o *Owner) updateUsualSpeeds() {
	clear(o.usualSpeed)
	speeds := make(map[specs.QueueName][]float64)
	for _, r := range o.table.Runners {
		for queue, fastest := range o.fastestTasks(r) {
			speeds[queue] = append(speeds[queue], fastest)
		}
	}
	for queue, all := range speeds {
		if len(all) >= minPeerRunners {
			o.usualSpeed[queue] = median(all)
		}
	}
}

// fastestTasks returns the speed of the fastest task of each queue on the runner whose run times are not known. The caller must
// hold o.mu.
func (o *Owner) fastestTasks(r *tasks.Runner) map[specs.QueueName]float64 {
	var out map[specs.QueueName]float64
	for _, run := range r.Runs {
		if run.Speed == 0 || !canMeasureProgress(run) {
			continue
		}
		queue := run.Task.Step.Job.Spec.Queue.Name
		if out[queue] >= run.Speed || o.knowsRunTimes(queue) {
			continue
		}
		if out == nil {
			out = make(map[specs.QueueName]float64)
		}
		out[queue] = run.Speed
	}
	return out
}

// median returns the median of the values, the higher one of two, and sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
