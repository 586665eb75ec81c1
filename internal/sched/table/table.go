// Package table holds the entities of one data centre in tables: workers, jobs, tasks and teams.
//
// A State is owned by one goroutine. The systems that decide read it; only its methods change the
// states, workers and counts of entities, since they keep the indexes. Fields that hold what was
// observed (Health, Fenced, Usage, LastSeen, LeaseEnd, Failures) may be set directly.
package table

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/life"
)

// States of a task; see package life for what they mean.
const (
	TaskWaiting   = life.TaskWaiting
	TaskIntended  = life.TaskIntended
	TaskRunning   = life.TaskRunning
	TaskStopping  = life.TaskStopping
	TaskDone      = life.TaskDone
	TaskFailed    = life.TaskFailed
	TaskCancelled = life.TaskCancelled
	TaskUnknown   = life.TaskUnknown
)

// Health of a worker.
const (
	WorkerLive        Health = "Live"
	WorkerLeaving     Health = "Leaving"
	WorkerUnreachable Health = "Unreachable"
	WorkerQuarantined Health = "Quarantined"
	// WorkerProbing means that the worker may run one task on trial.
	WorkerProbing Health = "Probing"
)

type (
	// TaskState is the state of a task's life cycle.
	TaskState = life.TaskState
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
		// Orphans holds attempts that the worker runs and whose task is not in the tables.
		Orphans map[types.AttemptID]types.Resources
		// Record holds the worker's latest ends of attempts and its quarantine.
		Record HealthHistory
		// Index is the worker's place in Ordered.
		Index int
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
		Resume bool
		// Failures counts attempts that failed by themselves. Raise it before Finish, which then
		// counts the failure against the worker and the kind of job.
		Failures int
		// Usage is what the worker reported, late.
		Usage types.Resources
		// Throttle is the limit in force in thousandths of the declared cores; 0 means none. SetThrottle sets it.
		Throttle int
		Endpoint types.Address
		Reason   string

		queueIndex      int
		countedFailures int
		isRetry         bool
	}

	// Job is an accepted job with the tasks that belong to it.
	Job struct {
		Spec     types.Job
		Accepted time.Time
		Owner    *Team
		// Deadline is the workload's deadline, or zero.
		Deadline  time.Time
		State     types.JobState
		Cancelled bool
		// SupersededBy names the job that rolls out a newer revision of the same service.
		SupersededBy types.JobID
		// Supersedes names the job whose tasks this one replaces.
		Supersedes types.JobID
		Tasks      []*Task
		// Counts counts the job's tasks by state.
		Counts Counts
		// Reason tells why tasks of the job wait, and ReasonAt when that was found.
		Reason   string
		ReasonAt time.Time
		// LastStart is when a task of the job was last given a worker.
		LastStart time.Time
		// Reserved counts the reservations that the job had without starting.
		Reserved int

		waiting    []*Task
		retries    int
		queueIndex int
		estimate   *Estimate
	}

	// Team is a team with its quota and what its tasks occupy.
	Team struct {
		ID types.TeamID
		// Index is the row's place among the teams; it never changes.
		Index int
		// Quota is the most that the team may occupy; zero means that no quota is known.
		Quota types.Resources
		Used  types.Resources
		// Allowance is what was already occupied when the quota was lowered or an attempt was taken over.
		Allowance types.Resources
	}

	// State is all tables of one data centre.
	State struct {
		DataCentre   types.DataCentre
		Workers      map[types.VMID]*Worker
		Jobs         map[types.JobID]*Job
		Tasks        map[types.TaskID]*Task
		Teams        map[types.TeamID]*Team
		Reservations map[types.JobID]*Reservation
		Estimates    map[Kind]*Estimate
		// Peers holds the latest summaries of other data centres.
		Peers map[types.DataCentre]Peer
		// Rolls holds the jobs that replace an older revision of their service.
		Rolls map[types.JobID]*Job
		// Starts counts the attempts that were assigned here.
		Starts uint64
		// Observer, when set, is told of each transition of a task or a job.
		Observer Observer

		taskCycle   *life.TaskCycle
		jobCycle    *life.JobCycle
		throttled   map[types.TaskID]*Task
		ordered     []*Worker
		waiting     []*Job
		usedByClass map[types.Class]types.Resources
	}

	// Observer is told the subject's id, its former and its new state, and the cause.
	Observer func(subject, from, to, cause string)
)

