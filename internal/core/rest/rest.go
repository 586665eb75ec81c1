// Package rest contains a client and handlers for JSON over HTTP, which carry errors with their kind.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/wire"
)

const (
	contentType = "application/json"
	headerType  = "Content-Type"
)

type (
	// Client posts JSON to one server.
	Client struct {
		// HTTP sends the calls; its transport sets the limits of connections.
		HTTP *http.Client
		// Base is the server's URL without a trailing slash.
		Base string
		// Limit is the size limit of an answer, in bytes.
		Limit int64
		// Token, if not empty, is sent as a bearer token.
		Token string
	}

	// Traffic is the size of the bodies of one exchange, in bytes.
	Traffic struct {
		Sent int
		Read int
	}
)

// Post sends in as JSON and decodes the answer into out. Errors have the kind that the server sent. If connecting
// failed, the kind is Unavailable; if the answer did not arrive or can't be decoded, it is Lost.
func (c *Client) Post(ctx context.Context, path string, in, out any) (Traffic, error) {
	return c.Do(ctx, http.MethodPost, path, in, out)
}

// Do is like Post with the given method; if in is nil, it sends no body.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) (Traffic, error) {
	body, err := encode(in)
	if err != nil {
		return Traffic{}, err
	}
	status, answer, err := c.Exchange(ctx, method, path, body)
	traffic := Traffic{Sent: len(body), Read: len(answer)}
	if err != nil {
		return traffic, err
	}
	return traffic, decode(status, answer, out)
}

// Exchange sends a body and returns the status and body of the answer, without interpreting them. If connecting
// failed, the error is of kind Unavailable; if the answer did not arrive completely or is over Limit, it is Lost.
func (c *Client) Exchange(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errs.New(errs.Invalid, "making call: %v", err)
	}
	req.Header.Set(headerType, contentType)
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, sendError(err)
	}
	defer closeBody(res.Body)
	answer, err := io.ReadAll(io.LimitReader(res.Body, c.Limit+1))
	if err != nil {
		return 0, answer, errs.New(errs.Lost, "reading answer: %v", err)
	}
	if int64(len(answer)) > c.Limit {
		return 0, answer, errs.New(errs.Lost, "answer is over %d bytes", c.Limit)
	}
	return res.StatusCode, answer, nil
}

func encode(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errs.New(errs.Invalid, "encoding call: %v", err)
	}
	return body, nil
}

func decode(status int, answer []byte, out any) error {
	if status != http.StatusOK {
		return DecodeError(status, answer)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return errs.New(errs.Lost, "decoding answer: %v", err)
	}
	return nil
}

// DecodeError returns the error in the body of an answer whose status is not OK, or an error of kind Lost if the body
// contains none.
func DecodeError(status int, answer []byte) error {
	var typed errs.Error
	if err := json.Unmarshal(answer, &typed); err != nil || typed.Kind == "" {
		return errs.New(errs.Lost, "status %d without a typed error", status)
	}
	return errs.After(typed.Kind, typed.RetryAfter, "%s", typed.Message)
}

// sendError returns an error of kind Unavailable if the connection failed, so that the call was not sent, and
// otherwise of kind Lost, since the call may have taken effect.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errs.New(errs.Unavailable, "connecting: %v", err)
	}
	return errs.New(errs.Lost, "sending: %v", err)
}

// Handle returns a handler that decodes and checks the body of a request, of at most limit bytes, passes it to call
// and writes the result or the error.
func Handle[In any, Ptr interface {
	*In
	wire.Checker
}, Out any](limit int64, call func(ctx context.Context, in Ptr) (Out, error),
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in := Ptr(new(In))
		if err := wire.Decode(r.Body, limit, in); err != nil {
			WriteError(w, err)
			return
		}
		out, err := call(r.Context(), in)
		if err != nil {
			WriteError(w, err)
			return
		}
		Write(w, http.StatusOK, out)
	}
}

// Write writes a value as JSON with the given status.
func Write(w http.ResponseWriter, status int, value any) {
	body := wire.Marshal(value)
	w.Header().Set(headerType, contentType)
	w.WriteHeader(status)
	// A failed write means that the caller closed the connection, so the error can't be reported to it.
	_, _ = w.Write(body)
}

// WriteError writes an error as JSON with the HTTP status of its kind.
func WriteError(w http.ResponseWriter, err error) {
	typed := errs.Of(err)
	Write(w, errs.AnswerOf(typed.Kind).Status, typed)
}

func closeBody(body io.Closer) {
	// The body has been read, so an error of Close has no consequence.
	_ = body.Close()
}
