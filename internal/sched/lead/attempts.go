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
	// committed tells that the intent is in the journal.
	committed bool
	// sent tells that a start may have reached the worker.
	sent bool
	// seen tells that the worker has reported the attempt.
	seen bool
	// refused tells that the worker surely did not take the start.
	refused bool
	// ending tells that the end waits for its commit.
	ending bool
	// leaving is when the task's runner was told to take no new requests.
	leaving time.Time
	// notBefore is when the task may be started again.
	notBefore time.Time
}

func (l *Leader) attempt(id types.TaskID) *attempt {
	a, ok := l.attempts[id]
	if !ok {
		a = &attempt{}
		l.attempts[id] = a
	}
	return a
}

// takeReport compares what a worker runs with the tables.
func (l *Leader) takeReport(n *node, r worker.Report) {
	n.boot = r.Boot
	n.capacity = r.Capacity
	l.dropForeign(n)
	listed := make(map[types.AttemptID]struct{}, len(r.Attempts))
	usage := types.Resources{}
	for _, s := range r.Attempts {
		listed[s.Attempt] = struct{}{}
		if !s.Phase.Ended() {
			usage = usage.Add(s.Usage)
		}
		l.takeStatus(n, s)
	}
	if w, ok := l.state.Workers[n.vm.ID]; ok {
		w.Usage = usage
	}
	for _, t := range l.tasksOn(n) {
		if _, ok := listed[t.Attempt()]; !ok {
			l.unlisted(n, t)
		}
	}
}

// takeStatus takes in one attempt that a worker reported.
func (l *Leader) takeStatus(n *node, s worker.Status) {
	t, ok := l.state.Tasks[s.Attempt.Task()]
	current := ok && t.Attempt() == s.Attempt && t.State.Occupies() && t.Worker == n.vm.ID
	switch {
	case !current && !s.Phase.Ended():
		l.addForeign(n, s)
		l.enqueueStop(n, s.Attempt, false)
	case !current && l.lateDone(n, s):
	case !current:
		l.acknowledge(n, s.Attempt)
	case s.Phase.Ended():
		l.attempt(t.ID).seen = true
		l.end(t, l.fate(t, s.Phase, false, s.Reason), n)
	default:
		l.confirm(t, s)
	}
}

// dropForeign forgets the attempts that a worker ran beside the tables, before it reports them anew.
func (l *Leader) dropForeign(n *node) {
	n.stale = false
	w, ok := l.state.Workers[n.vm.ID]
	if !ok {
		return
	}
	for id := range w.Orphans {
		l.state.RemoveOrphan(w, id)
	}
}

// addForeign counts an attempt that a worker runs beside the tables, until it is stopped.
func (l *Leader) addForeign(n *node, s worker.Status) {
	n.stale = true
	if w, ok := l.state.Workers[n.vm.ID]; ok {
		l.state.AddOrphan(w, s.Attempt, s.Declared)
	}
}

// lateDone records the end of an attempt whose fate was reported as unknown. It tells whether it did.
func (l *Leader) lateDone(n *node, s worker.Status) bool {
	id := s.Attempt.Task()
	i := l.image.Task(id)
	if l.late[s.Attempt] {
		return true
	}
	late := i != nil && i.State == table.TaskUnknown && id.Attempt(i.Number) == s.Attempt && s.Phase == worker.PhaseDone
	if !late {
		return false
	}
	end := commit.End{Task: id, Number: i.Number, State: table.TaskDone, Reason: "reported late"}
	l.late[s.Attempt] = true
	l.writer.add(item{
		record: commit.Record{End: &end},
		done: func() {
			delete(l.late, s.Attempt)
			l.acknowledge(n, s.Attempt)
		},
		failed: func(error) { delete(l.late, s.Attempt) },
	})
	return true
}

