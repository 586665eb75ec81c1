package lead

import (
	"context"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/claim"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
)

const (
	// fastPollInterval is how often the daemons that come first in rank try to claim, slowPollInterval the
	// others.
	fastPollInterval = time.Second
	slowPollInterval = 5 * time.Second
	// fastPollers is the number of daemons that use fastPollInterval.
	fastPollers = 2
)

type (
	// standby is what a daemon knows about the claim and the store, in any role.
	standby struct {
		busy       bool
		nextPollAt time.Time
		// lastClaim is the latest claim that was read or acquired.
		lastClaim claim.Claim
		// storeDownSince is when a call for the claim first failed in a way that does not show who holds it; zero
		// while the store answers.
		storeDownSince time.Time
	}

	// claimRenewal is the state of renewing the holder's claim. A renewal starts every third of the claim's TTL and times
	// out after as long, so there is time for a second try before the claim expires.
	claimRenewal struct {
		busy   bool
		nextAt time.Time
	}

	// takeover is the result of a try to claim: the claim, and what a daemon that acquired it read from the
	// journal.
	takeover struct {
		claim     claim.Claim
		journal   *commit.Journal
		committed *commit.CommittedState
		err       error
	}
)

func (l *Leader) standbyTick() {
	l.pollClaim()
	l.maybeBecomeInterim()
}

// pollClaim tries to acquire the claim at each poll interval.
func (l *Leader) pollClaim() {
	if l.standby.busy || l.steppedDown || l.now().Before(l.standby.nextPollAt) {
		return
	}
	l.standby.busy = true
	l.runAsync(func(ctx context.Context) func() {
		t := l.tryTakeOver(ctx)
		return func() { l.applyTakeover(t) }
	})
}

// tryTakeOver acquires the claim, seals the journal against earlier writers and reads it.
func (l *Leader) tryTakeOver(ctx context.Context) takeover {
	limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, storeTimeout)
	defer cancel()
	l.hook(stepClaim)
	held, err := l.claims.Acquire(limited)
	if err != nil {
		return takeover{claim: held, err: err}
	}
	l.hook(stepLoad)
	j, committed, err := commit.Open(limited, commit.Config{
		Site: l.dataCentre(), Writer: l.cfg.Self.VM, Epoch: held.Epoch, Store: l.cfg.Store,
	}, l.now())
	if err != nil {
		if released := l.claims.Release(limited); released != nil {
			err = errs.New(errs.Of(err).Kind, "%v; releasing the claim: %v", err, released)
		}
		return takeover{claim: held, err: err}
	}
	return takeover{claim: held, journal: j, committed: committed}
}

func (l *Leader) applyTakeover(t takeover) {
	now := l.now()
	l.standby.busy = false
	l.standby.nextPollAt = now.Add(l.pollInterval())
	if t.claim.Epoch > 0 {
		l.standby.lastClaim = t.claim
	}
	if t.err == nil {
		l.standby.storeDownSince = time.Time{}
		l.takeOver(t)
		return
	}
	switch {
	case errs.Is(t.err, errs.Conflict):
		l.standby.storeDownSince = time.Time{}
		l.endInterimTerm(t.claim)
	case l.standby.storeDownSince.IsZero():
		l.standby.storeDownSince = now
	}
}

func (l *Leader) pollInterval() time.Duration {
	if l.rank() < fastPollers {
		return fastPollInterval
	}
	return slowPollInterval
}

// rank returns how many live entry daemons of this data centre precede this one. Rank 0 is the first to become
// interim leader.
func (l *Leader) rank() int {
	for i, id := range l.rankedDaemons() {
		if id == l.cfg.Self.VM {
			return i
		}
	}
	return 0
}

// rankedDaemons returns the live entry daemons of this data centre in order of rank: this one included, another
// holder of the claim excluded.
func (l *Leader) rankedDaemons() []types.VMID {
	out := []types.VMID{l.cfg.Self.VM}
	for _, e := range l.cfg.Entries() {
		if e.Site.DataCentre == l.dataCentre() && e.VM != l.otherHolder() && e.VM != l.cfg.Self.VM {
			out = append(out, e.VM)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// otherHolder returns the VM that holds the claim, or "" if this daemon is the last known holder. The holder has
// no rank among those that wait for the claim.
func (l *Leader) otherHolder() types.VMID {
	if l.standby.lastClaim.Owner == l.cfg.Self.VM {
		return ""
	}
	return l.standby.lastClaim.Owner
}

// renewClaim renews the claim. While the store is down the holder continues to lead, since nobody else can claim.
func (l *Leader) renewClaim() {
	if l.claimRenewal.busy || l.now().Before(l.claimRenewal.nextAt) {
		return
	}
	l.claimRenewal.busy = true
	l.claimRenewal.nextAt = l.now().Add(l.claims.TTL() / 3)
	l.runAsync(func(ctx context.Context) func() {
		limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, l.claims.TTL()/3)
		defer cancel()
		err := l.claims.Renew(limited)
		return func() { l.applyClaimRenewal(err) }
	})
}

func (l *Leader) applyClaimRenewal(err error) {
	l.claimRenewal.busy = false
	switch {
	case err == nil:
		l.standby.storeDownSince = time.Time{}
	case errs.Is(err, errs.NotFound):
		l.endTerm("the claim lapsed")
	case l.standby.storeDownSince.IsZero():
		l.standby.storeDownSince = l.now()
	}
}
