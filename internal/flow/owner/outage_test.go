package owner

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
	constant := lastTry(func(time.Duration) time.Duration { return minOutageDelay })
	if constant >= outage {
		t.Errorf("with a constant delay the last try is %s after the begin of the outage, which outlasts %s", constant, outage)
	}
	if got := lastTry(outageRetryDelay); got < outage {
		t.Errorf("the last try is %s after the begin of the outage, want at least %s", got, outage)
	}
}

// A delay that grows without a bound keeps callers away long after the store is back.
func TestCallersComeBackSoonAfterAnOutage(t *testing.T) {
	for _, stalled := range []time.Duration{0, time.Second, 3 * time.Second, time.Minute} {
		got := outageRetryDelay(stalled)
		if got < minOutageDelay || got > maxOutageDelay {
			t.Errorf("stalled for %s: delay %s, want within %s and %s", stalled, got, minOutageDelay, maxOutageDelay)
		}
	}
}
