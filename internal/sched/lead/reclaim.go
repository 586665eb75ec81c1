package lead

import (
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// reclaimTick ends the attempts of silent workers once they surely no longer run.
func (l *Leader) reclaimTick() {
	for _, n := range l.sorted() {
		if n.silentSince.IsZero() {
			continue
		}
		for _, t := range l.tasksOn(n) {
			if l.lapsed(n, t) {
				reason := "worker " + string(n.vm.ID) + " does not answer and the lease has lapsed"
				l.end(t, l.fate(t, worker.PhaseLapsed, false, reason), nil)
			}
		}
	}
}

// lapsed tells whether a task may be given up on a silent worker. On a worker that accepted this lead's epoch
// nobody else can renew the lease, so its end is known. On one that did not, an earlier lead may still renew
// it: only work that may run twice is given up then, the rest waits for the worker to answer or to count as
// destroyed.
func (l *Leader) lapsed(n *node, t *table.Task) bool {
	a := l.attempt(t.ID)
	if !a.sent || a.ending {
		return false
	}
	now := l.now()
	if n.fenced {
		return !t.LeaseEnd.IsZero() && now.After(t.LeaseEnd)
	}
	spec := &t.Job.Spec
	twice := !spec.Task.Booking && (spec.Task.Idempotent || spec.Service != nil)
	if twice {
		return now.After(leaseEnd(l.taken, l.lease()))
	}
	return l.gone(n)
}
