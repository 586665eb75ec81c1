package plan

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// overrunFactor is the ratio of the expected run time to the time run so far, for kinds of jobs whose running
// tasks have exceeded the expected run time.
const overrunFactor = 1.5

// overruns holds, for kinds of jobs whose running tasks exceed the expected run time, the ratio of the run time
// to expect to the declared one.
type overruns map[*table.Estimate]float64

// runTime returns the run time to expect of a job's tasks. It takes into account running tasks as well as ended
// ones: a task that has run for three times its declared time shows the overrun before it ends.
func (t *tick) runTime(j *table.Job) time.Duration {
	expected := t.tables.RunTime(j)
	if t.overruns == nil {
		t.overruns = t.findOverruns()
	}
	if len(t.overruns) == 0 {
		return expected
	}
	ratio := t.overruns[j.Estimate()]
	return max(expected, time.Duration(ratio*float64(j.Spec.Task.RunTime)))
}

func (t *tick) findOverruns() overruns {
	out := make(overruns)
	for _, w := range t.tables.Ordered() {
		for id := range w.Attempts {
			t.recordOverrun(out, t.tables.Tasks[id])
		}
	}
	return out
}

// recordOverrun raises the ratio of the task's kind if the task has exceeded its expected run time. Tasks that
// resumed from a checkpoint do not count, since they run for only a part of the time.
func (t *tick) recordOverrun(out overruns, k *table.Task) {
	declared := k.Job.Spec.Task.RunTime
	ran := t.now.Sub(k.Started)
	if k.State != table.TaskRunning || k.Resume || declared <= 0 || ran <= t.tables.RunTime(k.Job) {
		return
	}
	ratio := overrunFactor * float64(ran) / float64(declared)
	out[k.Job.Estimate()] = max(out[k.Job.Estimate()], ratio)
}
