package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// Submit accepts a job and waits until that is durable. A nil error means that the job is durable; kind QuotaExceeded,
// Overloaded or Unavailable that it will not run; kind Conflict that it will not run because its id is that of another caller's
// job; the kinds Lost and Unknown that it is in doubt.
func (o *Owner) Submit(ctx context.Context, caller specs.Caller, job *specs.Job) error {
	began := o.config.Clock.Now()
	done := make(chan struct{})
	if err := o.submit(caller, job, func() { close(done) }); err != nil {
		if errs.Is(err, errs.Conflict) {
			return o.confirmAsLeader(ctx, err)
		}
		return err
	}
	if err := o.awaitDurable(ctx, done); err != nil {
		return err
	}
	o.counters.acceptToDurable.UpdateSince(began)
	return nil
}

func (o *Owner) submit(caller specs.Caller, job *specs.Job, durable func()) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open {
		return errs.New(errs.Unavailable, "the leader has not read the ledger yet")
	}
	if o.isKnown(job.ID) {
		if err := o.checkRepeat(caller, job); err != nil {
			o.counters.jobsRejected.Inc(1)
			return err
		}
		o.counters.jobsRepeated.Inc(1)
		o.onAcceptanceDurable(job.ID, durable)
		return nil
	}
	o.adoptPolicy(job)
	if err := o.admit(job); err != nil {
		o.counters.jobsRejected.Inc(1)
		return err
	}
	o.accept(job)
	o.onDurable(durable)
	return nil
}

// isKnown reports whether a job was accepted, and has perhaps ended. The caller must hold o.mu.
func (o *Owner) isKnown(id specs.JobID) bool {
	_, ended := o.table.EndedJobs[id]
	return ended || o.table.Jobs[id] != nil
}

// onAcceptanceDurable runs f once the acceptance of a known job is durable, at once if it is: a caller that submits a job again
// must not wait for a store that is away. The caller must hold o.mu.
func (o *Owner) onAcceptanceDurable(id specs.JobID, f func()) {
	if _, pending := o.acceptedNotDurable[id]; pending {
		o.onDurable(f)
		return
	}
	f()
}

// adoptPolicy gives a submitted job the policy of this leader's catalog if that is newer than the one that it carries: the daemon that
// took the submission may have read the latest catalog later, or earlier, than this one. The caller must hold o.mu.
func (o *Owner) adoptPolicy(job *specs.Job) {
	carried := job.Queue
	newest, ok := o.config.Catalog().Queue(carried.Name)
	if !ok || !newest.Supersedes(&carried) {
		return
	}
	job.Queue = newest
	o.counters.submissionsOutdated.Inc(1)
	o.config.Log.Info().Str("Job", string(job.ID)).Str("Queue", string(carried.Name)).Uint64("Carried", uint64(carried.Version)).
		Uint64("Version", uint64(newest.Version)).Msg("submission carries a former policy of its queue; the newer one is in force")
}

// accept puts an admitted job into the tables and into the next write. The caller must hold o.mu.
func (o *Owner) accept(job *specs.Job) {
	job.Accepted = o.config.Clock.Now()
	o.table.AddJob(job)
	o.acceptedNotDurable[job.ID] = struct{}{}
	o.onDurable(func() { delete(o.acceptedNotDurable, job.ID) })
	o.pending.entry.Jobs = append(o.pending.entry.Jobs, job)
	o.counters.jobsAccepted.Inc(1)
	o.config.Log.Info().Str("Job", string(job.ID)).Str("Queue", string(job.Queue.Name)).Func(organisationFields(job)).
		Int("Steps", len(job.Steps)).Int("Waiting", len(o.table.Jobs)).Msg("job accepted")
	every.Wake(o.planWake)
}

// awaitDurable waits until a change is durable. An error of kind Lost means that the change is in doubt.
func (o *Owner) awaitDurable(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errs.New(errs.Lost, "the store has not confirmed the change yet: %v", ctx.Err())
	case <-o.ctx.Done():
		return errs.New(errs.Lost, "the leader's term ended before the store confirmed the change")
	}
}

// Cancel cancels a job. A nil error means that the cancellation is durable, or that the job had ended before; kind
// Lost that it is in doubt, kind NotFound that there is no such job, or that the caller may not touch it.
func (o *Owner) Cancel(ctx context.Context, caller specs.Caller, id specs.JobID) error {
	done := make(chan struct{})
	known, err := o.cancelJob(caller, id, func() { close(done) })
	if err != nil {
		return err
	}
	if !known {
		return o.unknownJobError(ctx, id)
	}
	return o.awaitDurable(ctx, done)
}

// cancelJob cancels a job and returns whether there is one that the caller may cancel.
func (o *Owner) cancelJob(caller specs.Caller, id specs.JobID, durable func()) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open {
		return false, errs.New(errs.Unavailable, "the leader has not read the ledger yet")
	}
	if err := o.checkAccess(caller, id); err != nil {
		if errs.Is(err, errs.NotFound) {
			return false, nil
		}
		return false, err
	}
	if _, ended := o.table.EndedJobs[id]; ended {
		o.onDurable(durable)
		return true, nil
	}
	j := o.table.Jobs[id]
	if j == nil {
		return false, nil
	}
	o.endJob(j, tasks.JobCancelled, "cancelled by its caller")
	o.onDurable(durable)
	return true, nil
}

