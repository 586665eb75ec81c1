package lead

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// attempt is what the leader knows about a task's latest attempt besides the table.
type attempt struct {
	// boot is the worker's boot number that the intent names.
	boot uint64
	// intentCommitted is set once the intent is in the journal.
	intentCommitted bool
	// sent is set when a start may have reached the worker.
	sent bool
	// reported is set once the worker has reported the attempt.
	reported bool
	// startRefused is set when the start certainly had no effect on the worker.
	startRefused bool
	// resultPending is set while the result waits for its commit.
	resultPending bool
	// drainingSince is when the runner of the task began to drain: it gets no new requests from then on. Zero if
	// it does not drain.
	drainingSince time.Time
	// notBefore is the earliest time of the next start.
	notBefore time.Time
}

func (l *Leader) attemptOf(id types.TaskID) *attempt {
	a, ok := l.attempts[id]
	if !ok {
		a = &attempt{}
		l.attempts[id] = a
	}
	return a
}

// applyReport reconciles the tables with the attempts that a worker reports.
func (l *Leader) applyReport(n *node, r worker.Report) {
	n.boot = r.Boot
	n.capacity = r.Capacity
	l.removeOrphans(n)
	listed := make(map[types.AttemptID]struct{}, len(r.Attempts))
	usage := types.Resources{}
	for _, s := range r.Attempts {
		listed[s.Attempt] = struct{}{}
		if !s.Phase.Ended() {
			usage = usage.Add(s.Usage)
		}
		l.applyStatus(n, s)
	}
	if w, ok := l.state.Workers[n.vm.ID]; ok {
		w.Usage = usage
	}
	for _, t := range l.tasksOn(n) {
		if _, ok := listed[t.Attempt()]; !ok {
			l.handleUnreported(n, t)
		}
	}
}

// applyStatus applies the reported status of one attempt. A running attempt that the tables do not place on the
// worker is an orphan and is stopped.
func (l *Leader) applyStatus(n *node, s worker.Status) {
	t, ok := l.state.Tasks[s.Attempt.Task()]
	current := ok && t.Attempt() == s.Attempt && t.State.Occupies() && t.Worker == n.vm.ID
	switch {
	case !current && !s.Phase.Ended():
		l.addOrphan(n, s)
		l.enqueueStop(n, s.Attempt, false)
	case !current && l.recordLateResult(n, s):
	case !current:
		l.acknowledge(n, s.Attempt)
	case s.Phase.Ended():
		l.attemptOf(t.ID).reported = true
		l.commitResult(t, l.resultOf(t, s.Phase, false, s.Reason), n)
	default:
		l.confirmRunning(t, s)
	}
}

// removeOrphans removes a worker's orphans from the tables, before its new report adds those that still run.
func (l *Leader) removeOrphans(n *node) {
	n.stale = false
	w, ok := l.state.Workers[n.vm.ID]
	if !ok {
		return
	}
	for id := range w.Orphans {
		l.state.RemoveOrphan(w, id)
	}
}

// addOrphan counts the resources of an orphan as used until it is stopped. Nothing is placed on the worker until
// then.
func (l *Leader) addOrphan(n *node, s worker.Status) {
	n.stale = true
	if w, ok := l.state.Workers[n.vm.ID]; ok {
		l.state.AddOrphan(w, s.Attempt, s.Declared)
	}
}

// recordLateResult commits that an attempt is done whose result was committed as unknown before. It reports
// whether that commit was started or is already pending.
func (l *Leader) recordLateResult(n *node, s worker.Status) bool {
	id := s.Attempt.Task()
	committed := l.committedState.Task(id)
	if l.lateResults[s.Attempt] {
		return true
	}
	isLate := committed != nil && committed.State == table.TaskUnknown && id.Attempt(committed.Number) == s.Attempt && s.Phase == worker.PhaseDone
	if !isLate {
		return false
	}
	end := commit.End{Task: id, Number: committed.Number, State: table.TaskDone, Reason: "reported late"}
	l.lateResults[s.Attempt] = true
	l.writer.enqueue(pendingRecord{
		record: commit.Record{End: &end},
		onDurable: func() {
			delete(l.lateResults, s.Attempt)
			l.acknowledge(n, s.Attempt)
		},
		onFailed: func(error) { delete(l.lateResults, s.Attempt) },
	})
	return true
}

func (l *Leader) confirmRunning(t *table.Task, s worker.Status) {
	a := l.attemptOf(t.ID)
	a.sent = true
	a.reported = true
	if t.State == table.TaskStopping {
		return
	}
	if t.State != table.TaskRunning {
		l.recordAudit(audit.VerbStart, string(s.Attempt), "worker "+string(t.Worker)+" runs it")
		l.incCounter("Starts")
	}
	l.reportViolation(l.state.Confirm(t, s.Endpoint, t.LeaseExpiresAt))
	t.Usage = s.Usage
}

