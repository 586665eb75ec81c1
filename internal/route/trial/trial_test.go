package trial

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// startCell starts a cell on the clock of the test's bubble and stops it at the end of the test.
func startCell(t *testing.T, change func(c *Config)) *Cell {
	t.Helper()
	c := Config{
		Clock: clockwork.NewRealClock(), Entries: 8, Runners: 6, Slots: 8, Connections: 64,
		Work: 20 * time.Millisecond, Near: time.Millisecond, Far: 12 * time.Millisecond,
	}
	if change != nil {
		change(&c)
	}
	started := New(c)
	started.Start(context.Background())
	t.Cleanup(func() {
		// synctest waits until all goroutines of the bubble have ended.
		started.Stop()
	})
	time.Sleep(2 * time.Second)
	return started
}

// runInBubble runs the test in a synctest bubble, whose clock advances only while all of its goroutines are blocked.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

func newRequest(t *testing.T, d *Daemon, idempotent bool) *types.Request {
	t.Helper()
	id, err := d.Entry.Mint()
	if err != nil {
		t.Fatal(err)
	}
	return &types.Request{
		ID: id, Service: Service, Team: teamID(0), Class: types.ClassNormal, Idempotent: idempotent,
		Deadline: time.Now().Add(5 * time.Second), Body: []byte("body of " + string(id)),
	}
}

func wantDone(t *testing.T, req *types.Request, a *types.Answer) {
	t.Helper()
	if a.Outcome != types.OutcomeDone || a.ID != req.ID || string(a.Body) != string(req.Body) {
		t.Fatalf("answer to %s is %s %q, reason %v", req.ID, a.Outcome, a.Body, a.Reason)
	}
}

func TestEveryEntryAnswers(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		for _, d := range c.Daemons {
			for _, idempotent := range []bool{true, false} {
				req := newRequest(t, d, idempotent)
				wantDone(t, req, d.Entry.Do(context.Background(), req))
			}
		}
	})
}
