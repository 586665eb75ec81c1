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
		outcomes := l.callAll(ctx, agent, queue)
		return func() {
			n.busy = false
			for _, o := range outcomes {
				l.applyCallResult(n, o)
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
		o := l.callOne(ctx, agent, c)
		if errs.Is(o.err, errs.Unavailable, errs.Lost) {
			unreachable = o.err
		}
		out = append(out, o)
	}
	return out
}

func (l *Leader) callOne(ctx context.Context, agent worker.Worker, c call) callResult {
	limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, callTimeout)
	defer cancel()
	o := callResult{call: c}
	switch c := c.(type) {
	case fenceCall:
		l.hook(stepFence)
		o.report, o.err = agent.Fence(limited, c.request)
	case renewCall:
		l.hook(stepRenew)
		o.report, o.err = agent.Renew(limited, c.request)
	case startCall:
		l.hook(stepStart)
		o.status, o.err = agent.Start(limited, c.request)
		l.hook(stepStarted)
	case stopCall:
		l.hook(stepStop)
		o.status, o.err = agent.Stop(limited, c.request)
	}
	o.returned = l.now()
	return o
}

// applyCallResult applies the result of a call to the worker and its tasks.
func (l *Leader) applyCallResult(n *node, o callResult) {
	if errs.Is(o.err, errs.Fenced) {
		l.handleFenced(n)
		return
	}
	l.updateReachability(n, o)
	if l.role == roleInterim {
		if o.err == nil {
			l.recordInterimReport(n, o.report)
		}
		return
	}
	switch c := o.call.(type) {
	case fenceCall:
		l.applyFence(n, o)
	case renewCall:
		l.applyRenew(n, c, o)
	case startCall:
		l.applyStart(n, c, o)
	case stopCall:
		l.applyStop(n, c, o)
	}
}

// handleFenced ends the term, since the worker has accepted the epoch of a later leader.
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

// updateReachability records whether the worker answered.
func (l *Leader) updateReachability(n *node, o callResult) {
	if !errs.Is(o.err, errs.Unavailable, errs.Lost) {
		n.unreachableSince = time.Time{}
		n.lastSeenAt = o.returned
		l.refreshWorker(n)
		return
	}
	if n.unreachableSince.IsZero() {
		n.unreachableSince = o.returned
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
