package vmlist

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/alexedwards/flow"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	pathList       = "/vms/list"
	maxBodyBytes   = 4 << 10
	maxAnswerBytes = 8 << 20
	callTimeout    = 3 * time.Second
)

type (
	// Query is the body of a request.
	Query struct {
		From types.DataCentre `json:"From,omitempty"`
		// Have is the version that the client already has; if it is current, the answer contains no VMs.
		Have uint64 `json:"Have,omitempty"`
	}

	// HTTPConfig configures a client of the list. Base is the URL of the service and Region the region in which it
	// runs; From is the data centre of the caller.
	HTTPConfig struct {
		Base   string
		Region types.Region
		From   types.DataCentre
		Meter  *meter.Meter
		Client *http.Client
	}

	// HTTP is a Source that reads the list over HTTP. It is safe for concurrent use.
	HTTP struct {
		config HTTPConfig
		rest   rest.Client

		mu sync.Mutex
		// last is the latest list that was read; it is returned again while its version is current.
		last Snapshot
	}
)

// NewHTTP returns a client of the list.
func NewHTTP(c HTTPConfig) *HTTP {
	return &HTTP{config: c, rest: rest.Client{HTTP: c.Client, Base: c.Base, Limit: maxAnswerBytes}}
}

// Check accepts every query, since no field is required.
func (q *Query) Check() error { return nil }

// List implements Source.
func (h *HTTP) List(ctx context.Context) (Snapshot, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	last := h.lastSnapshot()
	var out Snapshot
	traffic, err := h.rest.Post(limited, pathList, Query{From: h.config.From, Have: last.Version}, &out)
	h.config.Meter.Count(meter.Sample{
		Kind: KindList, Remote: h.config.Region, Sent: traffic.Sent, Read: traffic.Read, Failed: err != nil,
	})
	if err != nil {
		return Snapshot{}, errs.New(errs.Unavailable, "reading the list of VMs: %s", errs.Of(err).Message)
	}
	if out.Version != 0 && out.Version == last.Version {
		return last, nil
	}
	if err := out.Check(); err != nil {
		return Snapshot{}, err
	}
	h.setLastSnapshot(out)
	return out, nil
}

func (h *HTTP) lastSnapshot() Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last
}

func (h *HTTP) setLastSnapshot(s Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = s
}

// Handler returns a handler that serves the in-memory list over HTTP, as a stand-in for the platform's service.
func (m *Memory) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc(pathList, rest.Handle(maxBodyBytes, func(ctx context.Context, q *Query) (Snapshot, error) {
		out, err := m.As(q.From, meter.Discard()).List(ctx)
		if q.Have != 0 && q.Have == out.Version {
			out.VMs = nil
		}
		return out, err
	}), http.MethodPost)
	return mux
}
