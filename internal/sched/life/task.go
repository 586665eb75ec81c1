package life

import "github.com/magnoliawalk/magnoliawalk/internal/core/errs"

// States of a task.
const (
	// TaskWaiting means that no attempt exists that may run.
	TaskWaiting TaskState = "Waiting"
	// TaskIntended means that the intent of an attempt is being committed, or was committed and the worker has not
	// confirmed the start.
	TaskIntended TaskState = "Intended"
	// TaskRunning means that the worker confirmed the start.
	TaskRunning TaskState = "Running"
	// TaskStopping means that a stop was decided and the worker has not confirmed it.
	TaskStopping TaskState = "Stopping"
	// TaskDone means that the task ran to completion.
	TaskDone TaskState = "Done"
	// TaskFailed means that the task failed and is not tried again.
	TaskFailed TaskState = "Failed"
	// TaskCancelled means that the task was cancelled and no attempt runs.
	TaskCancelled TaskState = "Cancelled"
	// TaskUnknown means that the result of a non-idempotent attempt remains unknown; the task is not run again.
	TaskUnknown TaskState = "Unknown"
)

// Triggers of a task's life cycle.
const (
	// TaskAssign assigns a waiting task to a worker.
	TaskAssign TaskTrigger = "Assign"
	// TaskConfirm records that the worker runs the attempt.
	TaskConfirm TaskTrigger = "Confirm"
	// TaskStop records the decision to stop the attempt.
	TaskStop TaskTrigger = "Stop"
	// TaskRequeue records that the attempt has certainly ended and that the task is waiting again.
	TaskRequeue TaskTrigger = "Requeue"
	// TaskComplete records that the attempt ran to completion.
	TaskComplete TaskTrigger = "Complete"
	// TaskGiveUp ends the task without success.
	TaskGiveUp TaskTrigger = "GiveUp"
	// TaskCancel ends the task because its job was cancelled.
	TaskCancel TaskTrigger = "Cancel"
	// TaskLose ends the task with an unknown result.
	TaskLose TaskTrigger = "Lose"
	// TaskAdoptIntended, TaskAdoptRunning and TaskAdoptStopping adopt an attempt of a former leader.
	TaskAdoptIntended TaskTrigger = "AdoptIntended"
	TaskAdoptRunning  TaskTrigger = "AdoptRunning"
	TaskAdoptStopping TaskTrigger = "AdoptStopping"
)

type (
	// TaskState is the state of a task's life cycle.
	TaskState string
	// TaskTrigger is a cause that moves a task from one state to another.
	TaskTrigger string

	// TaskCycle is the life cycle of tasks. It is used by one goroutine at a time.
	TaskCycle struct {
		machine *machine[TaskState, TaskTrigger]
	}
)

// NewTaskCycle returns the life cycle of tasks.
func NewTaskCycle() *TaskCycle {
	return &TaskCycle{machine: newMachine("task", taskTransitions())}
}

// Fire returns the state that follows from a trigger; an illegal transition is an error of kind Internal.
func (c *TaskCycle) Fire(from TaskState, trigger TaskTrigger) (TaskState, error) {
	return c.machine.fire(from, trigger)
}

// EndTrigger returns the trigger that leads to a state that does not occupy a worker. For another state it returns
// an error of kind Internal.
func EndTrigger(to TaskState) (TaskTrigger, error) {
	switch to {
	case TaskWaiting:
		return TaskRequeue, nil
	case TaskDone:
		return TaskComplete, nil
	case TaskFailed:
		return TaskGiveUp, nil
	case TaskCancelled:
		return TaskCancel, nil
	case TaskUnknown:
		return TaskLose, nil
	default:
		return "", errs.New(errs.Internal, "state %s does not end an attempt", to)
	}
}

// AdoptTrigger returns the trigger that adopts an attempt in a state that occupies a worker. For another state it
// returns an error of kind Internal.
func AdoptTrigger(to TaskState) (TaskTrigger, error) {
	switch to {
	case TaskIntended:
		return TaskAdoptIntended, nil
	case TaskRunning:
		return TaskAdoptRunning, nil
	case TaskStopping:
		return TaskAdoptStopping, nil
	default:
		return "", errs.New(errs.Internal, "an attempt in state %s cannot be adopted", to)
	}
}

// Occupies reports whether a task in this state occupies capacity of its worker.
func (s TaskState) Occupies() bool {
	return s == TaskIntended || s == TaskRunning || s == TaskStopping
}

// Ended reports whether a task in this state will never run again.
func (s TaskState) Ended() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled || s == TaskUnknown
}

func taskTransitions() map[TaskState][]transition[TaskState, TaskTrigger] {
	type row = []transition[TaskState, TaskTrigger]
	endTransitions := row{
		{TaskComplete, TaskDone},
		{TaskGiveUp, TaskFailed},
		{TaskCancel, TaskCancelled},
		{TaskLose, TaskUnknown},
	}
	adoptTransitions := row{
		{TaskAdoptIntended, TaskIntended},
		{TaskAdoptRunning, TaskRunning},
		{TaskAdoptStopping, TaskStopping},
	}
	requeue := transition[TaskState, TaskTrigger]{TaskRequeue, TaskWaiting}
	stop := transition[TaskState, TaskTrigger]{TaskStop, TaskStopping}
	confirm := transition[TaskState, TaskTrigger]{TaskConfirm, TaskRunning}
	return map[TaskState][]transition[TaskState, TaskTrigger]{
		TaskWaiting:   concat(row{{TaskAssign, TaskIntended}}, endTransitions, adoptTransitions),
		TaskIntended:  concat(row{confirm, stop, requeue}, endTransitions, adoptTransitions),
		TaskRunning:   concat(row{confirm, stop, requeue}, endTransitions, adoptTransitions),
		TaskStopping:  concat(row{stop, requeue}, endTransitions, adoptTransitions),
		TaskDone:      nil,
		TaskFailed:    nil,
		TaskCancelled: nil,
		TaskUnknown:   nil,
	}
}

func concat[P any](rows ...[]P) []P {
	var out []P
	for _, r := range rows {
		out = append(out, r...)
	}
	return out
}
