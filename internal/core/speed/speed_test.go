package speed

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// A single pause must not count as a slow processor, and a processor that stays slow must show.
func TestSlownessFollowsTheMedian(t *testing.T) {
	m := New(clockwork.NewFakeClock())
	observe := func(count int, took time.Duration) {
		for range count {
			m.observe(took)
		}
	}
	check := func(want float64) {
		t.Helper()
		if got := m.Slowness(); got != want {
			t.Errorf("slowness %g, want %g", got, want)
		}
	}
	observe(samples-1, time.Millisecond)
	check(1)
	observe(samples, time.Millisecond)
	observe(1, time.Second)
	check(1)
	observe(samples, 6*time.Millisecond)
	check(6)
	observe(samples, time.Millisecond)
	check(1)
}

// The work of a measurement must take a time that the clock shows.
func TestMeasurementTakesTime(t *testing.T) {
	m := New(clockwork.NewRealClock())
	for range samples {
		m.measure()
	}
	if m.usual <= 0 || m.usual > 10*time.Millisecond {
		t.Errorf("a measurement takes %s", m.usual)
	}
}
