package elect

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// termlessLogInterval is how long the leader record must name this daemon without a term for a line in the log, and how often
// the line is repeated.
const termlessLogInterval = time.Second

type (
	// termless describes the time during which the leader record names this daemon although it has no term. All daemons send
	// their calls here meanwhile, and this one refuses them.
	termless struct {
		// since is when it began, and loggedAt when it was last logged; zero while the record names no leader or another one.
		since    time.Time
		loggedAt time.Time
		// reason is why the latest term ended; empty before the first one has.
		reason string
	}

	electMetrics struct {
		termsEnded metrics.Counter
		// termlessFor is for how long the record has named this daemon without a term, in milliseconds.
		termlessFor metrics.Gauge
	}
)

func newElectMetrics(r metrics.Registry) electMetrics {
	return electMetrics{
		termsEnded:  metrics.GetOrRegisterCounter("Elect.TermsEnded", r),
		termlessFor: metrics.GetOrRegisterGauge("Elect.TermlessFor", r),
	}
}

// isRecordOwn reports whether the leader record, as this daemon knows it, names this daemon. The caller must hold e.mu.
func (e *Elector) isRecordOwn() bool {
	return e.leaderVersion != store.Absent && e.record.Target.VM == e.config.Self.VM
}

// isRecordOfProcess reports whether the leader record was written by this process: a VM may run the next one while this one drains. The
// caller must hold e.mu.
func (e *Elector) isRecordOfProcess() bool {
	if !e.isRecordOwn() {
		return false
	}
	return e.record.Epoch == e.lastEpoch || e.epochRecord.isSameClaim(epochRecord{Epoch: e.record.Epoch, Nonce: e.nonce})
}

// checkTermless records and logs for how long the leader record has named this daemon without a term. A daemon that knows a newer leader only
// lacks the news of the record, as when it is cut off from the store. The caller must hold e.mu.
func (e *Elector) checkTermless() {
	now := e.config.Clock.Now()
	t := &e.termless
	if e.term != nil || !e.isRecordOwn() || e.leader.Epoch > e.record.Epoch {
		if !t.loggedAt.IsZero() {
			e.config.Log.Info().Dur("For", now.Sub(t.since)).Msg("the leader record no longer names this daemon without a term")
		}
		t.since, t.loggedAt = time.Time{}, time.Time{}
		e.metrics.termlessFor.Update(0)
		return
	}
	if t.since.IsZero() {
		t.since = now
	}
	e.metrics.termlessFor.Update(now.Sub(t.since).Milliseconds())
	if now.Sub(t.since) < termlessLogInterval || now.Sub(t.loggedAt) < termlessLogInterval {
		return
	}
	t.loggedAt = now
	e.config.Log.Warn().Uint64("Epoch", uint64(e.record.Epoch)).Uint64("Version", uint64(e.leaderVersion)).Dur("For", now.Sub(t.since)).
		Str("Ended", t.reason).Uint64("KnownEpoch", uint64(e.leader.Epoch)).Bool("Listed", e.listed).Bool("Leased", e.lease != 0).
		Bool("SteppedDown", e.steppedDown).Bool("Abstains", now.Before(e.abstainUntil)).Dur("StoreSilent", now.Sub(e.lastContact)).
		Msg("the leader record names this daemon, which has no term")
}
