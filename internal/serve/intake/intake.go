// Package intake bounds what an HTTP server holds for clients: the bytes of requests that are not answered yet. Each client may be within the
// limits of a request, so that only the sum shows a crowd of clients that do not finish their requests.
package intake

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// connBuffer is the number of bytes of a request that the buffers of each connection hold. They are no bytes of the request's own.
	connBuffer = 4 << 10
	// headerFactor is how many bytes a byte of a header takes once it is parsed: fields of a few bytes become entries of a map.
	headerFactor = 16
	// fieldBytes is what a field of a header takes beside its text, in bytes.
	fieldBytes = 128
	// restTimeout is how long the rest of a body may take that its handler has not read. net/http reads it before it answers.
	restTimeout = time.Second
	// memoryShare is the divisor of a process's memory for the bytes of requests, and for connections. As much again may wait for the
	// garbage collector.
	memoryShare = 8
	// connBytes is what a connection takes without the bytes of requests: stack, buffers, and the buffer that a body is read into.
	connBytes = 32 << 10
	// socketShare is the divisor of the descriptors for sockets. The others are for other daemons, the store, runners, and connections
	// that are being closed.
	socketShare = 2
)

const (
	// idle is a connection without a request: a new one, or one whose last request was answered.
	idle phase = iota
	// inHeader is a connection on which a part of the header of a request has arrived.
	inHeader
	// inBody is a connection with a request whose body has not arrived completely.
	inBody
	// served is a connection with a complete request that is being carried out or answered.
	served
)

type (
	// Resources is what a process may use.
	Resources struct {
		// Memory is the memory in bytes.
		Memory int64
		// Sockets is the number of descriptors for sockets; 0 means that it is not known.
		Sockets int
	}

	// Config holds the dependencies of a Gate.
	Config struct {
		Clock   clockwork.Clock
		Metrics metrics.Registry
		Log     zerolog.Logger
		// Name is the prefix of the metrics.
		Name   string
		Limits Limits
	}

	// Limits bounds what a server holds for its clients; 0 means no bound.
	Limits struct {
		// Bytes is the number of bytes of requests that are not answered yet.
		Bytes int64
		// Connections is the number of open connections.
		Connections int
	}

	// Gate knows the connections of one HTTP server, and what is held for each. It is safe for concurrent use.
	Gate struct {
		clock  clockwork.Clock
		log    zerolog.Logger
		limits Limits

		mu    sync.Mutex
		conns map[*Conn]struct{}
		// loggedAt is when evictions were last logged, and unlogged counts those since then.
		loggedAt time.Time
		unlogged int
		// held is the sum of what the connections hold, and releasing that of what evicted ones have held and may not have released yet, in
		// bytes. released is signalled when either falls.
		held      int64
		releasing int64
		released  sync.Cond

		connections metrics.Gauge
		heldBytes   metrics.Gauge
		evictions   metrics.Counter
		closed      metrics.Counter
		refused     metrics.Counter
	}

	// phase is how far the present request of a connection has got.
	phase int

	contextKey struct{}
)

// LimitsOf returns the limits for a process that may use so much.
func LimitsOf(r Resources) Limits {
	out := Limits{Bytes: r.Memory / memoryShare, Connections: int(r.Memory / memoryShare / connBytes)}
	if r.Sockets > 0 {
		out.Connections = min(out.Connections, r.Sockets/socketShare)
	}
	return out
}

// New returns a gate without connections.
func New(c Config) *Gate {
	g := &Gate{
		clock: c.Clock, log: c.Log, limits: c.Limits, conns: make(map[*Conn]struct{}),
		connections: metrics.GetOrRegisterGauge(c.Name+".Connections", c.Metrics),
		heldBytes:   metrics.GetOrRegisterGauge(c.Name+".HeldBytes", c.Metrics),
		evictions:   metrics.GetOrRegisterCounter(c.Name+".RequestsEvicted", c.Metrics),
		closed:      metrics.GetOrRegisterCounter(c.Name+".ConnectionsClosed", c.Metrics),
		refused:     metrics.GetOrRegisterCounter(c.Name+".ConnectionsRefused", c.Metrics),
	}
	g.released.L = &g.mu
	return g
}

