package owner

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// fullRetryDelay is when callers should retry once more jobs may be accepted again.
	fullRetryDelay = 2 * time.Second
	// admitWriteTimeout is how long a ledger write may be in flight before new jobs are rejected at once.
	admitWriteTimeout = 600 * time.Millisecond
	// minBacklogDelay and maxBacklogDelay bound the time after which callers of rejected jobs should retry, before it is
	// spread over up to twice as long.
	minBacklogDelay = time.Second
	maxBacklogDelay = 30 * time.Second
	// maxJobs limits the jobs that wait or run, so that they fit the memory of a small VM.
	maxJobs = 20_000

	epochKey = ledger.EpochKey
)

// admit returns nil when a new job may be accepted. Otherwise the error is of kind Overloaded (too many jobs) or
// Unavailable (writes are stalled). The caller must hold o.mu.
func (o *Owner) admit(job *specs.Job) error {
	o.applyCatalog()
	if len(o.table.Jobs) >= maxJobs {
		return errs.After(errs.Overloaded, fullRetryDelay, "%d accepted jobs wait or run, which is the maximum", len(o.table.Jobs))
	}
	if age := o.oldestWriteAge(); age > admitWriteTimeout {
		return errs.After(errs.Unavailable, outageRetryDelay(age), "the store has not confirmed a write for %s", age)
	}
	return o.admitByBacklog(job)
}

// admitByBacklog rejects a job that would be overdue before it could be done, since its caller is better off knowing that
// at once. The callers are told to come back at different times, once the excess should be worked off. The caller must
// hold o.mu.
func (o *Owner) admitByBacklog(job *specs.Job) error {
	if job.Schedule != nil || job.IsService() {
		return nil
	}
	excess := o.backlog.Excess(o.table.NewJob(job))
	if excess <= 0 {
		return nil
	}
	delay := min(max(excess, minBacklogDelay), maxBacklogDelay)
	delay += rand.N(delay)
	return errs.After(errs.Overloaded, delay, "the work ahead of the job takes %s longer than it can wait", excess.Round(time.Millisecond))
}

// oldestWriteAge returns how long the oldest ledger write has been in flight, or 0 when there is none. The caller
// must hold o.mu.
func (o *Owner) oldestWriteAge() time.Duration {
	if len(o.inFlight) == 0 {
		return 0
	}
	return o.config.Clock.Since(o.inFlight[0].beganAt)
}
