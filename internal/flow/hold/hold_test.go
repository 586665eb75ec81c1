package hold

import (
	"testing"
	"time"
)

// callerTries is how often a caller submits a job before it gives up, firstTry how long after the begin of an outage its
// first try is refused.
const (
	callerTries = 5
	firstTry    = 700 * time.Millisecond
)

// lastTry returns how long after the begin of an outage a caller makes its last try.
func lastTry(delay func(stalled time.Duration) time.Duration) time.Duration {
	at := firstTry
	for range callerTries - 1 {
		at += delay(at)
	}
	return at
}

// With a delay that stays at one second a caller gives up within an outage of five seconds.
func TestCallersOutlastAnOutage(t *testing.T) {
	const outage = 9 * time.Second
	constant := lastTry(func(time.Duration) time.Duration { return minRetryDelay })
	if constant >= outage {
		t.Errorf("with a constant delay the last try is %s after the begin of the outage, which outlasts %s", constant, outage)
	}
	if got := lastTry(RetryDelay); got < outage {
		t.Errorf("the last try is %s after the begin of the outage, want at least %s", got, outage)
	}
}

// A delay that grows without a bound keeps callers away long after the store is back.
func TestCallersComeBackSoonAfterAnOutage(t *testing.T) {
	for _, stalled := range []time.Duration{0, time.Second, 3 * time.Second, time.Minute} {
		got := RetryDelay(stalled)
		if got < minRetryDelay || got > maxRetryDelay {
			t.Errorf("stalled for %s: delay %s, want within %s and %s", stalled, got, minRetryDelay, maxRetryDelay)
		}
	}
}

// Load of an outage: callers arrive all the time, each with a budget and a few tries within it.
const (
	callerBudget = 3 * time.Second
	arrivalPause = 20 * time.Millisecond
	pollPause    = 10 * time.Millisecond
)

// isServedWaiting reports whether a caller that arrives during an outage is served by its end when it waits as long as
// that is worthwhile.
func isServedWaiting(arrival, outage time.Duration) bool {
	for at := arrival; at < outage; at += pollPause {
		if !IsWorthwhile(at, arrival+callerBudget-at) {
			return false
		}
	}
	return true
}

// isServedByRetries reports whether a caller that is refused at once, and returns as it is told, is served within its budget.
func isServedByRetries(arrival, outage time.Duration) bool {
	at := arrival
	for range callerTries {
		if at >= outage {
			return true
		}
		at += RetryDelay(at)
		if at >= arrival+callerBudget {
			return false
		}
	}
	return false
}

// Under a store that takes no write for some seconds, callers whose time is not over at its return must be served: refused ones
// are away at that moment, or have no tries left.
func TestWaitingCallersAreServedWhenAnOutageEnds(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 3 * time.Second, 4500 * time.Millisecond, 9 * time.Second} {
		possible, waiting, retrying := 0, 0, 0
		for arrival := time.Duration(0); arrival < outage; arrival += arrivalPause {
			if arrival+callerBudget-outage > outage/ageDivisor {
				possible++
			}
			if isServedWaiting(arrival, outage) {
				waiting++
			}
			if isServedByRetries(arrival, outage) {
				retrying++
			}
		}
		if waiting < possible || waiting < retrying || (outage > callerBudget && waiting == retrying) {
			t.Errorf("outage of %s: %d callers are served by waiting, want all of the %d who can be, and not fewer than the %d that retries serve (more in a long outage)",
				outage, waiting, possible, retrying)
		}
	}
}

// A caller who has no chance must be told so at once, not at the end of its time.
func TestNobodyWaitsInALongOutage(t *testing.T) {
	if IsWorthwhile(5*time.Minute, callerBudget) {
		t.Errorf("a caller with %s waits in an outage of five minutes", callerBudget)
	}
	if IsWorthwhile(0, 0) {
		t.Error("a caller who cannot wait waits")
	}
}

func TestOutageBeginsAnewAfterAQuietTime(t *testing.T) {
	var o Outage
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o.Fail(at)
	if age := o.Fail(at.Add(time.Second)); age != time.Second {
		t.Errorf("the age is %s, want 1 s", age)
	}
	if age := o.Fail(at.Add(time.Second + 2*quietTime)); age != 0 {
		t.Errorf("after a quiet time the age is %s, want 0", age)
	}
	o.End()
	if age := o.Fail(at.Add(time.Minute)); age != 0 {
		t.Errorf("after a decision the age is %s, want 0", age)
	}
}
