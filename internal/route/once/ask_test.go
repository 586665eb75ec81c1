package once

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// heldReports passes the calls of entries to the table of a leader, and holds up reports of answers until they are released.
type heldReports struct {
	leader   *Client
	released chan struct{}
}

// Call implements peer.Caller.
func (h *heldReports) Call(ctx context.Context, _ peer.Target, method peer.Method, args, reply any) error {
	if method == methodSettle {
		select {
		case <-h.released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return h.leader.callLocal(method, args, reply)
}

// askFixture is an entry whose request was answered and whose report of that is held up, beside the table of its leader.
type askFixture struct {
	t       *testing.T
	table   *Table
	clock   *clockwork.FakeClock
	entry   *Client
	held    *heldReports
	id      types.RequestID
	answers chan *types.Answer
}

// newAskFixture also asks for the answer, and returns once the question has reached the table and waits there, or was answered.
func newAskFixture(t *testing.T) *askFixture {
	t.Helper()
	f := &askFixture{t: t, table: newLeaderTable(t), answers: make(chan *types.Answer, 1)}
	f.clock = f.table.config.Clock.(*clockwork.FakeClock)
	f.held = &heldReports{leader: NewClient(ClientConfig{Table: f.table}), released: make(chan struct{})}
	f.entry = NewClient(ClientConfig{
		Self:  peer.Target{VM: "vm-2", Site: f.table.config.Self.Site},
		Clock: f.clock, Peers: f.held,
		LeaderOf: func(types.DataCentre) (peer.Target, types.Epoch, bool) { return f.table.config.Self, 3, true },
	})
	f.entry.Tick(t.Context())
	f.answerRequest()
	go f.ask()
	for !f.isWaiting() && len(f.answers) == 0 {
		time.Sleep(time.Millisecond)
	}
	return f
}

// answerRequest registers a request and reports its answer in the background, as an entry does that has delivered it.
func (f *askFixture) answerRequest() {
	f.t.Helper()
	id, err := f.entry.Mint()
	if err != nil {
		f.t.Fatal(err)
	}
	f.id = id
	args := RegisterArgs{ID: id, Content: 1, Token: NewToken(), Entry: "vm-2"}
	if reply, err := f.entry.Register(f.t.Context(), args); err != nil || reply.Verdict != VerdictGo {
		f.t.Fatalf("registration: %v, %v", reply, err)
	}
	settle := SettleArgs{ID: id, Content: 1, Token: args.Token, Answer: *types.NewDoneAnswer(id, []byte("hello"))}
	go f.entry.ReportAnswer(context.WithoutCancel(f.t.Context()), settle)
}

func (f *askFixture) ask() {
	a, err := f.entry.Ask(f.t.Context(), f.id)
	if err != nil {
		f.t.Error(err)
	}
	f.answers <- a
}

func (f *askFixture) isWaiting() bool {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	return f.table.waiters > 0
}

func (f *askFixture) wantOutcome(want types.Outcome) {
	f.t.Helper()
	if got := <-f.answers; got == nil || got.Outcome != want {
		f.t.Errorf("answer %+v, want %s", got, want)
	}
}

// A question that overtakes the report of an answer must not be told that the request is not settled: its caller has the answer.
func TestQuestionThatOvertakesTheReportGetsTheAnswer(t *testing.T) {
	f := newAskFixture(t)
	close(f.held.released)
	f.wantOutcome(types.OutcomeDone)
}

// A question about a request that stays under way must not wait for long.
func TestQuestionAboutARequestUnderWayEnds(t *testing.T) {
	f := newAskFixture(t)
	// The timers are those of the two calls and of the wait at the table.
	if err := f.clock.BlockUntilContext(t.Context(), 3); err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(askWait)
	f.wantOutcome(types.OutcomeUnknown)
	close(f.held.released)
}
