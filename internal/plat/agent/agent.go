// Package agent declares how the scheduler calls the platform's runners, which run tasks under leases, the directory
// that lists them, and the advice service, which decides which of them may run a step. Fleet implements all three in
// memory.
package agent

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// Outcomes of an attempt.
const (
	// Done means that the task ran to its end.
	Done Outcome = "Done"
	// Failed means that the task or its runner failed.
	Failed Outcome = "Failed"
	// Stopped means that the attempt was stopped on request.
	Stopped Outcome = "Stopped"
	// LeaseExpired means that the lease of the attempt expired.
	LeaseExpired Outcome = "Lapsed"
	// GangBroken means that another member of its gang ended before the gang was done.
	GangBroken Outcome = "Broken"
	// GangIncomplete means that the other members of its gang did not start in time.
	GangIncomplete Outcome = "Alone"
)

type (
	// Outcome is how an attempt ended.
	Outcome string
	// Fence is a fencing token: a runner refuses requests whose token is below the highest that it has seen.
	Fence uint64
	// Clock is a reading of a runner's own monotonic clock, not a clock.
	Clock time.Duration
	// ResultNumber numbers the results on a runner since its boot, from 1.
	ResultNumber uint64
	// Ticket is a token that allows tasks of one step to start on one runner.
	Ticket string

	// Runner is a runner's entry in the directory.
	Runner struct {
		ID         specs.RunnerID
		Boot       specs.Boot
		Address    types.Address
		Service    types.ServiceName
		DataCentre types.DataCentre
		Capacity   types.Resources
		Labels     []specs.Label
		// Rack is the label of the rack that holds the runner.
		Rack     specs.Label
		Draining bool
		// Remaining is the minimum time until a draining runner leaves.
		Remaining time.Duration
	}

	// Change is one change of the directory.
	Change struct {
		Runner Runner
		// Gone is set when the runner was removed from the directory. Only Runner.ID is set then.
		Gone bool
	}

	// Directory lists the runners. An error of kind Conflict from Changes means that the history no longer reaches back
	// to the version and that the list must be read again.
	Directory interface {
		// List returns all runners and the version of the list.
		List(ctx context.Context) ([]Runner, uint64, error)
		// Changes waits for changes after a version and returns them with the version to continue from.
		Changes(ctx context.Context, after uint64) ([]Change, uint64, error)
	}

	// Running is the state of an attempt that runs.
	Running struct {
		Ref        specs.Ref
		Attempt    specs.Attempt
		Checkpoint specs.Checkpoint
		// Percent is the progress of the task.
		Percent int
	}

	// Result is the result of an attempt that ended.
	Result struct {
		Number     ResultNumber
		Ref        specs.Ref
		Attempt    specs.Attempt
		Outcome    Outcome
		Checkpoint specs.Checkpoint
	}

	// Report is the state of a runner as it reports it. Boot is 0 when the runner does not report it.
	Report struct {
		Boot    specs.Boot
		Clock   Clock
		Running []Running
		Results []Result
	}

	// RenewRequest extends the leases of all attempts on a runner to Deadline (0 leaves them unchanged), acknowledges
	// the results up to Acknowledged, which the runner then discards, and waits for a new result for at most Wait.
	RenewRequest struct {
		Fence        Fence
		Acknowledged ResultNumber
		Deadline     Clock
		Wait         time.Duration
	}

	// StartRequest starts one attempt. Repeating a start that the runner already carried out changes nothing.
	StartRequest struct {
		Ref        specs.Ref
		Attempt    specs.Attempt
		Payload    specs.Payload
		Deadline   Clock
		Fence      Fence
		Checkpoint specs.Checkpoint
		Ticket     Ticket
	}

	// StopRequest stops one attempt. An attempt that has not started yet never will.
	StopRequest struct {
		Ref     specs.Ref
		Attempt specs.Attempt
		Fence   Fence
	}

	// Agent sends requests to runners. The error of a refused request is of kind Fenced (the fence is too low),
	// Conflict (the runner had a later attempt, or gave a reason that is not known here), Deadline (the request arrived
	// too late), Overloaded (no free capacity), Denied (the ticket is not valid), Invalid (the request is malformed or
	// not permitted) or NotFound (another runner, or another boot of it, answers at the address). Unavailable means
	// that the runner is unreachable or unhealthy and nothing was done, and Lost that the request may still be carried
	// out.
	Agent interface {
		RenewLeases(ctx context.Context, to Runner, r RenewRequest) (Report, error)
		Start(ctx context.Context, to Runner, r StartRequest) error
		Stop(ctx context.Context, to Runner, r StopRequest) error
	}

	// Permit is the permission of the advice service to run a step on one runner.
	Permit struct {
		Runner specs.RunnerID
		Ticket Ticket
	}

	// Advisor decides which runners may run a step. It handles one call at a time for each calling VM.
	Advisor interface {
		// Advise returns permits for those of the runners, at most MaxAdvised, that may run the step.
		Advise(ctx context.Context, step specs.StepRef, runners []specs.RunnerID) ([]Permit, error)
	}
)

const (
	// MaxAdvised is the largest number of runners that one call to the advice service may name.
	MaxAdvised = 100
	// MaxListedResults is the largest number of results that one report lists. A runner lists the others once these are acknowledged.
	MaxListedResults = 500
)

// ListsAllResults reports whether the runner has no results but those of the report. If not, an attempt that the report does not name
// may have ended with a result that is listed later.
func (r Report) ListsAllResults() bool {
	return len(r.Results) < MaxListedResults
}
