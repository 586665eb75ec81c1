// Package tasks holds the tables of the flow scheduler: the jobs that run in steps, their tasks, the runners and the
// runs that occupy them.
//
// A Table may be used by one goroutine at a time. State that must outlast the process changes only through Apply, so
// the same records rebuild it.
package tasks

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// States of a task.
const (
	// Waiting means that no attempt runs, and none whose start was requested may still start.
	Waiting State = "Waiting"
	// Placed means that an attempt was assigned to a runner; its start was sent or may still be.
	Placed State = "Placed"
	// Done means that the task ran to completion.
	Done State = "Done"
)

// States of a job.
const (
	JobPending   JobState = "Pending"
	JobRunning   JobState = "Running"
	JobCompleted JobState = "Completed"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
)

type (
	// State is the durable state of a task.
	State string
	// JobState is the state of a job as it is reported to callers.
	JobState string

	// Task is one task.
	Task struct {
		Ref     specs.Ref
		Step    *Step
		State   State
		Attempt specs.Attempt
		// Failures counts the attempts that failed.
		Failures int
		// Faulted is the latest attempt of the gang whose failure was counted in this member.
		Faulted specs.Attempt
		// Losses counts the attempts that ended with the loss of their runner.
		Losses LossRecord
		// Stalls counts the attempts that this leader stopped for lack of progress; for a gang its first member counts them.
		Stalls int
		// Moves counts the attempts that this leader stopped since their runner seemed slow; for a gang its first member counts them.
		Moves int
		// Runner is the runner on which the latest attempt was placed.
		Runner specs.RunnerID
		// Checkpoint is the state from which the next attempt continues. For a member of a gang it is the one with which its
		// latest attempt was started; the next continues from that of the Step.
		Checkpoint specs.Checkpoint
		// SavedIn is the attempt of the gang that made Checkpoint; 0 when it is not known, or the task is in no gang.
		SavedIn specs.Attempt
		// Run is the attempt that occupies a runner, or nil.
		Run *Run
		// NotBefore is the earliest time of the next start.
		NotBefore time.Time
		// EndedAt is when the latest attempt ended, as this leader learned it; zero when none has ended in its term.
		EndedAt time.Time
	}

	// Step is one step of one occurrence.
	Step struct {
		Ref        specs.StepRef
		Spec       *specs.Step
		Job        *Job
		Occurrence *Occurrence
		Tasks      []*Task
		// DoneTasks counts the tasks that are done.
		DoneTasks int
		// WaitingTasks counts the tasks in state Waiting.
		WaitingTasks int
		// Saved is the latest known state of any member of a gang, from which all members of the next attempt continue.
		Saved GangCheckpoint
		// BrokenIn is the latest attempt of a gang of which a member ended early, and BrokenAt the time of the first such end in
		// that attempt. Both are zero when there was none in this term.
		BrokenIn specs.Attempt
		BrokenAt time.Time
		// Advice holds the answers of the advice service on the step.
		Advice Advice
	}

	// Occurrence is one run through a job's steps.
	Occurrence struct {
		Number   int
		Due      time.Time
		Steps    []*Step
		Finished int
	}

	// Job is a job that has not ended.
	Job struct {
		Spec specs.Job
		// Organisation is the one to which the job belongs, or nil.
		Organisation *Organisation
		// Attempted is set once a start was decided, Ran once a runner is known to have begun one.
		Attempted   bool
		Ran         bool
		Occurrences map[int]*Occurrence
		// created holds the occurrences in the order in which they were created.
		created []*Occurrence
		// Advised and Started are when the first advice arrived and the first start was sent; zero before, or when
		// that was under a former leader.
		Advised time.Time
		Started time.Time
		// Completed counts the occurrences of which every step is done.
		Completed int
		// Ending is set once the job's result is recorded; none of its tasks may start any more.
		Ending bool
		// CriticalPath is the longest chain of expected run times through the steps; see Times.CriticalPath.
		CriticalPath time.Duration
		// Work is the expected work of one occurrence when the job was accepted: its tasks' run times, each times its
		// thousandths of a core.
		Work time.Duration
	}

	// EndedJob is a job that has ended.
	EndedJob struct {
		Queue specs.QueueName `json:"Queue"`
		State JobState        `json:"State"`
		At    time.Time       `json:"At"`
		// Organisation, Largest and Runs are those of the JobResult.
		Organisation specs.OrganisationName `json:"Organisation,omitempty"`
		Largest      types.Resources        `json:"Largest,omitzero"`
		Runs         []RemainingRun         `json:"Runs,omitempty"`
	}

	// Table holds the jobs, the runners, and the estimates of run times and of allowed runners.
	Table struct {
		Jobs      map[specs.JobID]*Job
		EndedJobs map[specs.JobID]EndedJob
		// RecentResults holds the job results that no snapshot has stored yet, the oldest first.
		RecentResults []JobResult
		// Runners changes through SetRunner and RemoveRunner only.
		Runners map[specs.RunnerID]*Runner
		// ordered holds the runners in the order of their ids; nil after a change.
		ordered []*Runner
		// suspected holds the tasks that SuspectedTasks returns.
		suspected map[*Task]struct{}
		// addresses holds where the runners with durable runs can be reached.
		addresses map[specs.RunnerID]RunnerAddress
		// Organisations holds those that have jobs or runs, or that the catalog names.
		Organisations map[specs.OrganisationName]*Organisation
		// LimitsKnown is set once SetLimits was called.
		LimitsKnown bool
		// Unattributed counts the runs whose organisation is not known. They count against the quota of every organisation.
		Unattributed *Organisation
		Times        *Times
		Shares       *Shares
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{
		Jobs:      make(map[specs.JobID]*Job),
		EndedJobs: make(map[specs.JobID]EndedJob),
		Runners:   make(map[specs.RunnerID]*Runner),
		suspected: make(map[*Task]struct{}),
		addresses: make(map[specs.RunnerID]RunnerAddress),

		Organisations: make(map[specs.OrganisationName]*Organisation),
		Unattributed:  &Organisation{},

		Times:  NewTimes(),
		Shares: NewShares(),
	}
}

// NewJob returns a job that the table does not hold yet, without occurrences.
func (t *Table) NewJob(spec *specs.Job) *Job {
	j := &Job{Spec: *spec, Organisation: t.organisation(spec.Organisation), Occurrences: make(map[int]*Occurrence)}
	j.CriticalPath, j.Work = t.Times.CriticalPath(&j.Spec), t.Times.Work(&j.Spec)
	return j
}

// AddJob adds an accepted job and returns it; a job that the table has already is returned unchanged.
func (t *Table) AddJob(spec *specs.Job) *Job {
	if j, ok := t.Jobs[spec.ID]; ok {
		return j
	}
	j := t.NewJob(spec)
	t.Jobs[spec.ID] = j
	if spec.Schedule == nil {
		j.occurrence(0)
	}
	return j
}

// SetRunner adds a runner; it replaces the one with its id.
func (t *Table) SetRunner(r *Runner) {
	t.Runners[r.Info.ID] = r
	t.ordered = nil
}

// RemoveRunner removes a runner.
func (t *Table) RemoveRunner(id specs.RunnerID) {
	delete(t.Runners, id)
	delete(t.addresses, id)
	t.ordered = nil
}

// OrderedRunners returns the runners in the order of their ids. The caller must not change the slice.
func (t *Table) OrderedRunners() []*Runner {
	if t.ordered != nil {
		return t.ordered
	}
	t.ordered = make([]*Runner, 0, len(t.Runners))
	for _, r := range t.Runners {
		t.ordered = append(t.ordered, r)
	}
	slices.SortFunc(t.ordered, func(a, b *Runner) int { return cmp.Compare(a.Info.ID, b.Info.ID) })
	for i, r := range t.ordered {
		r.position = i
	}
	return t.ordered
}

// isCurrent reports whether the table holds the runner. It is cheaper than a look-up by id.
func (t *Table) isCurrent(r *Runner) bool {
	ordered := t.OrderedRunners()
	return r.position < len(ordered) && ordered[r.position] == r
}

// Advance creates the occurrences of scheduled jobs that are due.
func (t *Table) Advance(now time.Time) {
	for _, j := range t.Jobs {
		if j.Spec.Schedule == nil || j.Ending {
			continue
		}
		for k := range j.Spec.Occurrences() {
			if now.Before(j.Spec.Due(k)) {
				break
			}
			j.occurrence(k)
		}
	}
}

// Task returns the task with the reference, or nil when there is none.
func (t *Table) Task(ref specs.Ref) *Task {
	j := t.Jobs[ref.Job]
	if j == nil || ref.Occurrence >= j.Spec.Occurrences() || ref.Step >= len(j.Spec.Steps) {
		return nil
	}
	if ref.Index >= j.Spec.Steps[ref.Step].Count {
		return nil
	}
	return j.occurrence(ref.Occurrence).Steps[ref.Step].Tasks[ref.Index]
}
