package httpd

import (
	"context"
	"net/http"

	"github.com/alexedwards/flow"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Paths for operators. Calls to them have a JSON body, except for the two status paths.
const (
	PathStatus     = "/v1/status"
	PathExplain    = "/v1/explain"
	PathEnvGet     = "/v1/environments/get"
	PathEnvPut     = "/v1/environments/put"
	PathEnvPromote = "/v1/environments/promote"
	PathEnvHistory = "/v1/environments/history"
	PathEnvStatus  = "/v1/environments/status"
)

const (
	maxHistoryRecords = 100
	maxByLength       = 100
	maxSubjectLength  = 300
)

type (
	// Editors returns an editor of environment documents that acts for the named operator.
	Editors func(by string) *edit.Editor

	// Operators answers the queries of operators. The answers must be encodable as JSON.
	Operators interface {
		// Status returns the status of the fleet and its alarms.
		Status(ctx context.Context) (any, error)
		// Explain returns what happened to a job, task, request or worker, and why.
		Explain(ctx context.Context, subject string) (any, error)
		// InForce returns the document revision that each known VM has in force.
		InForce(ctx context.Context) (any, error)
	}

	// ExplainQuery names the job, task, request or worker to explain.
	ExplainQuery struct {
		Subject string `json:"Subject"`
	}

	// EnvQuery names an environment. Limit is how many records a history query returns at most; 0 means the maximum.
	EnvQuery struct {
		Environment envdoc.Name `json:"Environment"`
		Limit       int         `json:"Limit,omitempty"`
	}

	// EnvPut replaces the document of an environment if the environment has the expected revision. By names the
	// operator.
	EnvPut struct {
		Environment envdoc.Name    `json:"Environment"`
		Expect      types.Revision `json:"Expect"`
		Body        []byte         `json:"Body"`
		By          string         `json:"By"`
	}

	// EnvPromote replaces the document of environment To with that of From, if From has the expected digest and To the
	// expected revision. By names the operator.
	EnvPromote struct {
		From         envdoc.Name    `json:"From"`
		To           envdoc.Name    `json:"To"`
		ExpectDigest types.Digest   `json:"ExpectDigest"`
		Expect       types.Revision `json:"Expect"`
		By           string         `json:"By"`
	}
)

// Check returns an error of kind Invalid when the subject is missing or too long.
func (q *ExplainQuery) Check() error {
	if q.Subject == "" || len(q.Subject) > maxSubjectLength {
		return errs.New(errs.Invalid, "Subject must have 1 to %d bytes", maxSubjectLength)
	}
	return nil
}

// Check returns an error when the environment's name is malformed or the limit is out of range.
func (q *EnvQuery) Check() error {
	if q.Limit < 0 || q.Limit > maxHistoryRecords {
		return errs.New(errs.Invalid, "Limit %d must be between 0 and %d", q.Limit, maxHistoryRecords)
	}
	return types.CheckName("Environment", string(q.Environment))
}

// Check returns an error when the operator is missing or too long, or the environment's name is malformed.
func (p *EnvPut) Check() error {
	if err := checkBy(p.By); err != nil {
		return err
	}
	return types.CheckName("Environment", string(p.Environment))
}

// Check returns an error when the operator is missing or too long, or an environment's name is malformed.
func (p *EnvPromote) Check() error {
	if err := checkBy(p.By); err != nil {
		return err
	}
	if err := types.CheckName("From", string(p.From)); err != nil {
		return err
	}
	return types.CheckName("To", string(p.To))
}

func checkBy(by string) error {
	if by == "" || len(by) > maxByLength {
		return errs.New(errs.Invalid, "By must name the operator in 1 to %d bytes", maxByLength)
	}
	return nil
}

func (s *Server) operatorRoutes(m *flow.Mux) {
	m.HandleFunc(PathStatus, s.fleetStatus, http.MethodGet)
	m.HandleFunc(PathExplain, rest.Handle(bodyLimit, s.explain), http.MethodPost)
	m.HandleFunc(PathEnvGet, rest.Handle(bodyLimit, s.envGet), http.MethodPost)
	m.HandleFunc(PathEnvPut, rest.Handle(bodyLimit, s.envPut), http.MethodPost)
	m.HandleFunc(PathEnvPromote, rest.Handle(bodyLimit, s.envPromote), http.MethodPost)
	m.HandleFunc(PathEnvHistory, rest.Handle(bodyLimit, s.envHistory), http.MethodPost)
	m.HandleFunc(PathEnvStatus, s.envStatus, http.MethodGet)
}

func (s *Server) fleetStatus(w http.ResponseWriter, r *http.Request) {
	writeResult(w, r, s.config.Operators.Status)
}

func (s *Server) envStatus(w http.ResponseWriter, r *http.Request) {
	writeResult(w, r, s.config.Operators.InForce)
}

// writeResult writes the result of a query as JSON, or its error.
func writeResult(w http.ResponseWriter, r *http.Request, query func(context.Context) (any, error)) {
	out, err := query(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	rest.Write(w, http.StatusOK, out)
}

func (s *Server) explain(ctx context.Context, q *ExplainQuery) (any, error) {
	return s.config.Operators.Explain(ctx, q.Subject)
}

func (s *Server) envGet(ctx context.Context, q *EnvQuery) (edit.Accepted, error) {
	return s.config.Editors("").Get(ctx, q.Environment)
}

func (s *Server) envPut(ctx context.Context, p *EnvPut) (edit.Accepted, error) {
	return s.offerDocument(s.config.Editors(p.By).Put(ctx, p.Environment, p.Expect, p.Body))
}

func (s *Server) envPromote(ctx context.Context, p *EnvPromote) (edit.Accepted, error) {
	return s.offerDocument(s.config.Editors(p.By).Promote(ctx, p.From, p.To, p.ExpectDigest, p.Expect))
}

// offerDocument passes on a document that was accepted through this daemon, so that it comes into force here without
// waiting for the watch of the store.
func (s *Server) offerDocument(accepted edit.Accepted, err error) (edit.Accepted, error) {
	if err == nil {
		s.config.Offer(accepted)
	}
	return accepted, err
}

func (s *Server) envHistory(ctx context.Context, q *EnvQuery) ([]edit.Accepted, error) {
	limit := q.Limit
	if limit == 0 {
		limit = maxHistoryRecords
	}
	return s.config.Editors("").History(ctx, q.Environment, limit)
}
