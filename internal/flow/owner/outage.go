package owner

import "time"

const (
	// minOutageDelay and maxOutageDelay bound the time after which callers should retry while the store confirms no write.
	// If the store is unreachable for this leader only, another daemon takes over within minOutageDelay.
	minOutageDelay = time.Second
	maxOutageDelay = 4 * time.Second
	// minStallTimeout is the least time without a committed write after which no further job is put into a write. It grows with
	// the usual latency of the writes, by stallTimeoutFactor, up to maxStallTimeout.
	minStallTimeout    = 200 * time.Millisecond
	maxStallTimeout    = 600 * time.Millisecond
	stallTimeoutFactor = 2
)

// outageRetryDelay returns after what time a caller should retry. It is the time for which the store has confirmed no write,
// within bounds, since a long outage is expected to go on for longer than a short one. Callers have few tries, and with a
// constant short delay they would use them up before an outage of some seconds is over.
func outageRetryDelay(stalled time.Duration) time.Duration {
	return min(max(stalled, minOutageDelay), maxOutageDelay)
}

// stalledFor returns for how long no write was committed though some are in flight, or none could be begun as the ring is full, if
// that is so long, or a try has failed since, that new jobs are put into no further write; else 0. What is in no write is not in doubt: its refusal is
// a definite one. The caller must hold o.mu.
func (o *Owner) stalledFor() time.Duration {
	if age := o.unansweredFor(); age > 0 {
		return age
	}
	if o.ringFullSince.IsZero() {
		return 0
	}
	if age := o.config.Clock.Since(o.ringFullSince); age > o.stallTimeout() {
		return age
	}
	return 0
}

// unansweredFor is stalledFor for writes in flight alone: the store has not confirmed them. The caller must hold o.mu.
func (o *Owner) unansweredFor() time.Duration {
	if len(o.inFlight) == 0 {
		return 0
	}
	now := o.config.Clock.Now()
	// After an outage the writes in flight are old, but are committed one after the other.
	age := min(now.Sub(o.inFlight[0].beganAt), now.Sub(o.committedAt))
	if age > o.stallTimeout() || (age > 0 && o.failedTryAt.After(o.committedAt)) {
		return age
	}
	return 0
}

// stallTimeout returns the time without a committed write from which on writes count as stalled. It includes the lateness of this
// leader, which commits a write only once it comes to read the answer. The caller must hold o.mu.
func (o *Owner) stallTimeout() time.Duration {
	return min(max(stallTimeoutFactor*o.writeLatency, minStallTimeout), maxStallTimeout) + o.load.delay()
}
