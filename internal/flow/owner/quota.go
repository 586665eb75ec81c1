package owner

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// checkQuota returns an error of kind QuotaExceeded for a job of which a task, or a whole gang, needs more than the whole
// quota of its organisation, which may be nil. Such a job could never start, so no time to retry is given.
func checkQuota(job *specs.Job, organisation *tasks.Organisation) error {
	if organisation == nil {
		return nil
	}
	for i := range job.Steps {
		unit, need := neededAtOnce(&job.Steps[i])
		if !need.WithinLimit(organisation.Quota) {
			return errs.New(errs.QuotaExceeded, "%s of Steps[%d] needs %s, the quota of organisation %s is %s (0: no limit)",
				unit, i, need, organisation.Name, organisation.Quota)
		}
	}
	return nil
}

// neededAtOnce returns what the quota must allow for any task of the step to start, and for whom: a task, or the whole gang.
// The requested cores of a step with Fills count, as in the plan: a job that the plan never starts must not be accepted.
func neededAtOnce(s *specs.Step) (string, types.Resources) {
	if s.Gang {
		return "the gang", s.Resources.Times(s.Count)
	}
	return "a task", s.Resources
}
