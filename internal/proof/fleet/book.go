package fleet

import (
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/check"
)

// recorder collects what the callers, the operators and the sampler saw. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex
	exchanges   []check.Exchange
	submissions map[types.JobID]*check.Submission
	acceptances []check.Acceptance
	samples     []check.Sample
	outages     []check.Outage
	shutdowns   []check.Shutdown
}

func newRecorder() *recorder {
	return &recorder{submissions: make(map[types.JobID]*check.Submission)}
}

func (r *recorder) addExchange(e check.Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges = append(r.exchanges, e)
}

// recordSubmission records the outcome of one submission. If a job was submitted more than once, an acceptance replaces
// any other outcome, and an outcome in doubt replaces a refusal.
func (r *recorder) recordSubmission(job types.Job, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.submissions[job.ID]
	if !ok {
		r.submissions[job.ID] = &check.Submission{Job: job, Err: err}
		return
	}
	if err == nil || (known.Err != nil && !errs.AnswerOf(errs.Of(known.Err).Kind).MayHaveRun) {
		known.Err = err
	}
}

// recordStatus records the latest status of a job that a caller got.
func (r *recorder) recordStatus(id types.JobID, status types.JobStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.submissions[id]; ok {
		s.Status = &status
	}
}

// openJobs returns the accepted jobs for which no final status was reported yet.
func (r *recorder) openJobs() []types.JobID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []types.JobID
	for id, s := range r.submissions {
		if s.Err == nil && (s.Status == nil || !isFinal(s.Status.State)) {
			out = append(out, id)
		}
	}
	return out
}

func (r *recorder) addAcceptance(revision types.Revision, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acceptances = append(r.acceptances, check.Acceptance{Revision: revision, At: at})
}

// newestRevision returns the highest accepted revision, or 0.
func (r *recorder) newestRevision() types.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out types.Revision
	for _, a := range r.acceptances {
		out = max(out, a.Revision)
	}
	return out
}

func (r *recorder) addSample(s check.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

func (r *recorder) addOutage(o check.Outage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages = append(r.outages, o)
}

func (r *recorder) addShutdown(s check.Shutdown) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shutdowns = append(r.shutdowns, s)
}

// history returns all that was collected, without the records of the workers and runners.
func (r *recorder) history() check.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := check.History{
		Exchanges: r.exchanges, Acceptances: r.acceptances, Samples: r.samples,
		Outages: r.outages, Shutdowns: r.shutdowns, Bound: inForceBound,
	}
	for _, s := range r.submissions {
		h.Submissions = append(h.Submissions, *s)
	}
	return h
}

// isFinal reports whether a job in this state has ended.
func isFinal(s types.JobState) bool {
	switch s {
	case types.JobDone, types.JobFailed, types.JobCancelled, types.JobUnknown:
		return true
	default:
		return false
	}
}
