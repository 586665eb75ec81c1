package lead

import (
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// renewalsPerLease is the number of renewals within one lease.
	renewalsPerLease = 3
	// workerRetryInterval is how often a worker is called while it is unreachable, not fenced or stale, or after
	// its latest renewal or stop failed. It is also how long a task waits after a worker refused its start.
	workerRetryInterval = time.Second
	// endMargin is how long after its declared end a task is queried.
	endMargin = 250 * time.Millisecond
	// minEndQueryInterval is the minimum time between two queries of tasks that should have ended.
	minEndQueryInterval = time.Second
	// overrunDivisor lengthens the interval of these queries the longer a task overruns its declared run time.
	overrunDivisor = 4
)

// workerTick queues a call to each worker that is due: to fence it, or to renew its tasks' leases and get a
// report.
func (l *Leader) workerTick() {
	now := l.now()
	for _, n := range l.sortedNodes() {
		if n.busy || len(n.queue) > 0 || now.Before(n.nextCallAt) {
			continue
		}
		if n.fenced {
			l.enqueueRenew(n)
		} else {
			l.enqueueFence(n)
		}
		n.nextCallAt = now.Add(l.renewInterval(n))
	}
}

// renewInterval returns the time until the next call to the worker is due.
func (l *Leader) renewInterval(n *node) time.Duration {
	if !n.unreachableSince.IsZero() || !n.fenced || n.stale {
		return workerRetryInterval
	}
	return l.leaseTTL() / renewalsPerLease
}

func (l *Leader) enqueueRenew(n *node) {
	l.retryStops(n)
	request := worker.RenewRequest{Epoch: l.epoch, Attempts: l.renewableAttempts(n), Acknowledge: n.pendingAcks, Lease: l.leaseTTL()}
	l.enqueueCall(n, renewCall{request: request})
}

// renewableAttempts returns the attempts whose leases are to be renewed. The lease of an attempt that is to stop
// is left to expire.
func (l *Leader) renewableAttempts(n *node) []types.AttemptID {
	if l.role == roleInterim {
		return l.interimAttempts(n)
	}
	var out []types.AttemptID
	for _, t := range l.tasksOn(n) {
		if t.State == table.TaskRunning {
			out = append(out, t.Attempt())
		}
	}
	return out
}

// tasksOn returns the tasks that occupy the worker, in order of their IDs.
func (l *Leader) tasksOn(n *node) []*table.Task {
	w, ok := l.state.Workers[n.vm.ID]
	if !ok {
		return nil
	}
	out := make([]*table.Task, 0, len(w.Attempts))
	for id := range w.Attempts {
		out = append(out, l.state.Tasks[id])
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (l *Leader) applyFence(n *node, r callResult) {
	if r.err != nil {
		return
	}
	l.incCounter("Fences")
	n.fenced = true
	n.nextCallAt = l.now()
	for _, t := range l.tasksOn(n) {
		t.LeaseExpiresAt = leaseExpiry(r.returned, maxLeaseTTL)
	}
	l.applyReport(n, r.report)
	l.refreshWorker(n)
}

func (l *Leader) applyRenew(n *node, c renewCall, r callResult) {
	if r.err == nil || !hadNoEffect(r.err) {
		l.extendLeases(c.request, r.returned)
	}
	if r.err != nil {
		n.nextCallAt = l.now().Add(workerRetryInterval)
		return
	}
	l.incCounter("Renewals")
	n.pendingAcks = without(n.pendingAcks, c.request.Acknowledge)
	l.applyReport(n, r.report)
	l.refreshWorker(n)
	l.scheduleEndQuery(n)
}

// extendLeases records until when the renewed attempts may run.
func (l *Leader) extendLeases(r worker.RenewRequest, returned time.Time) {
	for _, id := range r.Attempts {
		t, ok := l.state.Tasks[id.Task()]
		if ok && t.State.Occupies() && t.Attempt() == id {
			t.LeaseExpiresAt = leaseExpiry(returned, r.Lease)
		}
	}
}

// scheduleEndQuery brings the next call to the worker forward to the time at which one of its tasks should have
// ended.
func (l *Leader) scheduleEndQuery(n *node) {
	now := l.now()
	for _, t := range l.tasksOn(n) {
		runTime := t.Job.Spec.Task.RunTime
		if t.Job.Spec.Service != nil || t.State != table.TaskRunning {
			continue
		}
		due := t.Started.Add(runTime + endMargin)
		if overrun := now.Sub(due); overrun > -minEndQueryInterval {
			due = now.Add(max(minEndQueryInterval, overrun/overrunDivisor))
		}
		if due.Before(n.nextCallAt) {
			n.nextCallAt = due
		}
	}
}

func without(from, exclude []types.AttemptID) []types.AttemptID {
	excluded := make(map[types.AttemptID]struct{}, len(exclude))
	for _, id := range exclude {
		excluded[id] = struct{}{}
	}
	var out []types.AttemptID
	for _, id := range from {
		if _, ok := excluded[id]; !ok {
			out = append(out, id)
		}
	}
	return out
}
