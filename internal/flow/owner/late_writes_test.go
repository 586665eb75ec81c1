package owner

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// A leader that read the answers of a sound store late asked the others to take over, and lost its term for it.
func TestLateLeaderAsksForNoTakeover(t *testing.T) {
	const (
		late = 400 * time.Millisecond
		age  = 700 * time.Millisecond
	)
	for name, c := range map[string]struct {
		late time.Duration
		want bool
	}{
		"Late": {late: late},
		"Idle": {want: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newOwner()
			defer o.Stop()
			asked := make(chan struct{}, 2)
			o.config.OnWritesStalled = func(func() bool) { asked <- struct{}{} }
			o.load.noteLateness(c.late)
			began := f.clock.Now().Add(-age)
			o.inFlight, o.committedAt = []*inFlightWrite{{beganAt: began}}, began
			o.mu.Lock()
			o.checkUnansweredWrites()
			o.mu.Unlock()
			assertAsked(t, asked, c.want)
			o.takeoverRequestedAt = time.Time{}
			o.handleWriteFailure(takeoverUnansweredTries, age, errs.New(errs.Lost, "no answer"))
			assertAsked(t, asked, c.want)
		})
	}
}

func assertAsked(t *testing.T, asked <-chan struct{}, want bool) {
	t.Helper()
	got := false
	select {
	case <-asked:
		got = true
	case <-time.After(50 * time.Millisecond):
	}
	if got != want {
		t.Errorf("asked for a takeover: %t, want %t", got, want)
	}
}
