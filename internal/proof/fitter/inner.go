package fitter

import (
	"bytes"
	"io"
	"net/http"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

type (
	// switchboard carries HTTP calls to handlers in the same process, by host.
	switchboard map[string]http.Handler

	// answer keeps what a handler writes.
	answer struct {
		status int
		header http.Header
		body   bytes.Buffer
	}
)

// RoundTrip calls the handler of the request's host.
func (s switchboard) RoundTrip(r *http.Request) (*http.Response, error) {
	handler, ok := s[r.URL.Host]
	if !ok {
		return nil, errs.New(errs.Unavailable, "no handler for %s", r.URL.Host)
	}
	a := &answer{status: http.StatusOK, header: make(http.Header)}
	handler.ServeHTTP(a, r)
	return &http.Response{
		StatusCode: a.status, Header: a.header, Body: io.NopCloser(&a.body), ContentLength: int64(a.body.Len()),
		Proto: r.Proto, ProtoMajor: r.ProtoMajor, ProtoMinor: r.ProtoMinor, Request: r,
	}, nil
}

// Header returns the header to be sent.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader keeps the status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write keeps a part of the body.
func (a *answer) Write(p []byte) (int, error) { return a.body.Write(p) }
