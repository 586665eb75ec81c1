package lead

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// leaderTick runs the periodic work of a leader and then starts a write. writeTick comes last, so that it can write the
// records that the others have queued; a write in flight or in doubt, a recent failure or a snapshot that is due
// delays them.
func (l *Leader) leaderTick() {
	l.renewClaim()
	l.workerTick()
	l.reclaimTick()
	l.quotaTick()
	l.serviceTick()
	l.planTick()
	l.offerTick()
	l.summaryTick()
	l.writeTick()
}

// quotaTick applies the quotas of a new revision of the document.
func (l *Leader) quotaTick() {
	d, revision := l.cfg.Document()
	if d == nil || revision == l.services.quotaRevision {
		return
	}
	l.services.quotaRevision = revision
	for _, t := range d.Teams {
		l.state.SetQuota(t.Name, t.Quota)
	}
}

// planTick runs the planner and executes its actions, unless nothing can be committed now (see checkCanCommit) or no
// document is in force, which means that the quotas are not known yet.
func (l *Leader) planTick() {
	now := l.now()
	if d, _ := l.cfg.Document(); d == nil {
		return
	}
	if l.writer.inDoubt || now.Before(l.writer.retryAt) {
		return
	}
	actions := l.cfg.Planner.Plan(l.state, now)
	notStartable := l.gangsNotStartable(actions)
	for _, a := range actions {
		if s, ok := a.(plan.StartAction); ok && notStartable[s.Task.Job()] {
			continue
		}
		l.executeAction(a)
	}
}

// gangsNotStartable returns the gang jobs, whose tasks start all at once, of which some start is not allowed now. None
// of their tasks is started in this tick.
func (l *Leader) gangsNotStartable(actions []plan.Action) map[types.JobID]bool {
	notStartable := make(map[types.JobID]bool)
	for _, a := range actions {
		s, ok := a.(plan.StartAction)
		if !ok {
			continue
		}
		t, known := l.state.Tasks[s.Task]
		if known && t.Job.Spec.Gang != nil && !l.isAllowed(s) {
			notStartable[s.Task.Job()] = true
		}
	}
	return notStartable
}

func (l *Leader) executeAction(a plan.Action) {
	switch a := a.(type) {
	case plan.StartAction:
		if l.isAllowed(a) {
			l.startTask(a)
		}
	case plan.PreemptAction:
		l.preemptTask(a)
	case plan.ThrottleAction:
		l.throttleTask(a)
	case plan.QuarantineAction:
		l.updateHealth(a, a.Worker, table.WorkerQuarantined, audit.VerbQuarantine, a.Reason)
	case plan.ProbeAction:
		// The audit trail has no verb for a probe; the reason distinguishes it from a release.
		l.updateHealth(a, a.Worker, table.WorkerProbing, audit.VerbRelease, a.Reason)
	case plan.ReleaseAction:
		l.updateHealth(a, a.Worker, "", audit.VerbRelease, a.Reason)
	case plan.HandOverAction:
		l.offerJob(a)
	case plan.GiveUpAction:
		l.giveUpTask(a)
	case plan.WaitAction:
		l.recordWait(a, a.Job, a.Reason)
	// Reservations have no audit verb of their own either: they are recorded as waits, with their reason.
	case plan.ReserveAction:
		l.recordWait(a, a.Job, a.Reason)
	case plan.UnreserveAction:
		l.recordWait(a, a.Job, a.Reason)
	default:
		plan.Apply(l.state, a, l.now())
	}
}

// recordWait applies an action that changes only the tables, and records why its job waits.
func (l *Leader) recordWait(a plan.Action, job types.JobID, reason string) {
	plan.Apply(l.state, a, l.now())
	l.recordAudit(audit.VerbWait, string(job), reason)
}

// isAllowed reports whether the tables permit a start. It does not rely on the planner's own checks.
func (l *Leader) isAllowed(s plan.StartAction) bool {
	t, ok := l.state.Tasks[s.Task]
	if !ok || !l.isStartable(t) {
		return false
	}
	w, ok := l.state.Workers[s.Worker]
	return ok && w.Placeable()
}

func (l *Leader) isStartable(t *table.Task) bool {
	a, known := l.attempts[t.ID]
	blocked := known && (a.resultPending || l.now().Before(a.notBefore))
	return t.State == table.TaskWaiting && !t.Job.Cancelled && !blocked && l.offers[t.Job.Spec.ID] == nil
}

// preemptTask stops a task to free capacity, if it can be stopped with a checkpoint or is idempotent, so that it may
// run again from its start. A service's runner drains first.
func (l *Leader) preemptTask(a plan.PreemptAction) {
	t, ok := l.state.Tasks[a.Task]
	if !ok || t.State != table.TaskRunning {
		return
	}
	if t.Job.Spec.Service != nil {
		l.startDraining(t)
		return
	}
	spec := &t.Job.Spec.Task
	checkpoint := a.Checkpoint && spec.CanCheckpoint
	if !checkpoint && !spec.Idempotent {
		return
	}
	l.recordAudit(audit.VerbPreempt, string(t.Attempt()), a.Reason, audit.Input{Name: "For", Value: string(a.For)})
	l.stopTask(t, checkpoint, a.Reason)
}

// throttleTask limits a running task to a.Permille thousandths of its declared cores. A stop request with a Throttle
// above 0 carries such a limit and does not stop the task.
func (l *Leader) throttleTask(a plan.ThrottleAction) {
	t, ok := l.state.Tasks[a.Task]
	n := l.nodes[l.workerOf(t)]
	if !ok || n == nil || t.State != table.TaskRunning {
		return
	}
	l.state.SetThrottle(t, a.Permille)
	l.recordAudit(audit.VerbThrottle, string(t.Attempt()), a.Reason)
	l.enqueueCall(n, stopCall{request: worker.StopRequest{Epoch: l.epoch, Attempt: t.Attempt(), Throttle: a.Permille}})
}

// workerOf returns the task's worker, or "" if t is nil, as for a task that is not in the tables.
func (l *Leader) workerOf(t *table.Task) types.VMID {
	if t == nil {
		return ""
	}
	return t.Worker
}

// updateHealth puts a worker into quarantine, lets it run a probe task, or releases it if health is empty.
func (l *Leader) updateHealth(a plan.Action, id types.VMID, health table.Health, verb audit.Verb, reason string) {
	n, ok := l.nodes[id]
	if !ok || n.plannedHealth == health {
		return
	}
	plan.Apply(l.state, a, l.now())
	n.plannedHealth = health
	l.refreshWorker(n)
	l.recordAudit(verb, string(id), reason)
}

// giveUpTask ends a task as failed if it could be started now. One whose result is pending, whose job is cancelled or
// being handed over, or whose backoff has not passed is left as it is; the planner may decide so again later.
func (l *Leader) giveUpTask(a plan.GiveUpAction) {
	t, ok := l.state.Tasks[a.Task]
	if ok && l.isStartable(t) {
		l.commitResult(t, commit.End{State: table.TaskFailed, Reason: a.Reason}, nil)
	}
}
