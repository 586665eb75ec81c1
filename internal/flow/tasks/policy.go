package tasks

import "github.com/magnoliawalk/magnoliawalk/internal/flow/specs"

// SetPolicy puts a policy of the job's queue in force. Advice that was asked for under the former one is forgotten if it may differ.
func (j *Job) SetPolicy(q specs.Queue) {
	former := j.Spec.Queue
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
