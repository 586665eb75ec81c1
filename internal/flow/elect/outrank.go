package elect

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const (
	// outrankTTLs is for how many TTLs a daemon finds that it outranks the leader before it takes over: a strong daemon that comes and goes
	// must not end one term after the other.
	outrankTTLs = 4
	// A weak leader that follows another within weakTermMemory shows that strong ones do not keep their terms. Each doubles the time
	// before a takeover, up to maxOutrankDoublings times: a weak leader that serves is better than a change every few seconds.
	weakTermMemory      = 2 * time.Minute
	maxOutrankDoublings = 4
)

// outrank tells since when this daemon has outranked the leader of an epoch.
type outrank struct {
	epoch types.Epoch
	since time.Time
	// weakTermsAt holds when this daemon first outranked the leader of each epoch within weakTermMemory; latest is the last of them.
	weakTermsAt []time.Time
	latest      types.Epoch
}

// begin notes that this daemon outranks the leader of an epoch from now on.
func (o *outrank) begin(epoch types.Epoch, now time.Time) {
	if epoch > o.latest {
		o.weakTermsAt = slices.DeleteFunc(o.weakTermsAt, func(at time.Time) bool { return now.Sub(at) > weakTermMemory })
		o.weakTermsAt = append(o.weakTermsAt, now)
		o.latest = epoch
	}
	o.epoch, o.since = epoch, now
}

// wait returns for how long this daemon leaves the leader that it outranks in its term.
func (o *outrank) wait(ttl time.Duration) time.Duration {
	return outrankTTLs * ttl << min(max(0, len(o.weakTermsAt)-1), maxOutrankDoublings)
}

// hasOutrankedLeader reports whether this daemon has outranked the present leader for long enough to take over. The caller must hold e.mu.
func (e *Elector) hasOutrankedLeader() bool {
	if !e.outranksLeader() {
		e.outrank.epoch, e.outrank.since = 0, time.Time{}
		return false
	}
	now := e.config.Clock.Now()
	if e.outrank.epoch != e.leader.Epoch {
		e.outrank.begin(e.leader.Epoch, now)
	}
	return now.Sub(e.outrank.since) >= e.outrank.wait(e.config.TTL)
}

// outranksLeader reports whether the leader runs on a VM that is weak beside this one, so that it may not have the capacity for the
// leader's work. A daemon that has lost maxLostTerms lately outranks nobody: it may be slower than its VM's size says. The caller must
// hold e.mu.
func (e *Elector) outranksLeader() bool {
	if e.term != nil || e.leader.Epoch == 0 || e.lostTermDelay() >= maxLostTerms*lostTermStep {
		return false
	}
	strength := e.members[e.leader.Target.VM].Strength
	return strength > 0 && strength < weakShare*e.config.Strength
}
