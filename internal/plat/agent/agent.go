// Package agent calls the platform's runners that run tasks under leases, the directory that lists them, and
// the service that tells which of them may run a step.
package agent

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// Ways in which an attempt ends.
const (
	// Done means that the task ran to its end.
	Done Outcome = "Done"
	// Failed means a fault of the task or of its runner.
	Failed Outcome = "Failed"
	// Stopped means that it was told to stop.
	Stopped Outcome = "Stopped"
	// LeaseExpired means that its lease ran out.
	LeaseExpired Outcome = "Lapsed"
	// GangBroken means that another member of its gang ended.
	GangBroken Outcome = "Broken"
	// GangIncomplete means that the rest of its gang did not arrive in time.
	GangIncomplete Outcome = "Alone"
)

type (
	// Outcome is the way in which an attempt ended.
	Outcome string
	// Fence is a fencing token: a runner does nothing for one below the highest that it has seen.
	Fence uint64
	// Clock is a time on a runner's own steady clock.
	Clock time.Duration
	// ResultNumber numbers the ends on a runner since its boot, from 1.
	ResultNumber uint64
	// Ticket allows the tasks of one step on one runner.
	Ticket string

	// Runner is what the directory says about a runner.
	Runner struct {
		ID         specs.RunnerID
		Boot       specs.Boot
		Address    types.Address
		Service    types.ServiceName
		DataCentre types.DataCentre
		Capacity   types.Resources
		Labels     []specs.Label
		// Rack is the label of the rack in which the runner stands.
		Rack     specs.Label
		Draining bool
		// Remaining is the least time until a draining runner leaves.
		Remaining time.Duration
	}

	// Change is one change of the directory. Of a runner that is gone, only the ID is set.
	Change struct {
		Runner Runner
		Gone   bool
	}

	// Directory lists runners. An error of kind Conflict from Changes means that the history is gone and
	// the list must be read again.
	Directory interface {
		// List returns all runners and the version of the list.
		List(ctx context.Context) ([]Runner, uint64, error)
		// Changes waits for changes after a version and returns them with the version to go on from.
		Changes(ctx context.Context, after uint64) ([]Change, uint64, error)
	}

	// Running is an attempt that runs.
	Running struct {
		Ref        specs.Ref
		Attempt    specs.Attempt
		Checkpoint specs.Checkpoint
		// Percent is how far the task has come.
		Percent int
	}

	// Result is an attempt that ended.
	Result struct {
		Number     ResultNumber
		Ref        specs.Ref
		Attempt    specs.Attempt
		Outcome    Outcome
		Checkpoint specs.Checkpoint
	}

	// Report is what a runner says of itself. Boot is 0 when the runner does not tell it.
	Report struct {
		Boot    specs.Boot
		Clock   Clock
		Running []Running
		Results []Result
	}

	// RenewRequest extends the leases of everything on a runner up to Deadline (0: leaves them), forgets
	// the ends up to Acknowledged, and waits for a new end for at most Wait.
	RenewRequest struct {
		Fence        Fence
		Acknowledged ResultNumber
		Deadline     Clock
		Wait         time.Duration
	}

	// StartRequest starts one attempt. A start that the runner already carried out changes nothing.
	StartRequest struct {
		Ref        specs.Ref
		Attempt    specs.Attempt
		Payload    string
		Deadline   Clock
		Fence      Fence
		Checkpoint specs.Checkpoint
		Ticket     Ticket
	}

	// StopRequest stops one attempt; one that is not there will never start.
	StopRequest struct {
		Ref     specs.Ref
		Attempt specs.Attempt
		Fence   Fence
	}

	// Agent gives orders to runners. Errors of a refused order are of kind Fenced (the fence is too low),
	// Conflict (a later attempt was there), Deadline (the order came late), Overloaded (no room), Denied
	// (the ticket is not valid), Invalid, Unavailable (not reached or unhealthy, and nothing was done) or
	// NotFound (another boot); Lost means that it may still be carried out.
	Agent interface {
		RenewLeases(ctx context.Context, to Runner, r RenewRequest) (Report, error)
		Start(ctx context.Context, to Runner, r StartRequest) error
		Stop(ctx context.Context, to Runner, r StopRequest) error
	}

	// Permit is the advice service's word that a runner may run a step.
	Permit struct {
		Runner specs.RunnerID
		Ticket Ticket
	}

	// Advisor tells which runners may run a step. It works on one call at a time for each calling VM.
	Advisor interface {
		// Advise returns permits for those of the runners, at most MaxAdvised, that may run the step.
		Advise(ctx context.Context, step specs.StepRef, runners []specs.RunnerID) ([]Permit, error)
	}
)

// MaxAdvised is how many runners one call for advice may name.
const MaxAdvised = 100
