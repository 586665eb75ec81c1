package httpd

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/core/wire"
)

const (
	paramID          = "id"
	headerRetryAfter = "Retry-After"
)

type (
	// Minted is the answer of POST /v1/ids. The id serves for one request or one job.
	Minted struct {
		ID string `json:"ID"`
	}

	// Submission is the body of PUT /v1/jobs/{id}: the name of work in the document, or a whole job.
	Submission struct {
		// Work names an entry of Batch or Gangs in the document in force.
		Work string `json:"Work,omitempty"`
		// Payload replaces the payload of the entry.
		Payload string `json:"Payload,omitempty"`
		// Job is a whole job; its id is taken from the path.
		Job *types.Job `json:"Job,omitempty"`
	}
)

// Check returns an error unless exactly one of Work and Job is set.
func (s *Submission) Check() error {
	if (s.Work == "") == (s.Job == nil) {
		return errs.New(errs.Invalid, "exactly one of Work and Job must be set")
	}
	if len(s.Payload) > types.MaxPayload {
		return errs.New(errs.TooLarge, "Payload is over %d bytes", types.MaxPayload)
	}
	return nil
}

func (s *Server) mint(w http.ResponseWriter, _ *http.Request) {
	id, err := s.config.Requests.Mint()
	if err != nil {
		writeError(w, err)
		return
	}
	rest.Write(w, http.StatusOK, Minted{ID: string(id)})
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	var in types.Request
	if err := wire.Decode(r.Body, bodyLimit, &in); err != nil {
		writeError(w, err)
		return
	}
	if err := s.setDeadline(&in); err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, s.config.Requests.Do(r.Context(), &in))
}

// setDeadline gives a request without a deadline the default one, and refuses one that is too far off.
func (s *Server) setDeadline(r *types.Request) error {
	now := s.config.Now()
	if r.Deadline.IsZero() {
		wait := 10 * time.Second
		if doc, _ := s.config.Documents(); doc != nil {
			wait = doc.Requests.DefaultDeadline
		}
		r.Deadline = now.Add(wait)
	}
	if r.Deadline.After(now.Add(types.MaxDeadline)) {
		return errs.New(errs.Invalid, "Deadline is more than %s away", types.MaxDeadline)
	}
	return nil
}

func (s *Server) ask(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue(paramID)
	if _, err := types.ParseID(id); err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, s.config.Requests.Ask(r.Context(), types.RequestID(id)))
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	var in Submission
	if err := wire.Decode(r.Body, bodyLimit, &in); err != nil {
		writeError(w, err)
		return
	}
	job, err := s.job(types.JobID(r.PathValue(paramID)), in)
	if err != nil {
		writeError(w, err)
		return
	}
	status, err := s.config.Jobs.Submit(r.Context(), job)
	writeStatus(w, status, err)
}

func (s *Server) job(id types.JobID, in Submission) (types.Job, error) {
	doc, revision := s.config.Documents()
	if doc == nil {
		return types.Job{}, errs.New(errs.Unavailable, "no environment document is in force yet")
	}
	if in.Job != nil {
		job := *in.Job
		job.ID = id
		job.Revision = revision
		return job, doc.Admit(&job)
	}
	job, err := doc.Expand(in.Work, id, s.config.Now())
	if err != nil {
		return types.Job{}, err
	}
	if in.Payload != "" {
		job.Task.Payload = in.Payload
	}
	job.Revision = revision
	return job, doc.Admit(&job)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	status, err := s.config.Jobs.Status(r.Context(), types.JobID(r.PathValue(paramID)))
	writeStatus(w, status, err)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	status, err := s.config.Jobs.Cancel(r.Context(), types.JobID(r.PathValue(paramID)))
	writeStatus(w, status, err)
}

func writeStatus(w http.ResponseWriter, status types.JobStatus, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	rest.Write(w, http.StatusOK, status)
}

// writeAnswer sends an answer with the status of its reason's kind.
func writeAnswer(w http.ResponseWriter, a *types.Answer) {
	if a.Reason == nil {
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

func setRetryAfter(w http.ResponseWriter, wait time.Duration) {
	if wait > 0 {
		w.Header().Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
}
