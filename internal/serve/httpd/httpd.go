// Package httpd is the HTTP interface of a daemon for callers and operators.
package httpd

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/guard"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Limits of the server.
const (
	maxConnections    = 4096
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = time.Minute
	writeTimeout      = types.MaxDeadline + time.Minute
	// bodyLimit allows for the encoding of the largest request body.
	bodyLimit = 2 * types.MaxRequestBody
)

type (
	// Jobs takes jobs to their home lead.
	Jobs interface {
		Submit(ctx context.Context, job types.Job) (types.JobStatus, error)
		Cancel(ctx context.Context, id types.JobID) (types.JobStatus, error)
		Status(ctx context.Context, id types.JobID) (types.JobStatus, error)
	}

	// Requests takes requests to runners.
	Requests interface {
		Mint() (types.RequestID, error)
		Do(ctx context.Context, r *types.Request) *types.Answer
		Ask(ctx context.Context, id types.RequestID) *types.Answer
		Close(ctx context.Context, id types.RequestID) *types.Answer
	}

	// Documents gives the document in force.
	Documents func() (*envdoc.Document, types.Revision)

	// Config is what a Server needs.
	Config struct {
		Jobs      Jobs
		Requests  Requests
		Documents Documents
		Operators Operators
		Editors   Editors
		// Offer takes a document that an operator's call had accepted.
		Offer   func(edit.Accepted)
		Guard   *guard.Guard
		Metrics metrics.Registry
		Now     func() time.Time
	}

	// Server serves callers and operators.
	Server struct {
		config   Config
		http     *http.Server
		draining atomic.Bool
	}
)

// New returns a server that is not yet listening.
func New(c Config) *Server {
	s := &Server{config: c}
	s.http = &http.Server{
		Handler:           s.closeWhileDraining(s.routes()),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Serve takes connections until Shutdown. With a certificate file it serves TLS.
func (s *Server) Serve(listener net.Listener, certFile, keyFile string) error {
	limitedListener := netutil.LimitListener(listener, maxConnections)
	if certFile != "" {
		return s.http.ServeTLS(limitedListener, certFile, keyFile)
	}
	return s.http.Serve(limitedListener)
}

// SetDraining makes /health answer that no new work should come here, and has each connection closed after its
// next answer: a request that is sent on an idle connection while Shutdown closes it would be cut off.
func (s *Server) SetDraining() {
	s.draining.Store(true)
}

// Shutdown stops taking connections and waits for the calls in flight, or for the end of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close breaks all connections.
func (s *Server) Close() {
	// A server that is closed twice has nothing left to close.
	_ = s.http.Close()
}

// closeWhileDraining has connections closed after their answer while the daemon drains.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) routes() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/health", s.health, http.MethodGet)
	mux.Group(func(m *flow.Mux) {
		m.Use(s.requireRole(guard.RoleCaller, guard.RoleOperator))
		m.HandleFunc("/v1/ids", s.mintID, http.MethodPost)
		m.HandleFunc("/v1/requests", s.doRequest, http.MethodPost)
		m.HandleFunc("/v1/requests/:id", s.getRequest, http.MethodGet)
		m.HandleFunc("/v1/requests/:id", s.closeID, http.MethodDelete)
		m.HandleFunc("/v1/templates/:work/:id", s.submitWork, http.MethodPut)
		m.HandleFunc("/v1/jobs/:id", s.submitJob, http.MethodPut)
		m.HandleFunc("/v1/jobs/:id", s.jobStatus, http.MethodGet)
		m.HandleFunc("/v1/jobs/:id", s.cancelJob, http.MethodDelete)
	})
	mux.Group(func(m *flow.Mux) {
		m.Use(s.requireRole(guard.RoleOperator))
		m.HandleFunc("/metrics", s.metrics, http.MethodGet)
		s.operatorRoutes(m)
	})
	return mux
}

func (s *Server) requireRole(roles ...guard.Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return s.config.Guard.Require(next, roles...)
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if s.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The reader may have gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(s.config.Metrics.GetAll())
}
