package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
)

// dispatchWithRetries sends a request to a runner. It makes up to maxAttempts, as long as the last one surely did not
// run or the request is idempotent and the retry budget allows it.
func (e *Entry) dispatchWithRetries(ctx context.Context, t *requestState) *types.Answer {
	retryBackoff := &backoff.ExponentialBackOff{
		InitialInterval: minRetryBackoff, MaxInterval: maxRetryBackoff, Multiplier: 2, RandomizationFactor: 0.5,
	}
	for attempt := 1; ; attempt++ {
		slot, err := e.waitForSlot(ctx, t)
		if err != nil {
			return t.failureAnswer(err)
		}
		answer, err := e.sendAttempt(ctx, t, slot)
		if err == nil {
			return answer
		}
		if !e.mayRetry(t, attempt, err) || !e.pause(ctx, t, retryBackoff.NextBackOff()) {
			return t.failureAnswer(err)
		}
		e.metrics.retried.Inc(1)
		t.avoid = slot.Upstream.ID
	}
}

// failureAnswer returns the answer to a request without a complete reply: Unknown if an attempt may have run, else
// NotRun.
func (t *requestState) failureAnswer(err error) *types.Answer {
	if t.mayHaveRun {
		return types.Refused(t.id, types.OutcomeUnknown, err)
	}
	return types.Refused(t.id, types.OutcomeNotRun, err)
}

// mayRetry reports whether another attempt is allowed after an error. Only a retry after an attempt in doubt spends the
// retry budget.
func (e *Entry) mayRetry(t *requestState, attempt int, err error) bool {
	if attempt >= maxAttempts {
		return false
	}
	if surelyNotRun(err) {
		return true
	}
	return t.idempotent && e.budget.spend()
}

// surelyNotRun reports whether the error means that the attempt did not run.
func surelyNotRun(err error) bool {
	return errs.Is(err, errs.Unavailable, errs.Overloaded, errs.Draining)
}

func (e *Entry) pause(ctx context.Context, t *requestState, wait time.Duration) bool {
	if e.config.Clock.Now().Add(wait).After(t.deadline) {
		return false
	}
	timer := e.config.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// sendAttempt sends a request to the slot's runner once and releases the slot. The call is not cancelled when the
// caller disconnects, because the runner would go on with it while its slot is assigned to another request.
func (e *Entry) sendAttempt(ctx context.Context, t *requestState, slot lend.Slot) (*types.Answer, error) {
	limited, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), e.config.Clock, t.deadline)
	defer cancel()
	startedAt := e.config.Clock.Now()
	reply, err := e.config.Runner.Call(limited, slot.Upstream, runner.Call{
		ID: t.id, Service: t.service, Deadline: t.deadline, Body: t.body,
	})
	if err == nil {
		err = checkReply(t.id, &reply)
	}
	if slot.Distance == lend.Far {
		e.chargeLink(len(reply.Body))
	}
	if err == nil {
		e.observeCallTime(t.service, e.config.Clock.Since(startedAt))
	}
	t.mayHaveRun = t.mayHaveRun || (err != nil && !surelyNotRun(err))
	e.config.Holder.Release(slot, slotResult(err), t.deadline.Add(inDoubtMargin))
	if err != nil {
		return nil, err
	}
	return &types.Answer{
		ID: t.id, Outcome: types.OutcomeDone, Body: reply.Body, Length: reply.Length, Digest: reply.Digest,
	}, nil
}

// checkReply returns an error unless the reply is the complete answer to the id.
func checkReply(id types.RequestID, reply *runner.Reply) error {
	if reply.ID != id {
		return errs.New(errs.Unknown, "the runner answered %s instead of %s", reply.ID, id)
	}
	return reply.Check()
}

func slotResult(err error) lend.Result {
	switch {
	case err == nil:
		return lend.Answered
	case errs.Is(err, errs.Draining):
		return lend.Refused
	case surelyNotRun(err):
		return lend.Failed
	default:
		return lend.Unsure
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

// chargeLink deducts the bytes of an answer from the link's budget. They have been sent already, so later requests
// wait.
func (e *Entry) chargeLink(size int) {
	now := e.config.Clock.Now()
	for burst := e.link.Burst(); size > 0 && burst > 0; size -= burst {
		e.link.ReserveN(now, min(size, burst))
	}
}
