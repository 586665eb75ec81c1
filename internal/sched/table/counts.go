package table

import "github.com/magnoliawalk/magnoliawalk/internal/core/types"

// Counts counts tasks by state.
type Counts struct {
	Waiting, Intended, Running, Stopping int
	Done, Failed, Cancelled, Unknown     int
}

// Occupying returns how many tasks occupy a worker.
func (c Counts) Occupying() int {
	return c.Intended + c.Running + c.Stopping
}

// Ended returns how many tasks are in a final state and never run again.
func (c Counts) Ended() int {
	return c.Done + c.Failed + c.Cancelled + c.Unknown
}

// add changes the number of tasks in a state by count, which may be negative.
func (c *Counts) add(s TaskState, count int) {
	switch s {
	case TaskWaiting:
		c.Waiting += count
	case TaskIntended:
		c.Intended += count
	case TaskRunning:
		c.Running += count
	case TaskStopping:
		c.Stopping += count
	case TaskDone:
		c.Done += count
	case TaskFailed:
		c.Failed += count
	case TaskCancelled:
		c.Cancelled += count
	case TaskUnknown:
		c.Unknown += count
	}
}

// jobState returns the state of the job that has these counts.
func (c Counts) jobState(cancelled bool) types.JobState {
	active := c.Waiting + c.Occupying()
	switch {
	case active > 0 && c.Occupying()+c.Ended() > 0:
		return types.JobRunning
	case active > 0:
		return types.JobQueued
	case c.Unknown > 0:
		return types.JobUnknown
	case c.Cancelled > 0 && cancelled:
		return types.JobCancelled
	case c.Failed+c.Cancelled > 0:
		return types.JobFailed
	default:
		return types.JobDone
	}
}
