package tasks

import (
	"math"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// defaultRunTime is expected of a task without an estimate in a queue without observations.
	defaultRunTime = time.Second
	// maxWork caps the remaining work of an occurrence, so that it does not overflow a Duration.
	maxWork = math.MaxInt64 / 2 * time.Nanosecond
)

type (
	// Times predicts how long tasks and jobs run, from the run times observed in their queue and the tasks' own estimates.
	Times struct {
		predictor Predictor
	}

	// Predictor learns the run times of the tasks of each queue. Its predictions are false for a queue without observations.
	Predictor interface {
		// Observe adds the run time of a task that was done, as it would be at the usual speed of the runners.
		Observe(q specs.QueueName, estimate, ran time.Duration)
		// Centre returns the run time of a usual task, not affected by a few long ones; Mean returns the mean of all.
		Centre(q specs.QueueName, estimate time.Duration) (time.Duration, bool)
		Mean(q specs.QueueName, estimate time.Duration) (time.Duration, bool)
		// Quantile returns the time within which the given part of the tasks is done, and from how many runs that is known.
		Quantile(q specs.QueueName, estimate time.Duration, part float64) (time.Duration, int)
		// Remaining returns how much longer a task is expected to run that has already run for the given time.
		Remaining(q specs.QueueName, estimate, ran time.Duration) (time.Duration, bool)
	}
)

// NewTimes returns times that are predicted from distributions, without observations.
func NewTimes() *Times {
	return NewTimesWith(NewDistributions())
}

// NewTimesWith returns times that a predictor predicts.
func NewTimesWith(p Predictor) *Times {
	return &Times{predictor: p}
}

// ObserveRunTime adds the run time of a task that was done, with its estimate, as it would be at the usual speed of the
// runners.
func (t *Times) ObserveRunTime(q specs.QueueName, estimate, ran time.Duration) {
	t.predictor.Observe(q, estimate, ran)
}

// Expect returns the run time of a usual task with the estimate.
func (t *Times) Expect(q specs.QueueName, estimate time.Duration) time.Duration {
	if centre, ok := t.predictor.Centre(q, estimate); ok {
		return centre
	}
	return withoutRuns(estimate)
}

// ExpectMean returns the mean run time of tasks with the estimate: what many of them together take.
func (t *Times) ExpectMean(q specs.QueueName, estimate time.Duration) time.Duration {
	if mean, ok := t.predictor.Mean(q, estimate); ok {
		return mean
	}
	return withoutRuns(estimate)
}

// Within returns the time within which the given part of the tasks with the estimate is done, and from how many runs that
// is known.
func (t *Times) Within(q specs.QueueName, estimate time.Duration, part float64) (time.Duration, int) {
	return t.predictor.Quantile(q, estimate, part)
}

// Remaining returns how much longer a task with the estimate is expected to run that has already run for the given time.
func (t *Times) Remaining(q specs.QueueName, estimate, ran time.Duration) time.Duration {
	if left, ok := t.predictor.Remaining(q, estimate, ran); ok {
		return left
	}
	return max(0, t.Expect(q, estimate)-ran)
}

// withoutRuns returns the run time that is expected of a task in a queue without observations.
func withoutRuns(estimate time.Duration) time.Duration {
	if estimate > 0 {
		return estimate
	}
	return defaultRunTime
}

// CriticalPath returns the longest chain of expected run times through a job's steps, with a call for advice before each, as the platform
// counts it for the objective.
func (t *Times) CriticalPath(job *specs.Job) time.Duration {
	ends := make([]time.Duration, len(job.Steps))
	call := job.Queue.Advice.ExpectedCall()
	var longest time.Duration
	for i := range job.Steps {
		s := &job.Steps[i]
		var begin time.Duration
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + call + t.Expect(job.Queue.Name, s.Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// RemainingPath returns the longest chain of expected run times that begins with the step, with a call for advice before each later step.
func (t *Times) RemainingPath(s *Step) time.Duration {
	job := &s.Job.Spec
	ends := make([]time.Duration, len(job.Steps))
	call := job.Queue.Advice.ExpectedCall()
	own := t.Expect(job.Queue.Name, s.Spec.Estimate)
	ends[s.Ref.Step] = own
	longest := own
	for i := s.Ref.Step + 1; i < len(job.Steps); i++ {
		var begin time.Duration
		for _, a := range job.Steps[i].After {
			begin = max(begin, ends[a])
		}
		if begin == 0 {
			continue
		}
		ends[i] = begin + call + t.Expect(job.Queue.Name, job.Steps[i].Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// Work returns the expected work of one occurrence of a job: its tasks' run times, each times its thousandths of a core.
func (t *Times) Work(job *specs.Job) time.Duration {
	var work float64
	for i := range job.Steps {
		s := &job.Steps[i]
		work += t.ExpectMean(job.Queue.Name, s.Estimate).Seconds() * float64(s.Resources.Cores) * float64(s.Count)
	}
	return time.Duration(min(work, maxWork.Seconds()) * float64(time.Second))
}

// RemainingWork returns the expected work of the occurrence's tasks that are not done: the sum of their run times,
// each times its thousandths of a core.
func (t *Times) RemainingWork(o *Occurrence) time.Duration {
	var work float64
	for _, s := range o.Steps {
		each := t.ExpectMean(s.Job.Spec.Queue.Name, s.Spec.Estimate)
		left := len(s.Tasks) - s.DoneTasks
		work += each.Seconds() * float64(s.Spec.Resources.Cores) * float64(left)
	}
	return time.Duration(min(work, maxWork.Seconds()) * float64(time.Second))
}
