package rest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// busyPollInterval is how often Await looks whether connections are busy.
const busyPollInterval = 5 * time.Millisecond

// BusyConns knows which connections of an HTTP server await a request or its answer. A server whose Shutdown was called
// closes a connection on which it then reads a request, without an answer; so Shutdown must wait until none is busy.
// It is safe for concurrent use.
type BusyConns struct {
	clock clockwork.Clock

	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

// NewBusyConns returns a BusyConns without connections. Its Observe must be the ConnState of the server.
func NewBusyConns(clock clockwork.Clock) *BusyConns {
	return &BusyConns{clock: clock, busy: make(map[net.Conn]struct{})}
}

// Observe records the state of a connection. A new connection is busy until its first request was answered.
func (b *BusyConns) Observe(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		b.busy[conn] = struct{}{}
	} else {
		delete(b.busy, conn)
	}
}

// Await waits until no connection is busy or ctx ends, and returns the number of busy connections.
func (b *BusyConns) Await(ctx context.Context) int {
	for {
		if n := b.count(); n == 0 || ctx.Err() != nil {
			return n
		}
		select {
		case <-ctx.Done():
		case <-b.clock.After(busyPollInterval):
		}
	}
}

func (b *BusyConns) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.busy)
}
