package elect

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// outrankTTLs is for how many TTLs a daemon finds that it outranks the leader before it takes over: a strong daemon that comes and goes
// must not end one term after the other.
const outrankTTLs = 4

// outrank tells since when this daemon has outranked the leader of an epoch.
type outrank struct {
	epoch types.Epoch
	since time.Time
}

// hasOutrankedLeader reports whether this daemon has outranked the present leader for outrankTTLs. The caller must hold e.mu.
func (e *Elector) hasOutrankedLeader() bool {
	if !e.outranksLeader() {
		e.outrank = outrank{}
		return false
	}
	now := e.config.Clock.Now()
	if e.outrank.epoch != e.leader.Epoch {
		e.outrank = outrank{epoch: e.leader.Epoch, since: now}
	}
	return now.Sub(e.outrank.since) >= outrankTTLs*e.config.TTL
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
