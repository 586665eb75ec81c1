package guard

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	peerKey  = "a-shared-key-of-at-least-32-bytes"
	otherKey = "another-key-that-has-32-bytes-too"
	timeout  = 5 * time.Second
)

type (
	// Counter is an RPC service that counts its calls.
	Counter struct{ calls atomic.Int64 }
	// Nothing is the argument and reply of Counter.Add.
	Nothing struct{ Empty bool }

	// recordingConn records the bytes that are written to a connection.
	recordingConn struct {
		net.Conn
		mu      sync.Mutex
		written bytes.Buffer
	}

	// recordingSecurity records the bytes of the connection that was secured last, as they are sent.
	recordingSecurity struct {
		peer.Security
		conn *recordingConn
	}
)

// Add counts one call.
func (c *Counter) Add(_, _ *Nothing) error {
	c.calls.Add(1)
	return nil
}

func (t *recordingConn) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.written.Write(p)
	return t.Conn.Write(p)
}

func (t *recordingSecurity) Dial(ctx context.Context, conn net.Conn) (net.Conn, error) {
	t.conn = &recordingConn{Conn: conn}
	return t.Security.Dial(ctx, t.conn)
}

// testPeerTLS returns a PeerTLS for a list of keys that are separated by commas.
func testPeerTLS(t *testing.T, keys string) *PeerTLS {
	t.Helper()
	s, err := NewPeerTLS(ParseSecrets(keys))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// startServer starts an RPC server with the keys, which serves the returned Counter at the returned target.
func startServer(t *testing.T, keys string) (*Counter, peer.Target) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(clockwork.NewRealClock())
	s.Security = testPeerTLS(t, keys)
	counter := &Counter{}
	if err := s.Register("Counter", counter); err != nil {
		t.Fatal(err)
	}
	go s.Serve(listener)
	t.Cleanup(s.Close)
	return counter, peer.Target{VM: "b", Address: types.Address(listener.Addr().String())}
}

// call calls Counter.Add over a new connection; a nil s makes it a connection without TLS.
func call(t *testing.T, s peer.Security, to peer.Target) error {
	t.Helper()
	c := peer.NewClient(meter.Discard(), clockwork.NewRealClock())
	c.Security = s
	t.Cleanup(c.Close)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Call(ctx, to, "Counter.Add", &Nothing{}, &Nothing{})
}

func wantCalls(t *testing.T, c *Counter, want int64) {
	t.Helper()
	if got := c.calls.Load(); got != want {
		t.Fatalf("got %d calls, want %d", got, want)
	}
}

func TestSameKeyConnects(t *testing.T) {
	counter, to := startServer(t, peerKey)
	if err := call(t, testPeerTLS(t, peerKey), to); err != nil {
		t.Fatal(err)
	}
	wantCalls(t, counter, 1)
}

// While keys are rotated, two daemons that present different keys must accept each other.
func TestKeysCanBeChanged(t *testing.T) {
	counter, to := startServer(t, otherKey+","+peerKey)
	if err := call(t, testPeerTLS(t, peerKey+","+otherKey), to); err != nil {
		t.Fatal(err)
	}
	wantCalls(t, counter, 1)
}

func TestWrongKeyIsRefused(t *testing.T) {
	counter, to := startServer(t, peerKey)
	if err := call(t, testPeerTLS(t, otherKey), to); !errs.Is(err, errs.Unavailable) {
		t.Fatalf("got %v, want kind Unavailable", err)
	}
	wantCalls(t, counter, 0)
}

// The client accepts the server's key here, so that only the server's check can refuse the call.
func TestServerRefusesAKeyThatItDoesNotAccept(t *testing.T) {
	counter, to := startServer(t, peerKey)
	if err := call(t, testPeerTLS(t, otherKey+","+peerKey), to); err == nil {
		t.Fatal("the server served a call with a key that it does not accept")
	}
	wantCalls(t, counter, 0)
}

func TestPlainConnectionIsRefused(t *testing.T) {
	counter, to := startServer(t, peerKey)
	if err := call(t, nil, to); err == nil {
		t.Fatal("the server served a call without TLS")
	}
	wantCalls(t, counter, 0)
}

// The recorded bytes of a connection, sent again by somebody without the key, must not cause another call.
func TestReplayedConnectionIsRefused(t *testing.T) {
	counter, to := startServer(t, peerKey)
	recorded := &recordingSecurity{Security: testPeerTLS(t, peerKey)}
	if err := call(t, recorded, to); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", string(to.Address))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	recorded.conn.mu.Lock()
	conn.Write(recorded.conn.written.Bytes())
	recorded.conn.mu.Unlock()
	conn.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, 4096)
	for err = nil; err == nil; {
		_, err = conn.Read(buffer)
	}
	wantCalls(t, counter, 1)
}

func TestShortOrMissingKeyIsRefused(t *testing.T) {
	for _, keys := range []string{"", "short"} {
		if _, err := NewPeerTLS(ParseSecrets(keys)); !errs.Is(err, errs.Invalid) {
			t.Fatalf("got %v, want kind Invalid", err)
		}
	}
}

func TestBadCertificateIsRefused(t *testing.T) {
	if _, err := ServerTLS("not a certificate", NewSecret("not a key")); !errs.Is(err, errs.Invalid) {
		t.Fatalf("got %v, want kind Invalid", err)
	}
}
