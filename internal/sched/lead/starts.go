package lead

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// startTask assigns a waiting task to a worker and queues the commit of the intent. It returns false if the
// tables reject the assignment, such as for lack of free capacity.
func (l *Leader) startTask(s plan.StartAction) bool {
	t := l.state.Tasks[s.Task]
	w := l.state.Workers[s.Worker]
	n := l.nodes[s.Worker]
	queuedAt := t.Queued
	if err := l.state.Assign(t, w, l.now()); err != nil {
		l.incCounter("StartsRefused")
		return false
	}
	l.attempts[t.ID] = &attempt{boot: n.boot}
	number := t.Number
	l.recordAudit(audit.VerbIntend, string(t.Attempt()), s.Reason, audit.Input{Name: "Worker", Value: string(s.Worker)})
	l.writer.enqueue(pendingRecord{
		record: commit.Record{Intent: &commit.Intent{
			Task: t.ID, Number: number, Worker: s.Worker, Boot: n.boot, Resume: t.Resume,
		}},
		onDurable: func() { l.sendStart(t, n) },
		onFailed: func(error) {
			l.reportViolation(l.state.Finish(t, table.TaskWaiting, "the intent could not be committed", queuedAt))
			t.Number = number - 1
			delete(l.attempts, t.ID)
		},
	})
	return true
}

// sendStart queues the start call to the worker once the intent is committed.
func (l *Leader) sendStart(t *table.Task, n *node) {
	l.attemptOf(t.ID).intentCommitted = true
	if t.Job.Cancelled {
		l.commitResult(t, commit.End{State: table.TaskCancelled, Reason: "the job was cancelled"}, nil)
		return
	}
	l.enqueueCall(n, startCall{request: worker.StartRequest{
		Epoch:   l.epoch,
		Attempt: t.Attempt(),
		Task:    t.Job.Spec.Task,
		Service: t.Job.Spec.Service,
		Lease:   l.leaseTTL(),
		Resume:  t.Resume,
	}})
}

func (l *Leader) applyStart(n *node, c startCall, r callResult) {
	t, ok := l.state.Tasks[c.request.Attempt.Task()]
	if !ok || t.Attempt() != c.request.Attempt || !t.State.Occupies() {
		return
	}
	a := l.attemptOf(t.ID)
	switch {
	case r.err == nil:
		a.sent = true
		t.LeaseExpiresAt = leaseExpiry(r.returned, c.request.Lease)
		l.applyStartStatus(n, t, r.status)
	case hadNoEffect(r.err):
		a.startRefused = true
		l.commitResult(t, commit.End{State: l.resultOf(t, "", true, "").State, Reason: "worker refused the start: " + r.err.Error()}, nil)
	default:
		a.sent = true
		t.LeaseExpiresAt = leaseExpiry(r.returned, c.request.Lease)
		n.nextCallAt = l.now()
	}
}

func (l *Leader) applyStartStatus(n *node, t *table.Task, s worker.Status) {
	if !s.Phase.Ended() {
		l.confirmRunning(t, s)
		l.scheduleEndQuery(n)
		return
	}
	l.attemptOf(t.ID).reported = true
	l.commitResult(t, l.resultOf(t, s.Phase, s.NeverStarted, s.Reason), n)
}

// hadNoEffect reports whether a failed call certainly had no effect on the worker.
func hadNoEffect(err error) bool {
	return errs.Is(err, errs.Unavailable, errs.Overloaded, errs.Invalid, errs.TooLarge, errs.Draining)
}

// stopTask marks a running attempt as stopping and queues the stop call to its worker.
func (l *Leader) stopTask(t *table.Task, checkpoint bool, reason string) {
	n, ok := l.nodes[t.Worker]
	if !ok || t.State == table.TaskStopping {
		return
	}
	l.reportViolation(l.state.Stop(t, reason))
	l.recordAudit(audit.VerbStop, string(t.Attempt()), reason)
	l.enqueueStop(n, t.Attempt(), checkpoint && t.Job.Spec.Task.CanCheckpoint)
}

// retryStops queues another stop call for each attempt whose stop is not confirmed.
func (l *Leader) retryStops(n *node) {
	for _, t := range l.tasksOn(n) {
		if t.State == table.TaskStopping && !l.attemptOf(t.ID).resultPending {
			l.enqueueStop(n, t.Attempt(), t.Job.Spec.Task.CanCheckpoint && !t.Job.Cancelled)
		}
	}
}

func (l *Leader) applyStop(n *node, c stopCall, r callResult) {
	if r.err != nil {
		n.nextCallAt = l.now().Add(workerRetryInterval)
		return
	}
	id := c.request.Attempt
	t, ok := l.state.Tasks[id.Task()]
	if !ok || t.Attempt() != id || !t.State.Occupies() || t.Worker != n.vm.ID {
		l.applyOrphanStop(n, id, r.status)
		return
	}
	if !r.status.Phase.Ended() {
		return
	}
	a := l.attemptOf(t.ID)
	neverStarted := r.status.NeverStarted && !a.reported && r.status.Boot == a.boot && a.boot != 0
	l.commitResult(t, l.resultOf(t, r.status.Phase, neverStarted, r.status.Reason), n)
}

// applyOrphanStop acknowledges a stopped attempt that the tables do not place on the worker, and renews at once
// to see whether other orphans are left.
func (l *Leader) applyOrphanStop(n *node, id types.AttemptID, s worker.Status) {
	if s.Phase.Ended() && !s.NeverStarted {
		l.acknowledge(n, id)
	}
	n.nextCallAt = l.now()
}
