package tasks

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

func newStep(j *Job, o *Occurrence, index int) *Step {
	spec := &j.Spec.Steps[index]
	ref := specs.StepRef{Job: j.Spec.ID, Occurrence: o.Number, Step: index}
	s := &Step{Ref: ref, Spec: spec, Job: j, Occurrence: o, WaitingTasks: spec.Count}
	all := make([]Task, spec.Count)
	for i := range all {
		all[i] = Task{Ref: specs.Ref{StepRef: ref, Index: i}, Step: s, State: Waiting}
		s.Tasks = append(s.Tasks, &all[i])
	}
	return s
}

// Complete reports whether every task of the step is done.
func (s *Step) Complete() bool {
	return s.DoneTasks == len(s.Tasks)
}

// NeedsTicket reports whether a start of a task needs a ticket, by the present policy of its queue.
func (s *Step) NeedsTicket() bool {
	return s.Job.Spec.Queue.Advice != nil
}

// CanStart reports whether tasks of the step may start: some wait, its job has not ended and the steps before it are
// done.
func (s *Step) CanStart() bool {
	if s.Job.Ending || s.WaitingTasks == 0 {
		return false
	}
	for _, a := range s.Spec.After {
		if !s.Occurrence.Steps[a].Complete() {
			return false
		}
	}
	return true
}

// WaitsSince returns since when a task of the step has been without a run: the one that waits for longest. It returns when the
// occurrence was due if that is not known.
func (s *Step) WaitsSince() time.Time {
	var longest time.Time
	for _, t := range s.Tasks {
		if t.State != Waiting {
			continue
		}
		since := s.Occurrence.Due
		if t.EndedAt.After(since) {
			since = t.EndedAt
		}
		if longest.IsZero() || since.Before(longest) {
			longest = since
		}
	}
	return longest
}

// Failures returns how often the step's gang, or its worst task, has failed. Each failure of a gang is counted
// on top of the highest count of its members.
func (s *Step) Failures() int {
	highest := 0
	for _, t := range s.Tasks {
		highest = max(highest, t.Failures)
	}
	return highest
}

// Faulted returns the latest attempt of a gang whose failure was counted.
func (s *Step) Faulted() specs.Attempt {
	var latest specs.Attempt
	for _, t := range s.Tasks {
		latest = max(latest, t.Faulted)
	}
	return latest
}

// Break records that a member of a gang's attempt has ended early.
func (s *Step) Break(attempt specs.Attempt, at time.Time) {
	if attempt > s.BrokenIn {
		s.BrokenIn, s.BrokenAt = attempt, at
	}
}

// OutOfAttempts reports whether the task, or its gang, has failed as often as its queue allows.
func (t *Task) OutOfAttempts() bool {
	failures := t.Failures
	if t.Step.Spec.Gang {
		failures = t.Step.Failures()
	}
	limit := t.Step.Job.Spec.Queue.MaxAttempts
	return limit > 0 && failures >= limit
}

// GangAttempt returns the number of the attempt in which the task starts together with its gang: the one that other
// members, which are Placed, were already given in this plan, or the next.
func (s *Step) GangAttempt(t *Task) specs.Attempt {
	var latest specs.Attempt
	for _, m := range s.Tasks {
		if m != t && m.State == Placed {
			return m.Attempt
		}
		latest = max(latest, m.Attempt)
	}
	return latest + 1
}
