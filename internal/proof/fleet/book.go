package fleet

import (
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/check"
)

// book collects what the callers and the operator saw.
type book struct {
	mu          sync.Mutex
	exchanges   []check.Exchange
	submissions map[types.JobID]*check.Submission
	acceptances []check.Acceptance
	samples     []check.Sample
	outages     []check.Outage
	shutdowns   []check.Shutdown
}

func newBook() *book {
	return &book{submissions: make(map[types.JobID]*check.Submission)}
}

func (b *book) exchange(e check.Exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exchanges = append(b.exchanges, e)
}

// submission notes the outcome of one submission. An acceptance outweighs an unknown outcome of the same job, and
// that outweighs a refusal.
func (b *book) submission(job types.Job, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.submissions[job.ID]
	if !ok {
		b.submissions[job.ID] = &check.Submission{Job: job, Err: err}
		return
	}
	if err == nil || (known.Err != nil && !errs.AnswerOf(errs.Of(known.Err).Kind).MayHaveRun) {
		known.Err = err
	}
}

// status notes the latest status that a caller was told.
func (b *book) status(id types.JobID, status types.JobStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.submissions[id]; ok {
		s.Status = &status
	}
}

// open returns the accepted jobs of which no final status was told.
func (b *book) open() []types.JobID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []types.JobID
	for id, s := range b.submissions {
		if s.Err == nil && (s.Status == nil || !ended(s.Status.State)) {
			out = append(out, id)
		}
	}
	return out
}

func (b *book) acceptance(revision types.Revision, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acceptances = append(b.acceptances, check.Acceptance{Revision: revision, At: at})
}

// newest returns the highest accepted revision.
func (b *book) newest() types.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out types.Revision
	for _, a := range b.acceptances {
		out = max(out, a.Revision)
	}
	return out
}

func (b *book) sample(s check.Sample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.samples = append(b.samples, s)
}

func (b *book) outage(o check.Outage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outages = append(b.outages, o)
}

func (b *book) shutdown(s check.Shutdown) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shutdowns = append(b.shutdowns, s)
}

// history returns all that was collected.
func (b *book) history() check.History {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := check.History{
		Exchanges: b.exchanges, Acceptances: b.acceptances, Samples: b.samples,
		Outages: b.outages, Shutdowns: b.shutdowns, Bound: inForceBound,
	}
	for _, s := range b.submissions {
		h.Submissions = append(h.Submissions, *s)
	}
	return h
}

func ended(s types.JobState) bool {
	switch s {
	case types.JobDone, types.JobFailed, types.JobCancelled, types.JobUnknown:
		return true
	default:
		return false
	}
}
