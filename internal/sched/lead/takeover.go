package lead

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// takeOver makes this daemon the leader: it rebuilds the tables from the journal and queues a fence call to every
// known worker, which announces the epoch so that the worker refuses the calls of earlier leaders. Nothing is placed on
// a worker before it has accepted the epoch and reported what it runs.
func (l *Leader) takeOver(t takeover) {
	l.changeRole(roleLeader, t.claim.Epoch, "won the claim")
	l.standby.lastClaim = t.claim
	l.journal = t.journal
	l.committedState = t.committed
	l.takenOverAt = l.now()
	l.interim.tries = 0
	l.claimRenewal.nextAt = l.now().Add(l.claims.TTL() / 3)
	for _, vm := range l.workerList.vms {
		l.addNode(vm)
	}
	for _, j := range l.committedState.Jobs {
		l.restoreJob(j)
	}
	l.workerList.nextAt = l.now()
	l.incCounter("TakeOvers")
	l.workerTick()
}

// restoreJob adds a committed job to the tables, unless it has moved, has ended or is being handed over. The offer of a
// job that is being handed over is restored instead.
func (l *Leader) restoreJob(j *commit.CommittedJob) {
	if j.MovedTo != "" {
		return
	}
	if j.Offer != nil {
		l.offers[j.Spec.ID] = &offer{record: *j.Offer, committed: true}
		return
	}
	if !j.Ended.IsZero() {
		return
	}
	job := l.state.AddJob(j.Spec, j.Accepted)
	l.reportViolation(l.state.AddTasks(job, len(j.Tasks)-len(job.Tasks), j.Accepted))
	job.Cancelled = j.Cancelled
	for i, t := range job.Tasks {
		l.restoreTask(t, j.Tasks[i])
	}
}

// restoreTask restores a task's committed state. Depending on that state, committed.At is when the task was queued, was
// ended or was assigned to its worker.
func (l *Leader) restoreTask(t *table.Task, committed commit.CommittedTask) {
	t.Number = committed.Number
	t.Resume = committed.Resume
	t.Failures = committed.Failures
	t.Reason = committed.Reason
	t.Queued = committed.At
	if committed.Waiting() {
		l.finishCancelled(t)
		return
	}
	if committed.State != table.TaskIntended {
		l.reportViolation(l.state.Finish(t, committed.State, committed.Reason, committed.At))
		return
	}
	w := l.workerFor(committed.Worker, t.Job.Spec.Task.Resources)
	state := table.TaskIntended
	if t.Job.Cancelled {
		state = table.TaskStopping
	}
	l.reportViolation(l.state.Adopt(t, w, committed.Number, state))
	t.Started = committed.At
	l.attempts[t.ID] = &attempt{boot: committed.Boot, intentCommitted: true, sent: true}
}

// finishCancelled ends a waiting task of a cancelled job, such as one whose attempt ended after the cancellation.
func (l *Leader) finishCancelled(t *table.Task) {
	if t.Job.Cancelled {
		l.commitResult(t, commit.End{State: table.TaskCancelled, Reason: "the job was cancelled"}, nil)
	}
}

// workerFor returns the worker of an adopted attempt. One that is not in the list of VMs gets an entry in the tables
// that counts as leaving, unreachable and missing from now on, with just the capacity that its adopted attempts use. An
// empty address marks such an entry.
func (l *Leader) workerFor(id types.VMID, need types.Resources) *table.Worker {
	if w, ok := l.state.Workers[id]; ok {
		if w.VM.Address == "" {
			l.nodes[id].vm.Capacity = l.nodes[id].vm.Capacity.Add(need)
			l.refreshWorker(l.nodes[id])
		}
		return w
	}
	site := l.cfg.Self.Site
	site.Rack = ""
	n := l.addNode(types.VM{ID: id, Role: types.RoleWorker, State: types.VMLeaving, Site: site, Capacity: need})
	n.unreachableSince = l.now()
	n.missingSince = l.now()
	l.refreshWorker(n)
	return l.state.Workers[id]
}
