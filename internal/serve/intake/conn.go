package intake

import (
	"context"
	"io"
	"net"
	"slices"
	"time"
)

const (
	// writeTimeout is how long a client may take to make room for a part of an answer.
	writeTimeout = 30 * time.Second
	// writeBytes is the size of the parts in which an answer is written.
	writeBytes = 16 << 10
)

type (
	// Conn is a connection of a Gate.
	Conn struct {
		net.Conn

		gate *Gate

		// The fields below are guarded by gate.mu.

		phase phase
		// since is when the phase idle or the present request began.
		since time.Time
		// received counts the bytes of the present request, fields the fields of its header once that is complete.
		received int64
		fields   int64
		// held is what the connection holds, in bytes.
		held int64
		// readDeadline is the read deadline; zero means none.
		readDeadline time.Time
		// evicted is set when reading must fail, since the request was evicted.
		evicted bool
		// cancel ends the context of the requests; nil until the server serves the connection.
		cancel context.CancelFunc
		// releasing is what the connection held when it was evicted, until it has released that.
		releasing int64
	}

	// body is the body of a request.
	body struct {
		io.ReadCloser

		conn *Conn
	}

	// listener returns connections of a gate.
	listener struct {
		net.Listener

		gate *Gate
	}
)

// Listener returns a listener whose connections the gate knows.
func (g *Gate) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, gate: g}
}

// Accept implements net.Listener. It accepts connections at the limit too, so that none waits behind a crowd's.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(conn); c != nil {
			return c, nil
		}
		// An error means that the client has closed it.
		_ = conn.Close()
	}
}

// Read implements net.Conn. It returns ErrEvicted once the connection was evicted.
func (c *Conn) Read(p []byte) (int, error) {
	c.gate.awaitRelease(c)
	n, err := c.Conn.Read(p)
	if n > 0 || err != nil {
		if evicted := c.gate.receive(c, n); evicted != nil {
			return 0, evicted
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The deadline of an evicted connection, which has passed, stays.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.setReadDeadline(t)
}

// limitRest sets the read deadline unless it is an earlier one already.
func (c *Conn) limitRest(t time.Time) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.readDeadline.IsZero() || c.readDeadline.After(t) {
		// An error means that the connection is closed already.
		_ = c.setReadDeadline(t)
	}
}

// setReadDeadline is SetReadDeadline for a caller that holds gate.mu.
func (c *Conn) setReadDeadline(t time.Time) error {
	if c.evicted {
		return nil
	}
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// Read implements io.Reader. At the end it returns ErrEvicted if the request was evicted meanwhile; the request must not be carried out
// then.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if evicted := b.conn.gate.complete(b.conn); evicted != nil {
			return 0, evicted
		}
	}
	return n, err
}

// Write implements net.Conn. It fails once a client has not made room for a part of an answer within writeTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	sent := 0
	for part := range slices.Chunk(p, writeBytes) {
		if err := c.SetWriteDeadline(c.gate.clock.Now().Add(writeTimeout)); err != nil {
			return sent, err
		}
		n, err := c.Conn.Write(part)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// CloseWrite closes the writing side, as net/http does before it closes a connection whose client may still send.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.remove(c)
	return c.Conn.Close()
}

// cost returns what the present request holds, in bytes: nothing while it fits into the buffers of the connection.
func (c *Conn) cost() int64 {
	switch c.phase {
	case idle:
	case inHeader:
		return headerFactor * max(0, c.received-connBuffer)
	case inBody, served:
		return max(0, c.received+fieldBytes*c.fields-connBuffer)
	}
	return 0
}
