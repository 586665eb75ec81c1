package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
	"github.com/magnoliawalk/magnoliawalk/platform/stand"
)

const (
	// visibilityTimeout is how long after the acceptance of a job a daemon may still answer that it does not know the
	// job, or answer with an older state.
	visibilityTimeout = 3 * time.Second
	// cancelTimeout is how long after the confirmation of a cancellation tasks of the job may still start.
	cancelTimeout = 4 * time.Second
)

type (
	// job is what the answers to its caller say about one job. Times are relative to the start of the run.
	job struct {
		parts []stand.Step
		// acceptedAt is zero until the job is accepted.
		acceptedAt time.Duration
		// inDoubt is set when a submission got no definite answer, so that the job may have been accepted.
		inDoubt bool
		// cancelSent is set when a cancellation is sent; cancelConfirmedAt is zero until one is confirmed.
		cancelSent        bool
		cancelConfirmedAt time.Duration
		completed         bool
		final             bool
	}

	// recorder holds the answers that callers got and the violations found so far. It is safe for concurrent use.
	recorder struct {
		clock     clockwork.Clock
		startedAt time.Time

		mu         sync.Mutex
		jobs       map[specs.JobID]*job
		violations []string
		// lastAcceptedAt is when a job was last accepted for the first time.
		lastAcceptedAt time.Duration
	}
)

func newRecorder(clock clockwork.Clock, startedAt time.Time) *recorder {
	return &recorder{clock: clock, startedAt: startedAt, jobs: make(map[specs.JobID]*job)}
}

// elapsed returns the time since the start of the run.
func (r *recorder) elapsed() time.Duration { return r.clock.Since(r.startedAt) }

// addViolation records a broken promise with the time since the start of the run.
func (r *recorder) addViolation(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(format, values...)
}

// addViolationLocked records a broken promise. The caller must hold r.mu.
func (r *recorder) addViolationLocked(format string, values ...any) {
	text := fmt.Sprintf("  %7.3f s BROKEN: %s", r.elapsed().Seconds(), fmt.Sprintf(format, values...))
	r.violations = append(r.violations, text)
}

// addJob records a job before its first submission.
func (r *recorder) addJob(id specs.JobID, parts []stand.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id] = &job{parts: parts}
}

// recordSubmission records the answer to one submission of a job.
func (r *recorder) recordSubmission(id specs.JobID, a stand.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	switch {
	case a.Accepted() && j.acceptedAt == 0:
		j.acceptedAt = r.elapsed()
		r.lastAcceptedAt = j.acceptedAt
	case !a.Accepted() && !a.NotRun():
		j.inDoubt = true
	}
}

// hasAcceptedSince reports whether a job was accepted after a time.
func (r *recorder) hasAcceptedSince(since time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastAcceptedAt > since
}

// recordCancelSent records that a cancellation is about to be sent.
func (r *recorder) recordCancelSent(id specs.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id].cancelSent = true
}

// recordCancelAnswer records the answer to a cancellation.
func (r *recorder) recordCancelAnswer(id specs.JobID, a stand.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; a.Accepted() && j.cancelConfirmedAt == 0 {
		j.cancelConfirmedAt = r.elapsed()
	}
}

// checkState records the answer to a query of a job's state and checks it against the earlier answers. askedAt is the
// time of the query, done the number of the job's tasks that the runners had completed when the answer arrived, and crashes how many
// runners had crashed under one of its tasks.
func (r *recorder) checkState(id specs.JobID, askedAt time.Duration, a stand.Answer, done, crashes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if a.Gone() && j.acceptedAt > 0 && askedAt > j.acceptedAt+visibilityTimeout {
		r.addViolationLocked("job %s, accepted at %s, is unknown to the daemon asked at %s", id, j.acceptedAt, askedAt)
	}
	if a.State == "" {
		return
	}
	if a.Completed() && done < countTasks(j.parts) {
		r.addViolationLocked("job %s is reported as completed with %d of %d tasks done", id, done, countTasks(j.parts))
	}
	if j.completed && !a.Completed() && askedAt > j.acceptedAt+visibilityTimeout {
		r.addViolationLocked("job %s was reported as completed and is now reported as %s", id, a.State)
	}
	if a.Final() && !a.Completed() && !j.cancelSent && crashes < minCrashes {
		r.addViolationLocked("job %s ended as %s, but no cancellation was sent, and %d runners crashed under one of its tasks", id, a.State, crashes)
	}
	j.completed = j.completed || a.Completed()
	j.final = j.final || a.Final()
}

// gangSize returns the number of tasks in a step that runs as a gang, or 0 if the step is not a gang or its job is not
// known.
func (r *recorder) gangSize(step specs.StepRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[step.Job]
	if j == nil || !j.parts[step.Step].Gang {
		return 0
	}
	return j.parts[step.Step].Count
}

// countTasks returns the number of tasks in all steps.
func countTasks(parts []stand.Step) int {
	n := 0
	for _, p := range parts {
		n += p.Count
	}
	return n
}

// openJobs returns the accepted jobs for which no final state was reported yet.
func (r *recorder) openJobs() []specs.JobID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []specs.JobID
	for id, j := range r.jobs {
		if j.acceptedAt > 0 && !j.final {
			out = append(out, id)
		}
	}
	return out
}

// checkStarts checks every task start that the runners recorded against the answers that callers got.
func (r *recorder) checkStarts(runners *agent.Fleet) {
	starts := runners.StartedAttempts()
	r.mu.Lock()
	defer r.mu.Unlock()
	crashingStarts := make(map[specs.Ref]int)
	for _, s := range starts {
		startedAt := s.At.Sub(r.startedAt)
		if isCrashing(s.Ref) {
			crashingStarts[s.Ref]++
		}
		j := r.jobs[s.Ref.Job]
		switch {
		case j == nil:
			r.addViolationLocked("task %s started, but its job was never submitted", s.Ref)
		case j.acceptedAt == 0 && !j.inDoubt:
			r.addViolationLocked("task %s started, although every submission of its job was rejected", s.Ref)
		case j.cancelConfirmedAt > 0 && startedAt > j.cancelConfirmedAt+cancelTimeout:
			r.addViolationLocked("task %s started %s after the cancellation of its job was confirmed", s.Ref, startedAt-j.cancelConfirmedAt)
		}
	}
	for ref, n := range crashingStarts {
		if n > maxCrashingStarts {
			r.addViolationLocked("task %s crashed %d runners", ref, n)
		}
	}
}

// fillReport adds the violations and the counts of jobs to the report.
func (r *recorder) fillReport(report *Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Broken = append(report.Broken, r.violations...)
	for _, j := range r.jobs {
		report.Jobs++
		switch {
		case j.acceptedAt > 0:
			report.Accepted++
		case !j.inDoubt:
			report.Refused++
		}
		if j.completed {
			report.Completed++
		}
		if j.cancelConfirmedAt > 0 {
			report.Cancelled++
		}
	}
}
