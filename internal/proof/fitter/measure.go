package fitter

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Budgets that a measure counts against.
const (
	// Control is bytes a second that one daemon sends and receives.
	Control Budget = "control bytes/s"
	// Processor is the share of one core.
	Processor Budget = "core share"
	// Memory is bytes of state of one daemon.
	Memory Budget = "memory bytes"
	// StoreWrites is writes a second, leases included, over all daemons.
	StoreWrites Budget = "store writes/s"
	// StoreReads is reads and waiting watches a second, over all daemons.
	StoreReads Budget = "store reads/s"
	// EventBytes is the bytes that one failure moves, EventMessages its calls, and EventSeconds its duration.
	EventBytes    Budget = "bytes in all"
	EventMessages Budget = "messages in all"
	EventSeconds  Budget = "seconds until an urgent task runs"
	// Messages is calls a second that one daemon makes and takes; the target sets no limit for it.
	Messages Budget = "messages/s"
)

// Roles whose budgets are added up.
const (
	// RoleEntry is the duty of every daemon.
	RoleEntry Role = "Entry"
	// RoleLead is the duty of one daemon for each data centre, on top of that of an entry.
	RoleLead Role = "Lead"
	// RoleStore is the platform's store as seen by all daemons together.
	RoleStore Role = "Store"
	// RoleFailure is what one failure costs.
	RoleFailure Role = "Failure"
)

type (
	// Budget names a limit of the target.
	Budget string
	// Role names whose cost a measure is.
	Role string

	// Measure is one cost that grows with one size.
	Measure struct {
		Role   Role
		Duty   string
		Budget Budget
		// Mechanism names the package and the way in which it carries the duty.
		Mechanism string
		// Driver names what Sizes count, and AtTarget is how many of it there are at the target.
		Driver   string
		Sizes    []int
		AtTarget float64
		// Factor turns a measured value into the budget's unit at the target, as in events a second.
		Factor float64
		// Exact tells that the value is a count, the same in every run.
		Exact bool
		// Run measures at one size.
		Run func(size int) (float64, error)
	}

	// Result is a measure with what was measured.
	Result struct {
		Measure
		Points []Point
		Line   Line
	}
)

// Estimate returns the cost at the target, in the unit of the budget.
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

// Take measures and fits.
func Take(measures []Measure) ([]Result, error) {
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

// Exact returns the measures that are the same in every run.
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
