package table

import (
	"maps"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Limits and weights of the statistics about results of attempts.
const (
	maxResults = 16
	// maxEstimates is the number of estimates from which those of kinds without a job in the tables are purged.
	maxEstimates = 4096
	// smoothingWeight is the weight of the latest run in the exponential averages of an estimate.
	smoothingWeight = 0.2
	// unobservedRatio is the ratio of expected to declared run time for a kind without a completed run.
	unobservedRatio = 3
)

type (
	// Kind groups jobs whose run times and failures are expected to be alike: the same name and revision.
	Kind struct {
		Name     string
		Revision types.Revision
	}

	// AttemptResult is the result of one attempt.
	AttemptResult struct {
		At     time.Time
		Kind   Kind
		Failed bool
	}

	// HealthHistory is the data for the health checks of a worker.
	HealthHistory struct {
		// Results holds the latest results of attempts, at most maxResults, the oldest first.
		Results []AttemptResult
		// Since is when the current quarantine or probe began.
		Since time.Time
		// Quarantines counts quarantines and failed probes since the worker was last released.
		Quarantines int
	}

	// Estimate holds statistics of a kind of job.
	Estimate struct {
		// Ratio is the smoothed ratio of observed to declared run times, and Deviation its mean deviation.
		Ratio     float64
		Deviation float64
		Runs      int
		Failed    int
		Succeeded int

		// refCount is the number of jobs of the kind in the tables.
		refCount int
	}
)

// Quarantine excludes a worker from placement and clears its results.
func (s *State) Quarantine(w *Worker, now time.Time) {
	w.Health = WorkerQuarantined
	w.History.Since = now
	w.History.Quarantines++
	w.History.Results = nil
}

// Probe lets a quarantined worker run one probe task.
func (s *State) Probe(w *Worker, now time.Time) {
	w.Health = WorkerProbing
	w.History.Since = now
	w.History.Results = nil
}

// Release ends a worker's quarantine and returns it to placement.
func (s *State) Release(w *Worker) {
	w.Health = WorkerLive
	w.History.Quarantines = 0
	w.History.Since = time.Time{}
	w.History.Results = nil
}

// recordResult records the result of an attempt for its worker and its kind of job, if it succeeded or failed by
// itself.
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
		w.History.add(AttemptResult{At: now, Kind: t.Job.Kind(), Failed: failed})
	}
	t.Job.estimate.add(t, failed, now)
}

// acquireEstimate returns the estimate of a kind for one more job. At maxEstimates, it first purges estimates that
// no job uses.
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

// add appends a result and drops the oldest one if there are maxResults.
func (r *HealthHistory) add(e AttemptResult) {
	if len(r.Results) == maxResults {
		copy(r.Results, r.Results[1:])
		r.Results = r.Results[:maxResults-1]
	}
	r.Results = append(r.Results, e)
}

// add counts the result of the task's attempt. Run times of resumed tasks are ignored, since they are partial.
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

// RunTime returns the expected run time of the job's tasks: the declared one times the observed ratio of the kind
// plus two mean deviations. A kind without a completed run is expected to take unobservedRatio times as long as
// declared.
func (s *State) RunTime(j *Job) time.Duration {
	e := j.estimate
	ratio := e.Ratio + 2*e.Deviation
	if e.Runs == 0 {
		ratio = unobservedRatio
	}
	return time.Duration(float64(j.Spec.Task.RunTime) * ratio)
}

// Estimate returns the statistics of the job's kind.
func (j *Job) Estimate() *Estimate {
	return j.estimate
}
