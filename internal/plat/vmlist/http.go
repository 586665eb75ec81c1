package vmlist

import (
	"context"
	"net/http"
	"time"

	"github.com/alexedwards/flow"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	pathList    = "/vms/list"
	bodyLimit   = 4 << 10
	answerLimit = 8 << 20
	callTimeout = 3 * time.Second
)

type (
	// Query is the body of a call.
	Query struct {
		From types.DataCentre `json:"From,omitempty"`
	}

	// HTTPConfig says where the list is and who reads it.
	HTTPConfig struct {
		Base   string
		Region types.Region
		From   types.DataCentre
		Meter  *meter.Meter
		Client *http.Client
	}

	// HTTP reads the list over HTTP.
	HTTP struct {
		config HTTPConfig
		rest   rest.Client
	}
)

// NewHTTP returns a reader of the list.
func NewHTTP(c HTTPConfig) *HTTP {
	return &HTTP{config: c, rest: rest.Client{HTTP: c.Client, Base: c.Base, Limit: answerLimit}}
}

// Check accepts every query.
func (q *Query) Check() error { return nil }

// List returns the list.
func (h *HTTP) List(ctx context.Context) (Snapshot, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out Snapshot
	traffic, err := h.rest.Post(limited, pathList, Query{From: h.config.From}, &out)
	h.config.Meter.Count(meter.Sample{
		Kind: KindList, Remote: h.config.Region, Sent: traffic.Sent, Read: traffic.Read, Failed: err != nil,
	})
	if err != nil {
		return Snapshot{}, errs.New(errs.Unavailable, "reading the list of VMs: %s", errs.Of(err).Message)
	}
	return out, out.Check()
}

// Handler serves the in-memory list over HTTP, as the stand-in for the platform's list.
func (m *Memory) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(pathList, rest.Handle(bodyLimit, func(ctx context.Context, q *Query) (Snapshot, error) {
		return m.As(q.From, meter.Discard()).List(ctx)
	}), http.MethodPost)
	return mux
}
