// Package runner sends requests to upstreams, which are the runners of service tasks. It also contains in-memory
// runners, which are the stand-in for upstreams.
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
	// Call is one request as it is sent to a runner. Deadline is the time at which the caller stops waiting.
	Call struct {
		ID       types.RequestID   `json:"ID"`
		Service  types.ServiceName `json:"Service"`
		Deadline time.Time         `json:"Deadline"`
		Body     []byte            `json:"Body,omitempty"`
	}

	// Reply is a runner's answer to one call. Length and Digest are those of the complete body.
	Reply struct {
		ID     types.RequestID `json:"ID"`
		Body   []byte          `json:"Body,omitempty"`
		Length types.Bytes     `json:"Length"`
		Digest types.Digest    `json:"Digest"`
	}

	// Upstream is a runner as an entry sees it: its id, where it is located and the endpoint that accepts calls.
	// Slots is how many calls it runs at a time, Connections how many it accepts; Leaving is set while it shuts
	// down.
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

	// Runner sends calls to upstreams.
	Runner interface {
		// Call sends one call and returns the reply. Errors are of kind Unavailable, Overloaded or Draining
		// (the call was not run) or Unknown (the call was sent and may have run).
		Call(ctx context.Context, to Upstream, call Call) (Reply, error)
	}
)

// Check returns an error of kind Unknown unless the body has the length and digest that the runner sent.
func (r *Reply) Check() error {
	if int64(len(r.Body)) != int64(r.Length) || types.DigestOf(r.Body) != r.Digest {
		return errs.New(errs.Unknown, "answer to %s is not whole: %d of %d bytes", r.ID, len(r.Body), r.Length)
	}
	return nil
}

// Check returns an error if ID or Service is empty.
func (c *Call) Check() error {
	if c.ID == "" || c.Service == "" {
		return errs.New(errs.Invalid, "ID and Service must be set")
	}
	return nil
}
