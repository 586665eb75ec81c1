// Package check tells whether a history kept the promises made to users. It reads the workers' and the runners' own
// records and what the callers sent and were told, never the scheduler's own state.
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
	// Capacity means that no worker is given more than it has.
	Capacity Promise = "Capacity"
	// OnePlace means that a booking task never runs in two places at once.
	OnePlace Promise = "OnePlace"
	// WholeAnswer means that a caller gets the whole answer to its own request.
	WholeAnswer Promise = "WholeAnswer"
	// TrueRefusal means that work that was refused as not run did not run.
	TrueRefusal Promise = "TrueRefusal"
	// AtMostOnce means that non-idempotent work runs at most once.
	AtMostOnce Promise = "AtMostOnce"
	// NoNewWork means that a leaving upstream receives no new work after LeavingGrace.
	NoNewWork Promise = "NoNewWork"
	// NoneCutOff means that a graceful shutdown cuts off no request in flight.
	NoneCutOff Promise = "NoneCutOff"
	// InForce means that an accepted document is in force everywhere in time and never reverts.
	InForce Promise = "InForce"
)

// LeavingGrace is how long a leaving upstream may still receive new work.
const LeavingGrace = 3 * time.Second

type (
	// Promise names one promise.
	Promise string

	// Violation is one broken promise.
	Violation struct {
		Promise Promise
		Subject string
		At      time.Time
		Detail  string
	}

	// Interval is a span of time. A zero To means that it has not ended.
	Interval struct {
		From time.Time
		To   time.Time
	}

	// WorkerRecord is what one worker recorded.
	WorkerRecord struct {
		VM   types.VM
		Runs []worker.Run
	}

	// Exchange is one request as its caller saw it.
	Exchange struct {
		Request types.Request
		// Want is the body that a whole answer has.
		Want []byte
		// Entry is the VM that the request was sent to.
		Entry types.VMID
		Sent  time.Time
		Told  time.Time
		// Answer is nil when the caller got an error instead.
		Answer *types.Answer
		Err    error
	}

	// Submission is one job as its caller saw it.
	Submission struct {
		Job types.Job
		// Err is the refusal, or nil when the job was accepted.
		Err error
		// Status is the last one that the caller was told, if any.
		Status *types.JobStatus
	}

	// Leaving is a runner that was told to leave. Until is when it was taken back, if it was.
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

	// Acceptance is a revision of a document that an operator was told is accepted.
	Acceptance struct {
		Revision types.Revision
		At       time.Time
	}

	// Sample is the revision that was in force on one VM. Revision 0 means that there was none.
	Sample struct {
		VM       types.VMID
		At       time.Time
		Revision types.Revision
	}

	// Outage is a span in which a VM could not learn of new revisions: cut off, paused or not running.
	Outage struct {
		VM types.VMID
		Interval
	}

	// History is all that was recorded in one run.
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
		// Bound is how soon an accepted revision must be in force.
		Bound time.Duration
	}
)

// All returns every violation of every promise.
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

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s broken for %s at %s: %s", v.Promise, v.Subject, v.At.Format(time.RFC3339Nano), v.Detail)
}

// overlaps tells whether two spans share an instant; ends are not part of a span.
func (i Interval) overlaps(o Interval) bool {
	return (o.To.IsZero() || i.From.Before(o.To)) && (i.To.IsZero() || o.From.Before(i.To))
}

// refused tells whether an error promises that the work did not run.
func refused(err error) bool {
	return err != nil && !errs.AnswerOf(errs.Of(err).Kind).MayHaveRun
}
