package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// countingListener counts the connections that a listener accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.accepted.Add(1)
	}
	return conn, err
}

func newCountingListener(t *testing.T) *countingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &countingListener{Listener: l}
}

// failingListener fails some accepts before it accepts connections.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestFailedAcceptDoesNotEndTheServer guards against a daemon that no other daemon reaches any more, although it goes on to
// renew its leases and may lead, because one accept failed for want of a file descriptor.
func TestFailedAcceptDoesNotEndTheServer(t *testing.T) {
	inner := newCountingListener(t)
	l := &failingListener{Listener: inner}
	l.failures.Store(3)
	server := NewServer(clockwork.NewRealClock())
	if err := server.Register("Mirror", Mirror{}); err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(l)
	}()
	client := NewClient(meter.Discard(), clockwork.NewRealClock())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	args, reply := "x", ""
	if err := client.Call(ctx, Target{Address: types.Address(inner.Addr().String())}, "Mirror.Say", &args, &reply); err != nil {
		t.Errorf("a call after failed accepts: %v", err)
	}
	server.Close()
	select {
	case <-served:
	case <-time.After(3 * time.Second):
		t.Error("the server did not end after Close")
	}
}

// Mirror is an RPC service that returns its arguments.
type Mirror struct{}

// Say copies args to reply.
func (Mirror) Say(args *string, reply *string) error {
	*reply = *args
	return nil
}

// TestCallsShareOneDial guards against a burst of first calls to a daemon that each open a connection, which overflows
// the daemon's queue of new connections.
func TestCallsShareOneDial(t *testing.T) {
	l := newCountingListener(t)
	server := NewServer(clockwork.NewRealClock())
	if err := server.Register("Mirror", Mirror{}); err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	defer server.Close()
	client := NewClient(meter.Discard(), clockwork.NewRealClock())
	defer client.Close()
	to := Target{Address: types.Address(l.Addr().String())}
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			args, reply := "x", ""
			if err := client.Call(ctx, to, "Mirror.Say", &args, &reply); err != nil || reply != args {
				t.Errorf("got reply %q, error %v", reply, err)
			}
		})
	}
	wg.Wait()
	if got := l.accepted.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// TestSilentConnectionIsGivenUp guards against keeping a connection on which nothing arrives any more, and against
// closing one at the first call that times out.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	l := newCountingListener(t)
	defer l.Close()
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	client := NewClient(meter.Discard(), clockwork.NewRealClock())
	clock := clockwork.NewFakeClock()
	client.clock = clock
	defer client.Close()
	to := Target{Address: types.Address(l.Addr().String())}
	call := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		args, reply := "x", ""
		if err := client.Call(ctx, to, "Mirror.Say", &args, &reply); err == nil {
			t.Error("a call succeeded although the daemon does not answer")
		}
	}
	call()
	call()
	if got := l.accepted.Load(); got != 1 {
		t.Fatalf("%d connections after two calls, want 1", got)
	}
	clock.Advance(silenceTimeout + time.Millisecond)
	call()
	call()
	if got := l.accepted.Load(); got != 2 {
		t.Errorf("%d connections after the silence timeout of the first, want 2", got)
	}
}

// Pause is an RPC service whose calls take as long as they are told.
type Pause struct{}

// For waits for the duration.
func (Pause) For(args *time.Duration, _ *struct{}) error {
	time.Sleep(*args)
	return nil
}

// Two slow calls with answers between them do not make a connection silent, however long ago the first one was.
func TestAnAnswerEndsTheSilenceOfAConnection(t *testing.T) {
	l := newCountingListener(t)
	server := NewServer(clockwork.NewRealClock())
	if err := server.Register("Pause", Pause{}); err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	defer server.Close()
	clock := clockwork.NewFakeClock()
	client := NewClient(meter.Discard(), clockwork.NewRealClock())
	client.clock = clock
	defer client.Close()
	to := Target{Address: types.Address(l.Addr().String())}
	call := func(takes, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return client.Call(ctx, to, "Pause.For", &takes, &struct{}{})
	}
	for range 2 {
		if err := call(100*time.Millisecond, 10*time.Millisecond); err == nil {
			t.Fatal("the slow call did not time out")
		}
		time.Sleep(200 * time.Millisecond)
		if err := call(0, time.Second); err != nil {
			t.Fatal(err)
		}
		clock.Advance(2 * silenceTimeout)
	}
	if got := l.accepted.Load(); got != 1 {
		t.Errorf("%d connections were opened, want 1", got)
	}
}
