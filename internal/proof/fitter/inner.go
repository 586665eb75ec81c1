package fitter

import (
	"bytes"
	"io"
	"net/http"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

type (
	// handlerTransport is an HTTP transport that calls handlers in the same process. Its keys are the hosts.
	handlerTransport map[string]http.Handler

	// responseBuffer is a response writer that holds the response in memory.
	responseBuffer struct {
		status int
		header http.Header
		body   bytes.Buffer
	}
)

// RoundTrip calls the handler of the request's host. The error has kind Unavailable if there is none.
func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	handler, ok := t[r.URL.Host]
	if !ok {
		return nil, errs.New(errs.Unavailable, "no handler for host %s", r.URL.Host)
	}
	b := &responseBuffer{status: http.StatusOK, header: make(http.Header)}
	handler.ServeHTTP(b, r)
	return &http.Response{
		StatusCode: b.status, Header: b.header, Body: io.NopCloser(&b.body), ContentLength: int64(b.body.Len()),
		Proto: r.Proto, ProtoMajor: r.ProtoMajor, ProtoMinor: r.ProtoMinor, Request: r,
	}, nil
}

// Header returns the header of the response, which the handler may change.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader sets the status of the response.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write appends to the body of the response.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }
