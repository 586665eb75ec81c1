package tasks

import "github.com/magnoliawalk/magnoliawalk/internal/flow/specs"

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
