package table

import (
	"maps"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Sizes of what is remembered about ends of attempts.
const (
	maxResults = 16
	// maxEstimates is how many kinds of jobs are remembered while no job of the kind is in the tables.
	maxEstimates = 4096
	// smoothingWeight is the weight of the latest run in an estimate.
	smoothingWeight = 0.2
	// unobservedRatio is the run time of a kind that was never seen to end, in parts of the declared one.
	unobservedRatio = 3
)

type (
	// Kind groups jobs whose runs are expected to resemble each other: the same name and revision.
	Kind struct {
		Name     string
		Revision types.Revision
	}

	// AttemptResult is how one attempt ended.
	AttemptResult struct {
		At     time.Time
		Kind   Kind
		Failed bool
	}

	// HealthHistory is what a worker's health is judged by.
	HealthHistory struct {
		// Ends holds the latest ends of attempts, the oldest first.
		Ends []AttemptResult
		// Since is when the present quarantine or probe began.
		Since time.Time
		// Quarantines counts quarantines and failed probes since the worker last proved healthy.
		Quarantines int
	}

	// Estimate is what was observed of a kind of job.
	Estimate struct {
		// Ratio is the smoothed ratio of observed to declared run times, and Deviation its mean deviation.
		Ratio     float64
		Deviation float64
		Runs      int
		Failed    int
		Succeeded int

		refCount int
	}
)

// Quarantine takes a worker out of placement.
func (s *State) Quarantine(w *Worker, now time.Time) {
	w.Health = WorkerQuarantined
	w.Record.Since = now
	w.Record.Quarantines++
	w.Record.Ends = nil
}

// Probe lets a quarantined worker run one task on trial.
func (s *State) Probe(w *Worker, now time.Time) {
	w.Health = WorkerProbing
	w.Record.Since = now
	w.Record.Ends = nil
}

// Release puts a worker back into placement.
func (s *State) Release(w *Worker) {
	w.Health = WorkerLive
	w.Record.Quarantines = 0
	w.Record.Since = time.Time{}
	w.Record.Ends = nil
}

// recordResult counts an end of an attempt that tells something about its worker and its kind of job.
func (s *State) recordResult(t *Task, from TaskState, now time.Time) {
	if !from.Occupies() {
		return
	}
	failed := t.Failures > t.countedFailures
	t.countedFailures = t.Failures
	if !failed && t.State != TaskDone {
		return
	}
	if w, ok := s.Workers[t.Worker]; ok {
		w.Record.add(AttemptResult{At: now, Kind: t.Job.Kind(), Failed: failed})
	}
	t.Job.estimate.add(t, failed, now)
}

// acquireEstimate returns the estimate of a kind for one more job, and forgets unused ones when there are many.
func (s *State) acquireEstimate(k Kind) *Estimate {
	e, ok := s.Estimates[k]
	if !ok {
		if len(s.Estimates) >= maxEstimates {
			maps.DeleteFunc(s.Estimates, func(_ Kind, e *Estimate) bool { return e.refCount == 0 })
		}
		e = &Estimate{Ratio: 1}
		s.Estimates[k] = e
	}
	e.refCount++
	return e
}

func (r *HealthHistory) add(e AttemptResult) {
	if len(r.Ends) == maxResults {
		copy(r.Ends, r.Ends[1:])
		r.Ends = r.Ends[:maxResults-1]
	}
	r.Ends = append(r.Ends, e)
}

func (e *Estimate) add(t *Task, failed bool, now time.Time) {
	if failed {
		e.Failed++
		return
	}
	e.Succeeded++
	declared := t.Job.Spec.Task.RunTime
	if declared <= 0 || t.Resume {
		return
	}
	ratio := float64(now.Sub(t.Started)) / float64(declared)
	if e.Runs == 0 {
		e.Ratio = ratio
	}
	e.Runs++
	gap := ratio - e.Ratio
	e.Ratio += smoothingWeight * gap
	e.Deviation += smoothingWeight * (max(gap, -gap) - e.Deviation)
}

// RunTime returns the run time to expect of the job's tasks: the declared one, corrected by what was
// observed of the kind with two mean deviations on top. A kind that was never seen to end is taken to run
// longer than declared.
func (s *State) RunTime(j *Job) time.Duration {
	e := j.estimate
	ratio := e.Ratio + 2*e.Deviation
	if e.Runs == 0 {
		ratio = unobservedRatio
	}
	return time.Duration(float64(j.Spec.Task.RunTime) * ratio)
}

// Estimate returns what was observed of the job's kind.
func (j *Job) Estimate() *Estimate {
	return j.estimate
}
