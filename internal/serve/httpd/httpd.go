// Package httpd implements the HTTP API of a daemon for callers and operators.
package httpd

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/guard"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/serve/intake"
)

// Limits of the server.
const (
	maxConnections    = 4096
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = time.Minute
	writeTimeout      = types.MaxDeadline + time.Minute
	// bodyLimit is the size limit of an HTTP body in bytes. The factor allows for the encoding of the largest request
	// body.
	bodyLimit = 2 * types.MaxRequestBody
	// maxHeldBytes limits the bytes of the bodies that are received at the same time: 64 of the largest size.
	maxHeldBytes = 64 * bodyLimit
)

type (
	// Jobs forwards calls about jobs to the leader of the job's home data centre.
	Jobs interface {
		Submit(ctx context.Context, job types.Job) (types.JobStatus, error)
		Cancel(ctx context.Context, id types.JobID) (types.JobStatus, error)
		Status(ctx context.Context, id types.JobID) (types.JobStatus, error)
	}

	// Requests mints request ids, runs requests on runners and reports what became of them.
	Requests interface {
		Mint() (types.RequestID, error)
		Do(ctx context.Context, r *types.Request) *types.Answer
		Ask(ctx context.Context, id types.RequestID) *types.Answer
		Close(ctx context.Context, id types.RequestID) *types.Answer
	}

	// Documents returns the environment document in force and its revision; nil while there is none.
	Documents func() (*envdoc.Document, types.Revision)

	// Config configures a Server.
	Config struct {
		Jobs      Jobs
		Requests  Requests
		Documents Documents
		Operators Operators
		Editors   Editors
		// Offer is called with each document that was accepted through an operator's call to this server.
		Offer   func(edit.Accepted)
		Guard   *guard.Guard
		Metrics metrics.Registry
		Log     zerolog.Logger
		Now     func() time.Time
		// Clock paces the wait for answers in Shutdown.
		Clock clockwork.Clock
		// Limits bounds what is held for callers; by default maxHeldBytes and maxConnections.
		Limits intake.Limits
	}

	// Server serves the HTTP API.
	Server struct {
		config   Config
		http     *http.Server
		busy     *rest.BusyConns
		gate     *intake.Gate
		draining atomic.Bool
		// stopping is set before Shutdown closes the listener.
		stopping atomic.Bool

		cancelRequests context.CancelFunc
		mu             sync.Mutex
		listener       net.Listener
	}
)

// New returns a server that is not yet listening.
func New(c Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{config: c, busy: rest.NewBusyConns(c.Clock), cancelRequests: cancel}
	s.http = &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnState:         s.busy.Observe,
		Handler:           s.closeWhileDraining(s.routes()),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.gate = intake.New(intake.Config{
		Clock: c.Clock, Metrics: c.Metrics, Log: c.Log, Name: "HTTP",
		Limits: cmp.Or(c.Limits, intake.Limits{Bytes: maxHeldBytes, Connections: maxConnections}),
	})
	s.gate.Attach(s.http)
	return s
}

// Serve accepts connections until Shutdown or Close, and then returns http.ErrServerClosed. With a certificate file it
// serves TLS.
func (s *Server) Serve(listener net.Listener, certFile, keyFile string) error {
	limitedListener := s.gate.Listener(listener)
	s.mu.Lock()
	s.listener = limitedListener
	s.mu.Unlock()
	serve := s.http.Serve
	if certFile != "" {
		serve = func(l net.Listener) error { return s.http.ServeTLS(l, certFile, keyFile) }
	}
	err := serve(limitedListener)
	if s.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// SetDraining makes /health answer 503 Service Unavailable, so that no new work is sent here, and has each connection
// closed after its next answer: a request that arrives on an idle connection while Shutdown closes it would fail.
func (s *Server) SetDraining() {
	s.draining.Store(true)
}

// Shutdown stops accepting connections and waits for the calls in flight or the end of ctx. Connections that were accepted
// but sent no request yet are waited for as well.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	s.stopping.Store(true)
	if listener != nil {
		_ = listener.Close()
	}
	s.busy.Await(ctx)
	// The listener is closed already, which is an error of Shutdown unless Serve has ended.
	if err := s.http.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// CancelRequests cancels the calls in flight, so that they are answered with what is known of their outcome. It must
// precede Close by the time that the answers take.
func (s *Server) CancelRequests() {
	s.cancelRequests()
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	// Nothing can be done about an error of closing the listener, such as that it is closed already.
	_ = s.http.Close()
	s.cancelRequests()
}

// closeWhileDraining wraps a handler so that connections are closed after their answer while the daemon drains.
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

// requireRole returns middleware that rejects calls without a token of one of the roles.
func (s *Server) requireRole(roles ...guard.Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return s.config.Guard.Require(next, roles...)
	}
}

// health answers 200 OK, or 503 Service Unavailable while the daemon drains.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if s.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected; there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(s.config.Metrics.GetAll())
}
