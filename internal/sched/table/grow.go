package table

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/sched/life"
)

// AddTasks adds count waiting tasks to a job that has not ended, for example when a service's count is raised.
func (s *State) AddTasks(j *Job, count int, queued time.Time) error {
	for range count {
		t := &Task{
			ID: j.Spec.ID.Task(len(j.Tasks)), Job: j, State: life.TaskWaiting, Queued: queued, queueIndex: notQueued,
		}
		j.Tasks = append(j.Tasks, t)
		s.Tasks[t.ID] = t
		j.Counts.Waiting++
		s.enqueue(t)
	}
	return s.transitionJob(j, j.Counts.jobState(j.Cancelled), "tasks were added")
}
