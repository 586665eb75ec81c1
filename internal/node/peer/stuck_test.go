package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	// stuckCalls is how many calls are made at once to a daemon that takes no bytes, each with stuckBytes of arguments: more than
	// the buffers of a connection hold.
	stuckCalls = 60
	stuckBytes = 200_000
	// callLimit is the limit of each call, and limitMargin how much later it may return on a busy machine.
	callLimit   = 300 * time.Millisecond
	limitMargin = 700 * time.Millisecond
)

// listenWith accepts connections and hands each to serve, until the test ends.
func listenWith(t *testing.T, serve func(net.Conn)) *countingListener {
	t.Helper()
	l := newCountingListener(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serve(conn)
		}
	}()
	return l
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(meter.Discard(), clockwork.NewRealClock())
	t.Cleanup(client.Close)
	return client
}

// callWithin makes a call with callLimit and checks that it returns within it.
func callWithin(t *testing.T, client *Client, l net.Listener, args string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callLimit)
	defer cancel()
	began, reply := time.Now(), ""
	err := client.Call(ctx, Target{Address: types.Address(l.Addr().String())}, "Mirror.Say", &args, &reply)
	if took := time.Since(began); took > callLimit+limitMargin {
		t.Errorf("a call with a limit of %s returned after %s", callLimit, took)
	}
	return err
}

// TestCallsReturnWithinTheirLimit guards against callers that wait for ever, and callers of theirs that get no answer, because another
// daemon stopped taking bytes: it is cut off, stands still, or its connection has gone silent.
func TestCallsReturnWithinTheirLimit(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"ReadsNothing": func(net.Conn) {},
		"ReadsAByteNowAndThen": func(c net.Conn) {
			for {
				if _, err := c.Read(make([]byte, 1)); err != nil {
					return
				}
				time.Sleep(callLimit / 3)
			}
		},
		"StopsAmidAnAnswer": func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 16))
			_, _ = c.Write([]byte{60, 255})
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := listenWith(t, serve)
			client := newTestClient(t)
			var wg sync.WaitGroup
			for range stuckCalls {
				wg.Go(func() {
					if err := callWithin(t, client, l, strings.Repeat("x", stuckBytes)); !errs.Is(err, errs.Lost) {
						t.Errorf("got %v, want kind Lost", err)
					}
				})
			}
			wg.Wait()
		})
	}
}

// TestConnectionThatTakesNoBytesIsReplaced guards against a connection that is never opened anew, since calls that wait for their turn to
// send are not seen to time out one after the other.
func TestConnectionThatTakesNoBytesIsReplaced(t *testing.T) {
	server := NewServer(clockwork.NewRealClock())
	if err := server.Register("Mirror", Mirror{}); err != nil {
		t.Fatal(err)
	}
	var once sync.Once
	l := listenWith(t, func(c net.Conn) {
		stuck := false
		once.Do(func() { stuck = true })
		if !stuck {
			server.rpc.ServeConn(c)
		}
	})
	client := newTestClient(t)
	// One large call fills the connection; the small one after it must not need a time-out of its own.
	if err := callWithin(t, client, l, strings.Repeat("x", 64*stuckBytes)); !errs.Is(err, errs.Lost) {
		t.Errorf("got %v, want kind Lost", err)
	}
	time.Sleep(writeTimeout + limitMargin)
	if err := callWithin(t, client, l, "x"); err != nil {
		t.Errorf("a call on a new connection: %v", err)
	}
	if got := l.accepted.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// TestNarrowLinkIsNotTakenForAStuckOne guards against closing a connection on which a large message arrives slowly.
func TestNarrowLinkIsNotTakenForAStuckOne(t *testing.T) {
	const (
		total = 32 << 20
		parts = 32
	)
	received := make(chan int64, 1)
	l := listenWith(t, func(c net.Conn) {
		n := int64(0)
		for range parts {
			part, err := io.CopyN(io.Discard, c, total/parts)
			n += part
			if err != nil {
				break
			}
			time.Sleep(2 * writeTimeout / parts)
		}
		received <- n
	})
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	counted := &countedConn{Conn: conn}
	if _, err := counted.Write(make([]byte, total)); err != nil {
		t.Errorf("a message that takes %s to arrive: %v", 2*writeTimeout, err)
	}
	if n := <-received; n < total {
		t.Errorf("%d bytes arrived, want %d", n, total)
	}
	_ = counted.Close()
}
