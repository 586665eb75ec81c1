package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// uncheckedRetryDelay is the time after which to retry through a daemon whose catalog has no organisations yet.
const uncheckedRetryDelay = time.Second

// origin is the queue to which a job was submitted and the organisation that submitted it; none if that is empty.
type origin struct {
	queue        specs.QueueName
	organisation specs.OrganisationName
}

// checkRepeat returns nil if a submission under the id of a known job repeats the submission of that job, so that it is answered as
// accepted. An error of kind Conflict means that the job is another caller's: the submitted one will not run, since the names
// of tasks on runners begin with the id, and two jobs of one id would share them. Kind Unknown means that it cannot be decided whose
// the job is. The caller must hold o.mu.
func (o *Owner) checkRepeat(caller specs.Caller, job *specs.Job) error {
	known, _ := o.originOf(job.ID)
	switch {
	case isUnchecked(caller):
		if o.isUncheckable(known) {
			return errs.New(errs.Unknown, "job %s is an organisation's, and the catalog by which the caller was let in has none", job.ID)
		}
		return nil
	case caller.Organisation == known.organisation && (!caller.Public || job.Queue.Name == known.queue):
		return nil
	case known.changedAccess(caller):
		return nil
	default:
		return errs.New(errs.Conflict, "the id %s is that of another caller's job", job.ID)
	}
}

// changedAccess reports whether the job is of the queue of the call, and was submitted with a key where the caller needs none, or
// without one where it needs one: the route was made public, or ceased to be, after the submission, so the call may be the
// submitter's.
func (known origin) changedAccess(caller specs.Caller) bool {
	return caller.Queue != "" && caller.Queue == known.queue && caller.Public == (known.organisation != "")
}

// isUnchecked reports whether a call comes from a daemon whose catalog has no organisations.
func isUnchecked(caller specs.Caller) bool {
	return !caller.Public && caller.Organisation == ""
}

// isUncheckable reports whether a job is an organisation's, so that an unchecked caller may be another one's. While this daemon's
// catalog has no organisations either, there is nothing to check. The caller must hold o.mu.
func (o *Owner) isUncheckable(known origin) bool {
	catalog := o.config.Catalog()
	return known.organisation != "" && catalog != nil && catalog.NeedsKeys
}

// jobStateFor is jobState for a caller, to whom the jobs of other organisations are unknown.
func (o *Owner) jobStateFor(caller specs.Caller, id specs.JobID) (tasks.JobState, error) {
	state, err := o.jobState(id)
	if err != nil {
		return "", err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return state, o.checkAccess(caller, id)
}

// checkAccess returns nil if the caller may query and cancel a job: the job belongs to its organisation, or to none, or the call is made
// on a public route to the job's queue, to which no other route needs a key. An error of kind NotFound means that it may not, as
// for a job that does not exist. Kind Unavailable means that it cannot be decided. The caller must hold o.mu.
func (o *Owner) checkAccess(caller specs.Caller, id specs.JobID) error {
	known, ok := o.originOf(id)
	switch {
	case isUnchecked(caller):
		if o.isUncheckable(known) {
			return errs.After(errs.Unavailable, uncheckedRetryDelay, "job %s is an organisation's, and the catalog by which the caller was let in has none", id)
		}
		return nil
	case ok && (known.organisation == "" || known.organisation == caller.Organisation || known.changedAccess(caller)):
		return nil
	default:
		return errs.New(errs.NotFound, "job %s is not known to the caller", id)
	}
}

// originOf returns where a job was submitted, also one that has ended. It returns false if the job is not in the tables. The
// caller must hold o.mu.
func (o *Owner) originOf(id specs.JobID) (origin, bool) {
	if j := o.table.Jobs[id]; j != nil {
		return origin{queue: j.Spec.Queue.Name, organisation: j.Spec.Organisation}, true
	}
	ended, known := o.table.EndedJobs[id]
	return origin{queue: ended.Queue, organisation: ended.Organisation}, known
}
