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
