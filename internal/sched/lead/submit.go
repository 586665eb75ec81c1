package lead

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// waiter receives the outcome of a commit that a caller waits for: nil once the record is committed.
type waiter struct {
	outcome chan error
}

// Submit accepts a job. The job is committed if the error is nil; submitting a known job again changes nothing.
// An error of kind Unknown means that the job may have been accepted.
func (l *Leader) Submit(ctx context.Context, job types.Job) (types.JobStatus, error) {
	l.mu.Lock()
	w, err := l.submit(job)
	l.mu.Unlock()
	return l.awaitCommit(ctx, job.ID, w, err)
}

// Cancel cancels a job. The cancellation is committed if the error is nil; an error of kind Unknown means that it
// may have been.
func (l *Leader) Cancel(ctx context.Context, id types.JobID) (types.JobStatus, error) {
	l.mu.Lock()
	w, err := l.cancel(id)
	l.mu.Unlock()
	return l.awaitCommit(ctx, id, w, err)
}

func (l *Leader) awaitCommit(ctx context.Context, id types.JobID, w *waiter, err error) (types.JobStatus, error) {
	if err != nil {
		return types.JobStatus{}, err
	}
	if w != nil {
		select {
		case err = <-w.outcome:
		case <-ctx.Done():
			err = errs.New(errs.Unknown, "job %s: the call ended before its commit was confirmed; the submission or cancellation may still take effect: %v", id, ctx.Err())
		}
	}
	if err != nil {
		return types.JobStatus{}, err
	}
	status, err := l.Status(ctx, id)
	if err != nil && w != nil {
		return types.JobStatus{}, errs.New(errs.Unknown, "job %s: the submission or cancellation took effect, but its state is not known: %v", id, err)
	}
	return status, err
}

func (l *Leader) submit(job types.Job) (*waiter, error) {
	if err := l.checkCanCommit(); err != nil {
		return nil, err
	}
	if err := job.Check(); err != nil {
		return nil, err
	}
	if _, known := l.committedState.Jobs[job.ID]; known {
		return nil, nil
	}
	if err := l.admit(&job); err != nil {
		l.incCounter("Refused")
		l.recordAudit(audit.VerbRefuse, string(job.ID), err.Error())
		return nil, err
	}
	w := &waiter{outcome: make(chan error, 1)}
	l.acceptJob(commit.Accept{Job: job}, w.outcome)
	return w, nil
}

// acceptJob queues the commit of a job. After the commit, the job is added to the tables unless it has moved or is
// offered to another data centre by then; outcome gets nil in either case, or the error of the commit.
func (l *Leader) acceptJob(a commit.Accept, outcome chan<- error) {
	l.writer.enqueue(pendingRecord{
		record: commit.Record{Accept: &a},
		onDurable: func() {
			if j, ok := l.committedState.Jobs[a.Job.ID]; ok && j.MovedTo == "" && j.Offer == nil {
				delete(l.offers, a.Job.ID)
				l.applyAccept(j)
			}
			outcome <- nil
		},
		onFailed: func(err error) { outcome <- err },
	})
}

// applyAccept adds a committed job to the tables, or the tasks that it gained.
func (l *Leader) applyAccept(j *commit.CommittedJob) {
	id := j.Spec.ID
	if known, ok := l.state.Jobs[id]; ok {
		l.addTasks(known, j)
		return
	}
	l.state.AddJob(j.Spec, j.Accepted)
	l.incCounter("Accepted")
	l.recordAudit(audit.VerbAccept, string(id), "accepted")
}

func (l *Leader) addTasks(j *table.Job, committedJob *commit.CommittedJob) {
	j.Spec = committedJob.Spec
	l.reportViolation(l.state.AddTasks(j, len(committedJob.Tasks)-len(j.Tasks), l.now()))
}

