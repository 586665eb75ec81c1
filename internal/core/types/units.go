package types

import (
	"fmt"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Units of resources.
const (
	// Core is one processor core, in thousandths.
	Core MilliCores = 1000
	// GiB is one gibibyte of memory, in mebibytes.
	GiB MiB = 1024
)

type (
	// MilliCores is an amount of processor time in thousandths of a core.
	MilliCores int64
	// MiB is an amount of memory in mebibytes.
	MiB int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
	// Bytes is a size in bytes.
	Bytes int64

	// Resources is an amount of each kind of resource.
	Resources struct {
		Cores        MilliCores   `json:"Cores" yaml:"Cores"`
		Memory       MiB          `json:"Memory" yaml:"Memory"`
		Accelerators Accelerators `json:"Accelerators,omitempty" yaml:"Accelerators"`
	}
)

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		Cores:        r.Cores + o.Cores,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns the difference of two amounts, whose fields may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		Cores:        r.Cores - o.Cores,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Times returns the amount multiplied by a count.
func (r Resources) Times(count int) Resources {
	return Resources{
		Cores:        r.Cores * MilliCores(count),
		Memory:       r.Memory * MiB(count),
		Accelerators: r.Accelerators * Accelerators(count),
	}
}

// Fits reports whether no resource of the amount exceeds that of within.
func (r Resources) Fits(within Resources) bool {
	return r.Cores <= within.Cores && r.Memory <= within.Memory && r.Accelerators <= within.Accelerators
}

// CountIn returns how many times the amount fits within the given resources, at most limit.
func (r Resources) CountIn(within Resources, limit int) int {
	if !r.Fits(within) {
		return 0
	}
	count := int64(limit)
	if r.Cores > 0 {
		count = min(count, int64(within.Cores/r.Cores))
	}
	if r.Memory > 0 {
		count = min(count, int64(within.Memory/r.Memory))
	}
	if r.Accelerators > 0 {
		count = min(count, int64(within.Accelerators/r.Accelerators))
	}
	return int(count)
}

// IsZero reports whether every resource is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// Check returns an error if a resource is negative.
func (r Resources) Check() error {
	if r.Cores < 0 || r.Memory < 0 || r.Accelerators < 0 {
		return errs.New(errs.Invalid, "resources must not be negative: %s", r)
	}
	return nil
}

// String returns the amounts with their units, for people.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cores, %d MiB, %d accelerators", r.Cores, r.Memory, r.Accelerators)
}
