package trial

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
)

// TestRunnersThatMisbehave guards against wrong answers and lost goodput while two of six runners refuse calls, hang,
// break connections, truncate answers or return those of other requests.
func TestRunnersThatMisbehave(t *testing.T) {
	kinds := map[string]runner.Behaviour{
		"Refuse": runner.Refuse, "Hang": runner.Hang, "Die": runner.Die,
		"Truncate": runner.Truncate, "Misdirect": runner.Misdirect,
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := startCell(t, nil)
				c.Runners.SetBehaviour("runner-0", kind)
				c.Runners.SetBehaviour("runner-1", kind)
				l := &requestLog{}
				sendSteadily(t, l, c.Daemons, 2*time.Millisecond, 4*time.Second)()
				wantGuarantees(t, c, l)
				if done := l.countOutcome(types.OutcomeDone); done < len(l.sent)*9/10 {
					t.Errorf("%d of %d requests were answered Done, want at least 90%%", done, len(l.sent))
				}
			})
		})
	}
}

// TestAnswersOutOfOrder guards against answers that reach the wrong caller: runners take different times for a call.
func TestAnswersOutOfOrder(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		for i := range 6 {
			c.Runners.SetWorkTime(types.RunnerID(fmt.Sprintf("runner-%d", i)), time.Duration(1+i*i*20)*time.Millisecond)
		}
		l := &requestLog{}
		sendSteadily(t, l, c.Daemons, 5*time.Millisecond, 2*time.Second)()
		wantGuarantees(t, c, l)
		if l.countOutcome(types.OutcomeDone) != len(l.sent) {
			t.Errorf("%d of %d requests were answered Done, want all", l.countOutcome(types.OutcomeDone), len(l.sent))
		}
	})
}

// TestEntryDiesBetweenDispatchAndAnswer guards against a second run of a non-idempotent request: its entry fails while
// the runner works on it, and the caller retries through another entry.
func TestEntryDiesBetweenDispatchAndAnswer(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, func(c *Config) { c.Work = 500 * time.Millisecond })
		l := &requestLog{}
		victim, other := c.Daemons[3], c.Daemons[4]
		s := l.add(newRequest(t, victim, false))
		go s.sendTo(victim)
		time.Sleep(100 * time.Millisecond)
		c.Kill(victim)
		retry := &types.Request{}
		*retry = *s.request
		retry.Deadline = time.Now().Add(time.Second)
		a := other.Entry.Do(context.Background(), retry)
		wantOutcome(t, a, types.OutcomeUnknown)
		if a.AskAt != victim.Self.Site.DataCentre {
			t.Errorf("AskAt is %q, want the data centre of the entry that failed", a.AskAt)
		}
		time.Sleep(2 * time.Second)
		wantOutcome(t, other.Entry.Ask(context.Background(), s.request.ID), types.OutcomeUnknown)
		wantGuarantees(t, c, l)
	})
}

func wantOutcome(t *testing.T, a *types.Answer, want types.Outcome) {
	t.Helper()
	if a.Outcome != want {
		t.Errorf("%s is %s (%v), want %s", a.ID, a.Outcome, a.Reason, want)
	}
}

// TestFiftyRetriesAtOnce guards against a second run of a non-idempotent request that is sent 50 times concurrently
// through all entries.
func TestFiftyRetriesAtOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		var w sync.WaitGroup
		s := l.add(newRequest(t, c.Daemons[0], false))
		for i := range 50 {
			w.Go(func() { s.sendTo(c.Daemons[i%len(c.Daemons)]) })
		}
		w.Wait()
		wantGuarantees(t, c, l)
		if done := l.countOutcome(types.OutcomeDone); done != 50 {
			t.Errorf("%d of 50 calls got the answer, want all", done)
		}
		if n := len(c.Runners.Record()); n != 1 {
			t.Errorf("the request ran %d times, want once", n)
		}
	})
}

// TestLeaderChangesBetweenGrantAndDispatch guards against a second run of a non-idempotent request: it is registered
// with a leader and waits for a slot while the leader changes, and retries arrive through other entries.
func TestLeaderChangesBetweenGrantAndDispatch(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, func(c *Config) {
			c.Runners, c.Slots, c.Work = 3, 1, time.Second
		})
		l := &requestLog{}
		holder, next, far := c.Daemons[3], c.Daemons[6], c.Daemons[2]
		blocker := l.add(newRequest(t, c.Daemons[0], true))
		go blocker.sendTo(c.Daemons[0])
		time.Sleep(10 * time.Millisecond)
		waiting := l.add(newRequest(t, holder, false))
		go waiting.sendTo(holder)
		time.Sleep(300 * time.Millisecond)
		c.SetLeader(context.Background(), next, "carthage", 2)
		go waiting.sendTo(far)
		go waiting.sendTo(next)
		time.Sleep(6 * time.Second)
		wantGuarantees(t, c, l)
	})
}

