package owner

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// jobStateFor is jobState for a caller, to whom the jobs of other organisations are unknown.
func (o *Owner) jobStateFor(caller specs.Caller, id specs.JobID) (tasks.JobState, error) {
	state, err := o.jobState(id)
	if err != nil {
		return "", err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isAccessible(caller, id) {
		return "", errs.New(errs.NotFound, "job %s is not known", id)
	}
	return state, nil
}

// isAccessible reports whether the caller may query and cancel a job: the job belongs to its organisation, or to none. A caller
// without an organisation, that is, one of a public route or of a catalog that requires no keys, may access all jobs. A job
// that is not in the tables is not accessible to an organisation. The caller must hold o.mu.
func (o *Owner) isAccessible(caller specs.Caller, id specs.JobID) bool {
	if caller.Public || caller.Organisation == "" {
		return true
	}
	organisation, known := o.organisationOf(id)
	return known && (organisation == "" || organisation == caller.Organisation)
}

// organisationOf returns the organisation to which a job belongs, also one that has ended; empty if it belongs to none. It returns false if
// the job is not in the tables. The caller must hold o.mu.
func (o *Owner) organisationOf(id specs.JobID) (specs.OrganisationName, bool) {
	if j := o.table.Jobs[id]; j != nil {
		return j.Spec.Organisation, true
	}
	ended, known := o.table.EndedJobs[id]
	return ended.Organisation, known
}
