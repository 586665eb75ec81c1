package lead

import (
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// reclaimTick ends the attempts on unreachable workers once they certainly no longer run.
func (l *Leader) reclaimTick() {
	for _, n := range l.sortedNodes() {
		if n.unreachableSince.IsZero() {
			continue
		}
		for _, t := range l.tasksOn(n) {
			if l.isExpired(n, t) {
				reason := "worker " + string(n.vm.ID) + " does not answer and the lease has lapsed"
				l.commitResult(t, l.resultOf(t, worker.PhaseLeaseExpired, false, reason), nil)
			}
		}
	}
}

// isExpired reports whether an attempt on an unreachable worker can be given up. One whose start has not been sent, or
// whose result is pending, can't. On a worker that accepted this
// leader's epoch nobody else can renew the lease, so the attempt has ended once its lease has expired. On one
// that did not, an earlier leader may still renew it: only work that may run twice is given up then; the rest
// waits until the worker answers or counts as destroyed.
func (l *Leader) isExpired(n *node, t *table.Task) bool {
	a := l.attemptOf(t.ID)
	if !a.sent || a.resultPending {
		return false
	}
	now := l.now()
	if n.fenced {
		return !t.LeaseExpiresAt.IsZero() && now.After(t.LeaseExpiresAt)
	}
	spec := &t.Job.Spec
	mayRunTwice := !spec.Task.Booking && (spec.Task.Idempotent || spec.Service != nil)
	if mayRunTwice {
		return now.After(leaseExpiry(l.takenOverAt, l.leaseTTL()))
	}
	return l.isGone(n)
}
