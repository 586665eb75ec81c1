package store

import (
	"context"
	"net/http"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// Paths, sizes and timeouts of the service.
const (
	pathGet    = "/kv/get"
	pathList   = "/kv/list"
	pathPut    = "/kv/put"
	pathDelete = "/kv/delete"
	pathGrant  = "/kv/grant"
	pathRenew  = "/kv/renew"
	pathWatch  = "/kv/watch"

	maxAnswerBytes = 64 << 20
	callTimeout    = 3 * time.Second
	// maxWatchTimeout is the longest time for which the stand-in lets a watch wait.
	maxWatchTimeout = 30 * time.Second
	// clientWatchTimeout is how long the client asks the service to wait. It is short so that an empty answer soon
	// confirms that the service is reachable and has not been restored to an older state.
	clientWatchTimeout = 2 * time.Second
)

type (
	// Query is the body of every call except Put. Each call uses only the fields that it needs.
	Query struct {
		From   types.DataCentre `json:"From,omitempty"`
		Key    Key              `json:"Key,omitempty"`
		Expect Version          `json:"Expect,omitempty"`
		Lease  LeaseID          `json:"Lease,omitempty"`
		// TTL is the time to live of a lease to grant, or the longest time that a watch may wait.
		TTL time.Duration `json:"TTL,omitempty"`
	}

	// PutQuery is the body of a call of Put.
	PutQuery struct {
		From types.DataCentre `json:"From,omitempty"`
		Put
	}

	// Empty is the body of an answer without content.
	Empty struct{}

	// HTTPConfig configures a client of the service. Base is the URL of the service and Region the region in
	// which it runs; From is the data centre of the caller.
	HTTPConfig struct {
		Base   string
		Region types.Region
		From   types.DataCentre
		Meter  *meter.Meter
		Client *http.Client
	}

	// HTTP is a Store that calls the service over HTTP. It is safe for concurrent use.
	HTTP struct {
		config HTTPConfig
		rest   rest.Client
	}
)

// NewHTTP returns a client of the service.
func NewHTTP(c HTTPConfig) *HTTP {
	return &HTTP{config: c, rest: rest.Client{HTTP: c.Client, Base: c.Base, Limit: maxAnswerBytes}}
}

// Check accepts every query; the store itself checks the fields.
func (q *Query) Check() error { return nil }

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key Key) (Entry, error) {
	var out Entry
	err := h.call(ctx, KindGet, pathGet, h.query(Query{Key: key}), &out)
	return out, readError(err)
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix Key) (Page, error) {
	var out Page
	err := h.call(ctx, KindList, pathList, h.query(Query{Key: prefix}), &out)
	return out, readError(err)
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, put Put) (Entry, error) {
	if err := put.Check(); err != nil {
		return Entry{}, err
	}
	var out Entry
	err := h.call(ctx, KindPut, pathPut, PutQuery{From: h.config.From, Put: put}, &out)
	return out, err
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key Key, expect Version) error {
	return h.call(ctx, KindDelete, pathDelete, h.query(Query{Key: key, Expect: expect}), &Empty{})
}

// Grant implements Store.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var out LeaseID
	err := h.call(ctx, KindGrant, pathGrant, h.query(Query{TTL: ttl}), &out)
	return out, err
}

// Renew implements Store.
func (h *HTTP) Renew(ctx context.Context, lease LeaseID) error {
	return h.call(ctx, KindRenew, pathRenew, h.query(Query{Lease: lease}), &Empty{})
}

// Watch implements Store. It asks the service to answer within clientWatchTimeout, even if ctx ends later; only ctx
// limits the call itself.
func (h *HTTP) Watch(ctx context.Context, prefix Key, after Version) (Page, error) {
	var out Page
	err := h.send(ctx, KindWatch, pathWatch, h.query(Query{Key: prefix, Expect: after, TTL: clientWatchTimeout}), &out)
	return out, readError(err)
}

// query adds the caller's data centre to a query.
func (h *HTTP) query(q Query) Query {
	q.From = h.config.From
	return q
}

// call posts a request with callTimeout and counts it.
func (h *HTTP) call(ctx context.Context, kind meter.Kind, path string, in, out any) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.send(limited, kind, path, in, out)
}

// send posts a request and counts it.
func (h *HTTP) send(ctx context.Context, kind meter.Kind, path string, in, out any) error {
	traffic, err := h.rest.Post(ctx, path, in, out)
	h.config.Meter.Count(meter.Sample{
		Kind: kind, Remote: h.config.Region, Sent: traffic.Sent, Read: traffic.Read, Failed: err != nil,
	})
	return err
}

// readError turns the kind Lost into Unavailable for a read, which has no effect that could be in doubt.
func readError(err error) error {
	if errs.Is(err, errs.Lost) {
		return errs.New(errs.Unavailable, "%s", errs.Of(err).Message)
	}
	return err
}
