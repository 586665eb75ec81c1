package elect

import "time"

const (
	// A daemon that has lost terms within lostTermMemory waits lostTermStep longer for each of them, at most maxLostTerms of them,
	// before it claims leadership, so that daemons which have not shown that they cannot keep a term claim it first. The step is
	// longer than maxRankDelay and maxJitter together, with the time in which a distant daemon learns of a vacancy and claims.
	lostTermStep   = 300 * time.Millisecond
	lostTermMemory = time.Minute
	maxLostTerms   = 2
)

// noteLostTerm records that a term of this daemon has ended. The caller must hold e.mu.
func (e *Elector) noteLostTerm() {
	e.lostTermsAt = append(e.lostTermsAt, e.config.Clock.Now())
	if excess := len(e.lostTermsAt) - maxLostTerms; excess > 0 {
		e.lostTermsAt = e.lostTermsAt[excess:]
	}
}

// lostTermDelay returns the delay during which this daemon lets others claim leadership first because it has lost terms. The caller
// must hold e.mu.
func (e *Elector) lostTermDelay() time.Duration {
	var delay time.Duration
	for _, at := range e.lostTermsAt {
		if e.config.Clock.Since(at) <= lostTermMemory {
			delay += lostTermStep
		}
	}
	return delay
}

// HasSuccessor reports whether another daemon is likely to lead if this one leaves its term: one of enough strength is listed, and this
// daemon has lost no term lately. One that has leads again because no other does.
func (e *Elector) HasSuccessor() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lostTermDelay() > 0 {
		return false
	}
	for vm, m := range e.members {
		if vm != e.config.Self.VM && m.Strength >= weakShare*e.config.Strength {
			return true
		}
	}
	return false
}
