// Package table holds the entities of one data centre in tables: workers, jobs, tasks and teams.
//
// A State is owned by one goroutine. The systems that decide read it; only its methods change it.
package table

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// States of a task.
const (
	// TaskWaiting means that no attempt exists that may run.
	TaskWaiting TaskState = "Waiting"
	// TaskIntended means that an intent is being committed or was committed and is not confirmed.
	TaskIntended TaskState = "Intended"
	// TaskRunning means that the worker confirmed the start.
	TaskRunning TaskState = "Running"
	// TaskStopping means that a stop was decided and is not confirmed.
	TaskStopping TaskState = "Stopping"
	// TaskDone means that the task ran to its end.
	TaskDone TaskState = "Done"
	// TaskFailed means that the task is given up.
	TaskFailed TaskState = "Failed"
	// TaskCancelled means that the task was cancelled and no attempt runs.
	TaskCancelled TaskState = "Cancelled"
	// TaskUnknown means that a non-idempotent attempt's fate stays unknown; it is not run again.
	TaskUnknown TaskState = "Unknown"
)

// Health of a worker.
const (
	WorkerLive        Health = "Live"
	WorkerLeaving     Health = "Leaving"
	WorkerUnreachable Health = "Unreachable"
	WorkerQuarantined Health = "Quarantined"
	WorkerProbing     Health = "Probing"
)

type (
	// TaskState is the state of a task's life cycle.
	TaskState string
	// Health tells whether a worker may be given tasks.
	Health string

	// Worker is one worker. Used is the sum of what its attempts declared, unconfirmed ones included.
	Worker struct {
		VM       types.VM
		Health   Health
		Used     types.Resources
		Usage    types.Resources
		LastSeen time.Time
		// Fenced tells that the worker has accepted the lead's present epoch; only then may it be given tasks.
		Fenced bool
		// Attempts holds the tasks that occupy the worker.
		Attempts map[types.TaskID]struct{}
	}

	// Task is one task of a job. While State is Intended, Running or Stopping it occupies Worker.
	Task struct {
		ID       types.TaskID
		Job      *Job
		State    TaskState
		Number   int
		Worker   types.VMID
		Queued   time.Time
		Started  time.Time
		LeaseEnd time.Time
		// Resume tells that the task continues from a checkpoint.
		Resume   bool
		Failures int
		Endpoint types.Address
		Reason   string
	}

	// Job is an accepted job with the tasks that belong to it.
	Job struct {
		Spec      types.Job
		Accepted  time.Time
		Cancelled bool
		Tasks     []*Task
	}

	// Team is a team with its quota and what its tasks occupy.
	Team struct {
		ID    types.TeamID
		Quota types.Resources
		Used  types.Resources
	}

	// State is all tables of one data centre.
	State struct {
		DataCentre types.DataCentre
		Workers    map[types.VMID]*Worker
		Jobs       map[types.JobID]*Job
		Tasks      map[types.TaskID]*Task
		Teams      map[types.TeamID]*Team
	}
)

// New returns empty tables.
func New(site types.DataCentre) *State {
	return &State{
		DataCentre: site,
		Workers:    make(map[types.VMID]*Worker),
		Jobs:       make(map[types.JobID]*Job),
		Tasks:      make(map[types.TaskID]*Task),
		Teams:      make(map[types.TeamID]*Team),
	}
}

// Occupies tells whether a task in this state takes room on its worker.
func (s TaskState) Occupies() bool {
	return s == TaskIntended || s == TaskRunning || s == TaskStopping
}

// Ended tells whether a task in this state will never run again.
func (s TaskState) Ended() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled || s == TaskUnknown
}

// Free returns what the worker has left.
func (w *Worker) Free() types.Resources {
	return w.VM.Capacity.Sub(w.Used)
}

// Placeable tells whether the worker may be given tasks.
func (w *Worker) Placeable() bool {
	return w.Fenced && w.Health == WorkerLive
}

// Attempt returns the id of the task's latest attempt; there is none while Number is zero.
func (t *Task) Attempt() types.AttemptID {
	return t.ID.Attempt(t.Number)
}

// AddWorker adds a worker or updates its VM.
func (s *State) AddWorker(vm types.VM) *Worker {
	w, ok := s.Workers[vm.ID]
	if !ok {
		w = &Worker{Health: WorkerLive, Attempts: make(map[types.TaskID]struct{})}
		s.Workers[vm.ID] = w
	}
	w.VM = vm
	return w
}

// AddJob adds an accepted job with all of its tasks waiting. Adding a known job changes nothing.
func (s *State) AddJob(spec types.Job, accepted time.Time) *Job {
	if known, ok := s.Jobs[spec.ID]; ok {
		return known
	}
	j := &Job{Spec: spec, Accepted: accepted}
	for i := range spec.Workload().Tasks() {
		t := &Task{ID: spec.ID.Task(i), Job: j, State: TaskWaiting, Queued: accepted}
		j.Tasks = append(j.Tasks, t)
		s.Tasks[t.ID] = t
	}
	s.Jobs[spec.ID] = j
	return j
}

// SetQuota sets a team's quota.
func (s *State) SetQuota(id types.TeamID, quota types.Resources) {
	s.team(id).Quota = quota
}

// Assign makes the next attempt of a waiting task occupy the worker, in state Intended.
func (s *State) Assign(t *Task, w *Worker, now time.Time) {
	t.State = TaskIntended
	t.Number++
	t.Started = now
	s.occupy(t, w)
}

// Adopt makes a task occupy the worker with a known attempt, as found after a take-over.
func (s *State) Adopt(t *Task, w *Worker, number int, state TaskState) {
	s.Vacate(t)
	t.State = state
	t.Number = number
	s.occupy(t, w)
}

// Confirm records that the worker runs the task's attempt.
func (s *State) Confirm(t *Task, endpoint types.Address, leaseEnd time.Time) {
	t.State = TaskRunning
	t.Endpoint = endpoint
	t.LeaseEnd = leaseEnd
}

// Finish frees the task's worker and puts the task in a state that does not occupy one.
func (s *State) Finish(t *Task, state TaskState, reason string, now time.Time) {
	s.Vacate(t)
	t.State = state
	t.Reason = reason
	t.Endpoint = ""
	if state == TaskWaiting {
		t.Queued = now
	}
}

// Vacate frees the worker that the task occupies, if any.
func (s *State) Vacate(t *Task) {
	w, ok := s.Workers[t.Worker]
	if !ok {
		return
	}
	if _, held := w.Attempts[t.ID]; !held {
		return
	}
	delete(w.Attempts, t.ID)
	w.Used = w.Used.Sub(t.Job.Spec.Task.Resources)
	team := s.team(t.Job.Spec.Team)
	team.Used = team.Used.Sub(t.Job.Spec.Task.Resources)
}

func (s *State) occupy(t *Task, w *Worker) {
	t.Worker = w.VM.ID
	w.Attempts[t.ID] = struct{}{}
	w.Used = w.Used.Add(t.Job.Spec.Task.Resources)
	team := s.team(t.Job.Spec.Team)
	team.Used = team.Used.Add(t.Job.Spec.Task.Resources)
}

func (s *State) team(id types.TeamID) *Team {
	t, ok := s.Teams[id]
	if !ok {
		t = &Team{ID: id}
		s.Teams[id] = t
	}
	return t
}
