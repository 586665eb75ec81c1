package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// leaseTTL is how long tasks keep running without a renewal by the leader. A new leader must renew their leases
	// within it. It exceeds longPollTimeout plus maxRenewMargin and maxCallDelay, the longest time of one renewal, so that the
	// failure of one does not end the tasks.
	leaseTTL = 5 * time.Second
	// longPollTimeout is how long a runner may wait for a result before it answers a renewal, and shortPollTimeout that for a busy
	// runner while answers are being lost.
	longPollTimeout  = 1200 * time.Millisecond
	shortPollTimeout = 300 * time.Millisecond
	// idleTimeout is how long a runner must have had no runs to count as idle. One that had some is likely to get more before
	// its next answer.
	idleTimeout = 5 * time.Second
	// renewTimeout limits a renewal that does not wait for results.
	renewTimeout = 900 * time.Millisecond
	// renewBackoff is the pause after a failed renewal, and between checks of whether the store answers again.
	renewBackoff = 80 * time.Millisecond
	// acknowledgeDelay gives the write of results time to finish, so that the next renewal can acknowledge them; only
	// durable results are acknowledged.
	acknowledgeDelay = 40 * time.Millisecond
	// stalledAcknowledgeDelay is acknowledgeDelay while the writes are stalled: a runner with results that are not acknowledged answers each
	// renewal at once, and a large fleet would be asked ten times as often as usual.
	stalledAcknowledgeDelay = 300 * time.Millisecond
)

// startRenewLoop starts the lease renewal loop of a runner, unless it has one or its address is not known. The caller
// must hold o.mu.
func (o *Owner) startRenewLoop(r *tasks.Runner) {
	if _, ok := o.renewLoops[r]; ok || r.Info.Address == "" {
		return
	}
	o.renewLoops[r] = time.Time{}
	o.loops.Go(o.guarded("lease renewal", func() { o.renewLoop(r) }))
}

// renewal is a lease renewal that is about to be sent.
type renewal struct {
	to      agent.Runner
	request agent.RenewRequest
	sentAt  time.Time
	// timeout limits the time until the answer.
	timeout time.Duration
}

// renewLoop renews the leases on a runner until the term ends, or the runner is replaced, or has left the directory and
// runs nothing. It renews none while leadership has not been confirmed for longer than storeContactTimeout.
func (o *Owner) renewLoop(r *tasks.Runner) {
	var rested time.Duration
	for o.ctx.Err() == nil {
		next, confirmed, ok := o.nextRenewal(r, rested)
		if !ok {
			return
		}
		if !confirmed {
			rested += renewBackoff
			o.sleep(renewBackoff)
			continue
		}
		rested = o.renewLeases(r, next)
		if rested > 0 {
			o.sleep(rested)
		}
	}
}

// nextRenewal returns the next renewal for the runner, after a rest of the given length in which none was open, and whether leadership is
// confirmed; ok is false when its loop ends.
func (o *Owner) nextRenewal(r *tasks.Runner, rested time.Duration) (next renewal, confirmed, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	current := o.table.Runners[r.Info.ID] == r
	if !current || (!r.Listed && len(r.Runs) == 0) {
		delete(o.renewLoops, r)
		return renewal{}, false, false
	}
	if !o.isLeadershipConfirmed() {
		return renewal{}, false, true
	}
	next = renewal{to: r.Info, request: agent.RenewRequest{Fence: r.Fence}, sentAt: now}
	switch {
	case !r.Synced:
		// Until the runner answers, it is not known whether its attempts should go on, so their leases are not
		// extended: Deadline stays 0.
	case !r.UnreachableSince.IsZero():
		// The renewal may reach the runner's next boot, which numbers its results anew, so it acknowledges none. The latest deadline that was
		// asked for is repeated, not raised, so that it is known when the leases on an unreachable runner expire.
		next.request.Deadline = r.Deadline
	default:
		if rested <= acknowledgeDelay {
			// After a longer rest, the runner may have restarted unnoticed, as after a failure.
			next.request.Acknowledged = r.DurableResult
		}
		next.request.Deadline = r.ExtendLease(now, leaseTTL)
		if !r.FencePending {
			next.request.Wait = o.pollTimeout(o.isInUse(r, now))
		}
	}
	next.timeout = renewTimeout
	if r.Synced {
		next.timeout = next.request.Wait + o.renewMargin(r.UnreachableSince)
	}
	return next, true, true
}

// isInUse reports whether a runner has runs, or had some within idleTimeout. The caller must hold o.mu.
func (o *Owner) isInUse(r *tasks.Runner, now time.Time) bool {
	return len(r.Runs) > 0 || now.Sub(o.renewLoops[r]) < idleTimeout
}

// renewLeases sends one renewal and returns the delay before the next.
func (o *Owner) renewLeases(r *tasks.Runner, next renewal) time.Duration {
	ctx, cancel := context.WithTimeout(o.ctx, next.timeout)
	defer cancel()
	o.counters.renewals.Inc(1)
	report, err := o.config.Agents.RenewLeases(ctx, next.to, next.request)
	if o.ctx.Err() != nil {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(r.Runs) > 0 {
		o.renewLoops[r] = o.config.Clock.Now()
	}
	if err != nil {
		return o.handleRenewFailure(r, next, err)
	}
	o.answers.noteRenewal(next.request, len(report.Results) > 0, o.config.Clock.Since(next.sentAt))
	o.applyReport(r, next.request, report, next.sentAt)
	switch {
	case len(report.Results) == 0:
		return 0
	case o.stalledFor() > 0:
		return stalledAcknowledgeDelay
	default:
		return acknowledgeDelay
	}
}

// handleRenewFailure records a renewal that failed and returns the delay before the next. The failure says nothing when the tables hold
// another entry of the runner by now: that has a higher fence, and its renewal may have overtaken this one. The caller must hold o.mu.
func (o *Owner) handleRenewFailure(r *tasks.Runner, sent renewal, err error) time.Duration {
	o.counters.renewFailures.Inc(1)
	if o.table.Runners[r.Info.ID] != r {
		return renewBackoff
	}
	if errs.Is(err, errs.Fenced) {
		if sent.request.Fence == r.Fence {
			o.handleFenced(r)
		}
		return renewBackoff
	}
	if r.UnreachableSince.IsZero() {
		o.noteUnreachable(r, isSilent(sent, o.config.Clock.Since(sent.sentAt)))
		o.config.Log.Warn().Err(err).Str("Runner", string(r.Info.ID)).Int("Runs", len(r.Runs)).Msg("lease renewal failed; the leases of the runner's attempts are not extended until a renewal succeeds")
	}
	if errs.Is(err, errs.NotFound) {
		o.runnerGone(r)
	}
	return renewBackoff
}
