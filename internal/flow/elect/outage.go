package elect

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// outageGrace is for how long after an outage of the store the daemons that were hit by it leave it to the former leader to write its
// record again. All leases expire in an outage, so a missing record does not show that the leader has ended, and another leader would
// lose the changes of the outage. A leader learns of the end within a renewal that times out and its backoff, and needs three calls.
const outageGrace = 600 * time.Millisecond

// contact tells when the store answers this daemon again after an outage. Its methods require Elector.mu.
type contact struct {
	// answeredAt is when the store last answered, or when the first call failed, and failed is set once a call has failed since.
	answeredAt time.Time
	failed     bool
	// outageEndedAt is when the store answered again after an outage; zero before the first one.
	outageEndedAt time.Time
	// awaited is the epoch whose leader was awaited after the outage that ended at awaitedAt; 0 once its record was there again.
	awaited   types.Epoch
	awaitedAt time.Time
}

// noteAnswer records that the store has answered a call. It was away if it answered none for as long as a lease lasts, and a call failed
// meanwhile: a process that was paused has made no calls.
func (c *contact) noteAnswer(now time.Time, leaseTTL time.Duration) {
	if c.failed && now.Sub(c.answeredAt) >= leaseTTL {
		c.outageEndedAt = now
	}
	c.answeredAt, c.failed = now, false
}

// noteFailure records that a call to the store has failed.
func (c *contact) noteFailure(now time.Time) {
	if c.answeredAt.IsZero() {
		c.answeredAt = now
	}
	c.failed = true
}

// isOutageRecent reports whether an outage has ended within outageGrace.
func (c *contact) isOutageRecent(now time.Time) bool {
	return !c.outageEndedAt.IsZero() && now.Sub(c.outageEndedAt) < outageGrace
}

// noteCall records whether the store has answered a call; an answer that a lease or version is gone is one.
func (e *Elector) noteCall(isAnswered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	if isAnswered {
		e.contact.noteAnswer(now, e.config.TTL)
	} else {
		e.contact.noteFailure(now)
	}
}

// awaitsFormerLeader reports whether the leader record is missing after an outage of the store, and this daemon leaves it to the former
// leader to write it again. One that was suspected before its record expired is not waited for. The caller must hold e.mu.
func (e *Elector) awaitsFormerLeader(now time.Time) bool {
	if e.term != nil || e.record.Epoch != 0 || !e.contact.isOutageRecent(now) {
		return false
	}
	if e.suspectEpoch == e.epochRecord.Epoch && now.Sub(e.suspectedAt) < suspectTimeout {
		return false
	}
	return e.contact.awaitOnce(e.epochRecord.Epoch)
}

// awaitOnce reports whether the latest outage is the first one after which the leader of the epoch is awaited: a store that comes and
// goes must not keep leadership vacant.
func (c *contact) awaitOnce(epoch types.Epoch) bool {
	if c.awaited != epoch {
		c.awaited, c.awaitedAt = epoch, c.outageEndedAt
	}
	return c.awaitedAt.Equal(c.outageEndedAt)
}
