package tasks

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

type (
	// Record is one durable change. Exactly one field is set.
	Record struct {
		Task *TaskChange `json:"Task,omitempty"`
		End  *JobResult  `json:"End,omitempty"`
		// Runner is where a runner can be reached, written before its first run.
		Runner *RunnerAddress `json:"Runner,omitempty"`
	}

	// TaskChange is the complete durable state of a task after a change.
	TaskChange struct {
		Ref      specs.Ref        `json:"Ref"`
		State    State            `json:"State"`
		Attempt  specs.Attempt    `json:"Attempt,omitempty"`
		Failures int              `json:"Failures,omitempty"`
		Faulted  specs.Attempt    `json:"Faulted,omitempty"`
		Runner   specs.RunnerID   `json:"Runner,omitempty"`
		Saved    specs.Checkpoint `json:"Saved,omitempty"`
		// SavedIn is the attempt of the gang that made Saved; 0 when it is not known, or the task is in no gang.
		SavedIn specs.Attempt `json:"SavedIn,omitempty"`
		Losses  LossRecord    `json:"Losses,omitzero"`
	}

	// JobResult records that a job has ended, and how.
	JobResult struct {
		Job   specs.JobID     `json:"Job"`
		Queue specs.QueueName `json:"Queue"`
		State JobState        `json:"State"`
		At    time.Time       `json:"At"`
		// Organisation is the one to which the job belonged; empty means none, or that a former version wrote the record.
		Organisation specs.OrganisationName `json:"Organisation,omitempty"`
		// Largest is the most that one of its tasks takes of each resource, and Runs are the runs that had not ended yet.
		// A new leader counts them for the organisation. Both are empty when nothing ran any more.
		Largest types.Resources `json:"Largest,omitzero"`
		Runs    []RemainingRun  `json:"Runs,omitempty"`
	}

	// RemainingRun is a run that had not ended when its job ended.
	RemainingRun struct {
		Ref     specs.Ref      `json:"Ref"`
		Attempt specs.Attempt  `json:"Attempt"`
		Runner  specs.RunnerID `json:"Runner"`
	}
)

// IsKnown reports whether the record is of a kind that this build knows. One of an unknown kind is decoded as empty.
func (r Record) IsKnown() bool {
	return r.Task != nil || r.End != nil || r.Runner != nil
}

// Apply applies a record. A change of a task whose job is not in the table changes nothing.
func (t *Table) Apply(r Record) {
	switch {
	case r.Task != nil:
		t.applyTaskChange(r.Task)
	case r.End != nil:
		t.applyJobResult(r.End)
	case r.Runner != nil:
		t.SetAddress(*r.Runner)
	}
}

func (t *Table) applyTaskChange(c *TaskChange) {
	task := t.Task(c.Ref)
	if task == nil {
		return
	}
	step := task.Step
	step.adjustCounts(task.State, -1)
	task.State, task.Attempt, task.Failures = c.State, c.Attempt, c.Failures
	task.Faulted, task.Runner, task.Checkpoint, task.SavedIn = c.Faulted, c.Runner, c.Saved, c.SavedIn
	task.Losses = c.Losses
	if step.Spec.Gang {
		step.Saved.Observe(c.Saved, c.SavedIn, time.Time{})
	}
	step.adjustCounts(task.State, 1)
	t.updateSuspected(task)
	step.Job.Attempted = step.Job.Attempted || c.Attempt > 0
	step.Job.Ran = step.Job.Ran || c.State == Done || c.Failures > 0 || c.Saved != ""
}

// adjustCounts adds n to the step's count of tasks in a state, and updates the counts of its occurrence and job.
func (s *Step) adjustCounts(state State, n int) {
	before := s.Complete()
	switch state {
	case Waiting:
		s.WaitingTasks += n
	case Done:
		s.DoneTasks += n
	case Placed:
		// Placed tasks have no count: they are all others.
	}
	if before == s.Complete() {
		return
	}
	wasComplete := s.Occurrence.isComplete()
	s.Occurrence.Finished += sign(s.Complete())
	if isComplete := s.Occurrence.isComplete(); isComplete != wasComplete {
		s.Job.Completed += sign(isComplete)
	}
}

func (o *Occurrence) isComplete() bool {
	return o.Finished == len(o.Steps)
}

func sign(up bool) int {
	if up {
		return 1
	}
	return -1
}

// applyJobResult moves a job to the ended ones. Its remaining runs still occupy their runners.
func (t *Table) applyJobResult(result *JobResult) {
	if j := t.Jobs[result.Job]; j != nil {
		j.Ending = true
		t.removeSuspected(j)
	}
	delete(t.Jobs, result.Job)
	t.RecentResults = append(t.RecentResults, *result)
	t.EndedJobs[result.Job] = result.endedJob()
}

// endedJob returns the ended job that the result describes.
func (r *JobResult) endedJob() EndedJob {
	return EndedJob{
		Queue: r.Queue, State: r.State, At: r.At,
		Organisation: r.Organisation, Largest: r.Largest, Runs: r.Runs,
	}
}

// Change returns the task's current durable state, for the caller to alter and apply.
func (t *Task) Change() *TaskChange {
	c := &TaskChange{
		Ref: t.Ref, State: t.State, Attempt: t.Attempt, Failures: t.Failures,
		Faulted: t.Faulted, Runner: t.Runner, Saved: t.Checkpoint, SavedIn: t.SavedIn,
		Losses: t.Losses,
	}
	if t.State == Waiting {
		c.setNewestCheckpoint(t)
	}
	return c
}

// Restore adds the results of jobs that are stored apart from the snapshot.
func (t *Table) Restore(results []JobResult) {
	for _, result := range results {
		delete(t.Jobs, result.Job)
		t.EndedJobs[result.Job] = result.endedJob()
	}
}

// SnapshotRecords returns records that, applied to a table with the accepted jobs, rebuild the durable state of their
// tasks.
func (t *Table) SnapshotRecords() []Record {
	out := t.addressRecords()
	for _, j := range t.Jobs {
		for _, o := range j.Occurrences {
			for _, s := range o.Steps {
				out = append(out, s.snapshotRecords()...)
			}
		}
	}
	return out
}

func (s *Step) snapshotRecords() []Record {
	var out []Record
	for _, t := range s.Tasks {
		if t.Attempt > 0 || t.State != Waiting {
			out = append(out, Record{Task: t.Change()})
		}
	}
	return out
}

// PurgeEnded removes the jobs that ended before the given time.
func (t *Table) PurgeEnded(before time.Time) {
	for id, e := range t.EndedJobs {
		if e.At.Before(before) {
			delete(t.EndedJobs, id)
		}
	}
}