func (l *Leader) confirm(t *table.Task, s worker.Status) {
	a := l.attempt(t.ID)
	a.sent = true
	a.seen = true
	if t.State == table.TaskStopping {
		return
	}
	if t.State != table.TaskRunning {
		l.record(audit.VerbStart, string(s.Attempt), "worker "+string(t.Worker)+" runs it")
		l.count("Starts")
	}
	l.must(l.state.Confirm(t, s.Endpoint, t.LeaseEnd))
	t.Usage = s.Usage
}

// unlisted deals with an attempt that should occupy the worker and that the worker does not report. One that
// was never seen there is stopped first, so that a start still on its way cannot take effect later.
func (l *Leader) unlisted(n *node, t *table.Task) {
	a := l.attempt(t.ID)
	switch {
	case !a.sent || a.ending:
	case !a.seen:
		l.enqueueStop(n, t.Attempt(), false)
	default:
		l.end(t, l.fate(t, worker.PhaseLapsed, false, "worker "+string(n.vm.ID)+" lost it"), nil)
	}
}

// fate returns the state that a task gets when its attempt ended in a phase.
func (l *Leader) fate(t *table.Task, phase worker.Phase, never bool, reason string) commit.End {
	spec := &t.Job.Spec
	rerun := table.TaskWaiting
	if t.Job.Cancelled || l.retiring(t) {
		rerun = table.TaskCancelled
	}
	repeatable := spec.Task.Idempotent || spec.Service != nil
	end := commit.End{State: rerun, Reason: reason}
	switch {
	case never:
	case phase == worker.PhaseDone && spec.Service == nil:
		end.State = table.TaskDone
	case phase == worker.PhaseCheckpointed:
		end.Resume = true
	case phase == worker.PhaseFailed || phase == worker.PhaseDone:
		end.Failed = true
		if spec.Service == nil && (!repeatable || t.Failures+1 >= l.policy().MaxAttempts) {
			end.State = table.TaskFailed
		}
	case phase == worker.PhaseStopped && rerun == table.TaskCancelled:
	case !repeatable:
		end.State = table.TaskUnknown
	}
	return end
}

// end commits the end of a task's attempt. A worker that reported it gets the acknowledgement afterwards.
func (l *Leader) end(t *table.Task, e commit.End, from *node) {
	a := l.attempt(t.ID)
	if a.ending {
		return
	}
	a.ending = true
	e.Task = t.ID
	e.Number = t.Number
	id := t.Attempt()
	l.writer.add(item{
		record: commit.Record{End: &e},
		retry:  true,
		done: func() {
			l.ended(t, e)
			if from != nil {
				l.acknowledge(from, id)
			}
		},
	})
}

func (l *Leader) ended(t *table.Task, e commit.End) {
	now := l.now()
	a := &attempt{}
	if l.attempt(t.ID).refused {
		a.notBefore = now.Add(retryPeriod)
	}
	if e.Failed {
		t.Failures++
		a.notBefore = now.Add(retryDelay(t.Failures))
	}
	t.Resume = e.Resume
	l.must(l.state.Finish(t, e.State, e.Reason, now))
	l.attempts[t.ID] = a
	if t.State != e.State {
		l.correct(t, e)
	}
	l.count("Ends")
	l.record(audit.VerbEnd, string(t.ID.Attempt(e.Number)), string(e.State)+": "+e.Reason)
}

// correct commits the state that the tables gave a task where it differs from the one that was committed, as
// when its job was cancelled in between.
func (l *Leader) correct(t *table.Task, e commit.End) {
	e.State = t.State
	e.Failed = false
	l.writer.add(item{record: commit.Record{End: &e}, retry: true})
}

// acknowledge has the worker drop its report of an attempt that ended.
func (l *Leader) acknowledge(n *node, id types.AttemptID) {
	for _, known := range n.acks {
		if known == id {
			return
		}
	}
	n.acks = append(n.acks, id)
}

// retryDelay returns how long a task waits after its n-th failure.
func retryDelay(failures int) time.Duration {
	const (
		first = 500 * time.Millisecond
		most  = time.Minute
	)
	if failures > 7 {
		return most
	}
	return min(most, first<<(failures-1))
}