// TestPausedLeaderThatWasReplaced guards against a second run of a non-idempotent request: a replaced leader goes on
// for itself and for one entry, while the other entries follow its successor.
func TestPausedLeaderThatWasReplaced(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		old, next, follower := c.Daemons[0], c.Daemons[3], c.Daemons[6]
		var ids []*sentRequest
		for range 20 {
			ids = append(ids, l.add(newRequest(t, old, false)))
		}
		// The entries know different leaders: only the old one itself and one follower still know the old one.
		for _, d := range c.Daemons {
			if d != old && d != follower {
				d.SetLeader("carthage", lend.Leader{Target: next.Self, Epoch: 2})
			}
		}
		next.Table.Begin(context.Background(), 2)
		next.Lender.Begin(context.Background(), 2)
		var w sync.WaitGroup
		for _, s := range ids {
			for _, d := range c.Daemons {
				w.Go(func() { s.sendTo(d) })
			}
		}
		w.Wait()
		time.Sleep(2 * time.Second)
		wantGuarantees(t, c, l)
	})
}

// TestTwoLeadersOfOneEpoch guards against slots and ids that are given twice when two daemons lead under the same
// epoch, each known as the leader by half of the entries.
func TestTwoLeadersOfOneEpoch(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		stop := watchSlots(t, c)
		a, b := c.Daemons[0], c.Daemons[3]
		for i, d := range c.Daemons {
			leader := a
			if i >= 4 {
				leader = b
			}
			d.SetLeader("carthage", lend.Leader{Target: leader.Self, Epoch: 7})
		}
		for _, d := range []*Daemon{a, b} {
			d.Table.Begin(context.Background(), 7)
			d.Lender.Begin(context.Background(), 7)
		}
		time.Sleep(8 * time.Second)
		var w sync.WaitGroup
		for i := range 40 {
			s := l.add(newRequest(t, c.Daemons[i%len(c.Daemons)], false))
			for _, d := range c.Daemons {
				w.Go(func() { s.sendTo(d) })
			}
		}
		w.Wait()
		stop()
		wantGuarantees(t, c, l)
	})
}

// TestLeadersChangeUnderLoad guards against overcommitted runners and lost goodput when the leader changes every 2 s.
func TestLeadersChangeUnderLoad(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		stop := watchSlots(t, c)
		wait := sendSteadily(t, l, c.Daemons, time.Millisecond, 12*time.Second)
		for epoch := types.Epoch(2); epoch < 6; epoch++ {
			time.Sleep(2 * time.Second)
			c.SetLeader(context.Background(), c.Daemons[3*(epoch%3)], "carthage", epoch)
		}
		wait()
		stop()
		wantGuarantees(t, c, l)
		if done := l.countOutcome(types.OutcomeDone); done < len(l.sent)*95/100 {
			t.Errorf("%d of %d requests were answered Done, want at least 95%%", done, len(l.sent))
		}
	})
}

// TestRegionsArePartitioned guards against overcommitted runners and lost goodput when the regions are partitioned and
// the leader of the smaller one changes meanwhile.
func TestRegionsArePartitioned(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		stop := watchSlots(t, c)
		wait := sendSteadily(t, l, c.Daemons, 2*time.Millisecond, 6*time.Second)
		time.Sleep(time.Second)
		c.setRegionPartitioned(true)
		time.Sleep(2 * time.Second)
		c.SetLeader(context.Background(), c.Daemons[5], "sousse", 2)
		time.Sleep(time.Second)
		c.setRegionPartitioned(false)
		wait()
		stop()
		wantGuarantees(t, c, l)
		if done := l.countOutcome(types.OutcomeDone); done < len(l.sent)*95/100 {
			t.Errorf("%d of %d requests were answered Done, want at least 95%%", done, len(l.sent))
		}
	})
}

// setRegionPartitioned partitions the two regions or restores the connection.
func (c *Cell) setRegionPartitioned(partitioned bool) {
	c.Network.SetPartitioned("carthage", "sousse", partitioned)
	c.Network.SetPartitioned("ariana", "sousse", partitioned)
}