// Attach makes a server report its connections to the gate. The server must accept them from a listener that Listener returned.
func (g *Gate) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	s.Handler = g.handler(s.Handler)
	next := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := innerConn(conn); ok && state == http.StateIdle {
			g.setIdle(c)
		}
		if next != nil {
			next(conn, state)
		}
	}
}

// innerConn returns the connection of a gate below one that net/http has, which is another one with TLS.
func innerConn(conn net.Conn) (*Conn, bool) {
	if outer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = outer.NetConn()
	}
	c, ok := conn.(*Conn)
	return c, ok
}

// connOf returns the connection of a handler's context, or nil if it is not one of a gate.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// handler returns a handler that tells the gate when a request has arrived completely; from then on it is not evicted. A request that
// was evicted before is refused, and the body of one that is evicted later cannot be read to its end.
func (g *Gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer g.finish(c)
		g.beginBody(c, len(r.Header))
		if r.ContentLength != 0 {
			defer func() { c.limitRest(g.clock.Now().Add(restTimeout)) }()
		}
		if isRead(r) {
			r.Body = &body{ReadCloser: r.Body, conn: c}
		} else if err := g.complete(c); err != nil {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", strconv.Itoa(int(evictedRetryAfter.Seconds())))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isRead reports whether a handler reads the body of a request. Those of some methods have no meaning and are not waited for.
func isRead(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodDelete:
		return false
	}
	return r.ContentLength != 0
}

// admit records a new connection. At the limit it closes another one, or returns nil if all others have complete requests.
func (g *Gate) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, gate: g, since: g.clock.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Connections > 0 && len(g.conns) >= g.limits.Connections && !g.closeOne(c.since) {
		g.refused.Inc(1)
		return nil
	}
	g.conns[c] = struct{}{}
	g.connections.Update(int64(len(g.conns)))
	return c
}

// remove forgets a connection that was closed.
func (g *Gate) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(c)
}

// removeLocked is remove for a caller that holds g.mu.
func (g *Gate) removeLocked(c *Conn) {
	g.hold(c, 0)
	g.release(c)
	if c.cancel != nil {
		c.cancel()
	}
	delete(g.conns, c)
	g.connections.Update(int64(len(g.conns)))
}

// receive records that n bytes have arrived on a connection. It returns ErrEvicted if the connection has been evicted, perhaps to hold
// these bytes.
func (g *Gate) receive(c *Conn, n int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted {
		return ErrEvicted
	}
	if n == 0 {
		return nil
	}
	if c.phase == idle {
		c.phase, c.since = inHeader, g.clock.Now()
	}
	c.received += int64(n)
	g.hold(c, c.cost())
	if g.limits.Bytes > 0 && g.held > g.limits.Bytes {
		g.evictHolders()
	}
	if c.evicted {
		return ErrEvicted
	}
	return nil
}

// beginBody records that the header of a connection's request is complete and has so many fields.
func (g *Gate) beginBody(c *Conn, fields int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted {
		return
	}
	if c.phase == idle {
		c.since = g.clock.Now()
	}
	c.phase, c.fields = inBody, int64(fields)
	g.hold(c, c.cost())
}

func (g *Gate) complete(c *Conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted {
		return ErrEvicted
	}
	c.phase = served
	return nil
}

// finish records that the handler of a connection's request has ended, so that what it held is released. The answer may not be sent yet.
func (g *Gate) finish(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(c)
	if !c.evicted {
		c.phase = served
	}
}

// setIdle records that a connection's request was answered.
func (g *Gate) setIdle(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.phase, c.since, c.received, c.fields = idle, g.clock.Now(), 0, 0
	g.hold(c, 0)
}

// hold sets what a connection holds. The caller must hold g.mu.
func (g *Gate) hold(c *Conn, bytes int64) {
	if bytes == c.held {
		return
	}
	g.held += bytes - c.held
	c.held = bytes
	g.heldBytes.Update(g.held)
}
