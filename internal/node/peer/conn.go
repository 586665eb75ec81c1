package peer

import (
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// writeTimeout is how long the other end of a connection may take no bytes before the connection is closed. An end that is only busy
	// or has a narrow link goes on taking some.
	writeTimeout = 2 * time.Second
	// writeBytes is the size of the parts in which a message is written, each within writeTimeout.
	writeBytes = 16 << 10
)

// deadlineClock is the clock of the deadlines of connections, which the runtime compares with the real time.
var deadlineClock = clockwork.NewRealClock()

// countedConn counts the bytes sent and read on a connection, including those of its authentication. It closes a connection whose
// other end takes no bytes for writeTimeout, so that nobody waits for that end for ever.
type countedConn struct {
	net.Conn
	sentBytes atomic.Int64
	readBytes atomic.Int64
	// failed is set once a write has failed.
	failed atomic.Bool
}

// Write implements io.Writer and counts the bytes sent. A message of which a part was not sent in time cannot be continued, so the
// connection is closed then.
func (c *countedConn) Write(p []byte) (int, error) {
	sent := 0
	for part := range slices.Chunk(p, writeBytes) {
		n, err := c.writePart(part)
		sent += n
		if err != nil {
			c.failed.Store(true)
			_ = c.Close()
			return sent, err
		}
	}
	return sent, nil
}

// writePart writes bytes within writeTimeout.
func (c *countedConn) writePart(part []byte) (int, error) {
	if err := c.SetWriteDeadline(deadlineClock.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(part)
	c.sentBytes.Add(int64(n))
	return n, err
}

// Read implements io.Reader and counts the bytes read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.readBytes.Add(int64(n))
	return n, err
}
