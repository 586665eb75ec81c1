package types

import "math"

// unlimited is a limit that nothing reaches; sums and differences with real amounts do not overflow.
const unlimited = math.MaxInt64 / 4

// Unlimited returns an amount that limits nothing.
func Unlimited() Resources {
	return Resources{Cores: unlimited, Memory: unlimited, Accelerators: unlimited}
}

// Limit returns the amount as a limit of which zero as a whole means none.
func (r Resources) Limit() Resources {
	if r.IsZero() {
		return Unlimited()
	}
	return r
}

// LimitEach returns the amount as a limit of which each resource that is zero is not limited.
func (r Resources) LimitEach() Resources {
	if r.Cores == 0 {
		r.Cores = unlimited
	}
	if r.Memory == 0 {
		r.Memory = unlimited
	}
	if r.Accelerators == 0 {
		r.Accelerators = unlimited
	}
	return r
}

// WithinLimit reports whether no resource exceeds its limit; a resource whose limit is zero has none.
func (r Resources) WithinLimit(limit Resources) bool {
	return r.Fits(limit.LimitEach())
}

// DominantShare returns the largest fraction of the whole that the amount takes of any resource.
func (r Resources) DominantShare(whole Resources) float64 {
	return max(
		Fraction(int64(r.Cores), int64(whole.Cores)),
		Fraction(int64(r.Memory), int64(whole.Memory)),
		Fraction(int64(r.Accelerators), int64(whole.Accelerators)),
	)
}

// Fraction returns used/whole; 0 if nothing is used, and 1 if something is used of nothing.
func Fraction(used, whole int64) float64 {
	if used == 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(used) / float64(whole)
}
