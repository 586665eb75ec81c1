package life

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Triggers of a job's life cycle.
const (
	// JobStart records that one of the job's tasks was assigned to a worker or ended.
	JobStart JobTrigger = "Start"
	// JobRequeue records that all of the job's tasks are waiting again.
	JobRequeue JobTrigger = "Requeue"
	// JobComplete records that every task ran to completion.
	JobComplete JobTrigger = "Complete"
	// JobFail records that every task ended and one failed.
	JobFail JobTrigger = "Fail"
	// JobCancel records that every task ended and the job was cancelled.
	JobCancel JobTrigger = "Cancel"
	// JobLose records that every task ended and the result of one is unknown.
	JobLose JobTrigger = "Lose"
	// JobMove records that another data centre accepted the job.
	JobMove JobTrigger = "Move"
)

type (
	// JobTrigger is a cause that moves a job from one state to another.
	JobTrigger string

	// JobCycle is the life cycle of jobs. It is used by one goroutine at a time.
	JobCycle struct {
		machine *machine[types.JobState, JobTrigger]
	}
)

// NewJobCycle returns the life cycle of jobs.
func NewJobCycle() *JobCycle {
	return &JobCycle{machine: newMachine("job", jobTransitions())}
}

// Fire returns the state that follows from a trigger; an illegal transition is an error of kind Internal.
func (c *JobCycle) Fire(from types.JobState, trigger JobTrigger) (types.JobState, error) {
	return c.machine.fire(from, trigger)
}

// JobTriggerTo returns the trigger that leads to a state. An unlisted state is an error of kind Internal.
func JobTriggerTo(to types.JobState) (JobTrigger, error) {
	switch to {
	case types.JobQueued:
		return JobRequeue, nil
	case types.JobRunning:
		return JobStart, nil
	case types.JobDone:
		return JobComplete, nil
	case types.JobFailed:
		return JobFail, nil
	case types.JobCancelled:
		return JobCancel, nil
	case types.JobUnknown:
		return JobLose, nil
	case types.JobMoved:
		return JobMove, nil
	default:
		return "", errs.New(errs.Internal, "no trigger leads to job state %q", to)
	}
}

func jobTransitions() map[types.JobState][]transition[types.JobState, JobTrigger] {
	type row = []transition[types.JobState, JobTrigger]
	endTransitions := row{
		{JobComplete, types.JobDone},
		{JobFail, types.JobFailed},
		{JobCancel, types.JobCancelled},
		{JobLose, types.JobUnknown},
	}
	return map[types.JobState][]transition[types.JobState, JobTrigger]{
		types.JobQueued:    concat(row{{JobStart, types.JobRunning}, {JobMove, types.JobMoved}}, endTransitions),
		types.JobRunning:   concat(row{{JobRequeue, types.JobQueued}}, endTransitions),
		types.JobDone:      nil,
		types.JobFailed:    nil,
		types.JobCancelled: nil,
		types.JobMoved:     nil,
		types.JobUnknown:   nil,
	}
}
