package timing

import (
	"testing"
	"time"
)

const (
	least = 20 * time.Millisecond
	most  = 500 * time.Millisecond
)

// A timeout that stays below the usual time of answers makes every call be sent twice; one that stays far above it delays each
// retry.
func TestTimeoutFollowsTheAnswers(t *testing.T) {
	var e Estimator
	checkTimeout(t, &e, most, most)
	for range 50 {
		e.Observe(30 * time.Millisecond)
	}
	checkTimeout(t, &e, 30*time.Millisecond, 60*time.Millisecond)
	for range 30 {
		e.Observe(200 * time.Millisecond)
	}
	checkTimeout(t, &e, 200*time.Millisecond, most)
	for range 80 {
		e.Observe(30 * time.Millisecond)
	}
	checkTimeout(t, &e, 30*time.Millisecond, 60*time.Millisecond)
}

// Answers of very different times need a timeout above most of them.
func TestTimeoutCoversTheSpread(t *testing.T) {
	var e Estimator
	for i := range 200 {
		e.Observe(time.Duration(20+60*(i%2)) * time.Millisecond)
	}
	checkTimeout(t, &e, 80*time.Millisecond, 250*time.Millisecond)
}

func checkTimeout(t *testing.T, e *Estimator, atLeast, atMost time.Duration) {
	t.Helper()
	if got := e.Timeout(least, most); got < atLeast || got > atMost {
		t.Errorf("timeout %s, want %s to %s", got, atLeast, atMost)
	}
}
