package relay

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

const (
	// latencyDivisor gives one batch the weight 1/latencyDivisor in the moving average of a relay's latency.
	latencyDivisor = 4
	// A relay is slow when its latency is above minSlowLatency and slowFactor times the usual one.
	minSlowLatency = 100 * time.Millisecond
	slowFactor     = 4
)

// markFailed keeps orders away from the relay for a while. The orders that it has not answered are in doubt.
func (l *link) markFailed(backoff time.Duration, cause error) {
	now := l.client.config.Clock.Now()
	l.mu.Lock()
	waiting := make([]OrderID, 0, len(l.waiting))
	for id := range l.waiting {
		waiting = append(waiting, id)
	}
	alreadyFailed := now.Before(l.backoffUntil)
	l.failedOn, l.backoffUntil, l.latency = now, now.Add(backoff), 0
	l.mu.Unlock()
	l.client.counters.failures.Inc(1)
	if !alreadyFailed {
		l.client.config.Log.Warn().Err(cause).Str("Relay", string(l.target.VM)).Int("Orders", len(waiting)).Dur("Backoff", backoff).
			Msg("relay failed; its runners are called through others")
	}
	l.fail(waiting, errs.New(errs.Lost, "relay %s failed before it answered: %v", l.target.VM, cause))
}

// failureAt returns when the relay failed if it is in backoff, or zero.
func (l *link) failureAt(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.backoffUntil) {
		return l.failedOn
	}
	return time.Time{}
}

// noteAnswer notes that the relay has answered a call.
func (l *link) noteAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt = l.client.config.Clock.Now()
}

// noteReading notes a reading of the relay's clock that was just received.
func (l *link) noteReading(r Reading) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock.observe(r, l.client.config.Clock.Now())
}

// lastAnswer returns when the relay last answered a call.
func (l *link) lastAnswer() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answeredAt
}

// observeLatency adds the latency of one batch. A relay that has become much slower than the others gets no orders for a
// while; the orders that it has are still answered.
func (l *link) observeLatency(took time.Duration) {
	l.client.counters.dispatches.Update(took)
	l.mu.Lock()
	if l.latency == 0 {
		l.latency = took
	} else {
		l.latency += (took - l.latency) / latencyDivisor
	}
	latency := l.latency
	l.mu.Unlock()
	if latency < minSlowLatency || latency < slowFactor*l.client.usualLatency() {
		return
	}
	now := l.client.config.Clock.Now()
	l.mu.Lock()
	l.failedOn, l.backoffUntil, l.latency = now, now.Add(slowBackoff), 0
	l.mu.Unlock()
	l.client.config.Log.Warn().Str("Relay", string(l.target.VM)).Dur("Latency", latency).Dur("Backoff", slowBackoff).
		Msg("relay is slow; its runners are called through others")
}

func (l *link) currentLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency
}

// medianLatency returns the median of the known latencies, or zero when none is known.
func medianLatency(links []*link) time.Duration {
	var known []time.Duration
	for _, l := range links {
		if latency := l.currentLatency(); latency > 0 {
			known = append(known, latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}
