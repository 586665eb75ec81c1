package owner

import (
	"fmt"
	"time"
)

const (
	// watchdogInterval is how often the turns of the loops are checked.
	watchdogInterval = 100 * time.Millisecond
	// maxTurn is how long a turn of a loop, or its wait for another loop, may last while the store answers this leader. It is
	// far above the longest plans and writes of a leader that is only slow.
	maxTurn = 3 * time.Second
	// storeAnswersWithin is the age of a confirmation up to which the store counts as answering this leader.
	storeAnswersWithin = confirmInterval + confirmTimeout

	// Names of turns.
	waitFreeSlots   = "the ledger's ring is full and waits for a snapshot"
	waitInFlight    = "too many writes of the ledger wait to be committed"
	waitOldestWrite = "the oldest write of the ledger is not answered"
	turnPlan        = "a plan does not end"
	turnTick        = "a tick does not end"
)

// watchdog tells a leader that makes no progress from one whose store is away. Each field counts checks, one after the other.
type watchdog struct {
	// answering counts checks at which the store answered this leader, accepting those at which no write had failed since the latest
	// committed one either, and locked those at which the tables were locked.
	answering int
	accepting int
	locked    int
}

// watchdogLoop gives the term up when a loop makes no progress although the store answers this leader: nothing fails then, so
// nothing else would end the term, and another leader may not be in this one's state.
func (o *Owner) watchdogLoop() {
	var w watchdog
	for o.ctx.Err() == nil {
		o.sleep(watchdogInterval)
		what, checks := o.turns.Check()
		age := time.Duration(checks) * watchdogInterval
		if !w.hasStalled(o, what, age) || o.ctx.Err() != nil {
			continue
		}
		o.counters.stalls.Inc(1)
		o.config.Log.Error().Str("What", what).Dur("For", age).Msg("the leader makes no progress; ending the term")
		o.standBack(fmt.Sprintf("no progress for %s: %s", age, what))
	}
}

// hasStalled makes one check and reports whether the oldest turn, which has lasted for age, is a stall of this leader. While the store is away
// turns may last, and when it is back it may answer a read before the oldest write; so only the time since then counts. Writes that are
// refused are noticed by their failures. Tables that are found locked for maxTurn on end are a stall in any case.
func (w *watchdog) hasStalled(o *Owner, what string, age time.Duration) bool {
	if !o.mu.TryLock() {
		w.locked++
		return min(age, time.Duration(w.locked)*watchdogInterval) >= maxTurn
	}
	defer o.mu.Unlock()
	answers := o.storeAnswers()
	w.locked = 0
	w.answering = nextCount(w.answering, answers)
	w.accepting = nextCount(w.accepting, answers && !o.failedTryAt.After(o.committedAt))
	checks := w.answering
	if what == waitInFlight || what == waitOldestWrite {
		checks = w.accepting
	}
	return min(age, time.Duration(checks)*watchdogInterval) >= maxTurn
}

// nextCount returns the number of checks, one after the other, at which a condition held, this one included.
func nextCount(count int, holds bool) int {
	if !holds {
		return 0
	}
	return count + 1
}
