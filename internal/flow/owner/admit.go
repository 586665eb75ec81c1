package owner

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// fullRetryDelay is the time after which callers should retry when the limit of jobs was reached.
	fullRetryDelay = 2 * time.Second
	// minBacklogDelay and maxBacklogDelay bound the time after which callers of rejected jobs should retry, before it is
	// spread over up to twice as long.
	minBacklogDelay = time.Second
	maxBacklogDelay = 30 * time.Second
	// maxJobs limits the jobs that wait or run, so that they fit the memory of a small VM.
	maxJobs = 20_000
	// maxJobsForSurplus is the number of jobs from which on surplus jobs are rejected. It leaves memory for those within
	// the weights.
	maxJobsForSurplus = maxJobs / 4 * 3

	epochKey = ledger.EpochKey
)

// admit returns nil when a new job may be accepted, and marks it when it is surplus. Otherwise the error is of kind
// QuotaExceeded (the job can never run), Overloaded (too many jobs) or Unavailable (writes are stalled). The caller must
// hold o.mu.
func (o *Owner) admit(job *specs.Job) error {
	o.applyCatalog()
	o.applyWeights()
	if err := checkQuota(job, o.table.Organisations[job.Organisation]); err != nil {
		o.reportRefusal(job, refusedByQuota, 0, err)
		return err
	}
	now := o.config.Clock.Now()
	job.Surplus = o.isSurplus(job, now)
	if err := o.admitByCount(job, now); err != nil {
		return err
	}
	if age := o.stalledFor(); age > 0 {
		return errs.After(errs.Unavailable, outageRetryDelay(age), "the store has not confirmed a write for %s", age)
	}
	if len(o.pending.entry.Jobs) >= ledger.MaxEntryJobs {
		return errs.After(errs.Unavailable, minOutageDelay, "%d jobs wait for the next write of the ledger", ledger.MaxEntryJobs)
	}
	if err := o.admitByBacklog(job, now); err != nil {
		return err
	}
	o.takeToken(job, now)
	o.organisationCounters.accepted(job)
	return nil
}

// admitByCount rejects a job while so many wait or run that a further one might not fit the memory. The caller must hold
// o.mu.
func (o *Owner) admitByCount(job *specs.Job, now time.Time) error {
	limit, delay := maxJobs, fullRetryDelay
	if job.Surplus {
		limit = maxJobsForSurplus
	}
	if len(o.table.Jobs) < limit {
		return nil
	}
	if slot, ok := o.slotDelay(job, delay, now); ok {
		delay = slot
	}
	err := errs.After(errs.Overloaded, delay, "%d accepted jobs wait or run; the limit for this job is %d", len(o.table.Jobs), limit)
	o.reportRefusal(job, refusedByOverload, 0, err)
	return err
}

// admitByBacklog rejects a job that would be overdue before it could be done, since its caller is better off knowing that
// at once. The callers are told to come back at different times, once the excess should be worked off. The caller must
// hold o.mu.
func (o *Owner) admitByBacklog(job *specs.Job, now time.Time) error {
	if job.Schedule != nil || job.IsService() {
		return nil
	}
	excess := o.backlog.Excess(o.table.NewJob(job))
	if excess <= 0 {
		return nil
	}
	delay := min(max(excess, minBacklogDelay), maxBacklogDelay)
	if slot, ok := o.slotDelay(job, delay, now); ok {
		delay = slot
	} else {
		delay += rand.N(delay)
	}
	err := errs.After(errs.Overloaded, delay, "the work ahead of the job takes %s longer than it can wait", excess.Round(time.Millisecond))
	o.reportRefusal(job, refusedByOverload, excess, err)
	return err
}
