// Package rates decides whether the jobs of organisations arrive within their weights, and when the callers of refused
// jobs should retry. It has no clock of its own.
//
// Rates may be used by one goroutine at a time.
package rates

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// defaultWindow is the time in which the weight fills an empty bucket unless the platform sets another one.
	defaultWindow = 2 * time.Second
	// minCapacity is the least capacity of a bucket, in jobs. Jobs of a small organisation arrive in random clusters. At a
	// mean rate of 1/1.9 of the weight, 9 in 100,000 of them are surplus with 8 jobs, 300 with 5, and 10,000 with 2.
	minCapacity = 8
	// maxCapacity keeps the capacity of a very large weight within the range of an int.
	maxCapacity = 1_000_000
	// slotSpan limits how far slots reach beyond the earliest time of a retry. Callers that retry before their slot, or
	// never, would otherwise push the slots of the others ever further back.
	slotSpan = 30 * time.Second
)

type (
	// Tolerance is by how much an organisation may exceed its weight for a short time before its jobs are surplus.
	Tolerance struct {
		// Window is the time in which the weight fills an empty bucket; zero means defaultWindow.
		Window time.Duration
		// Overage is the part of the weight by which it may be exceeded over the window.
		Overage float64
		// Slack is the number of jobs that a bucket holds besides.
		Slack float64
	}

	// Rates holds a token bucket for each organisation with a weight.
	Rates struct {
		tolerance Tolerance
		buckets   map[specs.OrganisationName]*bucket
	}

	// Acceptance is one job that was accepted within the weight of its organisation.
	Acceptance struct {
		Organisation specs.OrganisationName
		At           time.Time
	}

	// bucket holds the tokens of one organisation, and its next slot for a retry.
	bucket struct {
		weight   float64
		limiter  *rate.Limiter
		nextSlot time.Time
	}
)

// New returns Rates without organisations: every job is surplus.
func New(t Tolerance) *Rates {
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return &Rates{tolerance: t, buckets: make(map[specs.OrganisationName]*bucket)}
}

// SetWeights sets the weights, in jobs per second, of all organisations. One that weights lacks has weight 0. A new
// organisation has a full bucket; in the bucket of one whose weight changes, the filled fraction stays the same.
func (r *Rates) SetWeights(weights map[specs.OrganisationName]float64, now time.Time) {
	for name := range r.buckets {
		if weights[name] <= 0 {
			delete(r.buckets, name)
		}
	}
	for name, weight := range weights {
		switch b := r.buckets[name]; {
		case weight <= 0:
		case b == nil:
			r.buckets[name] = &bucket{weight: weight, limiter: r.tolerance.newLimiter(weight)}
		case b.weight != weight:
			b.setWeight(weight, r.tolerance.newLimiter(weight), now)
		}
	}
}

// Replay takes the tokens of jobs that were accepted before, so that the buckets hold what they would hold if they had
// been in use all the time. The acceptances must be sorted by time; those after now count as made now.
func (r *Rates) Replay(accepted []Acceptance, now time.Time) {
	for _, a := range accepted {
		at := a.At
		if at.After(now) {
			at = now
		}
		r.Take(a.Organisation, at)
	}
}

// Within reports whether a job of the organisation that arrives now is within its weight. It takes no token.
func (r *Rates) Within(name specs.OrganisationName, now time.Time) bool {
	b := r.buckets[name]
	return b != nil && b.tokenDelay(now) == 0
}

// Take takes a token of the organisation if there is one.
func (r *Rates) Take(name specs.OrganisationName, now time.Time) {
	if b := r.buckets[name]; b != nil {
		b.limiter.AllowN(now, 1)
	}
}

// Slot returns when the caller of a refused job should retry, at the earliest time or later. Slots follow one another at
// the rate of the weight, so that a caller that comes back in its slot finds a token unless newer jobs have taken it. It
// returns false for an organisation without a weight.
func (r *Rates) Slot(name specs.OrganisationName, now, earliest time.Time) (time.Time, bool) {
	b := r.buckets[name]
	if b == nil {
		return time.Time{}, false
	}
	first := latest(earliest, now.Add(b.tokenDelay(now)))
	slot := latest(first, b.nextSlot)
	if slot.Sub(first) > slotSpan {
		slot = first
	}
	b.nextSlot = slot.Add(b.slotInterval())
	return slot, true
}

// setWeight changes the weight. The tokens and the time up to the next slot are scaled, so that the change takes effect
// at once in both directions, and changes back and forth bring no tokens.
func (b *bucket) setWeight(weight float64, limiter *rate.Limiter, now time.Time) {
	filled := b.limiter.TokensAt(now) / float64(b.limiter.Burst())
	b.limiter = limiter
	capacity := float64(b.limiter.Burst())
	b.limiter.AllowN(now, int(math.Round(capacity*(1-filled))))
	if ahead := b.nextSlot.Sub(now); ahead > 0 {
		scaled := min(ahead.Seconds()*b.weight/weight, 2*slotSpan.Seconds())
		b.nextSlot = now.Add(time.Duration(scaled * float64(time.Second)))
	}
	b.weight = weight
}

// tokenDelay returns the time until the bucket holds a token, at most slotSpan.
func (b *bucket) tokenDelay(now time.Time) time.Duration {
	r := b.limiter.ReserveN(now, 1)
	defer r.CancelAt(now)
	return min(r.DelayFrom(now), slotSpan)
}

// slotInterval returns the time from one slot to the next, at most slotSpan.
func (b *bucket) slotInterval() time.Duration {
	return time.Duration(min(1/b.weight, slotSpan.Seconds()) * float64(time.Second))
}

// newLimiter returns a full bucket.
func (t Tolerance) newLimiter(weight float64) *rate.Limiter {
	wanted := math.Ceil(weight*t.Window.Seconds()*(1+t.Overage) + t.Slack)
	capacity := min(max(wanted, minCapacity), maxCapacity)
	return rate.NewLimiter(rate.Limit(weight), int(capacity))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
