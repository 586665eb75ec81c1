// Package worker calls the platform's agent on a worker, which runs tasks under leases.
package worker

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// Kinds of calls, as they are counted.
const (
	KindFence meter.Kind = "Worker.Fence"
	KindStart meter.Kind = "Worker.Start"
	KindRenew meter.Kind = "Worker.Renew"
	KindStop  meter.Kind = "Worker.Stop"
)

// Phases of an attempt on a worker.
const (
	PhaseRunning      Phase = "Running"
	PhaseDone         Phase = "Done"
	PhaseFailed       Phase = "Failed"
	PhaseStopped      Phase = "Stopped"
	PhaseCheckpointed Phase = "Checkpointed"
	PhaseLapsed       Phase = "Lapsed"
)

type (
	// Phase is the state of an attempt as its worker reports it.
	Phase string

	// Status is what a worker reports about one attempt. Ended attempts are reported until
	// Renew acknowledges them.
	Status struct {
		Attempt  types.AttemptID `json:"Attempt"`
		Phase    Phase           `json:"Phase"`
		Epoch    types.Epoch     `json:"Epoch"`
		Declared types.Resources `json:"Declared"`
		// Usage lags behind and may be far from what was declared.
		Usage types.Resources `json:"Usage"`
		// Endpoint is where the runner of a service task takes requests.
		Endpoint types.Address `json:"Endpoint,omitempty"`
		Reason   string        `json:"Reason,omitempty"`
		// Boot is the worker's boot when it answered Start or Stop.
		Boot uint64 `json:"Boot,omitempty"`
		// NeverStarted tells that the worker has not run the attempt since that boot and never will.
		NeverStarted bool `json:"NeverStarted,omitempty"`
	}

	// Report is the answer to Fence and Renew: all that the worker knows.
	Report struct {
		Worker types.VMID  `json:"Worker"`
		Epoch  types.Epoch `json:"Epoch"`
		// Boot changes when the worker has ended and forgotten its attempts, as after a restart of its VM.
		Boot     uint64          `json:"Boot"`
		Capacity types.Resources `json:"Capacity"`
		Attempts []Status        `json:"Attempts"`
	}

	// FenceRequest raises the epoch below which the worker refuses calls.
	FenceRequest struct {
		Epoch types.Epoch `json:"Epoch"`
	}

	// StartRequest starts one attempt. Starting an attempt that the worker already knows changes nothing.
	StartRequest struct {
		Epoch   types.Epoch     `json:"Epoch"`
		Attempt types.AttemptID `json:"Attempt"`
		Task    types.TaskSpec  `json:"Task"`
		Service *types.Service  `json:"Service,omitempty"`
		// Lease is how long the task runs unless it is renewed.
		Lease time.Duration `json:"Lease"`
		// Resume tells that the task continues from its checkpoint.
		Resume bool `json:"Resume,omitempty"`
	}

	// RenewRequest extends the leases of attempts and acknowledges ended ones, whose reports are then dropped.
	RenewRequest struct {
		Epoch       types.Epoch       `json:"Epoch"`
		Attempts    []types.AttemptID `json:"Attempts,omitempty"`
		Acknowledge []types.AttemptID `json:"Acknowledge,omitempty"`
		Lease       time.Duration     `json:"Lease"`
	}

	// StopRequest stops an attempt; an attempt that the worker does not know will never start.
	StopRequest struct {
		Epoch      types.Epoch     `json:"Epoch"`
		Attempt    types.AttemptID `json:"Attempt"`
		Checkpoint bool            `json:"Checkpoint,omitempty"`
		// Throttle, above 0 and below 1000, limits the task to thousandths of its declared cores instead of stopping it.
		Throttle int `json:"Throttle,omitempty"`
	}

	// Worker is the agent of one worker. Errors are of kind Fenced (an older epoch, no effect),
	// Unavailable (no effect), Lost (the effect is not known), or Overloaded (the worker has no room).
	Worker interface {
		// Fence raises the epoch and reports all attempts.
		Fence(ctx context.Context, r FenceRequest) (Report, error)
		// Start starts one attempt.
		Start(ctx context.Context, r StartRequest) (Status, error)
		// Renew extends leases, acknowledges ended attempts and reports all attempts.
		Renew(ctx context.Context, r RenewRequest) (Report, error)
		// Stop stops, checkpoints or throttles one attempt.
		Stop(ctx context.Context, r StopRequest) (Status, error)
	}

	// Dialer returns the agent of a worker.
	Dialer interface {
		// Dial returns the agent; it does not wait for a connection.
		Dial(vm types.VM) Worker
	}
)

// Ended tells whether an attempt in this phase no longer runs.
func (p Phase) Ended() bool {
	return p != PhaseRunning
}

// Check returns an error when the request has no epoch.
func (r *FenceRequest) Check() error { return checkEpoch(r.Epoch) }

// Check returns an error when a field is missing or wrong.
func (r *StartRequest) Check() error {
	if r.Attempt == "" || r.Lease <= 0 {
		return errs.New(errs.Invalid, "Attempt and Lease must be set")
	}
	if err := r.Task.Check(); err != nil {
		return err
	}
	return checkEpoch(r.Epoch)
}

// Check returns an error when a field is missing or wrong.
func (r *RenewRequest) Check() error {
	if r.Lease <= 0 {
		return errs.New(errs.Invalid, "Lease must be above 0")
	}
	return checkEpoch(r.Epoch)
}

// Check returns an error when a field is missing or wrong.
func (r *StopRequest) Check() error {
	if r.Attempt == "" {
		return errs.New(errs.Invalid, "Attempt must be set")
	}
	return checkEpoch(r.Epoch)
}

func checkEpoch(epoch types.Epoch) error {
	if epoch == 0 {
		return errs.New(errs.Invalid, "Epoch must be above 0")
	}
	return nil
}
