package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// acceptBackoff is the pause after a failed accept.
const acceptBackoff = 20 * time.Millisecond

// Server serves the calls of other daemons. With a nil Security it accepts every connection without authentication.
type Server struct {
	Security Security

	clock clockwork.Clock
	rpc   *rpc.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server without services.
func NewServer(clock clockwork.Clock) *Server {
	return &Server{clock: clock, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Register makes a service callable under the name. It returns an error of kind Internal when net/rpc rejects it.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return errs.New(errs.Internal, "registering %s: %v", name, err)
	}
	return nil
}

// Serve accepts connections until Close. A failed accept is tried again: the process may be short of file descriptors, or
// the connection was reset before it was accepted.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || s.isClosed() {
			return
		}
		if err != nil {
			s.clock.Sleep(acceptBackoff)
			continue
		}
		if s.track(conn) {
			go s.serve(conn)
		}
	}
}

// Close stops accepting connections and closes the open ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// track records an open connection so that Close can close it. After Close it closes the connection itself and returns
// false.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) serve(conn net.Conn) {
	defer s.untrack(conn)
	secured, err := s.secure(&countedConn{Conn: conn})
	if err != nil {
		return
	}
	s.rpc.ServeConn(secured)
}

// secure authenticates a connection within the dial timeout.
func (s *Server) secure(conn net.Conn) (net.Conn, error) {
	if s.Security == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return s.Security.Accept(ctx, conn)
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
