package lead

import (
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// renewDivisor is the number of renewals within one lease.
	renewDivisor = 3
	// retryPeriod is how often a worker that does not answer is called.
	retryPeriod = time.Second
	// endSlack is how long after its declared end a task is asked about.
	endSlack = 250 * time.Millisecond
	// endPeriod is the least time between two questions about tasks that should have ended.
	endPeriod = time.Second
	// lateDivisor makes the questions rarer the longer a task overruns its declared run time.
	lateDivisor = 4
)

// renewTick calls each worker that is due: to fence it, or to renew its tasks' leases and hear about them.
func (l *Leader) renewTick() {
	now := l.now()
	for _, n := range l.sorted() {
		if n.busy || len(n.queue) > 0 || now.Before(n.nextRenew) {
			continue
		}
		if n.fenced {
			l.renew(n)
		} else {
			l.fence(n)
		}
		n.nextRenew = now.Add(l.renewPeriod(n))
	}
}

func (l *Leader) renewPeriod(n *node) time.Duration {
	if !n.silentSince.IsZero() || !n.fenced || n.stale {
		return retryPeriod
	}
	return l.lease() / renewDivisor
}

func (l *Leader) renew(n *node) {
	l.retryStops(n)
	request := worker.RenewRequest{Epoch: l.epoch, Attempts: l.renewable(n), Acknowledge: n.acks, Lease: l.lease()}
	l.enqueue(n, renewCall{request: request})
}

// renewable returns the attempts whose leases are to be extended. That of an attempt that is to stop is left
// to lapse.
func (l *Leader) renewable(n *node) []types.AttemptID {
	if l.role == roleInterim {
		return l.interimRunning(n)
	}
	var out []types.AttemptID
	for _, t := range l.tasksOn(n) {
		if t.State == table.TaskRunning {
			out = append(out, t.Attempt())
		}
	}
	return out
}

// tasksOn returns the tasks that occupy the worker, in order.
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

func (l *Leader) applyFence(n *node, o outcome) {
	if o.err != nil {
		return
	}
	l.count("Fences")
	n.fenced = true
	n.nextRenew = l.now()
	for _, t := range l.tasksOn(n) {
		t.LeaseEnd = leaseEnd(o.returned, maxLease)
	}
	l.takeReport(n, o.report)
	l.refresh(n)
}

func (l *Leader) applyRenew(n *node, c renewCall, o outcome) {
	if o.err == nil || !provablyNotSent(o.err) {
		l.extend(c.request, o.returned)
	}
	if o.err != nil {
		n.nextRenew = l.now().Add(retryPeriod)
		return
	}
	l.count("Renewals")
	n.acks = without(n.acks, c.request.Acknowledge)
	l.takeReport(n, o.report)
	l.refresh(n)
	l.askAtEnd(n)
}

// extend notes until when the renewed attempts may run.
func (l *Leader) extend(r worker.RenewRequest, returned time.Time) {
	for _, id := range r.Attempts {
		t, ok := l.state.Tasks[id.Task()]
		if ok && t.State.Occupies() && t.Attempt() == id {
			t.LeaseEnd = leaseEnd(returned, r.Lease)
		}
	}
}

// askAtEnd brings the next call forward to the moment at which a task should have ended.
func (l *Leader) askAtEnd(n *node) {
	now := l.now()
	for _, t := range l.tasksOn(n) {
		run := t.Job.Spec.Task.RunTime
		if t.Job.Spec.Service != nil || t.State != table.TaskRunning {
			continue
		}
		due := t.Started.Add(run + endSlack)
		if late := now.Sub(due); late > -endPeriod {
			due = now.Add(max(endPeriod, late/lateDivisor))
		}
		if due.Before(n.nextRenew) {
			n.nextRenew = due
		}
	}
}

func without(from, drop []types.AttemptID) []types.AttemptID {
	dropped := make(map[types.AttemptID]struct{}, len(drop))
	for _, id := range drop {
		dropped[id] = struct{}{}
	}
	var out []types.AttemptID
	for _, id := range from {
		if _, ok := dropped[id]; !ok {
			out = append(out, id)
		}
	}
	return out
}
