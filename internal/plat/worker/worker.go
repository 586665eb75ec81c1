// Package worker is a client of the platform's agent on a worker VM, which runs attempts of tasks under leases. It also
// contains an in-memory worker, which is the stand-in for the agent.
package worker

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// Kinds under which calls are counted.
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
	PhaseLeaseExpired Phase = "Lapsed"
)

type (
	// Phase is the state of an attempt on its worker.
	Phase string

	// Status is a worker's report on one attempt. Attempts that ended are reported until Renew
	// acknowledges them.
	Status struct {
		Attempt  types.AttemptID `json:"Attempt"`
		Phase    Phase           `json:"Phase"`
		Epoch    types.Epoch     `json:"Epoch"`
		Declared types.Resources `json:"Declared"`
		// Usage is what the attempt uses. It lags behind and may be far from what was declared.
		Usage types.Resources `json:"Usage"`
		// Endpoint is the address at which the runner of a service task accepts requests.
		Endpoint types.Address `json:"Endpoint,omitempty"`
		Reason   string        `json:"Reason,omitempty"`
		// Boot is the boot number of the worker when it answered Start or Stop.
		Boot uint64 `json:"Boot,omitempty"`
		// NeverStarted is true if the worker has not run the attempt since that boot and never will.
		NeverStarted bool `json:"NeverStarted,omitempty"`
	}

	// Report is the answer to Fence and Renew: the state of the worker and of all attempts that it knows.
	Report struct {
		Worker types.VMID  `json:"Worker"`
		Epoch  types.Epoch `json:"Epoch"`
		// Boot changes when the worker has ended and discarded its attempts, for example when its VM restarted.
		Boot     uint64          `json:"Boot"`
		Capacity types.Resources `json:"Capacity"`
		Attempts []Status        `json:"Attempts"`
	}

	// FenceRequest raises the worker's epoch; calls with a lower epoch are refused from then on.
	FenceRequest struct {
		Epoch types.Epoch `json:"Epoch"`
	}

	// StartRequest starts one attempt. It changes nothing if the worker already knows the attempt.
	StartRequest struct {
		Epoch   types.Epoch     `json:"Epoch"`
		Attempt types.AttemptID `json:"Attempt"`
		Task    types.TaskSpec  `json:"Task"`
		Service *types.Service  `json:"Service,omitempty"`
		// Lease is the duration of the lease: the attempt is ended after it unless the lease is renewed.
		Lease time.Duration `json:"Lease"`
		// Resume is true if the task continues from its checkpoint.
		Resume bool `json:"Resume,omitempty"`
	}

	// RenewRequest extends the leases of attempts to the duration Lease, counted from now, and acknowledges ended
	// attempts, which are then no longer reported.
	RenewRequest struct {
		Epoch       types.Epoch       `json:"Epoch"`
		Attempts    []types.AttemptID `json:"Attempts,omitempty"`
		Acknowledge []types.AttemptID `json:"Acknowledge,omitempty"`
		Lease       time.Duration     `json:"Lease"`
	}

	// StopRequest stops an attempt. If the worker does not know the attempt, it will never start it.
	StopRequest struct {
		Epoch      types.Epoch     `json:"Epoch"`
		Attempt    types.AttemptID `json:"Attempt"`
		Checkpoint bool            `json:"Checkpoint,omitempty"`
		// Throttle, above 0 and below 1000, limits the task to thousandths of its declared cores instead of stopping it.
		Throttle int `json:"Throttle,omitempty"`
	}

	// Worker is the agent of one worker. Errors are of kind Invalid (no effect), Fenced (the epoch is older than
	// the worker's, no effect), Unavailable (no effect), Lost (the effect is not known) or Overloaded (the
	// worker has no free capacity).
	Worker interface {
		// Fence raises the worker's epoch and reports all attempts.
		Fence(ctx context.Context, r FenceRequest) (Report, error)
		// Start starts one attempt.
		Start(ctx context.Context, r StartRequest) (Status, error)
		// Renew extends leases, acknowledges ended attempts and reports all attempts.
		Renew(ctx context.Context, r RenewRequest) (Report, error)
		// Stop stops, checkpoints or throttles one attempt.
		Stop(ctx context.Context, r StopRequest) (Status, error)
	}

	// Dialer returns the agents of workers.
	Dialer interface {
		// Dial returns the agent of the worker on the VM. It does not wait for a connection.
		Dial(vm types.VM) Worker
	}
)

// Ended reports whether an attempt in this phase no longer runs.
func (p Phase) Ended() bool {
	return p != PhaseRunning
}

// Check returns an error if Epoch is not set.
func (r *FenceRequest) Check() error { return checkEpoch(r.Epoch) }

// Check returns an error if Attempt, Lease or Epoch is not set, or if Task is invalid.
func (r *StartRequest) Check() error {
	if r.Attempt == "" || r.Lease <= 0 {
		return errs.New(errs.Invalid, "Attempt and Lease must be set")
	}
	if err := r.Task.Check(); err != nil {
		return err
	}
	return checkEpoch(r.Epoch)
}

// Check returns an error if Lease or Epoch is not set.
func (r *RenewRequest) Check() error {
	if r.Lease <= 0 {
		return errs.New(errs.Invalid, "Lease must be above 0")
	}
	return checkEpoch(r.Epoch)
}

// Check returns an error if Attempt or Epoch is not set.
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
