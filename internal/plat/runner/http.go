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
	pathCall = "/call"
	// maxBodyBytes and maxAnswerBytes allow for the encoding of the body, which makes it larger.
	maxBodyBytes   = 2 * types.MaxRequestBody
	maxAnswerBytes = 2 * types.MaxAnswerBody
)

// HTTP is a Runner that sends calls over HTTP and counts them in Meter. It is safe for concurrent use.
type HTTP struct {
	Client *http.Client
	Meter  *meter.Meter
}

// Call implements Runner. It gives up at the deadline of the call and does not retry. An error of kind Lost or
// Internal becomes Unknown, because the call may have run.
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

// Handler returns a handler that serves one of the in-memory runners over HTTP, as a stand-in for an upstream.
func (m *Memory) Handler(up Upstream) http.Handler {
	mux := flow.New()
	mux.HandleFunc(pathCall, rest.Handle(maxBodyBytes, func(ctx context.Context, call *Call) (Reply, error) {
		return m.runCall(ctx, up, *call)
	}), http.MethodPost)
	return mux
}