// handleUnreported handles an attempt that should occupy the worker but is not in its report. One that the worker
// never reported is stopped first, so that a start still in flight cannot take effect later.
func (l *Leader) handleUnreported(n *node, t *table.Task) {
	a := l.attemptOf(t.ID)
	switch {
	case !a.sent || a.resultPending:
	case !a.reported:
		l.enqueueStop(n, t.Attempt(), false)
	default:
		end := l.resultOf(t, worker.PhaseLeaseExpired, false, "worker "+string(n.vm.ID)+" lost it")
		// The worker has restarted, and the task may be the cause, so its attempts count toward the limit.
		end.Failed = end.State == table.TaskWaiting
		l.commitResult(t, end, nil)
	}
}

// resultOf returns the result of an attempt that ended in the given phase, with the next state of its task.
// neverStarted means that the attempt certainly never ran, so that even work that must not run twice is queued
// again.
func (l *Leader) resultOf(t *table.Task, phase worker.Phase, neverStarted bool, reason string) commit.End {
	spec := &t.Job.Spec
	rerunState := table.TaskWaiting
	if t.Job.Cancelled || l.needsNoReplacement(t) {
		rerunState = table.TaskCancelled
	}
	repeatable := spec.Task.Idempotent || spec.Service != nil
	end := commit.End{State: rerunState, Reason: reason}
	switch {
	case neverStarted:
	case phase == worker.PhaseDone && spec.Service == nil:
		end.State = table.TaskDone
	case phase == worker.PhaseCheckpointed:
		end.Resume = true
	case phase == worker.PhaseFailed || phase == worker.PhaseDone:
		end.Failed = true
		if spec.Service == nil && (!repeatable || t.Failures+1 >= l.placementPolicy().MaxAttempts) {
			end.State = table.TaskFailed
		}
	case phase == worker.PhaseStopped && rerunState == table.TaskCancelled:
	case !repeatable:
		end.State = table.TaskUnknown
	}
	return end
}

// commitResult commits the result of a task's current attempt and applies it afterwards. If a worker reported the
// result, from is that worker, and the result is acknowledged to it after the commit; otherwise from is nil. Does
// nothing while an earlier result of the attempt is pending.
func (l *Leader) commitResult(t *table.Task, e commit.End, from *node) {
	a := l.attemptOf(t.ID)
	if a.resultPending {
		return
	}
	a.resultPending = true
	e.Task = t.ID
	e.Number = t.Number
	id := t.Attempt()
	l.writer.enqueue(pendingRecord{
		record: commit.Record{End: &e},
		retry:  true,
		onDurable: func() {
			l.applyResult(t, e)
			if from != nil {
				l.acknowledge(from, id)
			}
		},
	})
}

func (l *Leader) applyResult(t *table.Task, e commit.End) {
	now := l.now()
	a := &attempt{}
	if l.attemptOf(t.ID).startRefused {
		a.notBefore = now.Add(workerRetryInterval)
	}
	if e.Failed {
		t.Failures++
		a.notBefore = now.Add(failureBackoff(t.Failures))
	}
	t.Resume = e.Resume
	l.reportViolation(l.state.Finish(t, e.State, e.Reason, now))
	l.attempts[t.ID] = a
	if t.State != e.State {
		l.commitCorrection(t, e)
	}
	l.incCounter("Ends")
	l.recordAudit(audit.VerbEnd, string(t.ID.Attempt(e.Number)), string(e.State)+": "+e.Reason)
}

// commitCorrection commits the state that the tables gave a task where it differs from the committed one, such as
// when its job was cancelled in between.
func (l *Leader) commitCorrection(t *table.Task, e commit.End) {
	e.State = t.State
	e.Failed = false
	l.writer.enqueue(pendingRecord{record: commit.Record{End: &e}, retry: true})
}

// acknowledge queues an acknowledgement, which the next renewal carries. Upon it the worker drops its report of the ended
// attempt.
func (l *Leader) acknowledge(n *node, id types.AttemptID) {
	for _, known := range n.pendingAcks {
		if known == id {
			return
		}
	}
	n.pendingAcks = append(n.pendingAcks, id)
}

// failureBackoff returns how long a task waits before its next start after so many failures, at least 1: the backoff
// doubles with each failure, from minBackoff to maxBackoff, which it reaches with the 8th.
func failureBackoff(failures int) time.Duration {
	const (
		minBackoff = 500 * time.Millisecond
		maxBackoff = time.Minute
	)
	if failures > 7 {
		return maxBackoff
	}
	return min(maxBackoff, minBackoff<<(failures-1))
}
