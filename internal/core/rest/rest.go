// Package rest sends and serves JSON over HTTP with typed errors.
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
		// HTTP is the client that carries the calls; its transport sets the limits.
		HTTP *http.Client
		// Base is the server's URL without a trailing slash.
		Base string
		// Limit is the largest answer that is read, in bytes.
		Limit int64
		// Token, when set, is sent as a bearer token.
		Token string
	}

	// Traffic is the size of one exchange in bytes.
	Traffic struct {
		Sent int
		Read int
	}
)

// Post sends in and decodes the answer into out. Errors keep the kind that the server sent. A call that
// could not be sent is Unavailable; one whose answer did not arrive is Lost.
func (c *Client) Post(ctx context.Context, path string, in, out any) (Traffic, error) {
	return c.Do(ctx, http.MethodPost, path, in, out)
}

// Do is Post with another method; a nil in sends no body.
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

// Exchange sends a body and returns the status and the whole answer, whatever they are. A call that could not be
// sent is Unavailable; one whose answer did not arrive whole is Lost.
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

// DecodeError returns the typed error in the body of an answer whose status is not OK.
func DecodeError(status int, answer []byte) error {
	var typed errs.Error
	if err := json.Unmarshal(answer, &typed); err != nil || typed.Kind == "" {
		return errs.New(errs.Lost, "status %d without a typed error", status)
	}
	return errs.After(typed.Kind, typed.RetryAfter, "%s", typed.Message)
}

// sendError tells a call that never left from one that may have taken effect.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errs.New(errs.Unavailable, "connecting: %v", err)
	}
	return errs.New(errs.Lost, "sending: %v", err)
}

// Handle returns a handler that decodes and checks the body, runs the call and writes its answer.
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

// Write sends a value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	body := wire.Marshal(value)
	w.Header().Set(headerType, contentType)
	w.WriteHeader(status)
	// The caller may have gone; there is nobody to tell.
	_, _ = w.Write(body)
}

// WriteError sends the typed error with the status of its kind.
func WriteError(w http.ResponseWriter, err error) {
	typed := errs.Of(err)
	Write(w, errs.AnswerOf(typed.Kind).Status, typed)
}

func closeBody(body io.Closer) {
	// A body that was read has nothing left to fail.
	_ = body.Close()
}