// New returns empty tables.
func New(site types.DataCentre) *State {
	return &State{
		DataCentre:   site,
		Workers:      make(map[types.VMID]*Worker),
		Jobs:         make(map[types.JobID]*Job),
		Tasks:        make(map[types.TaskID]*Task),
		Teams:        make(map[types.TeamID]*Team),
		Reservations: make(map[types.JobID]*Reservation),
		Estimates:    make(map[Kind]*Estimate),
		Peers:        make(map[types.DataCentre]Peer),
		Rolls:        make(map[types.JobID]*Job),
		throttled:    make(map[types.TaskID]*Task),
		taskCycle:    life.NewTaskCycle(),
		jobCycle:     life.NewJobCycle(),
		usedByClass:  make(map[types.Class]types.Resources),
	}
}

// Free returns what the worker has left.
func (w *Worker) Free() types.Resources {
	return w.VM.Capacity.Sub(w.Used)
}

// Placeable tells whether the worker may be given tasks: it is live, or it is on probation and empty.
func (w *Worker) Placeable() bool {
	if !w.Fenced {
		return false
	}
	return w.Health == WorkerLive || (w.Health == WorkerProbing && len(w.Attempts) == 0)
}

// Attempt returns the id of the task's latest attempt; there is none while Number is zero.
func (t *Task) Attempt() types.AttemptID {
	return t.ID.Attempt(t.Number)
}

// SetThrottle records the limit on a task's cores in thousandths; 0 means none.
func (s *State) SetThrottle(t *Task, permille int) {
	t.Throttle = permille
	if permille == 0 {
		delete(s.throttled, t.ID)
		return
	}
	s.throttled[t.ID] = t
}

// Throttled returns the tasks whose cores are limited. The map belongs to the tables.
func (s *State) Throttled() map[types.TaskID]*Task {
	return s.throttled
}

// Need returns what the task declares.
func (t *Task) Need() types.Resources {
	return t.Job.Spec.Task.Resources
}

// Kind returns the kind of job, whose runs are expected to resemble each other.
func (j *Job) Kind() Kind {
	return Kind{Name: j.Spec.Name, Revision: j.Spec.Revision}
}

// Waiting returns the job's waiting tasks in no stated order. The slice belongs to the tables.
func (j *Job) Waiting() []*Task {
	return j.waiting
}

// Retries returns how many of the waiting tasks have failed before.
func (j *Job) Retries() int {
	return j.retries
}

// Waiting returns the jobs that have waiting tasks, in no stated but a reproducible order. The slice
// belongs to the tables.
func (s *State) Waiting() []*Job {
	return s.waiting
}

// Ordered returns the workers by id. The slice belongs to the tables.
func (s *State) Ordered() []*Worker {
	return s.ordered
}

// UsedBy returns what tasks of a class occupy.
func (s *State) UsedBy(c types.Class) types.Resources {
	return s.usedByClass[c]
}

// Room tells whether the team may occupy as much more.
func (t *Team) Room(need types.Resources) bool {
	return t.Quota.IsZero() || t.Used.Add(need).Fits(t.Quota)
}

// Team returns the team's row, which is made when it is missing.
func (s *State) Team(id types.TeamID) *Team {
	t, ok := s.Teams[id]
	if !ok {
		t = &Team{ID: id, Index: len(s.Teams)}
		s.Teams[id] = t
	}
	return t
}
