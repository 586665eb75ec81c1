package lead

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// attempt is what the lead knows about a task's latest attempt besides the table.
type attempt struct {
	// boot is the worker's boot that the intent named.
	boot uint64
	// intentCommitted tells that the intent is in the journal.
	intentCommitted bool
	// sent tells that a start may have reached the worker.
	sent bool
	// reported tells that the worker has reported the attempt.
	reported bool
	// startRefused tells that the worker surely did not take the start.
	startRefused bool
	// resultPending tells that the end waits for its commit.
	resultPending bool
	// drainingSince is when the task's runner was told to take no new requests.
	drainingSince time.Time
	// notBefore is when the task may be started again.
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

// applyReport compares what a worker runs with the tables.
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

// applyStatus takes in one attempt that a worker reported.
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

// removeOrphans forgets the attempts that a worker ran beside the tables, before it reports them anew.
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

// addOrphan counts an attempt that a worker runs beside the tables, until it is stopped.
func (l *Leader) addOrphan(n *node, s worker.Status) {
	n.stale = true
	if w, ok := l.state.Workers[n.vm.ID]; ok {
		l.state.AddOrphan(w, s.Attempt, s.Declared)
	}
}

// recordLateResult records the end of an attempt whose fate was reported as unknown. It tells whether it did.
func (l *Leader) recordLateResult(n *node, s worker.Status) bool {
	id := s.Attempt.Task()
	i := l.committedState.Task(id)
	if l.lateResults[s.Attempt] {
		return true
	}
	isLate := i != nil && i.State == table.TaskUnknown && id.Attempt(i.Number) == s.Attempt && s.Phase == worker.PhaseDone
	if !isLate {
		return false
	}
	end := commit.End{Task: id, Number: i.Number, State: table.TaskDone, Reason: "reported late"}
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
	l.reportViolation(l.state.Confirm(t, s.Endpoint, t.LeaseEnd))
	t.Usage = s.Usage
}

// handleUnreported deals with an attempt that should occupy the worker and that the worker does not report. One that
// was never seen there is stopped first, so that a start still on its way cannot take effect later.
func (l *Leader) handleUnreported(n *node, t *table.Task) {
	a := l.attemptOf(t.ID)
	switch {
	case !a.sent || a.resultPending:
	case !a.reported:
		l.enqueueStop(n, t.Attempt(), false)
	default:
		l.commitResult(t, l.resultOf(t, worker.PhaseLapsed, false, "worker "+string(n.vm.ID)+" lost it"), nil)
	}
}

// resultOf returns the state that a task gets when its attempt ended in a phase.
func (l *Leader) resultOf(t *table.Task, phase worker.Phase, neverStarted bool, reason string) commit.End {
	spec := &t.Job.Spec
	rerunState := table.TaskWaiting
	if t.Job.Cancelled || l.isRetiring(t) {
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

// commitResult commits the end of a task's attempt. A worker that reported it gets the acknowledgement afterwards.
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

// commitCorrection commits the state that the tables gave a task where it differs from the one that was committed, as
// when its job was cancelled in between.
func (l *Leader) commitCorrection(t *table.Task, e commit.End) {
	e.State = t.State
	e.Failed = false
	l.writer.enqueue(pendingRecord{record: commit.Record{End: &e}, retry: true})
}

// acknowledge has the worker drop its report of an attempt that ended.
func (l *Leader) acknowledge(n *node, id types.AttemptID) {
	for _, known := range n.pendingAcks {
		if known == id {
			return
		}
	}
	n.pendingAcks = append(n.pendingAcks, id)
}

// failureBackoff returns how long a task waits after its n-th failure.
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
