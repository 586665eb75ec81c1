package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// countingListener counts the connections that a listener takes.
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

// Mirror is a service that answers.
type Mirror struct{}

// Say returns what it is told.
func (Mirror) Say(args *string, reply *string) error {
	*reply = *args
	return nil
}

// Many calls at once to a daemon that was not called before must not overflow its queue of new connections.
func TestCallsShareOneDial(t *testing.T) {
	l := newCountingListener(t)
	server := NewServer()
	if err := server.Register("Mirror", Mirror{}); err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	defer server.Close()
	client := NewClient(meter.Discard())
	defer client.Close()
	to := Target{Address: types.Address(l.Addr().String())}
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			args, reply := "x", ""
			if err := client.Call(ctx, to, "Mirror.Say", &args, &reply); err != nil || reply != args {
				t.Errorf("heard %q, %v", reply, err)
			}
		})
	}
	wg.Wait()
	if got := l.accepted.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

// A connection that brings nothing is given up, but not by the first call that runs out of time.
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
	client := NewClient(meter.Discard())
	clock := clockwork.NewFakeClock()
	client.clock = clock
	defer client.Close()
	to := Target{Address: types.Address(l.Addr().String())}
	call := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		args, reply := "x", ""
		if err := client.Call(ctx, to, "Mirror.Say", &args, &reply); err == nil {
			t.Error("a silent daemon answered")
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
		t.Errorf("%d connections once the first stayed silent, want 2", got)
	}
}
