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

// watchdog tells a leader that makes no progress from one whose store is away.
type watchdog struct {
	// answeringChecks is the number of checks since the store began to answer this leader without a failed write, and lockedChecks
	// that of the latest checks, one after the other, at which the tables were locked.
	answeringChecks int
	lockedChecks    int
}

// watchdogLoop gives the term up when a loop makes no progress although the store answers this leader: nothing fails then, so
// nothing else would end the term, and another leader may not be in this one's state.
func (o *Owner) watchdogLoop() {
	var w watchdog
	for o.ctx.Err() == nil {
		o.sleep(watchdogInterval)
		what, checks := o.turns.Check()
		age := time.Duration(checks) * watchdogInterval
		if !w.hasStalled(o, age) || o.ctx.Err() != nil {
			continue
		}
		o.counters.stalls.Inc(1)
		o.config.Log.Error().Str("What", what).Dur("For", age).Msg("the leader makes no progress; ending the term")
		o.standBack(fmt.Sprintf("no progress for %s: %s", age, what))
	}
}

// hasStalled makes one check and reports whether the oldest turn, which has lasted for age, is a stall of this leader. While the store is away
// or refuses writes, turns may last, and when it is back it may answer a read before the oldest write; so only the time since then counts.
// Tables that are found locked for maxTurn on end are a stall in any case.
func (w *watchdog) hasStalled(o *Owner, age time.Duration) bool {
	if o.mu.TryLock() {
		w.lockedChecks = 0
		w.noteAnswer(o.storeAnswers() && o.config.Clock.Since(o.failedTryAt) > storeAnswersWithin)
		o.mu.Unlock()
	} else {
		w.lockedChecks++
	}
	longest := time.Duration(max(w.answeringChecks, w.lockedChecks)) * watchdogInterval
	return min(age, longest) >= maxTurn
}

func (w *watchdog) noteAnswer(answers bool) {
	if answers {
		w.answeringChecks++
	} else {
		w.answeringChecks = 0
	}
}
