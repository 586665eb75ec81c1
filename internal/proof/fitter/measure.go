package fitter

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Budgets that a measure counts against.
const (
	// Control is the bytes a second that one daemon sends and receives.
	Control Budget = "control bytes/s"
	// Processor is the share of one core that one daemon uses.
	Processor Budget = "core share"
	// Memory is the bytes of state in one daemon.
	Memory Budget = "memory bytes"
	// StoreWrites is the writes a second to the store by all daemons, including those of leases.
	StoreWrites Budget = "store writes/s"
	// StoreReads is the reads and waiting watches a second at the store by all daemons.
	StoreReads Budget = "store reads/s"
	// EventBytes is the bytes transferred because of one failure, EventMessages the number of calls, and EventSeconds the
	// time until an urgent task runs again.
	EventBytes    Budget = "bytes in all"
	EventMessages Budget = "messages in all"
	EventSeconds  Budget = "seconds until an urgent task runs"
	// Messages is the calls a second that one daemon makes and receives. The target sets no limit for it.
	Messages Budget = "messages/s"
)

// Roles whose budgets are added up.
const (
	// RoleEntry is the role of every daemon.
	RoleEntry Role = "Entry"
	// RoleLeader is the role of the leader of a data centre, in addition to that of an entry.
	RoleLeader Role = "Lead"
	// RoleStore is the platform's store under the load of all daemons together.
	RoleStore Role = "Store"
	// RoleFailure stands for the cost of one failure.
	RoleFailure Role = "Failure"
)

type (
	// Budget names what a measure counts against, with its unit.
	Budget string
	// Role names who bears the cost of a measure.
	Role string

	// Measure is one cost that grows with one size, and the way to measure it.
	Measure struct {
		Role   Role
		Duty   string
		Budget Budget
		// Mechanism names the package that carries the duty and how it does so.
		Mechanism string
		// Driver names what Sizes count. AtTarget is its number at the target.
		Driver   string
		Sizes    []int
		AtTarget float64
		// Factor converts a measured value into the budget's unit at the target. For the cost of one event it is the
		// number of events a second. Zero means 1.
		Factor float64
		// Exact is set if the value is a count that is the same in every run.
		Exact bool
		// Run returns the value measured at one size.
		Run func(size int) (float64, error)
	}

	// Result is a measure with the measured points and the line fitted to them.
	Result struct {
		Measure
		Points []Point
		Line   Line
	}
)

// Estimate returns the estimated cost at the target, in the unit of the budget.
func (r *Result) Estimate() float64 {
	return r.Line.At(r.AtTarget) * r.Factor
}

// All returns every measure.
func All() []Measure {
	var out []Measure
	out = append(out, memberMeasures()...)
	out = append(out, listMeasures()...)
	out = append(out, loadMeasures()...)
	out = append(out, planMeasures()...)
	out = append(out, takeoverMeasures()...)
	return out
}

// RunMeasures runs the measures at all their sizes and fits a line to each. Errors have kind Internal.
func RunMeasures(measures []Measure) ([]Result, error) {
	out := make([]Result, 0, len(measures))
	for _, m := range measures {
		r, err := runMeasure(m)
		if err != nil {
			return nil, errs.New(errs.Internal, "measuring %s, %s: %s", m.Duty, m.Budget, errs.Of(err).Message)
		}
		out = append(out, r)
	}
	return out, nil
}

// Exact returns the measures whose values are the same in every run.
func Exact(measures []Measure) []Measure {
	var out []Measure
	for _, m := range measures {
		if m.Exact {
			out = append(out, m)
		}
	}
	return out
}

func runMeasure(m Measure) (Result, error) {
	if m.Factor == 0 {
		m.Factor = 1
	}
	r := Result{Measure: m}
	for _, size := range m.Sizes {
		value, err := m.Run(size)
		if err != nil {
			return Result{}, err
		}
		r.Points = append(r.Points, Point{Size: float64(size), Value: value})
	}
	var err error
	r.Line, err = Fit(r.Points)
	return r, err
}
