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

// SetLimits gives the organisations the weights and quotas of a catalog.
func (t *Table) SetLimits(c *specs.Catalog) {
	t.LimitsKnown = true
	for _, o := range t.Organisations {
		o.Known, o.Weight, o.Quota = false, 0, types.Resources{}
	}
	for i := range c.Organisations {
		limits := &c.Organisations[i]
		o := t.organisation(limits.Name)
		o.Known, o.Weight, o.Quota = true, limits.Weight, limits.Quota
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
