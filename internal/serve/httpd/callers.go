package httpd

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/core/wire"
)

const (
	paramID          = "id"
	paramWork        = "work"
	headerRetryAfter = "Retry-After"
)

type (
	// Minted is the answer of POST /v1/ids. The id may be used for one request or one job.
	Minted struct {
		ID string `json:"ID"`
	}

	// TemplateArgs is the body of PUT /v1/templates/{name}/{id}, which submits a job from a template of the document.
	TemplateArgs struct {
		// Payload, when set, replaces the payload of the template.
		Payload string `json:"Payload,omitempty"`
	}

	// submission is the body of PUT /v1/jobs/{id}: a job whose id is taken from the path.
	submission struct {
		types.Job
	}
)

// Check returns an error of kind TooLarge when the payload is too large.
func (o *TemplateArgs) Check() error {
	if len(o.Payload) > types.MaxPayload {
		return errs.New(errs.TooLarge, "Payload is over %d bytes", types.MaxPayload)
	}
	return nil
}

// Check accepts every job. The job is checked on admission, when its id is set.
func (s *submission) Check() error { return nil }

func (s *Server) mintID(w http.ResponseWriter, _ *http.Request) {
	id, err := s.config.Requests.Mint()
	if err != nil {
		writeError(w, err)
		return
	}
	rest.Write(w, http.StatusOK, Minted{ID: string(id)})
}

func (s *Server) doRequest(w http.ResponseWriter, r *http.Request) {
	var in types.Request
	if err := wire.Decode(r.Body, bodyLimit, &in); err != nil {
		writeError(w, err)
		return
	}
	if err := s.checkDeadline(&in); err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, s.config.Requests.Do(r.Context(), &in))
}

// checkDeadline rejects a deadline that is too far in the future. A request without a deadline gets that of its class
// later.
func (s *Server) checkDeadline(r *types.Request) error {
	if r.Deadline.After(s.config.Now().Add(types.MaxDeadline)) {
		return errs.New(errs.Invalid, "Deadline is more than %s away", types.MaxDeadline)
	}
	return nil
}

func (s *Server) getRequest(w http.ResponseWriter, r *http.Request) {
	handleRequestID(w, r, s.config.Requests.Ask)
}

func (s *Server) closeID(w http.ResponseWriter, r *http.Request) {
	handleRequestID(w, r, s.config.Requests.Close)
}

// handleRequestID checks the request id in the path and writes the answer that call returns for it.
func handleRequestID(w http.ResponseWriter, r *http.Request, call func(context.Context, types.RequestID) *types.Answer) {
	id := r.PathValue(paramID)
	if _, err := types.ParseID(id); err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, call(r.Context(), types.RequestID(id)))
}

func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) {
	var in submission
	if err := wire.Decode(r.Body, bodyLimit, &in); err != nil {
		writeError(w, err)
		return
	}
	in.ID = types.JobID(r.PathValue(paramID))
	s.submitAdmitted(w, r, func(*envdoc.Document) (types.Job, error) { return in.Job, nil })
}

func (s *Server) submitWork(w http.ResponseWriter, r *http.Request) {
	var in TemplateArgs
	if err := wire.Decode(r.Body, bodyLimit, &in); err != nil {
		writeError(w, err)
		return
	}
	s.submitAdmitted(w, r, func(doc *envdoc.Document) (types.Job, error) {
		job, err := doc.Expand(r.PathValue(paramWork), types.JobID(r.PathValue(paramID)), s.config.Now())
		if in.Payload != "" {
			job.Task.Payload = in.Payload
		}
		return job, err
	})
}

// submitAdmitted submits the job that build returns if the document in force admits it, and records the document's
// revision in the job.
func (s *Server) submitAdmitted(w http.ResponseWriter, r *http.Request, build func(*envdoc.Document) (types.Job, error)) {
	doc, revision := s.config.Documents()
	if doc == nil {
		writeError(w, errs.New(errs.Unavailable, "no environment document is in force yet"))
		return
	}
	job, err := build(doc)
	if err == nil {
		err = doc.Admit(&job)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	job.Revision = revision
	status, err := s.config.Jobs.Submit(r.Context(), job)
	writeStatus(w, status, err)
}

func (s *Server) jobStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.config.Jobs.Status(r.Context(), types.JobID(r.PathValue(paramID)))
	writeStatus(w, status, err)
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	status, err := s.config.Jobs.Cancel(r.Context(), types.JobID(r.PathValue(paramID)))
	writeStatus(w, status, err)
}

// writeStatus writes a job's status, or the error if there is one.
func writeStatus(w http.ResponseWriter, status types.JobStatus, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	rest.Write(w, http.StatusOK, status)
}

// writeAnswer writes the answer of a request. The HTTP status is 200 OK if the request was done or the answer has no
// reason, else that of the reason's kind.
func writeAnswer(w http.ResponseWriter, a *types.Answer) {
	if a.Reason == nil || a.Outcome == types.OutcomeDone {
		rest.Write(w, http.StatusOK, a)
		return
	}
	setRetryAfter(w, a.Reason.RetryAfter)
	rest.Write(w, errs.AnswerOf(a.Reason.Kind).Status, a)
}

func writeError(w http.ResponseWriter, err error) {
	setRetryAfter(w, errs.Of(err).RetryAfter)
	rest.WriteError(w, err)
}

// setRetryAfter sets the Retry-After header to the delay in seconds, rounded up, unless the delay is 0.
func setRetryAfter(w http.ResponseWriter, delay time.Duration) {
	if delay > 0 {
		w.Header().Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	}
}
