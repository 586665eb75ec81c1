// Package hold decides whether a submission that cannot be accepted now waits for the end of an outage or is refused at
// once, and when a refused caller should return.
//
// It answers the load of outages of some seconds: of the store, or of the leader until another one has taken over.
// Callers have a few tries within a few seconds. Refused at once, they use up these tries before the outage is over, or
// return some time after its end; while they wait, they are served the moment that it ends. A submission that waits was
// put into no write, so the refusal that ends a wait in vain is still a definite one.
package hold

import (
	"sync"
	"time"
)

const (
	// ageDivisor is the part of the outage's age that a caller must be able to wait for. An outage is expected to go on for
	// about as long as it has lasted, so a caller with less time than that has odds of under one in twenty.
	ageDivisor = 20
	// minRetryDelay and maxRetryDelay bound the time after which refused callers should return. If the store is unreachable
	// for one leader only, another daemon takes over within minRetryDelay.
	minRetryDelay = time.Second
	maxRetryDelay = 4 * time.Second
	// MaxWait is the longest time that a submission waits, however much time its caller has, so that a daemon that stops
	// has answered all of them before it must end.
	MaxWait = 4 * time.Second
	// quietTime is the time without a failed submission after which the next failure begins a new outage.
	quietTime = 2 * time.Second
)

type (
	// Patience is how long the caller of a submission has waited so far, and how much longer it can wait. The zero value is
	// that of a caller who is refused at once.
	Patience struct {
		Waited time.Duration
		Left   time.Duration
	}

	// Outage records for how long submissions have not been accepted. The zero value is ready to use, and it is safe for
	// concurrent use.
	Outage struct {
		mu    sync.Mutex
		since time.Time
		// lastAt is when the latest submission failed.
		lastAt time.Time
	}
)

// Fail records that a submission could not be accepted, and returns the age of the outage.
func (o *Outage) Fail(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || now.Sub(o.lastAt) > quietTime {
		o.since = now
	}
	o.lastAt = now
	return now.Sub(o.since)
}

// End records that a submission was decided on.
func (o *Outage) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = time.Time{}
}

// IsWorthwhile reports whether a caller should wait for the end of an outage of the given age, when it can wait for left.
func IsWorthwhile(age, left time.Duration) bool {
	return left > 0 && left >= age/ageDivisor
}

// RetryDelay returns after what time a refused caller should return. It is the age of the outage, within bounds, since a long
// outage is expected to go on for longer than a short one. With a constant short delay, callers would use up their tries
// before an outage of some seconds is over.
func RetryDelay(age time.Duration) time.Duration {
	return min(max(age, minRetryDelay), maxRetryDelay)
}
