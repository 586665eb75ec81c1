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

// run brings a request to a runner, again if the last attempt surely did not run or the request is idempotent.
func (e *Entry) run(ctx context.Context, t *task) *types.Answer {
	waits := &backoff.ExponentialBackOff{
		InitialInterval: firstRetryWait, MaxInterval: lastRetryWait, Multiplier: 2, RandomizationFactor: 0.5,
	}
	for attempt := 1; ; attempt++ {
		slot, err := e.obtain(ctx, t)
		if err != nil {
			return t.end(err)
		}
		answer, err := e.send(ctx, t, slot)
		if err == nil {
			return answer
		}
		if !e.mayRetry(t, attempt, err) || !e.pause(ctx, t, waits.NextBackOff()) {
			return t.end(err)
		}
		e.metrics.retried.Inc(1)
		t.avoid = slot.Upstream.ID
	}
}

// end returns the answer to a request that gets no whole answer.
func (t *task) end(err error) *types.Answer {
	if t.dispatched {
		return types.Refused(t.id, types.OutcomeUnknown, err)
	}
	return types.Refused(t.id, types.OutcomeNotRun, err)
}

// mayRetry tells whether another attempt is allowed after an error.
func (e *Entry) mayRetry(t *task, attempt int, err error) bool {
	if attempt >= maxAttempts {
		return false
	}
	if surelyNotRun(err) {
		return true
	}
	return t.idempotent && e.budget.spend()
}

func surelyNotRun(err error) bool {
	return errs.Is(err, errs.Unavailable, errs.Overloaded, errs.Draining)
}

func (e *Entry) pause(ctx context.Context, t *task, wait time.Duration) bool {
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

// send dispatches a request once. A caller that goes away does not break off the call, because the runner would go
// on with it while its slot is given to another.
func (e *Entry) send(ctx context.Context, t *task, slot lend.Slot) (*types.Answer, error) {
	limited, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), e.config.Clock, t.deadline)
	defer cancel()
	begin := e.config.Clock.Now()
	reply, err := e.config.Runner.Call(limited, slot.Upstream, runner.Call{
		ID: t.id, Service: t.service, Deadline: t.deadline, Body: t.body,
	})
	if err == nil {
		err = whole(t.id, &reply)
	}
	if slot.Distance == lend.Far {
		e.chargeLink(len(reply.Body))
	}
	if err == nil {
		e.observe(t.service, e.config.Clock.Since(begin))
	}
	t.dispatched = t.dispatched || (err != nil && !surelyNotRun(err))
	e.config.Holder.Release(slot, resultOf(err), t.deadline.Add(settleGrace))
	if err != nil {
		return nil, err
	}
	return &types.Answer{
		ID: t.id, Outcome: types.OutcomeDone, Body: reply.Body, Length: reply.Length, Digest: reply.Digest,
	}, nil
}

// whole returns an error unless the reply is the whole answer to the id.
func whole(id types.RequestID, reply *runner.Reply) error {
	if reply.ID != id {
		return errs.New(errs.Unknown, "the runner answered %s instead of %s", reply.ID, id)
	}
	return reply.Check()
}

func resultOf(err error) lend.Result {
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

// observe updates the smoothed time of a call.
func (e *Entry) observe(name types.ServiceName, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[name]
	if !ok {
		return
	}
	if s.took == 0 {
		s.took = took
	}
	s.took += (took - s.took) / callSmoothing
}

// chargeLink takes the bytes of an answer off the link's budget. They have been sent already, so later requests wait.
func (e *Entry) chargeLink(size int) {
	now := e.config.Clock.Now()
	for burst := e.link.Burst(); size > 0 && burst > 0; size -= burst {
		e.link.ReserveN(now, min(size, burst))
	}
}
