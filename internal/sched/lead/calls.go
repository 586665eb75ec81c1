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
	// call is one call to a worker. It is sealed: the types of this file that end in Call are its only members.
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

	// outcome is what became of one call.
	outcome struct {
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

// pump starts the calls that wait for each worker. A worker gets one call at a time, in order, so a worker
// that does not answer delays nothing but itself.
func (l *Leader) pump() {
	for _, n := range l.sorted() {
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
	l.do(func(ctx context.Context) func() {
		outcomes := l.callAll(ctx, agent, queue)
		return func() {
			n.busy = false
			for _, o := range outcomes {
				l.apply(n, o)
			}
		}
	})
}

// callAll makes calls in order. After one that the worker did not answer, the rest are not sent.
func (l *Leader) callAll(ctx context.Context, agent worker.Worker, queue []call) []outcome {
	var silent error
	out := make([]outcome, 0, len(queue))
	for _, c := range queue {
		if silent != nil {
			err := errs.New(errs.Unavailable, "not sent: %v", silent)
			out = append(out, outcome{call: c, err: err, returned: l.now()})
			continue
		}
		o := l.callOne(ctx, agent, c)
		if errs.Is(o.err, errs.Unavailable, errs.Lost) {
			silent = o.err
		}
		out = append(out, o)
	}
	return out
}

func (l *Leader) callOne(ctx context.Context, agent worker.Worker, c call) outcome {
	limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, callTimeout)
	defer cancel()
	o := outcome{call: c}
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

// apply takes in what became of a call.
func (l *Leader) apply(n *node, o outcome) {
	if errs.Is(o.err, errs.Fenced) {
		l.fencedOff(n)
		return
	}
	l.hear(n, o)
	if l.role == roleInterim {
		if o.err == nil {
			l.interimReport(n, o.report)
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

// fencedOff gives up leading, since a worker has seen a later lead.
func (l *Leader) fencedOff(n *node) {
	if l.role == roleStandby {
		return
	}
	held := l.role == roleLead
	l.depose("worker " + string(n.vm.ID) + " has seen a later epoch")
	if held {
		l.do(func(ctx context.Context) func() {
			_ = l.claims.Release(ctx)
			return nil
		})
	}
}

// hear notes whether the worker answered.
func (l *Leader) hear(n *node, o outcome) {
	if !errs.Is(o.err, errs.Unavailable, errs.Lost) {
		n.silentSince = time.Time{}
		n.lastSeen = o.returned
		l.refresh(n)
		return
	}
	if n.silentSince.IsZero() {
		n.silentSince = o.returned
	}
	n.stale = true
	l.refresh(n)
}

func (l *Leader) enqueue(n *node, c call) {
	n.queue = append(n.queue, c)
}

func (l *Leader) enqueueStop(n *node, id types.AttemptID, checkpoint bool) {
	l.enqueue(n, stopCall{request: worker.StopRequest{Epoch: l.epoch, Attempt: id, Checkpoint: checkpoint}})
}
