package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// confirmInterval is the age of the last confirmation of leadership at which the epoch is read from the store. Ledger
	// writes confirm it as well, so that a leader with work reads nothing.
	confirmInterval = time.Second
	// confirmTimeout limits one read of the epoch.
	confirmTimeout = 900 * time.Millisecond
	// storeContactTimeout is how long a leader goes on starting tasks and renewing leases without a confirmation. A new leader
	// relies on it: it assumes that leases on a runner that has not answered it are valid for this time plus MaxLeaseTTL, unless the
	// former leader has handed over that they are shorter.
	storeContactTimeout = 8 * time.Second
)

// confirmLoop keeps the confirmation of leadership recent while no ledger write does, and ends the term when another daemon
// leads.
func (o *Owner) confirmLoop() {
	for o.ctx.Err() == nil {
		o.mu.Lock()
		age := o.config.Clock.Since(o.confirmedAt)
		o.mu.Unlock()
		if age >= confirmInterval {
			o.confirmLeadership()
		}
		o.sleep(renewBackoff)
	}
}

// confirmLeadership reads the epoch from the store once.
func (o *Owner) confirmLeadership() {
	ctx, cancel := context.WithTimeout(o.ctx, confirmTimeout)
	defer cancel()
	sentAt := o.config.Clock.Now()
	leading, err := o.isLeader(ctx)
	switch {
	case o.ctx.Err() != nil:
	case err != nil:
		o.config.Log.Debug().Err(err).Msg("leadership is not confirmed; reading the epoch again")
	case !leading:
		o.endTerm("the store holds the epoch of another leader")
	default:
		o.mu.Lock()
		defer o.mu.Unlock()
		o.noteConfirmed(sentAt)
	}
}

// noteConfirmed records that the store has confirmed this leader's epoch in the answer to a request that was sent at the
// given time. The time of the answer proves nothing: the process may have been paused before it read the answer. The caller
// must hold o.mu.
func (o *Owner) noteConfirmed(sentAt time.Time) {
	if sentAt.After(o.confirmedAt) {
		o.confirmedAt = sentAt
	}
}

// isLeadershipConfirmed reports whether leadership was confirmed recently enough to start tasks and renew leases, and was not handed over.
// The caller must hold o.mu.
func (o *Owner) isLeadershipConfirmed() bool {
	return !o.handedOver && o.config.Clock.Since(o.confirmedAt) <= storeContactTimeout
}

// storeAnswers reports whether the store has confirmed leadership recently. The caller must hold o.mu.
func (o *Owner) storeAnswers() bool {
	return o.config.Clock.Since(o.confirmedAt) <= storeAnswersWithin
}

// isStoreAnswering is storeAnswers for a caller that does not hold o.mu.
func (o *Owner) isStoreAnswering() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.storeAnswers()
}

// handleFenced handles a runner's refusal of the fence that is in use for it: the term ends unless the store shows that the epoch is still
// that of this term. A single runner that holds a foreign fence must not end one term after the other. The caller must hold o.mu.
func (o *Owner) handleFenced(r *tasks.Runner) {
	now := o.config.Clock.Now()
	o.fencedBy[r.Info.ID] = struct{}{}
	if now.Sub(o.fenceCheckedAt) < confirmInterval {
		return
	}
	o.fenceCheckedAt = now
	go o.guarded("check of the epoch", func() { o.checkFence(r) })()
}

// checkFence reads the epoch after a runner has refused the fence in use. A runner that holds the fence of no leader cannot be reached. If
// the store does not answer, the refusals of two runners are enough.
func (o *Owner) checkFence(r *tasks.Runner) {
	ctx, cancel := context.WithTimeout(o.ctx, confirmTimeout)
	defer cancel()
	leading, err := o.isLeader(ctx)
	if o.ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	isFenced := (err == nil && !leading) || (err != nil && len(o.fencedBy) > 1)
	if !isFenced && o.table.Runners[r.Info.ID] == r && r.UnreachableSince.IsZero() {
		o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Msg("runner refuses this leader's fence although no other daemon is known to lead; it is not used")
		o.noteUnreachable(r, false)
	}
	o.mu.Unlock()
	if isFenced {
		o.endTerm("runner " + string(r.Info.ID) + " has seen a later leader")
	}
}
