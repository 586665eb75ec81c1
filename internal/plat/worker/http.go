package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/alexedwards/flow"

	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	pathFence = "/worker/fence"
	pathStart = "/worker/start"
	pathRenew = "/worker/renew"
	pathStop  = "/worker/stop"

	maxBodyBytes   = 1 << 20
	maxAnswerBytes = 8 << 20
	// CallTimeout is the timeout of a call to a worker.
	CallTimeout = 2 * time.Second
)

type (
	// HTTPDialer is a Dialer of workers that are called over HTTP at their address in the list of VMs.
	HTTPDialer struct {
		Client *http.Client
		Meter  *meter.Meter
	}

	// httpWorker calls the agent of one worker.
	httpWorker struct {
		rest  rest.Client
		vm    types.VM
		meter *meter.Meter
	}
)

// Dial implements Dialer.
func (d *HTTPDialer) Dial(vm types.VM) Worker {
	return &httpWorker{
		rest:  rest.Client{HTTP: d.Client, Base: "http://" + string(vm.Address), Limit: maxAnswerBytes},
		vm:    vm,
		meter: d.Meter,
	}
}

// Fence implements Worker.
func (c *httpWorker) Fence(ctx context.Context, r FenceRequest) (Report, error) {
	var out Report
	err := c.call(ctx, KindFence, pathFence, r, &out)
	return out, err
}

// Start implements Worker.
func (c *httpWorker) Start(ctx context.Context, r StartRequest) (Status, error) {
	var out Status
	err := c.call(ctx, KindStart, pathStart, r, &out)
	return out, err
}

// Renew implements Worker.
func (c *httpWorker) Renew(ctx context.Context, r RenewRequest) (Report, error) {
	var out Report
	err := c.call(ctx, KindRenew, pathRenew, r, &out)
	return out, err
}

// Stop implements Worker.
func (c *httpWorker) Stop(ctx context.Context, r StopRequest) (Status, error) {
	var out Status
	err := c.call(ctx, KindStop, pathStop, r, &out)
	return out, err
}

// call posts a request with CallTimeout and counts it.
func (c *httpWorker) call(ctx context.Context, kind meter.Kind, path string, in, out any) error {
	limited, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	traffic, err := c.rest.Post(limited, path, in, out)
	c.meter.Count(meter.Sample{
		Kind: kind, Remote: c.vm.Site.Region, Sent: traffic.Sent, Read: traffic.Read, Failed: err != nil,
	})
	return err
}

// Handler returns a handler that serves the in-memory worker over HTTP, as a stand-in for the platform's agent.
func (m *Memory) Handler() http.Handler {
	agent := m.As(m.vm.Site, meter.Discard())
	mux := flow.New()
	mux.HandleFunc(pathFence, rest.Handle(maxBodyBytes, func(ctx context.Context, r *FenceRequest) (Report, error) {
		return agent.Fence(ctx, *r)
	}), http.MethodPost)
	mux.HandleFunc(pathStart, rest.Handle(maxBodyBytes, func(ctx context.Context, r *StartRequest) (Status, error) {
		return agent.Start(ctx, *r)
	}), http.MethodPost)
	mux.HandleFunc(pathRenew, rest.Handle(maxBodyBytes, func(ctx context.Context, r *RenewRequest) (Report, error) {
		return agent.Renew(ctx, *r)
	}), http.MethodPost)
	mux.HandleFunc(pathStop, rest.Handle(maxBodyBytes, func(ctx context.Context, r *StopRequest) (Status, error) {
		return agent.Stop(ctx, *r)
	}), http.MethodPost)
	return mux
}
