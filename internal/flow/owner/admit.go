package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// takeoverRetryDelay tells callers to come back once a new lead has taken over.
	takeoverRetryDelay = time.Second
	// fullRetryDelay tells callers to come back once there may be room for more jobs.
	fullRetryDelay = 2 * time.Second
	// admitWriteTimeout is how long a write of the ledger may take before new jobs are refused at once.
	admitWriteTimeout = 600 * time.Millisecond
	// maxJobs limits the jobs that wait or run, for the memory of a small VM.
	maxJobs = 20_000

	epochKey = ledger.EpochKey
)

// admit tells whether a new job is taken. The caller holds the lock.
func (o *Owner) admit(job *specs.Job) error {
	if len(o.table.Jobs) >= maxJobs {
		return errs.After(errs.Overloaded, fullRetryDelay, "%d jobs are accepted already", len(o.table.Jobs))
	}
	if age := o.oldestWriteAge(); age > admitWriteTimeout {
		return errs.After(errs.Unavailable, takeoverRetryDelay, "the store has not taken a write for %s", age)
	}
	return nil
}

// oldestWriteAge returns for how long the oldest write of the ledger has been under way.
func (o *Owner) oldestWriteAge() time.Duration {
	if len(o.inFlight) == 0 {
		return 0
	}
	return o.config.Clock.Since(o.inFlight[0].beganAt)
}
