package table

import (
	"slices"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/life"
)

// noSlot marks an entity that is in no index.
const noSlot = -1

// move fires a trigger of a task's life cycle and keeps the counts, the queues and the job's state.
func (s *State) move(t *Task, trigger life.TaskTrigger, cause string) error {
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
	s.observe(string(t.ID), string(from), string(to), cause)
	return s.moveJobState(t.Job, t.Job.stateNow(), cause)
}

// stateNow returns the state that the job's tasks put it in. A replaced revision counts as cancelled.
func (j *Job) stateNow() types.JobState {
	return j.Counts.jobState(j.Cancelled || j.SupersededBy != "")
}

func (s *State) moveJobState(j *Job, to types.JobState, cause string) error {
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
	s.observe(string(j.Spec.ID), string(from), string(to), cause)
	return nil
}

func (s *State) observe(subject, from, to, cause string) {
	if s.Observer != nil {
		s.Observer(subject, from, to, cause)
	}
}

// enqueue puts a task into its job's queue, and the job into the queue of jobs.
func (s *State) enqueue(t *Task) {
	j := t.Job
	t.slot = len(j.waiting)
	j.waiting = append(j.waiting, t)
	if t.retry = t.Failures > 0; t.retry {
		j.retries++
	}
	if j.slot == noSlot {
		j.slot = len(s.waiting)
		s.waiting = append(s.waiting, j)
	}
}

// dequeue takes a task out of its job's queue, and an empty job out of the queue of jobs.
func (s *State) dequeue(t *Task) {
	j := t.Job
	if t.slot == noSlot {
		return
	}
	last := len(j.waiting) - 1
	j.waiting[t.slot] = j.waiting[last]
	j.waiting[t.slot].slot = t.slot
	j.waiting[last] = nil
	j.waiting = j.waiting[:last]
	t.slot = noSlot
	if t.retry {
		j.retries--
	}
	if last == 0 {
		s.dequeueJob(j)
	}
}

func (s *State) dequeueJob(j *Job) {
	last := len(s.waiting) - 1
	s.waiting[j.slot] = s.waiting[last]
	s.waiting[j.slot].slot = j.slot
	s.waiting[last] = nil
	s.waiting = s.waiting[:last]
	j.slot = noSlot
}

// order puts a new worker into the list of workers by id.
func (s *State) order(w *Worker) {
	at, _ := slices.BinarySearchFunc(s.ordered, w, func(a, b *Worker) int {
		return strings.Compare(string(a.VM.ID), string(b.VM.ID))
	})
	s.ordered = slices.Insert(s.ordered, at, w)
	s.renumber(at)
}

func (s *State) renumber(from int) {
	for i := from; i < len(s.ordered); i++ {
		s.ordered[i].Index = i
	}
}
