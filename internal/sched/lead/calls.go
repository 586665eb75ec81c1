package lead

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

type (
	// call is one call to a worker. It is a closed set: the types of this file that end in Call are its only
	// implementations.
	call interface {
		call()
	}

	fenceCall struct {
		request worker.FenceRequest
	}

	renewCall struct {
		request worker.RenewRequest
	}

	startCall struct {
		request worker.StartRequest
	}

	stopCall struct {
		request worker.StopRequest
	}

	// callResult is the result of one call. report is set by a fence and a renewal, status by a start and a stop.
	callResult struct {
		call     call
		report   worker.Report
		status   worker.Status
		err      error
		returned time.Time
	}
)

func (fenceCall) call() {}
func (renewCall) call() {}
func (startCall) call() {}
func (stopCall) call()  {}

// dispatchCalls sends the queued calls of each worker that has none in flight. A worker gets one call at a time,
// in order, so an unreachable worker delays only its own calls.
func (l *Leader) dispatchCalls() {
	for _, n := range l.sortedNodes() {
		if n.busy || len(n.queue) == 0 {
			continue
		}
		l.runQueue(n)
	}
}

func (l *Leader) runQueue(n *node) {
	queue := n.queue
	n.queue = nil
	n.busy = true
	agent := l.cfg.Workers.Dial(n.vm)
	l.runAsync(func(ctx context.Context) func() {
		results := l.callAll(ctx, agent, queue)
		return func() {
			n.busy = false
			for _, r := range results {
				l.applyCallResult(n, r)
			}
		}
	})
}

// callAll makes the calls in order. After one that the worker did not answer, the rest are not sent.
func (l *Leader) callAll(ctx context.Context, agent worker.Worker, queue []call) []callResult {
	var unreachable error
	out := make([]callResult, 0, len(queue))
	for _, c := range queue {
		if unreachable != nil {
			err := errs.New(errs.Unavailable, "not sent: %v", unreachable)
			out = append(out, callResult{call: c, err: err, returned: l.now()})
			continue
		}
		r := l.callOne(ctx, agent, c)
		if errs.Is(r.err, errs.Unavailable, errs.Lost) {
			unreachable = r.err
		}
		out = append(out, r)
	}
	return out
}

func (l *Leader) callOne(ctx context.Context, agent worker.Worker, c call) callResult {
	limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, callTimeout)
	defer cancel()
	r := callResult{call: c}
	switch c := c.(type) {
	case fenceCall:
		l.hook(stepFence)
		r.report, r.err = agent.Fence(limited, c.request)
	case renewCall:
		l.hook(stepRenew)
		r.report, r.err = agent.Renew(limited, c.request)
	case startCall:
		l.hook(stepStart)
		r.status, r.err = agent.Start(limited, c.request)
		l.hook(stepStarted)
	case stopCall:
		l.hook(stepStop)
		r.status, r.err = agent.Stop(limited, c.request)
	}
	r.returned = l.now()
	return r
}

// applyCallResult applies the result of a call to the worker and its tasks.
func (l *Leader) applyCallResult(n *node, r callResult) {
	if errs.Is(r.err, errs.Fenced) {
		l.handleFenced(n)
		return
	}
	l.updateReachability(n, r)
	if l.role == roleInterim {
		if r.err == nil {
			l.recordInterimReport(n, r.report)
		}
		return
	}
	switch c := r.call.(type) {
	case fenceCall:
		l.applyFence(n, r)
	case renewCall:
		l.applyRenew(n, c, r)
	case startCall:
		l.applyStart(n, c, r)
	case stopCall:
		l.applyStop(n, c, r)
	}
}

// handleFenced ends the term, since the worker has accepted the epoch of a later leader. A leader also releases its claim.
func (l *Leader) handleFenced(n *node) {
	if l.role == roleStandby {
		return
	}
	wasLeader := l.role == roleLeader
	l.endTerm("worker " + string(n.vm.ID) + " has seen a later epoch")
	if wasLeader {
		l.runAsync(func(ctx context.Context) func() {
			_ = l.claims.Release(ctx)
			return nil
		})
	}
}

// updateReachability records whether the worker answered. One that did not is stale until its next report.
func (l *Leader) updateReachability(n *node, r callResult) {
	if !errs.Is(r.err, errs.Unavailable, errs.Lost) {
		n.unreachableSince = time.Time{}
		n.lastSeenAt = r.returned
		l.refreshWorker(n)
		return
	}
	if n.unreachableSince.IsZero() {
		n.unreachableSince = r.returned
	}
	n.stale = true
	l.refreshWorker(n)
}

func (l *Leader) enqueueCall(n *node, c call) {
	n.queue = append(n.queue, c)
}

func (l *Leader) enqueueStop(n *node, id types.AttemptID, checkpoint bool) {
	l.enqueueCall(n, stopCall{request: worker.StopRequest{Epoch: l.epoch, Attempt: id, Checkpoint: checkpoint}})
}
