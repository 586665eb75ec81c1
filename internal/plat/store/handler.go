package store

import (
	"context"
	"net/http"

	"github.com/alexedwards/flow"

	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// maxBodyBytes limits the body of a request; the largest value is MaxValue bytes.
const maxBodyBytes = 2 << 20

type server struct {
	memory *Memory
}

// Handler returns a handler that serves the in-memory store over HTTP, as a stand-in for the platform's service.
func (m *Memory) Handler() http.Handler {
	s := server{memory: m}
	mux := flow.New()
	mux.HandleFunc(pathGet, rest.Handle(maxBodyBytes, s.get), http.MethodPost)
	mux.HandleFunc(pathList, rest.Handle(maxBodyBytes, s.list), http.MethodPost)
	mux.HandleFunc(pathPut, rest.Handle(maxBodyBytes, s.put), http.MethodPost)
	mux.HandleFunc(pathDelete, rest.Handle(maxBodyBytes, s.delete), http.MethodPost)
	mux.HandleFunc(pathGrant, rest.Handle(maxBodyBytes, s.grant), http.MethodPost)
	mux.HandleFunc(pathRenew, rest.Handle(maxBodyBytes, s.renew), http.MethodPost)
	mux.HandleFunc(pathWatch, rest.Handle(maxBodyBytes, s.watch), http.MethodPost)
	return mux
}

func (s server) get(ctx context.Context, q *Query) (Entry, error) {
	return s.memory.As(q.From, meter.Discard()).Get(ctx, q.Key)
}

func (s server) list(ctx context.Context, q *Query) (Page, error) {
	return s.memory.As(q.From, meter.Discard()).List(ctx, q.Key)
}

func (s server) put(ctx context.Context, q *PutQuery) (Entry, error) {
	return s.memory.As(q.From, meter.Discard()).Put(ctx, q.Put)
}

func (s server) delete(ctx context.Context, q *Query) (Empty, error) {
	return Empty{}, s.memory.As(q.From, meter.Discard()).Delete(ctx, q.Key, q.Expect)
}

func (s server) grant(ctx context.Context, q *Query) (LeaseID, error) {
	return s.memory.As(q.From, meter.Discard()).Grant(ctx, q.TTL)
}

func (s server) renew(ctx context.Context, q *Query) (Empty, error) {
	return Empty{}, s.memory.As(q.From, meter.Discard()).Renew(ctx, q.Lease)
}

func (s server) watch(ctx context.Context, q *Query) (Page, error) {
	timeout := maxWatchTimeout
	if q.TTL > 0 {
		timeout = min(timeout, q.TTL)
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.memory.As(q.From, meter.Discard()).Watch(limited, q.Key, q.Expect)
}
