// Package check reports whether a recorded history kept the promises made to users. It reads the records of the workers
// and runners, and the requests and answers of the callers, never the scheduler's own state.
package check

import (
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

// Promises made to users.
const (
	// Capacity means that the tasks on a worker never declare more resources than the worker has.
	Capacity Promise = "Capacity"
	// OnePlace means that two runs of a booking task never overlap.
	OnePlace Promise = "OnePlace"
	// WholeAnswer means that a caller gets the complete answer to its own request, and that work reported as done ran.
	WholeAnswer Promise = "WholeAnswer"
	// TrueRefusal means that work that was refused, and so reported as not run, did not run.
	TrueRefusal Promise = "TrueRefusal"
	// AtMostOnce means that non-idempotent work runs at most once.
	AtMostOnce Promise = "AtMostOnce"
	// NoNewWork means that a leaving upstream receives no new work after LeavingGrace.
	NoNewWork Promise = "NoNewWork"
	// NoneCutOff means that a graceful shutdown breaks the connection of no request in flight.
	NoneCutOff Promise = "NoneCutOff"
	// InForce means that an accepted document is in force on every VM within the bound, and that no VM returns to an
	// older revision.
	InForce Promise = "InForce"
)

// LeavingGrace is how long a leaving upstream may still receive new work, from the time at which it was told to leave.
const LeavingGrace = 3 * time.Second

type (
	// Promise names one promise.
	Promise string

	// Violation is one case of a broken promise: what it concerns, when it happened (zero if no time is known) and how.
	Violation struct {
		Promise Promise
		Subject string
		At      time.Time
		Detail  string
	}

	// Interval is a half-open span of time: From belongs to it, To does not. A zero To means that it has not ended.
	Interval struct {
		From time.Time
		To   time.Time
	}

	// WorkerRecord is a worker with the task runs that it recorded.
	WorkerRecord struct {
		VM   types.VM
		Runs []worker.Run
	}

	// Exchange is one request with its answer, as the caller saw them.
	Exchange struct {
		Request types.Request
		// Want is the body of a complete answer.
		Want []byte
		// Entry is the VM that the request was sent to.
		Entry types.VMID
		// SentAt and AnsweredAt are the times at which the request was sent and its answer or error arrived.
		SentAt     time.Time
		AnsweredAt time.Time
		// Answer is nil if the caller got an error instead.
		Answer *types.Answer
		Err    error
	}

	// Submission is one job with the answers to its submission and status queries, as the caller saw them.
	Submission struct {
		Job types.Job
		// Err is the error of the submission, or nil if the job was accepted.
		Err error
		// Status is the last status that the caller got, or nil.
		Status *types.JobStatus
	}

	// Leaving is a runner that was told to leave at At. Until is when that was revoked, or zero.
	Leaving struct {
		Runner types.RunnerID
		At     time.Time
		Until  time.Time
	}

	// Shutdown is the graceful shutdown of one entry VM.
	Shutdown struct {
		VM types.VMID
		Interval
	}

	// Acceptance is a revision of the document whose acceptance was confirmed to an operator at At.
	Acceptance struct {
		Revision types.Revision
		At       time.Time
	}

	// Sample is the revision that was in force on one VM at At. Revision 0 means that there was none.
	Sample struct {
		VM       types.VMID
		At       time.Time
		Revision types.Revision
	}

	// Outage is a span in which a VM could not receive new revisions: it was partitioned, paused or not running.
	Outage struct {
		VM types.VMID
		Interval
	}

	// History is everything that was recorded during one run.
	History struct {
		Workers     []WorkerRecord
		Executions  []runner.Execution
		Exchanges   []Exchange
		Submissions []Submission
		Leavings    []Leaving
		Shutdowns   []Shutdown
		Acceptances []Acceptance
		Samples     []Sample
		Outages     []Outage
		// Bound is how long after its acceptance a revision must be in force everywhere.
		Bound time.Duration
	}
)

// All checks the history against every promise and returns all violations.
func All(h *History) []Violation {
	checks := []func(*History) []Violation{
		capacity, onePlace, wholeAnswer, trueRefusal, atMostOnce, noNewWork, noneCutOff, inForce,
	}
	var out []Violation
	for _, c := range checks {
		out = append(out, c(h)...)
	}
	return out
}

// String returns the violation as one line of text.
func (v Violation) String() string {
	return fmt.Sprintf("%s broken for %s at %s: %s", v.Promise, v.Subject, v.At.Format(time.RFC3339Nano), v.Detail)
}

// overlaps reports whether two intervals share an instant.
func (i Interval) overlaps(o Interval) bool {
	return (o.To.IsZero() || i.From.Before(o.To)) && (i.To.IsZero() || o.From.Before(i.To))
}

// refused reports whether err states that the work did not run.
func refused(err error) bool {
	return err != nil && !errs.AnswerOf(errs.Of(err).Kind).MayHaveRun
}