// checkCanCommit returns an error of kind Unavailable if nothing can be committed now; nothing was done then.
func (l *Leader) checkCanCommit() error {
	if l.role != roleLeader {
		return errs.After(errs.Unavailable, writeRetryBackoff, "this daemon does not lead %s; nothing was done", l.dataCentre())
	}
	if l.writer.inDoubt || l.now().Before(l.writer.retryAt) {
		return errs.After(errs.Unavailable, writeRetryBackoff, "the store does not accept writes now; nothing was done")
	}
	return nil
}

// admit rejects a job that the document does not allow or that can never run. It sets the revision of a job that
// has none. submit records the text of the error in the audit trail under the job's ID.
func (l *Leader) admit(job *types.Job) error {
	if job.Service != nil {
		return errs.New(errs.Denied, "services run only from the environment document")
	}
	d, revision := l.cfg.Document()
	if d == nil {
		return errs.After(errs.Unavailable, writeRetryBackoff, "no environment document is in force yet; nothing was done")
	}
	team, ok := d.Team(job.Team)
	if !ok {
		return errs.New(errs.Denied, "Team %q is not in the environment document", job.Team)
	}
	// A lower rank means a more urgent class.
	if team.MaxClass != "" && job.Class.Rank() < team.MaxClass.Rank() {
		return errs.New(errs.Denied, "Team %q may not use a class above %s", job.Team, team.MaxClass)
	}
	if job.Revision == 0 {
		job.Revision = revision
	}
	return l.checkFeasible(job, team.Quota)
}

// checkFeasible rejects a job that exceeds the team's quota, or that fits on no worker here nor, judging by the
// peers' summaries, in another data centre that may run it. A job that may not run here, and any job while no worker
// is known, is checked only against the quota.
func (l *Leader) checkFeasible(job *types.Job, quota types.Resources) error {
	if err := plan.WithinQuota(job, quota); err != nil {
		return err
	}
	if !l.isAllowedHere(job) || len(l.state.Workers) == 0 {
		return nil
	}
	vms := make([]types.VM, 0, len(l.state.Workers))
	for _, w := range l.state.Ordered() {
		vms = append(vms, w.VM)
	}
	err := plan.Feasible(job, vms)
	if err != nil && plan.AnyPeerFits(l.state, job) {
		return nil
	}
	return err
}

func (l *Leader) isAllowedHere(job *types.Job) bool {
	if len(job.Task.DataCentres) == 0 {
		return true
	}
	for _, dc := range job.Task.DataCentres {
		if dc == l.dataCentre() {
			return true
		}
	}
	return false
}

func (l *Leader) cancel(id types.JobID) (*waiter, error) {
	if l.role != roleLeader {
		// checkCanCommit checks the role first, so it always returns an error here.
		return nil, l.checkCanCommit()
	}
	j, ok := l.committedState.Jobs[id]
	if !ok {
		return nil, errs.New(errs.NotFound, "job %s is not known in %s", id, l.dataCentre())
	}
	if j.Cancelled || !j.Ended.IsZero() {
		return nil, nil
	}
	if err := l.checkCanCommit(); err != nil {
		return nil, err
	}
	if j.Offer != nil || l.offers[id] != nil {
		return nil, errs.After(errs.Unavailable, writeRetryBackoff, "job %s is being handed over; nothing was done", id)
	}
	w := &waiter{outcome: make(chan error, 1)}
	l.writer.enqueue(pendingRecord{
		record: commit.Record{Cancel: &commit.Cancel{Job: id}},
		onDurable: func() {
			l.applyCancel(id)
			w.outcome <- nil
		},
		onFailed: func(err error) { w.outcome <- err },
	})
	return w, nil
}

// applyCancel ends the waiting tasks of a cancelled job and stops the others.
func (l *Leader) applyCancel(id types.JobID) {
	j, ok := l.state.Jobs[id]
	if !ok {
		return
	}
	l.recordAudit(audit.VerbCancel, string(id), "a caller cancelled it")
	for _, t := range l.state.CancelJob(j, "the job was cancelled", l.now()) {
		if l.attemptOf(t.ID).intentCommitted {
			l.stopTask(t, false, "the job was cancelled")
		}
	}
}
