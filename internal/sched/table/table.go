// Package table holds the workers, jobs, tasks and teams of one data centre in memory.
//
// A State is owned by one goroutine; it has no lock. Planners read it. The states, workers and counts of entities
// are changed only through its methods, since these update the indexes. Fields that hold observations (Health,
// Fenced, Usage, LastSeen, LeaseExpiresAt, Failures) may be set directly.
package table

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/life"
)

// States of a task; package life describes them.
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
	// WorkerProbing means that the worker was quarantined and may run one probe task.
	WorkerProbing Health = "Probing"
)

type (
	// TaskState is the state of a task's life cycle.
	TaskState = life.TaskState
	// Health is the state of a worker that decides whether it may be given tasks.
	Health string

	// Worker is one worker. Used is the sum of the resources that its attempts declared, unconfirmed starts and
	// stops and orphans included. Usage is what it reported as used.
	Worker struct {
		VM       types.VM
		Health   Health
		Used     types.Resources
		Usage    types.Resources
		LastSeen time.Time
		// Fenced is set once the worker has accepted the leader's current epoch; only then may it be given tasks.
		Fenced bool
		// Attempts holds the tasks that occupy the worker.
		Attempts map[types.TaskID]struct{}
		// Orphans holds the resources of attempts that the worker runs and whose task is not in the tables.
		Orphans map[types.AttemptID]types.Resources
		// History holds the worker's latest results of attempts and its quarantine.
		History HealthHistory
		// Index is the worker's index in Ordered; it changes when workers are added or removed.
		Index int
	}

	// Task is one task of a job. While State is Intended, Running or Stopping it occupies Worker. Number is that
	// of its latest attempt.
	Task struct {
		ID             types.TaskID
		Job            *Job
		State          TaskState
		Number         int
		Worker         types.VMID
		Queued         time.Time
		Started        time.Time
		LeaseExpiresAt time.Time
		// Resume is set if the task continues from a checkpoint.
		Resume bool
		// Failures counts attempts that failed by themselves. It must be raised before Finish, which then counts
		// the failure against the worker and the kind of job.
		Failures int
		// Usage is the use of the task that the worker last reported; reports are late.
		Usage types.Resources
		// Throttle is the limit in force, in thousandths of the declared cores; 0 means none. SetThrottle sets it.
		Throttle int
		Endpoint types.Address
		Reason   string

		// queueIndex is the task's index in its job's queue, or notQueued.
		queueIndex int
		// countedFailures is the part of Failures that recordResult has counted.
		countedFailures int
		// isRetry is set while the task is queued after a failure.
		isRetry bool
	}

	// Job is an accepted job with the tasks that belong to it.
	Job struct {
		Spec     types.Job
		Accepted time.Time
		Owner    *Team
		// Deadline is the workload's deadline, or the zero time.
		Deadline  time.Time
		State     types.JobState
		Cancelled bool
		// SupersededBy is the job that rolls out a newer version of the same service, if any.
		SupersededBy types.JobID
		// Supersedes is the job whose tasks this one replaces, if any.
		Supersedes types.JobID
		Tasks      []*Task
		// Counts counts the job's tasks by state.
		Counts Counts
		// Reason is why tasks of the job wait, and ReasonAt is when it was last changed.
		Reason   string
		ReasonAt time.Time
		// LastStart is when a task of the job was last assigned to a worker.
		LastStart time.Time
		// Reservations counts the job's reservations since its last start.
		Reservations int

		waiting    []*Task
		retries    int
		queueIndex int
		estimate   *Estimate
	}

	// Team is a team with its quota and what its tasks occupy.
	Team struct {
		ID types.TeamID
		// Index numbers the teams in the order in which they were added; it never changes.
		Index int
		// Quota is the maximum that the team may occupy; zero means that no quota is known.
		Quota types.Resources
		Used  types.Resources
		// Allowance is what the team occupied when its quota was last set or an attempt was adopted. It is
		// allowed beyond the quota, and falls with Used when resources are freed.
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
		// Rolls holds the jobs that replace an older version of their service.
		Rolls map[types.JobID]*Job
		// Starts counts the attempts that were assigned here.
		Starts uint64
		// Observer, if set, is called for each transition of a task or a job.
		Observer Observer

		taskCycle   *life.TaskCycle
		jobCycle    *life.JobCycle
		throttled   map[types.TaskID]*Task
		ordered     []*Worker
		waiting     []*Job
		usedByClass map[types.Class]types.Resources
	}

	// Observer receives the ID of the task or job, its former and its new state, and the cause.
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

// Free returns the worker's capacity less what its attempts and orphans declared.
func (w *Worker) Free() types.Resources {
	return w.VM.Capacity.Sub(w.Used)
}

// Placeable reports whether the worker may be given tasks: it is fenced, and it is live or it is probing and has
// no attempt.
func (w *Worker) Placeable() bool {
	if !w.Fenced {
		return false
	}
	return w.Health == WorkerLive || (w.Health == WorkerProbing && len(w.Attempts) == 0)
}

// Attempt returns the ID of the task's latest attempt; there is none while Number is zero.
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

// Throttled returns the tasks whose cores are limited. The caller must not change the map.
func (s *State) Throttled() map[types.TaskID]*Task {
	return s.throttled
}

// Need returns the resources that the task declares.
func (t *Task) Need() types.Resources {
	return t.Job.Spec.Task.Resources
}

// Kind returns the kind of the job.
func (j *Job) Kind() Kind {
	return Kind{Name: j.Spec.Name, Revision: j.Spec.Revision}
}

// Waiting returns the job's waiting tasks in no particular order. The caller must not change the slice.
func (j *Job) Waiting() []*Task {
	return j.waiting
}

// Retries returns how many of the waiting tasks have failed before.
func (j *Job) Retries() int {
	return j.retries
}

// Waiting returns the jobs that have waiting tasks. The order is not specified, but the same sequence of changes
// gives the same order. The caller must not change the slice.
func (s *State) Waiting() []*Job {
	return s.waiting
}

// Ordered returns the workers sorted by ID. The caller must not change the slice.
func (s *State) Ordered() []*Worker {
	return s.ordered
}

// UsedBy returns the resources that tasks of a class occupy.
func (s *State) UsedBy(c types.Class) types.Resources {
	return s.usedByClass[c]
}

// HasQuotaFor reports whether the team's quota allows it to occupy the need in addition.
func (t *Team) HasQuotaFor(need types.Resources) bool {
	return t.Used.Add(need).Fits(t.Quota.Limit())
}

// Team returns the team with the ID, and adds it without a quota if it is missing.
func (s *State) Team(id types.TeamID) *Team {
	t, ok := s.Teams[id]
	if !ok {
		t = &Team{ID: id, Index: len(s.Teams)}
		s.Teams[id] = t
	}
	return t
}
