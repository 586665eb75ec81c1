package tasks

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// TestClockThatGoesBack guards against a runner whose clock stood still, as that of a suspended VM, and whose leases are then
// counted from where its clock was expected to be: they last longer there than the leader waits before it starts the tasks
// elsewhere.
func TestClockThatGoesBack(t *testing.T) {
	const lease = 5 * time.Second
	start := time.UnixMilli(0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	newRunner := func() *Runner {
		r := NewRunner(agent.Runner{ID: "w"}, 1)
		r.ClockAt = at(0)
		r.ObserveClock(agent.Clock(100*time.Second), at(0), at(0))
		r.ExtendLease(at(0), lease)
		return r
	}
	t.Run("LeasesFollowIt", func(t *testing.T) {
		r := newRunner()
		if !r.ObserveClock(agent.Clock(101*time.Second), at(20), at(20.1)) {
			t.Error("a clock that is 19 s behind did not count as gone back")
		}
		granted := r.ExtendLease(at(20.1), lease)
		if want := agent.Clock(106 * time.Second); granted > want {
			t.Errorf("the lease lasts until %s on a clock of 101 s", time.Duration(granted))
		}
		if r.LeaseExpired(at(22)) {
			t.Error("the lease counts as expired 3 s before it expires on the runner")
		}
	})
	t.Run("FormerLeasesStillCount", func(t *testing.T) {
		r := newRunner()
		r.ObserveClock(agent.Clock(101*time.Second), at(20), at(20.1))
		if r.LeaseExpired(at(23.9)) {
			t.Error("the lease of before counts as expired at 104.8 s of the runner's clock, before its deadline of 105 s")
		}
	})
	t.Run("LateAnswerIsIgnored", func(t *testing.T) {
		r := newRunner()
		if r.ObserveClock(agent.Clock(101*time.Second), at(1), at(20)) {
			t.Error("an answer that was read late counts as a clock that went back")
		}
		if got := r.Now(at(20)); got < agent.Clock(119*time.Second) {
			t.Errorf("the bound of the clock fell to %s", time.Duration(got))
		}
	})
	t.Run("RoundedClockIsNone", func(t *testing.T) {
		r := newRunner()
		if r.ObserveClock(agent.Clock(100*time.Second-time.Millisecond), at(0), at(0.001)) {
			t.Error("a clock that states whole milliseconds counts as gone back")
		}
	})
}
