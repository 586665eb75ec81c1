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

// Paths of the service.
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
	// maxWatchTimeout is how long the service lets a watch wait at most.
	maxWatchTimeout = 30 * time.Second
	// clientWatchTimeout is how long a client asks it to wait: short, so that an empty answer soon shows that the
	// service is there and has not gone back to an older state.
	clientWatchTimeout = 2 * time.Second
)

type (
	// Query is the body of all calls but Put.
	Query struct {
		From   types.DataCentre `json:"From,omitempty"`
		Key    Key              `json:"Key,omitempty"`
		Expect Version          `json:"Expect,omitempty"`
		Lease  LeaseID          `json:"Lease,omitempty"`
		// TTL is a lease's time to live, or how long a watch may wait.
		TTL time.Duration `json:"TTL,omitempty"`
	}

	// PutQuery is the body of Put.
	PutQuery struct {
		From types.DataCentre `json:"From,omitempty"`
		Put
	}

	// Empty is an answer without content.
	Empty struct{}

	// HTTPConfig says where the service is and who calls it.
	HTTPConfig struct {
		Base   string
		Region types.Region
		From   types.DataCentre
		Meter  *meter.Meter
		Client *http.Client
	}

	// HTTP calls the service over HTTP.
	HTTP struct {
		config HTTPConfig
		rest   rest.Client
	}
)

// NewHTTP returns a client of the service.
func NewHTTP(c HTTPConfig) *HTTP {
	return &HTTP{config: c, rest: rest.Client{HTTP: c.Client, Base: c.Base, Limit: maxAnswerBytes}}
}

// Check accepts every query; the service checks its fields.
func (q *Query) Check() error { return nil }

// Get reads one key.
func (h *HTTP) Get(ctx context.Context, key Key) (Entry, error) {
	var out Entry
	err := h.call(ctx, KindGet, pathGet, h.query(Query{Key: key}), &out)
	return out, readError(err)
}

// List reads all keys with the prefix.
func (h *HTTP) List(ctx context.Context, prefix Key) (Page, error) {
	var out Page
	err := h.call(ctx, KindList, pathList, h.query(Query{Key: prefix}), &out)
	return out, readError(err)
}

// Put writes one key by compare-and-swap.
func (h *HTTP) Put(ctx context.Context, put Put) (Entry, error) {
	if err := put.Check(); err != nil {
		return Entry{}, err
	}
	var out Entry
	err := h.call(ctx, KindPut, pathPut, PutQuery{From: h.config.From, Put: put}, &out)
	return out, err
}

// Delete removes one key while it has the expected version.
func (h *HTTP) Delete(ctx context.Context, key Key, expect Version) error {
	return h.call(ctx, KindDelete, pathDelete, h.query(Query{Key: key, Expect: expect}), &Empty{})
}

// Grant makes a lease.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var out LeaseID
	err := h.call(ctx, KindGrant, pathGrant, h.query(Query{TTL: ttl}), &out)
	return out, err
}

// Renew extends a lease.
func (h *HTTP) Renew(ctx context.Context, lease LeaseID) error {
	return h.call(ctx, KindRenew, pathRenew, h.query(Query{Lease: lease}), &Empty{})
}

// Watch waits for changes under the prefix, for at most clientWatchTimeout.
func (h *HTTP) Watch(ctx context.Context, prefix Key, after Version) (Page, error) {
	var out Page
	err := h.send(ctx, KindWatch, pathWatch, h.query(Query{Key: prefix, Expect: after, TTL: clientWatchTimeout}), &out)
	return out, readError(err)
}

func (h *HTTP) query(q Query) Query {
	q.From = h.config.From
	return q
}

func (h *HTTP) call(ctx context.Context, kind meter.Kind, path string, in, out any) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.send(limited, kind, path, in, out)
}

func (h *HTTP) send(ctx context.Context, kind meter.Kind, path string, in, out any) error {
	traffic, err := h.rest.Post(ctx, path, in, out)
	h.config.Meter.Count(meter.Sample{
		Kind: kind, Remote: h.config.Region, Sent: traffic.Sent, Read: traffic.Read, Failed: err != nil,
	})
	return err
}

// readError turns a lost answer of a read into Unavailable, since a read has no effect.
func readError(err error) error {
	if errs.Is(err, errs.Lost) {
		return errs.New(errs.Unavailable, "%s", errs.Of(err).Message)
	}
	return err
}
