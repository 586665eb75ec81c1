package peer

import (
	"context"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

type (
	// Echo is an RPC service for tests.
	Echo struct{}
	// Word is the argument and reply of Echo's method.
	Word struct{ Text string }
)

// Say copies the word to reply. It returns an error of kind Fenced for an empty word.
func (Echo) Say(args, reply *Word) error {
	if args.Text == "" {
		return Wire(errs.New(errs.Fenced, "empty"))
	}
	reply.Text = args.Text
	return nil
}

// forEachCaller runs a test with an in-memory Caller and with one over TCP. The target serves Echo and is in another
// region, so that the bytes of calls to it are counted as crossing regions.
func forEachCaller(t *testing.T, test func(t *testing.T, c Caller, to Target, calls *meter.Meter)) {
	t.Helper()
	t.Run("Memory", func(t *testing.T) {
		calls := meter.Discard()
		n := NewNetwork()
		to := Target{VM: "b", Address: "b", Site: types.Site{Region: "far", DataCentre: "b"}}
		if err := n.Join(to, meter.Discard()).Register("Echo", Echo{}); err != nil {
			t.Fatal(err)
		}
		test(t, n.Join(Target{VM: "a", Address: "a", Site: types.Site{DataCentre: "a"}}, calls), to, calls)
	})
	t.Run("RPC", func(t *testing.T) {
		calls := meter.Discard()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := NewServer(clockwork.NewRealClock())
		if err := s.Register("Echo", Echo{}); err != nil {
			t.Fatal(err)
		}
		go s.Serve(listener)
		defer s.Close()
		c := NewClient(calls, clockwork.NewRealClock())
		defer c.Close()
		to := Target{VM: "b", Site: types.Site{Region: "far"}, Address: types.Address(listener.Addr().String())}
		test(t, c, to, calls)
	})
}

func TestCallAnswersAndCounts(t *testing.T) {
	forEachCaller(t, func(t *testing.T, c Caller, to Target, calls *meter.Meter) {
		var reply Word
		if err := c.Call(context.Background(), to, "Echo.Say", &Word{Text: "hello"}, &reply); err != nil {
			t.Fatal(err)
		}
		if reply.Text != "hello" {
			t.Fatalf("got reply %q, want hello", reply.Text)
		}
		if calls.Get("Peer.Echo.Say", meter.CrossedBytes) == 0 {
			t.Fatal("the bytes that crossed regions were not counted")
		}
	})
}

func TestErrorKeepsItsKind(t *testing.T) {
	forEachCaller(t, func(t *testing.T, c Caller, to Target, _ *meter.Meter) {
		err := c.Call(context.Background(), to, "Echo.Say", &Word{}, &Word{})
		if !errs.Is(err, errs.Fenced) {
			t.Fatalf("got error %v, want kind Fenced", err)
		}
	})
}

func TestUnreachableIsUnavailable(t *testing.T) {
	forEachCaller(t, func(t *testing.T, c Caller, _ Target, _ *meter.Meter) {
		err := c.Call(context.Background(), Target{Address: "127.0.0.1:1"}, "Echo.Say", &Word{}, &Word{})
		if !errs.Is(err, errs.Unavailable) {
			t.Fatalf("got error %v, want kind Unavailable", err)
		}
	})
}
