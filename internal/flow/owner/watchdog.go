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

// watchdogLoop gives the term up when a loop makes no progress although the store answers this leader: nothing fails then, so
// nothing else would end the term, and another leader may not be in this one's state.
func (o *Owner) watchdogLoop() {
	for o.ctx.Err() == nil {
		o.sleep(watchdogInterval)
		what, checks := o.turns.Check()
		age := time.Duration(checks) * watchdogInterval
		if o.ctx.Err() != nil || age < maxTurn || !o.hasStalled(age) {
			continue
		}
		o.counters.stalls.Inc(1)
		o.config.Log.Error().Str("What", what).Dur("For", age).Msg("the leader makes no progress; ending the term")
		o.config.OnStalled(fmt.Sprintf("no progress for %s: %s", age, what))
		o.cancel()
	}
}

// hasStalled reports whether a turn that has lasted for age, more than maxTurn, is a stall of this leader: while the store is away, turns
// may last. A lock of the tables that is not released for maxTurn more is a stall in any case.
func (o *Owner) hasStalled(age time.Duration) bool {
	if !o.mu.TryLock() {
		return age >= 2*maxTurn
	}
	defer o.mu.Unlock()
	return o.config.Clock.Since(o.confirmedAt) <= storeAnswersWithin
}
