// Package runner calls an upstream: the runner of a service task, which answers requests.
package runner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// KindCall is the kind under which calls are counted.
const KindCall meter.Kind = "Runner.Call"

type (
	// Call is one request as it is sent to a runner.
	Call struct {
		ID       types.RequestID   `json:"ID"`
		Service  types.ServiceName `json:"Service"`
		Deadline time.Time         `json:"Deadline"`
		Body     []byte            `json:"Body,omitempty"`
	}

	// Reply is a runner's whole answer to one call.
	Reply struct {
		ID     types.RequestID `json:"ID"`
		Body   []byte          `json:"Body,omitempty"`
		Length types.Bytes     `json:"Length"`
		Digest types.Digest    `json:"Digest"`
	}

	// Upstream is a runner as an entry sees it: its id, where it stands and where it takes calls.
	Upstream struct {
		ID          types.RunnerID    `json:"ID"`
		Service     types.ServiceName `json:"Service"`
		VM          types.VMID        `json:"VM"`
		Site        types.Site        `json:"Site"`
		Endpoint    types.Address     `json:"Endpoint"`
		Slots       int               `json:"Slots"`
		Connections int               `json:"Connections"`
		Leaving     bool              `json:"Leaving,omitempty"`
	}

	// Runner sends calls to upstreams. Errors are of kind Unavailable or Overloaded or Draining
	// (the call was not run) or Unknown (it was sent and its fate is not known).
	Runner interface {
		Call(ctx context.Context, to Upstream, call Call) (Reply, error)
	}
)

// Check returns an error when the reply is not the whole answer.
func (r *Reply) Check() error {
	if int64(len(r.Body)) != int64(r.Length) || types.DigestOf(r.Body) != r.Digest {
		return errs.New(errs.Unknown, "answer to %s is not whole: %d of %d bytes", r.ID, len(r.Body), r.Length)
	}
	return nil
}

// Check returns an error when a field of the call is missing.
func (c *Call) Check() error {
	if c.ID == "" || c.Service == "" {
		return errs.New(errs.Invalid, "ID and Service must be set")
	}
	return nil
}
