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
	// visibilityTimeout is how long after its acceptance a job may still be unknown to a daemon.
	visibilityTimeout = 3 * time.Second
	// cancelTimeout is how long after a cancellation was confirmed tasks of the job may still start.
	cancelTimeout = 4 * time.Second
)

type (
	// job is what is known of one job from the answers to its caller.
	job struct {
		parts []stand.Part
		// acceptedAt is when the job was accepted; zero before.
		acceptedAt time.Duration
		// inDoubt tells that a try was not answered, so that the job may have been accepted.
		inDoubt bool
		// cancelSent tells that a cancellation was sent, confirmed when one was confirmed; zero before.
		cancelSent        bool
		cancelConfirmedAt time.Duration
		completed         bool
		final             bool
	}

	// recorder holds what callers were told, and the promises that were broken. It is safe for concurrent use.
	recorder struct {
		clock     clockwork.Clock
		startedAt time.Time

		mu         sync.Mutex
		jobs       map[specs.JobID]*job
		violations []string
	}
)

func newRecorder(clock clockwork.Clock, began time.Time) *recorder {
	return &recorder{clock: clock, startedAt: began, jobs: make(map[specs.JobID]*job)}
}

// elapsed returns the time since the start of the run.
func (r *recorder) elapsed() time.Duration { return r.clock.Since(r.startedAt) }

// addViolation notes a broken promise.
func (r *recorder) addViolation(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(format, values...)
}

// addViolationLocked is broke for those that hold the lock.
func (r *recorder) addViolationLocked(format string, values ...any) {
	text := fmt.Sprintf("  %7.3f s BROKEN: %s", r.elapsed().Seconds(), fmt.Sprintf(format, values...))
	r.violations = append(r.violations, text)
}

// addJob notes a job that is about to be handed in.
func (r *recorder) addJob(id specs.JobID, parts []stand.Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id] = &job{parts: parts}
}

// recordSubmission notes the answer to a try to hand a job in.
func (r *recorder) recordSubmission(id specs.JobID, a stand.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	switch {
	case a.Accepted() && j.acceptedAt == 0:
		j.acceptedAt = r.elapsed()
	case !a.Accepted() && !a.NotRun():
		j.inDoubt = true
	}
}

// recordCancelSent notes that a cancellation is about to be sent.
func (r *recorder) recordCancelSent(id specs.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id].cancelSent = true
}

// recordCancelAnswer notes the answer to a cancellation.
func (r *recorder) recordCancelAnswer(id specs.JobID, a stand.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; a.Accepted() && j.cancelConfirmedAt == 0 {
		j.cancelConfirmedAt = r.elapsed()
	}
}

// checkState notes the answer to a question for a job's state that was asked at a time; done is how many of its tasks the
// runners had done when the answer came.
func (r *recorder) checkState(id specs.JobID, askedAt time.Duration, a stand.Answer, done int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if a.Gone() && j.acceptedAt > 0 && askedAt > j.acceptedAt+visibilityTimeout {
		r.addViolationLocked("job %s, accepted at %s, is not known at %s", id, j.acceptedAt, askedAt)
	}
	if a.State == "" {
		return
	}
	if a.Completed() && done < countTasks(j.parts) {
		r.addViolationLocked("job %s is shown as completed with %d of %d tasks done", id, done, countTasks(j.parts))
	}
	if j.completed && !a.Completed() && askedAt > j.acceptedAt+visibilityTimeout {
		r.addViolationLocked("job %s was completed and is shown as %s", id, a.State)
	}
	if a.Final() && !a.Completed() && !j.cancelSent {
		r.addViolationLocked("job %s ended as %s without a cause", id, a.State)
	}
	j.completed = j.completed || a.Completed()
	j.final = j.final || a.Final()
}

// gangSize returns how many tasks a step has that only work together, or 0.
func (r *recorder) gangSize(step specs.StepRef) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[step.Job]
	if j == nil || !j.parts[step.Step].Gang {
		return 0
	}
	return j.parts[step.Step].Count
}

// countTasks returns how many tasks the steps have.
func countTasks(parts []stand.Part) int {
	n := 0
	for _, p := range parts {
		n += p.Count
	}
	return n
}

// openJobs returns the accepted jobs that were not seen to have ended.
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

// checkStarts compares what the runners began with what callers were told.
func (r *recorder) checkStarts(runners *agent.Fleet) {
	starts := runners.Begun()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range starts {
		startedAt := s.At.Sub(r.startedAt)
		j := r.jobs[s.Ref.Job]
		switch {
		case j == nil:
			r.addViolationLocked("task %s starts, whose job nobody handed in", s.Ref)
		case j.acceptedAt == 0 && !j.inDoubt:
			r.addViolationLocked("task %s starts, though every try to hand its job in was refused", s.Ref)
		case j.cancelConfirmedAt > 0 && startedAt > j.cancelConfirmedAt+cancelTimeout:
			r.addViolationLocked("task %s starts %s after its job's cancellation was confirmed", s.Ref, startedAt-j.cancelConfirmedAt)
		}
	}
}

// fillReport adds up the jobs.
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
