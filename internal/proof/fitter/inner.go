package fitter

import (
	"bytes"
	"io"
	"net/http"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

type (
	// handlerTransport carries HTTP calls to handlers in the same process, by host.
	handlerTransport map[string]http.Handler

	// responseBuffer keeps what a handler writes.
	responseBuffer struct {
		status int
		header http.Header
		body   bytes.Buffer
	}
)

// RoundTrip calls the handler of the request's host.
func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	handler, ok := t[r.URL.Host]
	if !ok {
		return nil, errs.New(errs.Unavailable, "no handler for %s", r.URL.Host)
	}
	b := &responseBuffer{status: http.StatusOK, header: make(http.Header)}
	handler.ServeHTTP(b, r)
	return &http.Response{
		StatusCode: b.status, Header: b.header, Body: io.NopCloser(&b.body), ContentLength: int64(b.body.Len()),
		Proto: r.Proto, ProtoMajor: r.ProtoMajor, ProtoMinor: r.ProtoMinor, Request: r,
	}, nil
}

// Header returns the header to be sent.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader keeps the status.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write keeps a part of the body.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }
