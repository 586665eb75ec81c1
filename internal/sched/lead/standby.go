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
	// pollFirst is how often the daemons that come first in rank look at the claim, pollOther the others.
	pollFirst = time.Second
	pollOther = 5 * time.Second
	// pollers is how many daemons come first.
	pollers = 2
)

type (
	// standby is what a daemon that does not lead knows about the claim.
	standby struct {
		busy bool
		next time.Time
		// last is the latest claim that was seen.
		last claim.Claim
		// downSince is when the store stopped answering; zero while it answers.
		downSince time.Time
	}

	// renewal is the state of the holder's claim.
	renewal struct {
		busy bool
		next time.Time
	}

	// takeover is what a daemon that won the claim has read.
	takeover struct {
		claim   claim.Claim
		journal *commit.Journal
		image   *commit.CommittedState
		err     error
	}
)

func (l *Leader) standbyTick() {
	l.pollClaim()
	l.considerInterim()
}

// pollClaim tries to win the claim now and then.
func (l *Leader) pollClaim() {
	if l.standby.busy || l.retired || l.now().Before(l.standby.next) {
		return
	}
	l.standby.busy = true
	l.do(func(ctx context.Context) func() {
		t := l.tryTakeOver(ctx)
		return func() { l.claimed(t) }
	})
}

// tryTakeOver claims, seals the journal and reads it.
func (l *Leader) tryTakeOver(ctx context.Context) takeover {
	limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, storeTimeout)
	defer cancel()
	l.hook(stepClaim)
	held, err := l.claims.Acquire(limited)
	if err != nil {
		return takeover{claim: held, err: err}
	}
	l.hook(stepLoad)
	j, image, err := commit.Open(limited, commit.Config{
		Site: l.site(), Writer: l.cfg.Self.VM, Epoch: held.Epoch, Store: l.cfg.Store,
	}, l.now())
	if err != nil {
		if released := l.claims.Release(limited); released != nil {
			err = errs.New(errs.Of(err).Kind, "%v; releasing the claim: %v", err, released)
		}
		return takeover{claim: held, err: err}
	}
	return takeover{claim: held, journal: j, image: image}
}

func (l *Leader) claimed(t takeover) {
	now := l.now()
	l.standby.busy = false
	l.standby.next = now.Add(l.pollPeriod())
	if t.claim.Epoch > 0 {
		l.standby.last = t.claim
	}
	if t.err == nil {
		l.standby.downSince = time.Time{}
		l.takeOver(t)
		return
	}
	switch {
	case errs.Is(t.err, errs.Conflict):
		l.standby.downSince = time.Time{}
		l.yieldToClaim(t.claim)
	case l.standby.downSince.IsZero():
		l.standby.downSince = now
	}
}

func (l *Leader) pollPeriod() time.Duration {
	if l.rank() < pollers {
		return pollFirst
	}
	return pollOther
}

// rank returns how many live entry daemons of this data centre come before this one.
func (l *Leader) rank() int {
	for i, id := range l.peers() {
		if id == l.cfg.Self.VM {
			return i
		}
	}
	return 0
}

// peers returns the live entry daemons of this data centre, this one included, in order of rank.
func (l *Leader) peers() []types.VMID {
	out := []types.VMID{l.cfg.Self.VM}
	for _, e := range l.cfg.Entries() {
		if e.Site.DataCentre == l.site() && e.VM != l.silent() && e.VM != l.cfg.Self.VM {
			out = append(out, e.VM)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// silent returns the holder of the claim, which needs no rank among those who wait for it.
func (l *Leader) silent() types.VMID {
	if l.standby.last.Owner == l.cfg.Self.VM {
		return ""
	}
	return l.standby.last.Owner
}

// renewClaim extends the claim. While the store does not answer, the holder goes on: nobody else can claim.
func (l *Leader) renewClaim() {
	if l.renewal.busy || l.now().Before(l.renewal.next) {
		return
	}
	l.renewal.busy = true
	l.renewal.next = l.now().Add(l.claims.TTL() / 3)
	l.do(func(ctx context.Context) func() {
		limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, l.claims.TTL()/3)
		defer cancel()
		err := l.claims.Renew(limited)
		return func() { l.renewed(err) }
	})
}

func (l *Leader) renewed(err error) {
	l.renewal.busy = false
	switch {
	case err == nil:
		l.standby.downSince = time.Time{}
	case errs.Is(err, errs.NotFound):
		l.depose("the claim lapsed")
	case l.standby.downSince.IsZero():
		l.standby.downSince = l.now()
	}
}
