package elect

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// Guards against a weak daemon that came to lead while all strong ones were away, and leads for good after they are back.
func TestStrongDaemonSucceedsAWeakLeader(t *testing.T) {
	f := newClusterFixture(t)
	weak := f.joinWithStrength("weak", 0.2)
	f.awaitLeader(weak)
	strong := f.joinWithStrength("strong", 1)
	f.eventually("the strong daemon leads", func() bool { return f.termOf(strong) != nil && f.termOf(weak) == nil })
}

// Guards against a change of the leader for a VM that is hardly stronger, whose size is unknown, or that could not keep its terms lately.
func TestOnlyAMuchWeakerLeaderIsOutranked(t *testing.T) {
	cases := map[string]struct {
		leader Strength
		lost   int
		want   bool
	}{
		"MuchWeaker":      {leader: 0.2, want: true},
		"SlightlyWeaker":  {leader: 0.6},
		"UnknownStrength": {},
		"AfterALostTerm":  {leader: 0.2, lost: 1, want: true},
		"AfterLostTerms":  {leader: 0.2, lost: maxLostTerms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := New(Config{Self: peer.Target{VM: "strong"}, Strength: 1, Clock: clock, Log: zerolog.Nop()})
			e.leader = Leader{Target: peer.Target{VM: "leader"}, Epoch: 1}
			e.members["leader"] = Member{Target: e.leader.Target, Strength: c.leader}
			for range c.lost {
				e.noteLostTerm()
			}
			if e.hasOutrankedLeader() {
				t.Error("the leader is outranked at once")
			}
			clock.Advance(outrankTTLs * e.config.TTL)
			if got := e.hasOutrankedLeader(); got != c.want {
				t.Errorf("the leader is outranked: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against strong daemons that cannot keep a term, and end those of a weak leader that serves one after the other.
func TestWeakLeadersInARowAreLeftAloneForLonger(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(Config{Self: peer.Target{VM: "strong"}, Strength: 1, Clock: clock, Log: zerolog.Nop()})
	e.members["weak"] = Member{Strength: 0.2}
	e.members["other"] = Member{Strength: 1}
	lead := func(vm types.VMID, epoch types.Epoch) {
		e.leader = Leader{Target: peer.Target{VM: vm}, Epoch: epoch}
		e.hasOutrankedLeader()
	}
	for i := range 3 {
		lead("weak", types.Epoch(2*i+1))
		wait := outrankTTLs * e.config.TTL << i
		clock.Advance(wait - time.Millisecond)
		if e.hasOutrankedLeader() {
			t.Errorf("weak leader %d is outranked before %s", i+1, wait)
		}
		clock.Advance(time.Millisecond)
		if !e.hasOutrankedLeader() {
			t.Errorf("weak leader %d is not outranked after %s", i+1, wait)
		}
		lead("other", types.Epoch(2*i+2))
	}
}
