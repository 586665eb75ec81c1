package tasks

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// Organisation holds the limits of an organisation and what its runs occupy.
type Organisation struct {
	Name specs.OrganisationName
	// Known means that the catalog in force names the organisation; Weight and Quota are zero otherwise.
	Known  bool
	Weight float64
	Quota  types.Resources
	// Removed means that the catalog in force does not name the organisation and no newer one can be on its way that does: an
	// earlier catalog named it, or this daemon has waited long enough for a newer one. An organisation that is neither Known nor
	// Removed may be new, in a catalog that only other daemons have yet.
	Removed bool
	// Running is the sum of the resources of its runs on all runners, including starts in doubt, runs that are being stopped
	// and runs on unreachable runners whose leases may still be valid.
	Running types.Resources
}

// SetLimits gives the organisations the weights and quotas of a catalog.
func (t *Table) SetLimits(c *specs.Catalog) {
	t.LimitsKnown = true
	for _, o := range t.Organisations {
		o.Removed = o.Removed || o.Known
		o.Known, o.Weight, o.Quota = false, 0, types.Resources{}
	}
	for i := range c.Organisations {
		limits := &c.Organisations[i]
		o := t.organisation(limits.Name)
		o.Known, o.Removed, o.Weight, o.Quota = true, false, limits.Weight, limits.Quota
	}
}

// organisation returns the organisation with the name, and adds it if it is missing; it returns nil for an empty name.
func (t *Table) organisation(name specs.OrganisationName) *Organisation {
	if name == "" {
		return nil
	}
	o, ok := t.Organisations[name]
	if !ok {
		o = &Organisation{Name: name}
		t.Organisations[name] = o
	}
	return o
}

// add counts what a run occupies. On a nil organisation, that of a run without one, it does nothing.
func (o *Organisation) add(counted types.Resources) {
	if o != nil {
		o.Running = o.Running.Add(counted)
	}
}

// subtract stops counting what a run occupied. On a nil organisation it does nothing.
func (o *Organisation) subtract(counted types.Resources) {
	if o != nil {
		o.Running = o.Running.Sub(counted)
	}
}

// KnowsLimits reports whether the limits of the organisation are known: the catalog names it, or no longer does.
func (t *Table) KnowsLimits(o *Organisation) bool {
	return t.LimitsKnown && (o.Known || o.Removed)
}

// Headroom returns what may still be started for the organisation: nothing before its limits are known, and everything for
// one that was removed from the catalog. A field is negative if the runs occupy more than the quota.
func (t *Table) Headroom(o *Organisation) types.Resources {
	switch {
	case !t.KnowsLimits(o):
		return types.Resources{Cores: -1, Memory: -1, Accelerators: -1}
	case !o.Known:
		return types.Unlimited()
	default:
		return o.Quota.LimitEach().Sub(o.Running).Sub(t.Unattributed.Running)
	}
}

// CountOrphan sets the organisation and the resources with which a run counts whose job is not in the table. The resources are
// an upper bound, since those of its task are not known. A run of an unknown job counts for every organisation.
func (t *Table) CountOrphan(run *Run) {
	ended, known := t.EndedJobs[run.Key.Ref.Job]
	if !known {
		run.Organisation, run.Counted = t.Unattributed, run.Runner.Info.Capacity
		return
	}
	run.Organisation, run.Counted = t.organisation(ended.Organisation), ended.Largest
	if ended.Largest.IsZero() {
		run.Counted = run.Runner.Info.Capacity
	}
}

// SetRemaining adds to the result of a job what a new leader needs to count the runs that have not ended. It adds nothing
// for a job without an organisation.
func (r *JobResult) SetRemaining(j *Job, runs []*Run) {
	if j.Organisation == nil || len(runs) == 0 {
		return
	}
	r.Largest = j.Spec.LargestTask()
	for _, run := range runs {
		r.Runs = append(r.Runs, RemainingRun{Ref: run.Key.Ref, Attempt: run.Key.Attempt, Runner: run.Runner.Info.ID})
	}
}