// TestHomeThatCannotBeReached checks the answer to a non-idempotent request whose home data centre is unreachable: the
// caller must learn where to ask, and a retry must run once the connection is restored.
func TestHomeThatCannotBeReached(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		req := newRequest(t, c.Daemons[0], false)
		c.setRegionPartitioned(true)
		a := c.Daemons[2].Entry.Do(context.Background(), req)
		wantOutcome(t, a, types.OutcomeUnknown)
		if a.AskAt != "carthage" || !errs.Is(a.Reason, errs.Unavailable) {
			t.Errorf("answer is %+v, want AskAt carthage and a reason of kind Unavailable", a)
		}
		c.setRegionPartitioned(false)
		wantDone(t, req, c.Daemons[2].Entry.Do(context.Background(), req))
	})
}

// TestDrainOfEveryEntryInTurnUnderLoad guards against lost requests and slots when entries are drained one after the
// other, leaders included. Seven of the eight are drained, since the last has no other to hand over to.
func TestDrainOfEveryEntryInTurnUnderLoad(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		stop := watchSlots(t, c)
		for i, d := range c.Daemons[:7] {
			rest := append([]*Daemon(nil), c.Daemons[i+1:]...)
			wait := sendSteadily(t, l, append(rest, d), 2*time.Millisecond, time.Second)
			time.Sleep(500 * time.Millisecond)
			c.handOver(d, rest)
			if err := d.Entry.Drain(context.Background()); err != nil {
				t.Error(err)
			}
			wait()
			if left := len(d.Holder.Shares()); left > 0 {
				t.Errorf("%s still holds slots of %d runners after its drain", d.Self.VM, left)
			}
			c.SetGone(d.Self.VM)
			c.Kill(d)
		}
		stop()
		wantGuarantees(t, c, l)
		wantNoOutcome(t, l, types.OutcomeUnknown)
	})
}

// handOver makes another entry of the data centre the leader if the one that leaves is the leader.
func (c *Cell) handOver(d *Daemon, rest []*Daemon) {
	dc := d.Self.Site.DataCentre
	leader := d.Leaders()[dc]
	if leader.Target.VM != d.Self.VM {
		return
	}
	for _, next := range rest {
		if next.Self.Site.DataCentre == dc {
			d.Table.End()
			d.Lender.End()
			c.SetLeader(context.Background(), next, dc, leader.Epoch+1)
			return
		}
	}
}

// TestNotRunIsFinal guards against a run of a request that was closed as NotRun before.
func TestNotRunIsFinal(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, nil)
		l := &requestLog{}
		s := l.add(newRequest(t, c.Daemons[0], false))
		wantOutcome(t, c.Daemons[0].Entry.Close(context.Background(), s.request.ID), types.OutcomeNotRun)
		for _, d := range c.Daemons {
			wantOutcome(t, s.sendTo(d), types.OutcomeNotRun)
		}
		wantGuarantees(t, c, l)
	})
}

// TestLeavingRunnerGetsNoNewRequests guards against requests that start on a runner more than 3 s after it was listed
// as leaving or began to refuse calls.
func TestLeavingRunnerGetsNoNewRequests(t *testing.T) {
	for _, signal := range []string{"Listed", "Refuses"} {
		t.Run(signal, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := startCell(t, nil)
				l := &requestLog{}
				wait := sendSteadily(t, l, c.Daemons, time.Millisecond, 8*time.Second)
				time.Sleep(3 * time.Second)
				left := time.Now()
				if signal == "Listed" {
					c.SetLeaving("runner-0")
				} else {
					c.Runners.SetBehaviour("runner-0", runner.Refuse)
				}
				wait()
				var last time.Duration
				for _, x := range c.Runners.Record() {
					if x.Runner == "runner-0" {
						last = max(last, x.Start.Sub(left))
					}
				}
				t.Logf("the last request on the runner started %s after it began to leave", last)
				if last > 3*time.Second {
					t.Errorf("a request started %s after the runner began to leave, want at most 3 s", last)
				}
				wantGuarantees(t, c, l)
			})
		})
	}
}

// wantNoOutcome checks that no request has the outcome.
func wantNoOutcome(t *testing.T, l *requestLog, outcome types.Outcome) {
	t.Helper()
	for _, s := range l.sent {
		for _, a := range s.received() {
			if a.Outcome == outcome {
				t.Errorf("%s (idempotent %t) is %s: %v", a.ID, s.request.Idempotent, outcome, a.Reason)
			}
		}
	}
}
