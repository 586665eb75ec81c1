package tasks

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// occurrence returns an occurrence and creates it if it does not exist.
func (j *Job) occurrence(number int) *Occurrence {
	if o, ok := j.Occurrences[number]; ok {
		return o
	}
	o := &Occurrence{Number: number, Due: j.Spec.Due(number)}
	for i := range j.Spec.Steps {
		o.Steps = append(o.Steps, newStep(j, o, i))
	}
	j.Occurrences[number] = o
	j.created = append(j.created, o)
	return o
}

// Created returns the occurrences in the order in which they were created, for passes over many jobs, where an iteration over the
// map would take most of the time. The caller must not change the slice.
func (j *Job) Created() []*Occurrence {
	return j.created
}

// Finished reports whether every occurrence of the job is done.
func (j *Job) Finished() bool {
	return j.Completed == j.Spec.Occurrences()
}

// Objective returns when an occurrence should be done.
func (o *Occurrence) Objective(j *Job) time.Time {
	return o.Due.Add(j.Allowance())
}

// Allowance returns how long an occurrence may take by the objective of its queue: the critical path times Stretch,
// plus Latency.
func (j *Job) Allowance() time.Duration {
	return time.Duration(float64(j.CriticalPath)*j.Spec.Queue.Stretch) + j.Spec.Queue.Latency
}

// State returns the state of the job as it is reported to callers.
func (j *Job) State() JobState {
	if j.Attempted {
		return JobRunning
	}
	return JobPending
}

// SetPolicy puts a policy of the job's queue in force if it is newer than the present one. Advice that was asked for under that one is
// forgotten if it may differ.
func (j *Job) SetPolicy(q specs.Queue) {
	former := j.Spec.Queue
	if !q.Supersedes(&former) {
		return
	}
	j.Spec.Queue = q
	if former.Service != q.Service || (former.Advice == nil) != (q.Advice == nil) {
		j.resetAdvice()
	}
}

func (j *Job) resetAdvice() {
	for _, o := range j.created {
		for _, s := range o.Steps {
			s.Advice.Reset()
		}
	}
}
