package table

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/life"
)

// AddWorker adds a worker or updates the VM of a known one, and returns it.
func (s *State) AddWorker(vm types.VM) *Worker {
	w, ok := s.Workers[vm.ID]
	if !ok {
		w = &Worker{
			Health:   WorkerLive,
			Attempts: make(map[types.TaskID]struct{}),
			Orphans:  make(map[types.AttemptID]types.Resources),
		}
		s.Workers[vm.ID] = w
		w.VM = vm
		s.insertOrdered(w)
	}
	w.VM = vm
	return w
}

// RemoveWorker removes a worker without attempts and orphans; others give an error of kind Internal. Removing an
// unknown worker changes nothing.
func (s *State) RemoveWorker(id types.VMID) error {
	w, ok := s.Workers[id]
	if !ok {
		return nil
	}
	if len(w.Attempts)+len(w.Orphans) > 0 {
		return errs.New(errs.Internal, "worker %s still has %d attempts", id, len(w.Attempts)+len(w.Orphans))
	}
	delete(s.Workers, id)
	s.ordered = slices.Delete(s.ordered, w.Index, w.Index+1)
	s.renumber(w.Index)
	return nil
}

// AddJob adds an accepted job with all of its tasks waiting. A known job is returned unchanged.
func (s *State) AddJob(spec types.Job, accepted time.Time) *Job {
	if known, ok := s.Jobs[spec.ID]; ok {
		return known
	}
	j := &Job{Spec: spec, Accepted: accepted, State: types.JobQueued, queueIndex: notQueued}
	j.Owner = s.Team(spec.Team)
	j.Deadline = deadlineOf(spec.Workload())
	j.estimate = s.acquireEstimate(j.Kind())
	for i := range spec.Workload().Tasks() {
		t := &Task{ID: spec.ID.Task(i), Job: j, State: TaskWaiting, Queued: accepted, queueIndex: notQueued}
		j.Tasks = append(j.Tasks, t)
		s.Tasks[t.ID] = t
	}
	s.Jobs[spec.ID] = j
	j.Counts.Waiting = len(j.Tasks)
	for i := len(j.Tasks) - 1; i >= 0; i-- {
		s.enqueue(j.Tasks[i])
	}
	return j
}

// deadlineOf returns the workload's deadline, or the zero time.
func deadlineOf(w types.Workload) time.Time {
	switch w := w.(type) {
	case types.Batch:
		return w.Deadline
	case types.Gang:
		return w.Deadline
	default:
		return time.Time{}
	}
}

// RemoveJob removes a job none of whose tasks occupies a worker; others give an error of kind Internal. Removing
// an unknown job changes nothing.
func (s *State) RemoveJob(id types.JobID) error {
	j, ok := s.Jobs[id]
	if !ok {
		return nil
	}
	if j.Counts.Occupying() > 0 {
		return errs.New(errs.Internal, "job %s still has %d tasks on workers", id, j.Counts.Occupying())
	}
	for _, t := range j.Tasks {
		s.dequeue(t)
		delete(s.Tasks, t.ID)
		delete(s.throttled, t.ID)
	}
	j.estimate.refCount--
	delete(s.Jobs, id)
	delete(s.Reservations, id)
	delete(s.Rolls, id)
	return nil
}

// MoveJob records that another data centre accepted the job, and removes it. Every task must be waiting; otherwise
// the error is of kind Internal. An unknown job gives an error of kind NotFound.
func (s *State) MoveJob(id types.JobID, to types.DataCentre) error {
	j, ok := s.Jobs[id]
	if !ok {
		return errs.New(errs.NotFound, "job %s is not in the tables", id)
	}
	if err := s.transitionJob(j, types.JobMoved, "moved to "+string(to)); err != nil {
		return err
	}
	return s.RemoveJob(id)
}

// CancelJob marks a job as cancelled, ends its waiting tasks, and returns the tasks that have to be stopped.
// A job that has ended is not changed.
func (s *State) CancelJob(j *Job, reason string, now time.Time) []*Task {
	if j.Counts.Ended() == len(j.Tasks) {
		return nil
	}
	j.Cancelled = true
	delete(s.Reservations, j.Spec.ID)
	var stop []*Task
	for _, t := range j.Tasks {
		switch t.State {
		case TaskWaiting:
			s.mustFinish(t, TaskCancelled, reason, now)
		case TaskIntended, TaskRunning:
			stop = append(stop, t)
		default:
		}
	}
	return stop
}

// Supersede records that a job of a service replaces the tasks of an older one.
func (s *State) Supersede(older, newer *Job) {
	older.SupersededBy = newer.Spec.ID
	newer.Supersedes = older.Spec.ID
	s.Rolls[newer.Spec.ID] = newer
}

// SetQuota sets a team's quota. What the team already occupies beyond it stays allowed until it is freed.
func (s *State) SetQuota(id types.TeamID, quota types.Resources) {
	team := s.Team(id)
	team.Quota = quota
	team.Allowance = team.Used
}

