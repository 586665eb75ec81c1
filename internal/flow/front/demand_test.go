package front

import (
	"testing"
	"time"
)

// Daemons that wait for short calls which never come are missing for long ones, which gangs wait for.
func TestDaemonsForShortCallsFollowTheDemand(t *testing.T) {
	const most = 10
	want := func(t *testing.T, d *shortDemand, at time.Time, least, greatest int) {
		t.Helper()
		if got := d.daemons(at, most); got < least || got > greatest {
			t.Errorf("%d daemons are for short calls, want %d to %d", got, least, greatest)
		}
	}
	// addCalls adds a call of 20 ms every interval for some time, and returns when it ends.
	addCalls := func(d *shortDemand, from time.Time, interval, span time.Duration) time.Time {
		for at := time.Duration(0); at < span; at += interval {
			d.add(20*time.Millisecond, from.Add(at))
		}
		return from.Add(span)
	}
	t.Run("UnknownDemand", func(t *testing.T) { want(t, &shortDemand{}, now, most, most) })
	t.Run("NewLeader", func(t *testing.T) {
		d := &shortDemand{}
		want(t, d, addCalls(d, now, 20*time.Millisecond, demandWindow/2), most, most)
	})
	t.Run("SteadyDemand", func(t *testing.T) {
		// One second of work a second needs one daemon, and the headroom four.
		d := &shortDemand{}
		want(t, d, addCalls(d, now, 20*time.Millisecond, 6*demandWindow), 4, 5)
	})
	t.Run("LittleDemand", func(t *testing.T) {
		d := &shortDemand{}
		want(t, d, addCalls(d, now, time.Second, 6*demandWindow), 1, 1)
	})
	t.Run("AfterAPause", func(t *testing.T) {
		d := &shortDemand{}
		end := addCalls(d, now, time.Second, 6*demandWindow)
		want(t, d, end.Add(2*demandWindow), most, most)
	})
}
