package envdoc

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Expand returns the job that the entry of Batch or Gangs with the name describes, submitted at the given time. The
// error is of kind NotFound when there is no such entry.
func (d *Document) Expand(work string, id types.JobID, now time.Time) (types.Job, error) {
	for _, w := range d.Batch {
		if w.Name == work {
			job := w.job(id)
			job.Batch = &types.Batch{Count: w.Count, Deadline: w.deadline(now)}
			return job, nil
		}
	}
	for _, w := range d.Gangs {
		if w.Name == work {
			job := w.job(id)
			job.Gang = &types.Gang{Count: w.Count, Deadline: w.deadline(now)}
			return job, nil
		}
	}
	return types.Job{}, errs.New(errs.NotFound, "the document in force has no work named %q", work)
}

// Admit returns an error when the job fails its own check, or one of kind Denied when the document does not allow it:
// its team is unknown, or its class is more urgent than the team may use.
func (d *Document) Admit(job *types.Job) error {
	if err := job.Check(); err != nil {
		return err
	}
	team, ok := d.Team(job.Team)
	if !ok {
		return errs.New(errs.Denied, "the document in force has no team %q", job.Team)
	}
	if job.Class.Rank() < team.MaxClass.Rank() {
		return errs.New(errs.Denied, "team %s may use class %s at most, not %s", job.Team, team.MaxClass, job.Class)
	}
	return nil
}

func (w *WorkEntry) job(id types.JobID) types.Job {
	return types.Job{ID: id, Name: w.Name, Team: w.Team, Class: w.Class, Task: w.Task}
}

// deadline returns the deadline of a job that is accepted now, or the zero time when it has none.
func (w *WorkEntry) deadline(now time.Time) time.Time {
	if w.Within == 0 {
		return time.Time{}
	}
	return now.Add(w.Within)
}
