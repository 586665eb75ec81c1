package table

import (
	"slices"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/life"
)

// notQueued is the queueIndex of a task or job that is in no queue.
const notQueued = -1

// transition fires a trigger of a task's life cycle and updates the counts, the queues and the job's state. An
// illegal transition of the task changes nothing and gives an error of kind Internal.
func (s *State) transition(t *Task, trigger life.TaskTrigger, cause string) error {
	from := t.State
	to, err := s.taskCycle.Fire(from, trigger)
	if err != nil {
		return err
	}
	if to == from {
		return nil
	}
	t.State = to
	t.Job.Counts.add(from, -1)
	t.Job.Counts.add(to, 1)
	if from == TaskWaiting {
		s.dequeue(t)
	}
	if to == TaskWaiting {
		s.enqueue(t)
	}
	s.notifyObserver(string(t.ID), string(from), string(to), cause)
	return s.transitionJob(t.Job, t.Job.derivedState(), cause)
}

// derivedState returns the job's state as it follows from its tasks. A replaced version counts as cancelled.
func (j *Job) derivedState() types.JobState {
	return j.Counts.jobState(j.Cancelled || j.SupersededBy != "")
}

// transitionJob moves a job to a state through its life cycle; an illegal transition gives an error of kind Internal.
func (s *State) transitionJob(j *Job, to types.JobState, cause string) error {
	if j.State == to {
		return nil
	}
	trigger, err := life.JobTriggerTo(to)
	if err != nil {
		return err
	}
	from := j.State
	if j.State, err = s.jobCycle.Fire(from, trigger); err != nil {
		return err
	}
	s.notifyObserver(string(j.Spec.ID), string(from), string(to), cause)
	return nil
}

func (s *State) notifyObserver(subject, from, to, cause string) {
	if s.Observer != nil {
		s.Observer(subject, from, to, cause)
	}
}

// enqueue appends a task to its job's queue, and the job to the queue of jobs if it is not there.
func (s *State) enqueue(t *Task) {
	j := t.Job
	t.queueIndex = len(j.waiting)
	j.waiting = append(j.waiting, t)
	if t.isRetry = t.Failures > 0; t.isRetry {
		j.retries++
	}
	if j.queueIndex == notQueued {
		j.queueIndex = len(s.waiting)
		s.waiting = append(s.waiting, j)
	}
}

// dequeue removes a task from its job's queue, and the job from the queue of jobs once its own queue is empty.
// The last entry moves to the free place, so that the order is not kept.
func (s *State) dequeue(t *Task) {
	j := t.Job
	if t.queueIndex == notQueued {
		return
	}
	last := len(j.waiting) - 1
	j.waiting[t.queueIndex] = j.waiting[last]
	j.waiting[t.queueIndex].queueIndex = t.queueIndex
	j.waiting[last] = nil
	j.waiting = j.waiting[:last]
	t.queueIndex = notQueued
	if t.isRetry {
		j.retries--
	}
	if last == 0 {
		s.dequeueJob(j)
	}
}

func (s *State) dequeueJob(j *Job) {
	last := len(s.waiting) - 1
	s.waiting[j.queueIndex] = s.waiting[last]
	s.waiting[j.queueIndex].queueIndex = j.queueIndex
	s.waiting[last] = nil
	s.waiting = s.waiting[:last]
	j.queueIndex = notQueued
}

// insertOrdered inserts a new worker into the list of workers sorted by ID.
func (s *State) insertOrdered(w *Worker) {
	at, _ := slices.BinarySearchFunc(s.ordered, w, func(a, b *Worker) int {
		return strings.Compare(string(a.VM.ID), string(b.VM.ID))
	})
	s.ordered = slices.Insert(s.ordered, at, w)
	s.renumber(at)
}

// renumber sets Index of the workers from the given place on.
func (s *State) renumber(from int) {
	for i := from; i < len(s.ordered); i++ {
		s.ordered[i].Index = i
	}
}