// Assign makes the next attempt of a waiting task occupy the worker, in state Intended. It changes nothing and
// returns an error of kind Overloaded if the task does not fit on the worker, or QuotaExceeded if it does not fit
// into the team's quota.
func (s *State) Assign(t *Task, w *Worker, now time.Time) error {
	if !t.Need().Fits(w.Free()) {
		return errs.New(errs.Overloaded, "worker %s has %s free, task %s needs %s", w.VM.ID, w.Free(), t.ID, t.Need())
	}
	if team := t.Job.Owner; !team.HasQuotaFor(t.Need()) {
		return errs.New(errs.QuotaExceeded, "team %s occupies %s of its quota of %s", team.ID, team.Used, team.Quota)
	}
	if err := s.transition(t, life.TaskAssign, "assigned to "+string(w.VM.ID)); err != nil {
		return err
	}
	t.Number++
	t.Started = now
	t.Job.LastStart = now
	t.Job.Reservations = 0
	s.Starts++
	s.occupy(t, w)
	return nil
}

// Adopt makes a task occupy the worker with a known attempt, as found after a takeover of leadership. It does not
// check capacity or quota, since the attempt already exists. The cause of the transition is audited, so its text
// must not change.
func (s *State) Adopt(t *Task, w *Worker, number int, state TaskState) error {
	trigger, err := life.AdoptTrigger(state)
	if err != nil {
		return err
	}
	if err := s.transition(t, trigger, "taken over on "+string(w.VM.ID)); err != nil {
		return err
	}
	s.Vacate(t)
	t.Number = number
	s.occupy(t, w)
	team := t.Job.Owner
	team.Allowance = team.Used
	return nil
}

// Confirm records that the worker runs the task's attempt, at an endpoint and with a lease until leaseEnd.
func (s *State) Confirm(t *Task, endpoint types.Address, leaseEnd time.Time) error {
	if err := s.transition(t, life.TaskConfirm, "confirmed by "+string(t.Worker)); err != nil {
		return err
	}
	t.Endpoint = endpoint
	t.LeaseExpiresAt = leaseEnd
	return nil
}

// Stop records the decision to stop the task's attempt. The task occupies its worker until Finish.
func (s *State) Stop(t *Task, reason string) error {
	if err := s.transition(t, life.TaskStop, reason); err != nil {
		return err
	}
	t.Reason = reason
	t.Endpoint = ""
	return nil
}

// Finish frees the task's worker and moves the task to a state that does not occupy one. A service's task that
// is done waits again. A task of a cancelled job does not wait again, and a failed task of a replaced version
// counts as cancelled.
func (s *State) Finish(t *Task, state TaskState, reason string, now time.Time) error {
	state = t.stateAfter(state)
	trigger, err := life.EndTrigger(state)
	if err != nil {
		return err
	}
	from := t.State
	if err := s.transition(t, trigger, reason); err != nil {
		return err
	}
	s.recordResult(t, from, now)
	s.Vacate(t)
	t.Reason = reason
	t.Endpoint = ""
	s.SetThrottle(t, 0)
	if state == TaskWaiting {
		t.Queued = now
	}
	return nil
}

// stateAfter returns the state of the task after an attempt with the given result; see Finish.
func (t *Task) stateAfter(state TaskState) TaskState {
	switch {
	case state == TaskDone && t.Job.Spec.Service != nil:
		state = TaskWaiting
	case state == TaskFailed && t.Job.SupersededBy != "":
		return TaskCancelled
	}
	if state == TaskWaiting && t.Job.Cancelled {
		return TaskCancelled
	}
	return state
}

// mustFinish is Finish for a task whose life cycle permits the state; it panics otherwise.
func (s *State) mustFinish(t *Task, state TaskState, reason string, now time.Time) {
	if err := s.Finish(t, state, reason, now); err != nil {
		panic("table: " + err.Error())
	}
}

// Vacate frees the worker that the task occupies, if any, without a change of the task's state.
func (s *State) Vacate(t *Task) {
	w, ok := s.Workers[t.Worker]
	if !ok {
		return
	}
	if _, held := w.Attempts[t.ID]; !held {
		return
	}
	delete(w.Attempts, t.ID)
	need := t.Need()
	w.Used = w.Used.Sub(need)
	s.usedByClass[t.Job.Spec.Class] = s.usedByClass[t.Job.Spec.Class].Sub(need)
	team := t.Job.Owner
	team.Used = team.Used.Sub(need)
	team.Allowance = minResources(team.Allowance, team.Used)
}

// AddOrphan records an attempt that a worker runs and whose task is not in the tables. It replaces an earlier
// record of the attempt.
func (s *State) AddOrphan(w *Worker, id types.AttemptID, need types.Resources) {
	s.RemoveOrphan(w, id)
	w.Orphans[id] = need
	w.Used = w.Used.Add(need)
}

// RemoveOrphan frees what an orphan occupies, once the attempt has ended.
func (s *State) RemoveOrphan(w *Worker, id types.AttemptID) {
	need, ok := w.Orphans[id]
	if !ok {
		return
	}
	delete(w.Orphans, id)
	w.Used = w.Used.Sub(need)
}

// occupy counts the task's resources against the worker, the team and the class.
func (s *State) occupy(t *Task, w *Worker) {
	need := t.Need()
	t.Worker = w.VM.ID
	w.Attempts[t.ID] = struct{}{}
	w.Used = w.Used.Add(need)
	s.usedByClass[t.Job.Spec.Class] = s.usedByClass[t.Job.Spec.Class].Add(need)
	team := t.Job.Owner
	team.Used = team.Used.Add(need)
}

// minResources returns the smaller amount of each resource.
func minResources(a, b types.Resources) types.Resources {
	return types.Resources{
		Cores:        min(a.Cores, b.Cores),
		Memory:       min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
