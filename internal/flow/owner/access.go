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

// isAccessible reports whether the caller may ask for a job and cancel it: the job is its organisation's or has none. A caller
// without an organisation, that is, one of a public route or of a catalog that requires no keys, may access all jobs. A job
// that is not in the tables is not accessible to an organisation. The caller must hold o.mu.
func (o *Owner) isAccessible(caller specs.Caller, id specs.JobID) bool {
	if caller.Public || caller.Organisation == "" {
		return true
	}
	organisation, known := o.organisationOf(id)
	return known && (organisation == "" || organisation == caller.Organisation)
}

// organisationOf returns the organisation whose job it is, or was if it has ended; empty if it has none. It returns false if
// the job is not in the tables. The caller must hold o.mu.
func (o *Owner) organisationOf(id specs.JobID) (specs.OrganisationName, bool) {
	if j := o.table.Jobs[id]; j != nil {
		return j.Spec.Organisation, true
	}
	ended, known := o.table.EndedJobs[id]
	return ended.Organisation, known
}
