package elect

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Guards against a change of leader after an outage of the store, which loses all changes of the outage, because another daemon is
// nearer to the store.
func TestDistantLeaderKeepsItsTermThroughAnOutage(t *testing.T) {
	f := newClusterFixture(t)
	leader := f.joinThrough("distant", 1, func(b store.Batcher) store.Batcher { return distantStore{b} })
	f.awaitLeader(leader)
	all := append(f.joinMany(3), leader)
	f.awaitLeader(all...)
	f.eventually("all are members", func() bool { return len(leader.Members()) == len(all) })
	epoch := f.termOf(leader).Epoch
	for range 3 {
		f.memory.Faults.SetDown(true)
		time.Sleep(2 * testTTL)
		f.memory.Faults.SetDown(false)
		f.eventually("the record names a daemon that leads", func() bool { return f.servedBy(all) != nil })
		if got := f.termOf(leader); got == nil || got.Epoch != epoch {
			t.Fatalf("the leader has the term %+v, want epoch %d", got, epoch)
		}
	}
}

// Guards against a vacancy for good when the leader ends during an outage of the store.
func TestLeaderThatEndsInAnOutageIsReplaced(t *testing.T) {
	f := newClusterFixture(t)
	a, b := f.join("a"), f.join("b")
	leader, other := f.awaitLeaderOf(a, b)
	f.memory.Faults.SetDown(true)
	leader.stop()
	time.Sleep(2 * testTTL)
	f.memory.Faults.SetDown(false)
	f.assertServed(other)
}

// Guards against daemons that leave leadership to a leader which is known to have ended, or without an outage.
func TestOnlyALeaderOfAnOutageIsAwaited(t *testing.T) {
	const epoch = 7
	for name, c := range map[string]struct {
		fresh     bool
		fails     bool
		silent    time.Duration
		suspected bool
		since     time.Duration
		want      bool
	}{
		"after an outage":                      {fails: true, silent: 2 * DefaultTTL, want: true},
		"after single failed calls":            {fails: true, silent: DefaultTTL / 2},
		"after the first calls failed":         {fresh: true, fails: true, silent: DefaultTTL / 2},
		"after a start in an outage":           {fresh: true, fails: true, silent: 2 * DefaultTTL, want: true},
		"after a pause of the process":         {silent: 2 * DefaultTTL},
		"when the leader was suspected before": {fails: true, silent: 2 * DefaultTTL, suspected: true},
		"long after an outage":                 {fails: true, silent: 2 * DefaultTTL, since: outageGrace},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := New(Config{Self: peer.Target{VM: "a"}, Clock: clock, Log: zerolog.Nop()})
			e.leader, e.epochRecord = Leader{Epoch: epoch}, epochRecord{Epoch: epoch}
			if !c.fresh {
				e.noteCall(true)
			}
			if c.fails {
				e.noteCall(false)
			}
			clock.Advance(c.silent)
			if c.suspected {
				e.SuspectLeader(epoch, "test")
			}
			e.noteCall(true)
			clock.Advance(c.since)
			if got := e.awaitsFormerLeader(clock.Now()); got != c.want {
				t.Errorf("awaits the former leader: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a leadership that stays vacant while the store comes and goes, because each outage begins the wait for the leader anew.
func TestLeaderIsAwaitedAfterOneOutageOnly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(Config{Self: peer.Target{VM: "a"}, Clock: clock, Log: zerolog.Nop()})
	e.leader, e.epochRecord = Leader{Epoch: 7}, epochRecord{Epoch: 7}
	e.noteCall(true)
	for outage, want := range []bool{true, false, false} {
		e.noteCall(false)
		clock.Advance(2 * DefaultTTL)
		e.noteCall(true)
		if got := e.awaitsFormerLeader(clock.Now()); got != want {
			t.Errorf("after outage %d the leader is awaited: %t, want %t", outage+1, got, want)
		}
		clock.Advance(outageGrace / 2)
	}
}
