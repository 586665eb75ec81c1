package elect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// maxJitter limits the random delay that spreads the claims of daemons that are equally near to the store.
const maxJitter = 40 * time.Millisecond

// watchLoop keeps the known leader, epoch and members up to date until ctx ends.
func (e *Elector) watchLoop(ctx context.Context) {
	var version store.Version
	for ctx.Err() == nil {
		var err error
		if version == store.Absent {
			version, err = e.listControl(ctx)
		} else {
			version, err = e.watchControl(ctx, version)
		}
		if err != nil {
			e.config.Log.Debug().Err(err).Msg("could not read or watch the election records; reading them again after the backoff")
			every.Sleep(ctx, e.config.Clock, retryBackoff)
		}
	}
}

// listControl reads leader, epoch and members, and returns the version from which to watch. On an error it returns
// store.Absent.
func (e *Elector) listControl(ctx context.Context) (store.Version, error) {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := e.config.Store.List(limited, controlPrefix)
	e.noteCall(err == nil)
	if err != nil {
		return store.Absent, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetMembers()
	e.applyEntry(store.Entry{Key: LeaderKey, Deleted: true})
	for _, entry := range page.Entries {
		e.applyEntry(entry)
	}
	e.listed = true
	e.lastContact = e.config.Clock.Now()
	every.Wake(e.recordsChanged)
	return page.Version, nil
}

// watchControl waits for changes of leader, epoch and members after the given version, and returns the version from
// which to watch next. It returns store.Absent when the list must be read again.
func (e *Elector) watchControl(ctx context.Context, version store.Version) (store.Version, error) {
	limited, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	page, err := e.config.Store.Watch(limited, controlPrefix, version)
	e.noteCall(err == nil || errs.Is(err, errs.Conflict))
	if errs.Is(err, errs.Conflict) {
		return store.Absent, nil
	}
	if err != nil {
		// Events may have been missed while the call failed, so the list must be read again.
		return store.Absent, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range page.Entries {
		e.applyEntry(entry)
	}
	e.lastContact = e.config.Clock.Now()
	if e.leaderVersion == store.Absent {
		every.Wake(e.recordsChanged)
	}
	return page.Version, nil
}

// decideLoop claims leadership when it is vacant, and ends this daemon's term when another daemon leads.
func (e *Elector) decideLoop(ctx context.Context) {
	wait := decideInterval
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.recordsChanged:
		case <-e.config.Clock.After(wait):
		}
		wait = e.decide(ctx)
	}
}

// decide makes one round of decideLoop. It returns the time until the next round.
func (e *Elector) decide(ctx context.Context) time.Duration {
	e.mu.Lock()
	step, wait := e.nextStep()
	e.checkTermless()
	e.mu.Unlock()
	if step != nil {
		step(ctx)
	}
	return wait
}

// nextStep returns what this daemon does about leadership now, or nil, and the time until the next round. It claims, or reasserts,
// vacant leadership only after its delay. The caller must hold e.mu, and release it before it calls the step.
func (e *Elector) nextStep() (step func(context.Context), wait time.Duration) {
	term, left := e.term, e.claimDelayLeft()
	switch {
	case term != nil && (e.epochRecord.Epoch > term.Epoch || e.leader.Epoch > term.Epoch):
		return func(context.Context) { e.EndTerm(*term, "another daemon leads under a newer epoch") }, decideInterval
	case term == nil && !e.mayLead() && e.isRecordOfProcess():
		return e.releaseRecord, decideInterval
	case e.lease != 0 && e.isClaimApplied():
		leader, record, version := e.record, e.epochRecord, e.epochVersion
		return func(context.Context) { e.adoptClaim(leader, record, version) }, decideInterval
	case e.vacantSince.IsZero():
		return nil, decideInterval
	case left > 0:
		return nil, min(left, decideInterval)
	case term != nil:
		return func(ctx context.Context) { e.reassertLeadership(ctx, *term) }, decideInterval
	default:
		return e.claim, decideInterval
	}
}

// claimDelayLeft notes whether this daemon finds leadership vacant and may claim it, and returns the time left of its delay before a claim:
// for the latency to the store, for a weaker VM and for lost terms, and a random one. A leader reasserts its leadership without a delay
// while the others leave it to it. The caller must hold e.mu.
func (e *Elector) claimDelayLeft() time.Duration {
	now := e.config.Clock.Now()
	if !e.listed || !e.mayLead() || e.lease == 0 || !e.isVacant() || e.awaitsFormerLeader(now) {
		e.vacantSince = time.Time{}
		return 0
	}
	if e.vacantSince.IsZero() {
		e.vacantSince, e.claimJitter = now, rand.N(maxJitter)
	}
	if e.term != nil && e.contact.isOutageRecent(now) {
		return 0
	}
	delay := min(rankDelayFactor*e.storeLatency, maxRankDelay) + e.weakDelay() + e.lostTermDelay() + e.claimJitter
	return delay - now.Sub(e.vacantSince)
}

// knownStrength returns the highest Strength of this daemon, those listed, and those that were listed until recently. The caller
// must hold e.mu.
func (e *Elector) knownStrength() Strength {
	strongest := e.config.Strength
	for _, m := range e.members {
		strongest = max(strongest, m.Strength)
		e.rememberStrength(m.Strength)
	}
	if e.config.Clock.Since(e.strongestAt) <= strengthMemory {
		strongest = max(strongest, e.strongest)
	}
	return strongest
}

// weakDelay returns the delay during which this daemon lets stronger ones claim leadership first. The caller must hold e.mu.
func (e *Elector) weakDelay() time.Duration {
	strongest := e.knownStrength()
	switch {
	case e.config.Strength >= strongShare*strongest:
		return 0
	case e.config.Strength >= weakShare*strongest:
		return weakDelayStep
	default:
		return 2 * weakDelayStep
	}
}

// isVacant reports whether the leader record is missing, belongs to a process that has ended, or belongs to a leader that is suspected, or
// that this daemon has outranked. The caller must hold e.mu.
func (e *Elector) isVacant() bool {
	if e.leaderVersion == store.Absent {
		return true
	}
	// The record is from an earlier process of this daemon, from a claim whose answer was lost, or from a term that has ended.
	if e.term == nil && e.isRecordOwn() && e.leader.Epoch <= e.record.Epoch {
		return true
	}
	if e.hasOutrankedLeader() {
		return true
	}
	suspected := e.suspectEpoch != 0 && e.leader.Epoch == e.suspectEpoch && e.config.Clock.Since(e.suspectedAt) < suspectTimeout
	return suspected && e.term == nil
}
