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

// start assigns a waiting task to a worker and has the intent committed. It tells whether there was room.
func (l *Leader) start(s plan.StartAction) bool {
	t := l.state.Tasks[s.Task]
	w := l.state.Workers[s.Worker]
	n := l.nodes[s.Worker]
	queued := t.Queued
	if err := l.state.Assign(t, w, l.now()); err != nil {
		l.count("StartsRefused")
		return false
	}
	l.attempts[t.ID] = &attempt{boot: n.boot}
	number := t.Number
	l.record(audit.VerbIntend, string(t.Attempt()), s.Reason, audit.Input{Name: "Worker", Value: string(s.Worker)})
	l.writer.add(item{
		record: commit.Record{Intent: &commit.Intent{
			Task: t.ID, Number: number, Worker: s.Worker, Boot: n.boot, Resume: t.Resume,
		}},
		done: func() { l.intended(t, n) },
		failed: func(error) {
			l.must(l.state.Finish(t, table.TaskWaiting, "the intent could not be committed", queued))
			t.Number = number - 1
			delete(l.attempts, t.ID)
		},
	})
	return true
}

// intended tells the worker once the intent is committed.
func (l *Leader) intended(t *table.Task, n *node) {
	l.attempt(t.ID).committed = true
	if t.Job.Cancelled {
		l.end(t, commit.End{State: table.TaskCancelled, Reason: "the job was cancelled"}, nil)
		return
	}
	l.enqueue(n, startCall{request: worker.StartRequest{
		Epoch:   l.epoch,
		Attempt: t.Attempt(),
		Task:    t.Job.Spec.Task,
		Service: t.Job.Spec.Service,
		Lease:   l.lease(),
		Resume:  t.Resume,
	}})
}

func (l *Leader) applyStart(n *node, c startCall, o outcome) {
	t, ok := l.state.Tasks[c.request.Attempt.Task()]
	if !ok || t.Attempt() != c.request.Attempt || !t.State.Occupies() {
		return
	}
	a := l.attempt(t.ID)
	switch {
	case o.err == nil:
		a.sent = true
		t.LeaseEnd = leaseEnd(o.returned, c.request.Lease)
		l.started(n, t, o.status)
	case provablyNotSent(o.err):
		a.refused = true
		l.end(t, commit.End{State: l.fate(t, "", true, "").State, Reason: "worker refused the start: " + o.err.Error()}, nil)
	default:
		a.sent = true
		t.LeaseEnd = leaseEnd(o.returned, c.request.Lease)
		n.nextRenew = l.now()
	}
}

func (l *Leader) started(n *node, t *table.Task, s worker.Status) {
	if !s.Phase.Ended() {
		l.confirm(t, s)
		l.askAtEnd(n)
		return
	}
	l.attempt(t.ID).seen = true
	l.end(t, l.fate(t, s.Phase, s.NeverStarted, s.Reason), n)
}

// provablyNotSent tells whether a call surely had no effect on the worker.
func provablyNotSent(err error) bool {
	return errs.Is(err, errs.Unavailable, errs.Overloaded, errs.Invalid, errs.TooLarge, errs.Draining)
}

// stop decides that a running attempt is to end.
func (l *Leader) stop(t *table.Task, checkpoint bool, reason string) {
	n, ok := l.nodes[t.Worker]
	if !ok || t.State == table.TaskStopping {
		return
	}
	l.must(l.state.Stop(t, reason))
	l.record(audit.VerbStop, string(t.Attempt()), reason)
	l.enqueueStop(n, t.Attempt(), checkpoint && t.Job.Spec.Task.CanCheckpoint)
}

// retryStops repeats the stops that are not confirmed.
func (l *Leader) retryStops(n *node) {
	for _, t := range l.tasksOn(n) {
		if t.State == table.TaskStopping && !l.attempt(t.ID).ending {
			l.enqueueStop(n, t.Attempt(), t.Job.Spec.Task.CanCheckpoint && !t.Job.Cancelled)
		}
	}
}

func (l *Leader) applyStop(n *node, c stopCall, o outcome) {
	if o.err != nil {
		n.nextRenew = l.now().Add(retryPeriod)
		return
	}
	id := c.request.Attempt
	t, ok := l.state.Tasks[id.Task()]
	if !ok || t.Attempt() != id || !t.State.Occupies() || t.Worker != n.vm.ID {
		l.staleStopped(n, id, o.status)
		return
	}
	if !o.status.Phase.Ended() {
		return
	}
	a := l.attempt(t.ID)
	never := o.status.NeverStarted && !a.seen && o.status.Boot == a.boot && a.boot != 0
	l.end(t, l.fate(t, o.status.Phase, never, o.status.Reason), n)
}

// staleStopped acknowledges an attempt that the tables do not count, and looks whether others are left.
func (l *Leader) staleStopped(n *node, id types.AttemptID, s worker.Status) {
	if s.Phase.Ended() && !s.NeverStarted {
		l.acknowledge(n, id)
	}
	n.nextRenew = l.now()
}
