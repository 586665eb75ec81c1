package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
)

// dispatchWithRetries sends a request to a runner, in up to maxAttempts attempts. It retries if the last attempt
// certainly did not run, or if the request is idempotent and the retry budget allows it.
func (e *Entry) dispatchWithRetries(ctx context.Context, r *requestState) *types.Answer {
	retryBackoff := &backoff.ExponentialBackOff{
		InitialInterval: minRetryBackoff, MaxInterval: maxRetryBackoff, Multiplier: 2, RandomizationFactor: 0.5,
	}
	for attempt := 1; ; attempt++ {
		slot, err := e.waitForSlot(ctx, r)
		if err != nil {
			return r.failureAnswer(err)
		}
		answer, err := e.sendAttempt(ctx, r, slot)
		if err == nil {
			return answer
		}
		if !e.allowRetry(r, attempt, err) || !e.pause(ctx, r, retryBackoff.NextBackOff()) {
			return r.failureAnswer(err)
		}
		e.metrics.retried.Inc(1)
		r.avoid = slot.Upstream.ID
	}
}

// failureAnswer returns the answer to a request without a complete reply: Unknown if an attempt may have run, else
// NotRun.
func (r *requestState) failureAnswer(err error) *types.Answer {
	if r.mayHaveRun {
		return types.NewUnfinishedAnswer(r.id, types.OutcomeUnknown, err)
	}
	return types.NewUnfinishedAnswer(r.id, types.OutcomeNotRun, err)
}

// allowRetry reports whether another attempt is allowed after an error. After an attempt in doubt it spends one retry
// of the retry budget, which is not returned if the deadline then leaves no time for the retry.
func (e *Entry) allowRetry(r *requestState, attempt int, err error) bool {
	if attempt >= maxAttempts {
		return false
	}
	if surelyNotRun(err) {
		return true
	}
	return r.idempotent && e.budget.spend()
}

// surelyNotRun reports whether the error is of a kind that runner.Runner returns for a call that was not run. Every
// other kind counts as in doubt, including those for which errs.Answer.MayHaveRun is false.
func surelyNotRun(err error) bool {
	return errs.Is(err, errs.Unavailable, errs.Overloaded, errs.Draining)
}

// pause waits for the given time and returns true. It returns false at once if that would end after the deadline, and
// false when ctx ends first.
func (e *Entry) pause(ctx context.Context, r *requestState, wait time.Duration) bool {
	if e.config.Clock.Now().Add(wait).After(r.deadline) {
		return false
	}
	return every.Sleep(ctx, e.config.Clock, wait)
}

// sendAttempt sends a request to the slot's runner once and releases the slot. The call is not cancelled when the
// caller disconnects, because the runner would go on with it while its slot is assigned to another request.
func (e *Entry) sendAttempt(ctx context.Context, r *requestState, slot lend.Slot) (*types.Answer, error) {
	limited, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), e.config.Clock, r.deadline)
	defer cancel()
	startedAt := e.config.Clock.Now()
	reply, err := e.config.Runner.Call(limited, slot.Upstream, runner.Call{
		ID: r.id, Service: r.service, Deadline: r.deadline, Body: r.body,
	})
	if err == nil {
		err = checkReply(r.id, &reply)
	}
	if slot.Distance == lend.Far {
		e.chargeLink(len(reply.Body))
	}
	if err == nil {
		e.observeCallTime(r.service, e.config.Clock.Since(startedAt))
	}
	r.mayHaveRun = r.mayHaveRun || (err != nil && !surelyNotRun(err))
	e.config.Holder.Release(slot, slotResult(err), r.deadline.Add(inDoubtMargin))
	if err != nil {
		return nil, err
	}
	return &types.Answer{
		ID: r.id, Outcome: types.OutcomeDone, Body: reply.Body, Length: reply.Length, Digest: reply.Digest,
	}, nil
}

// checkReply returns an error unless the reply is the complete answer to the id.
func checkReply(id types.RequestID, reply *runner.Reply) error {
	if reply.ID != id {
		return errs.New(errs.Unknown, "the runner answered %s instead of %s", reply.ID, id)
	}
	return reply.Check()
}

// slotResult returns how a slot is released after an attempt that ended with the error.
func slotResult(err error) lend.Result {
	switch {
	case err == nil:
		return lend.Answered
	case errs.Is(err, errs.Draining):
		return lend.Refused
	case surelyNotRun(err):
		return lend.Failed
	default:
		return lend.InDoubt
	}
}

// observeCallTime updates the exponential moving average of the call time of a service.
func (e *Entry) observeCallTime(name types.ServiceName, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[name]
	if !ok {
		return
	}
	if s.callTime == 0 {
		s.callTime = took
	}
	s.callTime += (took - s.callTime) / callTimeSmoothing
}

// chargeLink deducts the bytes of an answer's body, without linkOverheadBytes, from the budget of the paid link. They
// have been sent already, so later requests wait. It deducts nothing while the budget is 0.
func (e *Entry) chargeLink(answerBytes int) {
	now := e.config.Clock.Now()
	for burst := e.link.Burst(); answerBytes > 0 && burst > 0; answerBytes -= burst {
		e.link.ReserveN(now, min(answerBytes, burst))
	}
}