// State returns the state of a job. An error of kind NotFound means that there is no such job, or that the caller may not query
// it.
func (o *Owner) State(ctx context.Context, caller specs.Caller, id specs.JobID) (tasks.JobState, error) {
	state, err := o.jobStateFor(caller, id)
	if errs.Is(err, errs.NotFound) {
		return "", o.unknownJobError(ctx, id)
	}
	return state, err
}

func (o *Owner) jobState(id specs.JobID) (tasks.JobState, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.states.Inc(1)
	if !o.open {
		return "", errs.New(errs.Unavailable, "the leader has not read the ledger yet")
	}
	if state, ok := o.notYetDurable[id]; ok {
		return state, nil
	}
	if e, ok := o.table.EndedJobs[id]; ok {
		return e.State, nil
	}
	if j := o.table.Jobs[id]; j != nil {
		return j.State(), nil
	}
	return "", errs.New(errs.NotFound, "job %s is not known", id)
}

// unknownJobError returns the error for a job that is not in the tables.
func (o *Owner) unknownJobError(ctx context.Context, id specs.JobID) error {
	return o.confirmAsLeader(ctx, errs.New(errs.NotFound, "job %s is not known", id))
}

// confirmAsLeader returns a decision that only a daemon which still leads may report: its tables may lack what a later leader
// has accepted, so the epoch is read from the store first.
func (o *Owner) confirmAsLeader(ctx context.Context, decision error) error {
	leading, err := o.isLeader(ctx)
	if err != nil {
		return err
	}
	if !leading {
		return errs.New(errs.Unavailable, "another daemon leads")
	}
	return decision
}

// isLeader reports whether the epoch in the store is still that of this term.
func (o *Owner) isLeader(ctx context.Context) (bool, error) {
	entry, err := o.config.Store.Get(ctx, epochKey)
	if err != nil {
		return false, errs.New(errs.Unavailable, "could not confirm leadership: %v", err)
	}
	return entry.Version == o.config.Term.Version, nil
}

// Waiting returns how many accepted jobs of the queue no runner has begun yet.
func (o *Owner) Waiting(queue specs.QueueName) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open {
		return 0, errs.New(errs.Unavailable, "the leader has not read the ledger yet")
	}
	n := 0
	for _, j := range o.table.Jobs {
		if j.Spec.Queue.Name == queue && !j.Ran {
			n++
		}
	}
	return n, nil
}

// endJob records that a job has ended, and stops its remaining runs once that is durable. The caller must hold o.mu.
func (o *Owner) endJob(j *tasks.Job, state tasks.JobState, reason string) {
	id := j.Spec.ID
	previous := j.State()
	at := o.config.Clock.Now()
	o.notYetDurable[id] = previous
	var runs []*tasks.Run
	if state != tasks.JobCompleted {
		// Those of a completed job have done their work and end by themselves.
		runs = o.runsOf(j)
	}
	result := &tasks.JobResult{Job: id, Queue: j.Spec.Queue.Name, State: state, At: at, Organisation: j.Spec.Organisation}
	result.SetRemaining(j, o.remainingRuns(j))
	o.record(tasks.Record{End: result}, func() {
		delete(o.notYetDurable, id)
		for _, run := range runs {
			o.stopRun(run)
		}
	})
	o.counters.jobsEnded.Inc(1)
	o.config.Log.Info().Str("Job", string(id)).Str("Queue", string(j.Spec.Queue.Name)).Str("State", string(state)).
		Dur("After", at.Sub(j.Spec.Accepted)).Dur("Advised", elapsed(j.Advised, j.Spec.Accepted)).
		Dur("Started", elapsed(j.Started, j.Spec.Accepted)).Dur("Allowance", j.Allowance()).
		Str("Reason", reason).Msg("job ended")
	every.Wake(o.planWake)
}

// elapsed returns the time from one moment to another, or 0 when at is zero.
func elapsed(at, from time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(from)
}

// runsOf returns the runs of a job's tasks. The caller must hold o.mu.
func (o *Owner) runsOf(j *tasks.Job) []*tasks.Run {
	var out []*tasks.Run
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence.Steps {
			for _, t := range s.Tasks {
				if t.Run != nil {
					out = append(out, t.Run)
				}
			}
		}
	}
	return out
}

// remainingRuns returns all runs of a job of an organisation on any runner, also those that are not their task's current
// one: members of gangs that were done before this term, and attempts that only a runner's report names. It returns none
// for other jobs, whose results hold no runs. The caller must hold o.mu.
func (o *Owner) remainingRuns(j *tasks.Job) []*tasks.Run {
	if j.Organisation == nil {
		return nil
	}
	var out []*tasks.Run
	for _, r := range o.table.OrderedRunners() {
		for key, run := range r.Runs {
			if key.Ref.Job == j.Spec.ID {
				out = append(out, run)
			}
		}
	}
	return out
}
