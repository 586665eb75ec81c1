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
	// Running is the sum of the resources of its runs on all runners, including starts in doubt, runs that are being stopped
	// and runs on unreachable runners whose leases may still be valid.
	Running types.Resources
}
