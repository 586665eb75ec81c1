package trial

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

// TestPlannedLeaderChangeKeepsIDs guards against lost answers and unusable ids after planned changes of the leader, in
// which each successor can still read the ledgers of its predecessor.
func TestPlannedLeaderChangeKeepsIDs(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		answered := l.add(newRequest(t, c.Daemons[0], false))
		unused := l.add(newRequest(t, c.Daemons[0], false))
		wantDone(t, answered.request, answered.sendTo(c.Daemons[1]))
		c.SetLeader(context.Background(), c.Daemons[3], "carthage", 2)
		c.Kill(c.Daemons[0])
		c.SetLeader(context.Background(), c.Daemons[6], "carthage", 3)
		wantDone(t, answered.request, answered.sendTo(c.Daemons[1]))
		wantDone(t, unused.request, unused.sendTo(c.Daemons[1]))
		wantGuarantees(t, c, l)
	})
}

// TestLeaderThatStopsWaitsForItsSuccessor guards against lost ledgers: a leader that stops must wait until its
// successor has read them, for at most the given time. A daemon that never led must not wait.
func TestLeaderThatStopsWaitsForItsSuccessor(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		if c.Daemons[0].Table.AwaitYield(context.Background(), time.Second) {
			t.Error("AwaitYield reported that the ledgers were read, but there is no successor")
		}
		c.Daemons[0].Table.End()
		go func() {
			time.Sleep(time.Second)
			c.SetLeader(context.Background(), c.Daemons[3], "carthage", 2)
		}()
		if !c.Daemons[0].Table.AwaitYield(context.Background(), 5*time.Second) {
			t.Error("the successor did not read the ledgers within 5 s")
		}
		if !c.Daemons[6].Table.AwaitYield(context.Background(), time.Hour) {
			t.Error("an entry that never led waited")
		}
	})
}

// TestLostLeaderKeepsAnswersAndRunsNoOldID guards against a second run after a leader failed with its ledger: answers
// are served from the copies of other entries, and an id of the lost ledger that has no copy must not run.
func TestLostLeaderKeepsAnswersAndRunsNoOldID(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		answered := l.add(newRequest(t, c.Daemons[0], false))
		unused := l.add(newRequest(t, c.Daemons[0], false))
		wantDone(t, answered.request, answered.sendTo(c.Daemons[1]))
		time.Sleep(time.Second)
		c.Kill(c.Daemons[0])
		c.SetLeader(context.Background(), c.Daemons[3], "carthage", 2)
		wantDone(t, answered.request, answered.sendTo(c.Daemons[1]))
		a := unused.sendTo(c.Daemons[1])
		wantOutcome(t, a, types.OutcomeUnknown)
		if !errs.Is(a.Reason, errs.Fenced) {
			t.Errorf("reason is %v, want one of kind Fenced", a.Reason)
		}
		wantGuarantees(t, c, l)
	})
}

// TestPurgedIDDoesNotRunAgain guards against a second run of a request whose id was purged from the table.
func TestPurgedIDDoesNotRunAgain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, func(c *Config) {
			c.Document = func(d *envdoc.Document) { d.Requests.KeepAnswers = 16 * time.Second }
		})
		l := &requestLog{}
		s := l.add(newRequest(t, c.Daemons[0], false))
		wantDone(t, s.request, s.sendTo(c.Daemons[0]))
		time.Sleep(15 * time.Second)
		wantDone(t, s.request, s.sendTo(c.Daemons[1]))
		time.Sleep(10 * time.Second)
		if c.Daemons[0].Table.Known(s.request.ID) {
			t.Fatal("the id is still in the table after its retention")
		}
		s.request.Deadline = time.Now().Add(time.Second)
		wantOutcome(t, s.sendTo(c.Daemons[1]), types.OutcomeUnknown)
		wantGuarantees(t, c, l)
	})
}

// TestLargeAnswerIsNotKept checks that a retry of a request whose answer is too large to keep gets outcome Done and the
// length, without the body, instead of a second run.
func TestLargeAnswerIsNotKept(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		req := newRequest(t, c.Daemons[0], false)
		req.Body = make([]byte, 200<<10)
		s := l.add(req)
		wantDone(t, req, s.sendTo(c.Daemons[1]))
		time.Sleep(time.Second)
		again := c.Daemons[2].Entry.Do(context.Background(), req)
		if !once.IsWithheld(again) || again.Length != types.Bytes(len(req.Body)) {
			t.Errorf("answer is %s with %d of %d bytes, reason %v; want a withheld one of the full length", again.Outcome, len(again.Body), again.Length, again.Reason)
		}
		wantGuarantees(t, c, l)
	})
}

// TestOtherBodyUnderTheSameIDIsRefused guards against an answer to another request: an id is used again with another
// body.
func TestOtherBodyUnderTheSameIDIsRefused(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		req := newRequest(t, c.Daemons[0], false)
		wantDone(t, req, c.Daemons[0].Entry.Do(context.Background(), req))
		other := *req
		other.Body = []byte("another refund")
		a := c.Daemons[1].Entry.Do(context.Background(), &other)
		if a.Outcome != types.OutcomeNotRun || !errs.Is(a.Reason, errs.Conflict) {
			t.Errorf("answer is %s, reason %v; want NotRun and a reason of kind Conflict", a.Outcome, a.Reason)
		}
		if n := len(c.Runners.Record()); n != 1 {
			t.Errorf("runners ran %d calls, want 1", n)
		}
	})
}

// TestTableIsBounded guards against a table that grows over once.DefaultMaxIDs ids.
func TestTableIsBounded(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		var last types.RequestID
		refused := 0
		for range once.DefaultMaxIDs + 1000 {
			id, err := c.Daemons[0].Once.Mint()
			if err != nil {
				t.Fatal(err)
			}
			last = id
			if a := c.Daemons[0].Entry.Close(context.Background(), id); a.Outcome != types.OutcomeNotRun {
				refused++
			}
		}
		if refused != 1000 {
			t.Errorf("%d ids were refused at the limit, want 1000", refused)
		}
		if c.Daemons[0].Table.Known(last) {
			t.Error("the table grew over its limit")
		}
	})
}
