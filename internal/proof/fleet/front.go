package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const maxAnswerSize = 16 << 20

type (
	// entryClient calls the HTTP interface of one daemon as its callers do, without retries.
	entryClient struct {
		http  *http.Client
		base  string
		token string
	}

	idReply struct {
		ID types.RequestID `json:"ID"`
	}
)

// mintID has the daemon mint a request ID.
func (c *entryClient) mintID(ctx context.Context) (types.RequestID, error) {
	var out idReply
	err := c.call(ctx, http.MethodPost, "/v1/ids", nil, &out)
	return out.ID, err
}

// do sends a request and returns its answer, whatever its outcome. An error means that the call failed or
// that the daemon replied with an error.
func (c *entryClient) do(ctx context.Context, r types.Request) (*types.Answer, error) {
	status, body, err := c.exchange(ctx, http.MethodPost, "/v1/requests", r)
	if err != nil {
		return nil, err
	}
	var out types.Answer
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, errs.New(errs.Lost, "decoding the answer: %v", err)
	}
	if out.Outcome == "" {
		return nil, rest.DecodeError(status, body)
	}
	return &out, nil
}

func (c *entryClient) submit(ctx context.Context, j types.Job) (types.JobStatus, error) {
	var out types.JobStatus
	err := c.call(ctx, http.MethodPut, "/v1/jobs/"+string(j.ID), j, &out)
	return out, err
}

func (c *entryClient) cancel(ctx context.Context, id types.JobID) (types.JobStatus, error) {
	var out types.JobStatus
	err := c.call(ctx, http.MethodDelete, "/v1/jobs/"+string(id), nil, &out)
	return out, err
}

func (c *entryClient) status(ctx context.Context, id types.JobID) (types.JobStatus, error) {
	var out types.JobStatus
	err := c.call(ctx, http.MethodGet, "/v1/jobs/"+string(id), nil, &out)
	return out, err
}

func (c *entryClient) call(ctx context.Context, method, path string, in, out any) error {
	status, body, err := c.exchange(ctx, method, path, in)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return rest.DecodeError(status, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errs.New(errs.Lost, "decoding the answer: %v", err)
	}
	return nil
}

// exchange makes one HTTP call and returns the status and the body. An error of kind Unavailable means that the call was
// not sent, one of kind Lost that it may have been carried out.
func (c *entryClient) exchange(ctx context.Context, method, path string, in any) (int, []byte, error) {
	var sent io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return 0, nil, errs.New(errs.Internal, "encoding the request body: %v", err)
		}
		sent = bytes.NewReader(encoded)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, sent)
	if err != nil {
		return 0, nil, errs.New(errs.Internal, "creating the HTTP request: %v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.http.Do(r)
	if err != nil {
		return 0, nil, sendError(err)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerSize))
	// Once the body has been read, an error of Close has no effect.
	_ = res.Body.Close()
	if err != nil {
		return 0, nil, errs.New(errs.Lost, "reading the answer: %v", err)
	}
	return res.StatusCode, body, nil
}

// sendError returns an error of kind Unavailable if the connection could not be opened, otherwise one of kind Lost.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errs.New(errs.Unavailable, "connecting to the daemon: %v", err)
	}
	return errs.New(errs.Lost, "sending the request: %v", err)
}
