package lead

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// leadTick runs the systems over the tables, and writes what they decided in one go.
func (l *Leader) leadTick() {
	l.renewClaim()
	l.renewTick()
	l.reclaimTick()
	l.quotaTick()
	l.serviceTick()
	l.planTick()
	l.offerTick()
	l.summaryTick()
	l.writeTick()
}

// quotaTick takes the quotas from a new revision of the document.
func (l *Leader) quotaTick() {
	d, revision := l.cfg.Document()
	if d == nil || revision == l.services.quotas {
		return
	}
	l.services.quotas = revision
	for _, t := range d.Teams {
		l.state.SetQuota(t.Name, t.Quota)
	}
}

// planTick has the planner decide, unless nothing can be committed now or the quotas are not known yet.
func (l *Leader) planTick() {
	now := l.now()
	if d, _ := l.cfg.Document(); d == nil {
		return
	}
	if l.writer.unsettled || now.Before(l.writer.next) {
		return
	}
	actions := l.cfg.Planner.Plan(l.state, now)
	broken := l.brokenGangs(actions)
	for _, a := range actions {
		if s, ok := a.(plan.StartAction); ok && broken[s.Task.Job()] {
			continue
		}
		l.act(a)
	}
}

// brokenGangs returns the all-at-once jobs of which some start is not allowed; none of it starts then.
func (l *Leader) brokenGangs(actions []plan.Action) map[types.JobID]bool {
	broken := make(map[types.JobID]bool)
	for _, a := range actions {
		s, ok := a.(plan.StartAction)
		if !ok {
			continue
		}
		t, known := l.state.Tasks[s.Task]
		if known && t.Job.Spec.Gang != nil && !l.allowed(s) {
			broken[s.Task.Job()] = true
		}
	}
	return broken
}

func (l *Leader) act(a plan.Action) {
	switch a := a.(type) {
	case plan.StartAction:
		if l.allowed(a) {
			l.start(a)
		}
	case plan.PreemptAction:
		l.preempt(a)
	case plan.ThrottleAction:
		l.throttle(a)
	case plan.QuarantineAction:
		l.judge(a, a.Worker, table.WorkerQuarantined, audit.VerbQuarantine, a.Reason)
	case plan.ProbeAction:
		l.judge(a, a.Worker, table.WorkerProbing, audit.VerbRelease, a.Reason)
	case plan.ReleaseAction:
		l.judge(a, a.Worker, "", audit.VerbRelease, a.Reason)
	case plan.HandOverAction:
		l.offerJob(a)
	case plan.GiveUpAction:
		l.giveUp(a)
	case plan.WaitAction:
		l.note(a, a.Job, a.Reason)
	case plan.ReserveAction:
		l.note(a, a.Job, a.Reason)
	case plan.UnreserveAction:
		l.note(a, a.Job, a.Reason)
	default:
		plan.Apply(l.state, a, l.now())
	}
}

// note applies an action that concerns the tables alone, and records why its job waits.
func (l *Leader) note(a plan.Action, job types.JobID, reason string) {
	plan.Apply(l.state, a, l.now())
	l.record(audit.VerbWait, string(job), reason)
}

// allowed checks a start against the tables once more, whatever the planner says.
func (l *Leader) allowed(s plan.StartAction) bool {
	t, ok := l.state.Tasks[s.Task]
	if !ok || !l.startable(t) {
		return false
	}
	w, ok := l.state.Workers[s.Worker]
	return ok && w.Placeable()
}

func (l *Leader) startable(t *table.Task) bool {
	a, known := l.attempts[t.ID]
	blocked := known && (a.ending || l.now().Before(a.notBefore))
	return t.State == table.TaskWaiting && !t.Job.Cancelled && !blocked && l.offers[t.Job.Spec.ID] == nil
}

// preempt stops a task to make room, unless stopping it would lose work that must not run again. A
// service's runner drains first.
func (l *Leader) preempt(a plan.PreemptAction) {
	t, ok := l.state.Tasks[a.Task]
	if !ok || t.State != table.TaskRunning {
		return
	}
	if t.Job.Spec.Service != nil {
		l.leave(t)
		return
	}
	spec := &t.Job.Spec.Task
	checkpoint := a.Checkpoint && spec.CanCheckpoint
	if !checkpoint && !spec.Idempotent {
		return
	}
	l.record(audit.VerbPreempt, string(t.Attempt()), a.Reason, audit.Input{Name: "For", Value: string(a.For)})
	l.stop(t, checkpoint, a.Reason)
}

func (l *Leader) throttle(a plan.ThrottleAction) {
	t, ok := l.state.Tasks[a.Task]
	n := l.nodes[l.workerOf(t)]
	if !ok || n == nil || t.State != table.TaskRunning {
		return
	}
	l.state.SetThrottle(t, a.Permille)
	l.record(audit.VerbThrottle, string(t.Attempt()), a.Reason)
	l.enqueue(n, stopCall{request: worker.StopRequest{Epoch: l.epoch, Attempt: t.Attempt(), Throttle: a.Permille}})
}

func (l *Leader) workerOf(t *table.Task) types.VMID {
	if t == nil {
		return ""
	}
	return t.Worker
}

// judge puts a worker in or out of quarantine.
func (l *Leader) judge(a plan.Action, id types.VMID, verdict table.Health, verb audit.Verb, reason string) {
	n, ok := l.nodes[id]
	if !ok || n.verdict == verdict {
		return
	}
	plan.Apply(l.state, a, l.now())
	n.verdict = verdict
	l.refresh(n)
	l.record(verb, string(id), reason)
}

func (l *Leader) giveUp(a plan.GiveUpAction) {
	t, ok := l.state.Tasks[a.Task]
	if ok && l.startable(t) {
		l.end(t, commit.End{State: table.TaskFailed, Reason: a.Reason}, nil)
	}
}
