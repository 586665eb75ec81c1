package runner

import (
	"context"
	"net/http"

	"github.com/alexedwards/flow"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	pathCall     = "/call"
	maxBodyBytes = 2 * types.MaxRequestBody
	// maxAnswerBytes allows for the encoding of the body.
	maxAnswerBytes = 2 * types.MaxAnswerBody
)

// HTTP sends calls to runners over HTTP.
type HTTP struct {
	Client *http.Client
	Meter  *meter.Meter
}

// Call sends one call. It does not retry.
func (h *HTTP) Call(ctx context.Context, to Upstream, call Call) (Reply, error) {
	limited, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	client := rest.Client{HTTP: h.Client, Base: "http://" + string(to.Endpoint), Limit: maxAnswerBytes}
	var out Reply
	traffic, err := client.Post(limited, pathCall, call, &out)
	h.Meter.Count(meter.Sample{
		Kind: KindCall, Remote: to.Site.Region, Sent: traffic.Sent, Read: traffic.Read, Failed: err != nil,
	})
	if errs.Is(err, errs.Lost, errs.Internal) {
		return Reply{}, errs.New(errs.Unknown, "calling %s: %s", to.ID, errs.Of(err).Message)
	}
	return out, err
}

// Handler serves one in-memory runner over HTTP, as the stand-in for an upstream.
func (m *Memory) Handler(up Upstream) http.Handler {
	mux := flow.New()
	mux.HandleFunc(pathCall, rest.Handle(maxBodyBytes, func(ctx context.Context, call *Call) (Reply, error) {
		return m.runCall(ctx, up, *call)
	}), http.MethodPost)
	return mux
}
