package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/core/wire"
)

// Paths of the HTTP interface for callers.
const (
	pathIDs       = "/v1/ids"
	pathRequests  = "/v1/requests"
	pathJobs      = "/v1/jobs/"
	pathTemplates = "/v1/templates/"

	// maxAnswerBytes allows for the JSON encoding (base64) of the largest body.
	maxAnswerBytes = 2 * types.MaxAnswerBody
)

// workSubmission is the body of a call that submits work of the environment document by its name.
type workSubmission struct {
	Payload string `json:"Payload,omitempty"`
}

// exchange makes one call whose result is an answer. An error means that no answer arrived.
func (c *Client) exchange(ctx context.Context, method, address string, body []byte) (*Answer, error) {
	status, response, err := c.call(ctx, method, address, body)
	if err != nil {
		return nil, err
	}
	return decodeAnswer(status, response)
}

// decodeAnswer decodes an answer, or returns the typed error that an entry sent instead of one.
func decodeAnswer(status int, response []byte) (*Answer, error) {
	var a Answer
	if err := json.Unmarshal(response, &a); err != nil {
		return nil, errs.New(errs.Lost, "response with HTTP status %d is not valid JSON: %v", status, err)
	}
	if a.Outcome == "" {
		return nil, rest.DecodeError(status, response)
	}
	return &a, nil
}

// call makes one call and returns the HTTP status and the complete body of the response.
func (c *Client) call(ctx context.Context, method, address string, body []byte) (int, []byte, error) {
	remote := rest.Client{HTTP: c.config.HTTP, Limit: maxAnswerBytes, Token: c.config.Token}
	return remote.Exchange(ctx, method, address, body)
}

// fetchID gets one new id from an entry.
func (c *Client) fetchID(ctx context.Context) (RequestID, error) {
	var out struct {
		ID RequestID `json:"ID"`
	}
	err := c.tryEntries(ctx, func(base string) error {
		return c.callJSON(ctx, http.MethodPost, base+pathIDs, nil, &out)
	})
	if err != nil {
		return "", err
	}
	if _, err := types.ParseID(string(out.ID)); err != nil {
		return "", err
	}
	return out.ID, nil
}

// callJSON makes one call and decodes the result into out. A status other than 2xx is returned as the typed error in
// the response.
func (c *Client) callJSON(ctx context.Context, method, address string, body []byte, out any) error {
	status, response, err := c.call(ctx, method, address, body)
	if err != nil {
		return err
	}
	if status/100 != http.StatusOK/100 {
		return rest.DecodeError(status, response)
	}
	if err := json.Unmarshal(response, out); err != nil {
		return errs.New(errs.Lost, "decoding the response: %v", err)
	}
	return nil
}

// Submit submits a job and returns its status. It sets job.ID if that is empty. Submitting the same job again changes
// nothing, so the call is retried after failures.
func (c *Client) Submit(ctx context.Context, job *Job) (*JobStatus, error) {
	if job.ID == "" {
		id, err := c.NewID(ctx)
		if err != nil {
			return nil, err
		}
		job.ID = JobID(id)
	}
	return c.callJob(ctx, http.MethodPut, job.ID, wire.Marshal(job))
}

// SubmitWork submits work that the environment document defines under the given name, and returns the job's status. The
// payload, if not empty, replaces that of the document. An empty id is replaced with a new one; submitting the work
// again under the same id changes nothing.
func (c *Client) SubmitWork(ctx context.Context, work string, id JobID, payload string) (*JobStatus, error) {
	if id == "" {
		minted, err := c.NewID(ctx)
		if err != nil {
			return nil, err
		}
		id = JobID(minted)
	}
	path := pathTemplates + url.PathEscape(work) + "/" + string(id)
	return c.callForStatus(ctx, http.MethodPut, path, wire.Marshal(workSubmission{Payload: payload}))
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id JobID) (*JobStatus, error) {
	return c.callJob(ctx, http.MethodGet, id, nil)
}

// Cancel cancels a job and returns its status. Cancelling it again changes nothing.
func (c *Client) Cancel(ctx context.Context, id JobID) (*JobStatus, error) {
	return c.callJob(ctx, http.MethodDelete, id, nil)
}

func (c *Client) callJob(ctx context.Context, method string, id JobID, body []byte) (*JobStatus, error) {
	return c.callForStatus(ctx, method, pathJobs+string(id), body)
}

// callForStatus makes a call, with retries at other entries, whose result is the status of a job.
func (c *Client) callForStatus(ctx context.Context, method, path string, body []byte) (*JobStatus, error) {
	var out JobStatus
	err := c.tryEntries(ctx, func(base string) error {
		return c.callJSON(ctx, method, base+path, body, &out)
	})
	if err != nil {
		return nil, err
	}
	return &out, nil
}
