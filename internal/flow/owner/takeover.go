package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

const (
	// takeoverRefusedTries is how many tries of a write must have failed before the other daemons are asked to take
	// over when the latest was refused (kind Unavailable), and takeoverUnansweredTries how many when it failed
	// otherwise. takeoverRequestInterval is how often they are asked.
	takeoverRefusedTries    = 3
	takeoverUnansweredTries = 4
	takeoverRequestInterval = 500 * time.Millisecond
	// takeoverWriteTimeout is how long the writes must have been stalled for the other daemons to be asked to take over.
	takeoverWriteTimeout = 200 * time.Millisecond
)

// handleWriteFailure asks the other daemons to take over when the store keeps refusing this daemon's writes, or keeps
// leaving them unanswered.
func (o *Owner) handleWriteFailure(tries int, after time.Duration, err error) {
	o.config.Log.Debug().Err(err).Int("Tries", tries).Dur("After", after).Msg("a try of a ledger write failed")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failedTryAt = o.config.Clock.Now()
	refused := errs.Is(err, errs.Unavailable) && tries >= takeoverRefusedTries
	unanswered := tries >= takeoverUnansweredTries && after > takeoverWriteTimeout+o.load.delay()
	if !refused && !unanswered {
		return
	}
	o.requestTakeover(err, after)
}

// checkUnansweredWrites asks the other daemons to take over when the writes have got no answer for so long that new jobs are
// put into none: the store may be unreachable for this daemon only. The caller must hold o.mu.
func (o *Owner) checkUnansweredWrites() {
	if age := o.unansweredFor(); age > takeoverWriteTimeout {
		o.requestTakeover(errs.New(errs.Lost, "the store has not answered"), age)
	}
}

// requestTakeover asks the other daemons to take over, at most once in each takeoverRequestInterval. The caller must hold
// o.mu.
func (o *Owner) requestTakeover(cause error, after time.Duration) {
	now := o.config.Clock.Now()
	if o.config.OnWritesStalled == nil || now.Sub(o.takeoverRequestedAt) < takeoverRequestInterval {
		return
	}
	o.takeoverRequestedAt = now
	o.config.Log.Warn().Err(cause).Dur("After", after).Msg("ledger writes keep failing; asking the other daemons to take over")
	go o.config.OnWritesStalled(o.hasStalledWrites)
}

// hasStalledWrites reports whether no write has been committed for longer than takeoverWriteTimeout though some are in flight.
func (o *Owner) hasStalledWrites() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctx.Err() == nil && o.unansweredFor() > takeoverWriteTimeout
}
