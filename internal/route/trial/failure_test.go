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

func TestRunnersThatMisbehave(t *testing.T) {
	kinds := map[string]runner.Behaviour{
		"Refuse": runner.Refuse, "Hang": runner.Hang, "Die": runner.Die,
		"Truncate": runner.Truncate, "Misdirect": runner.Misdirect,
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := cell(t, nil)
				c.Runners.Set("runner-0", kind)
				c.Runners.Set("runner-1", kind)
				l := &ledger{}
				pour(t, l, c.Daemons, 2*time.Millisecond, 4*time.Second)()
				wantPromises(t, c, l)
				if done := l.count(types.OutcomeDone); done < len(l.sent)*9/10 {
					t.Errorf("%d of %d requests were answered Done", done, len(l.sent))
				}
			})
		})
	}
}

func TestAnswersOutOfOrder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, nil)
		for i := range 6 {
			c.Runners.SetWork(types.RunnerID(fmt.Sprintf("runner-%d", i)), time.Duration(1+i*i*20)*time.Millisecond)
		}
		l := &ledger{}
		pour(t, l, c.Daemons, 5*time.Millisecond, 2*time.Second)()
		wantPromises(t, c, l)
		if l.count(types.OutcomeDone) != len(l.sent) {
			t.Errorf("%d of %d Done", l.count(types.OutcomeDone), len(l.sent))
		}
	})
}

func TestEntryDiesBetweenDispatchAndAnswer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, func(c *Config) { c.Work = 500 * time.Millisecond })
		l := &ledger{}
		victim, other := c.Daemons[3], c.Daemons[4]
		s := l.add(request(t, victim, false))
		go s.do(victim)
		time.Sleep(100 * time.Millisecond)
		c.Kill(victim)
		retry := &types.Request{}
		*retry = *s.request
		retry.Deadline = time.Now().Add(time.Second)
		a := other.Entry.Do(context.Background(), retry)
		wantOutcome(t, a, types.OutcomeUnknown)
		if a.AskAt != victim.Self.Site.DataCentre {
			t.Errorf("AskAt is %q", a.AskAt)
		}
		time.Sleep(2 * time.Second)
		wantOutcome(t, other.Entry.Ask(context.Background(), s.request.ID), types.OutcomeUnknown)
		wantPromises(t, c, l)
	})
}

func wantOutcome(t *testing.T, a *types.Answer, want types.Outcome) {
	t.Helper()
	if a.Outcome != want {
		t.Errorf("%s is %s (%v), want %s", a.ID, a.Outcome, a.Reason, want)
	}
}

func TestFiftyRetriesAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, nil)
		l := &ledger{}
		var w sync.WaitGroup
		s := l.add(request(t, c.Daemons[0], false))
		for i := range 50 {
			w.Go(func() { s.do(c.Daemons[i%len(c.Daemons)]) })
		}
		w.Wait()
		wantPromises(t, c, l)
		if done := l.count(types.OutcomeDone); done != 50 {
			t.Errorf("%d of 50 calls got the answer", done)
		}
		if n := len(c.Runners.Record()); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

func TestLeadChangesBetweenGrantAndDispatch(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, func(c *Config) {
			c.Runners, c.Slots, c.Work = 3, 1, time.Second
		})
		l := &ledger{}
		holder, next, far := c.Daemons[3], c.Daemons[6], c.Daemons[2]
		blocker := l.add(request(t, c.Daemons[0], true))
		go blocker.do(c.Daemons[0])
		time.Sleep(10 * time.Millisecond)
		waiting := l.add(request(t, holder, false))
		go waiting.do(holder)
		time.Sleep(300 * time.Millisecond)
		c.Lead(context.Background(), next, "carthage", 2)
		go waiting.do(far)
		go waiting.do(next)
		time.Sleep(6 * time.Second)
		wantPromises(t, c, l)
	})
}

func TestPausedLeadThatWasReplaced(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, nil)
		l := &ledger{}
		old, next, loyal := c.Daemons[0], c.Daemons[3], c.Daemons[6]
		var ids []*sent
		for range 20 {
			ids = append(ids, l.add(request(t, old, false)))
		}
		// The entries know different leads: the old one goes on for itself and for one entry.
		for _, d := range c.Daemons {
			if d != old && d != loyal {
				d.SetLead("carthage", lend.Lead{Target: next.Self, Epoch: 2})
			}
		}
		next.Table.Begin(context.Background(), 2)
		next.Lender.Begin(context.Background(), 2)
		var w sync.WaitGroup
		for _, s := range ids {
			for _, d := range c.Daemons {
				w.Go(func() { s.do(d) })
			}
		}
		w.Wait()
		time.Sleep(2 * time.Second)
		wantPromises(t, c, l)
	})
}

func TestTwoLeadsOfOneEpoch(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, nil)
		l := &ledger{}
		stop := watchSlots(t, c)
		a, b := c.Daemons[0], c.Daemons[3]
		for i, d := range c.Daemons {
			lead := a
			if i >= 4 {
				lead = b
			}
			d.SetLead("carthage", lend.Lead{Target: lead.Self, Epoch: 7})
		}
		for _, d := range []*Daemon{a, b} {
			d.Table.Begin(context.Background(), 7)
			d.Lender.Begin(context.Background(), 7)
		}
		time.Sleep(8 * time.Second)
		var w sync.WaitGroup
		for i := range 40 {
			s := l.add(request(t, c.Daemons[i%len(c.Daemons)], false))
			for _, d := range c.Daemons {
				w.Go(func() { s.do(d) })
			}
		}
		w.Wait()
		stop()
		wantPromises(t, c, l)
	})
}

func TestLeadsChangeUnderLoad(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, nil)
		l := &ledger{}
		stop := watchSlots(t, c)
		wait := pour(t, l, c.Daemons, time.Millisecond, 12*time.Second)
		for epoch := types.Epoch(2); epoch < 6; epoch++ {
			time.Sleep(2 * time.Second)
			c.Lead(context.Background(), c.Daemons[3*(epoch%3)], "carthage", epoch)
		}
		wait()
		stop()
		wantPromises(t, c, l)
		if done := l.count(types.OutcomeDone); done < len(l.sent)*95/100 {
			t.Errorf("%d of %d requests were answered Done", done, len(l.sent))
		}
	})
}

func TestRegionsAreCut(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, nil)
		l := &ledger{}
		stop := watchSlots(t, c)
		wait := pour(t, l, c.Daemons, 2*time.Millisecond, 6*time.Second)
		time.Sleep(time.Second)
		c.cutRegion(true)
		time.Sleep(2 * time.Second)
		c.Lead(context.Background(), c.Daemons[5], "sousse", 2)
		time.Sleep(time.Second)
		c.cutRegion(false)
		wait()
		stop()
		wantPromises(t, c, l)
		if done := l.count(types.OutcomeDone); done < len(l.sent)*95/100 {
			t.Errorf("%d of %d requests were answered Done", done, len(l.sent))
		}
	})
}

func (c *Cell) cutRegion(cut bool) {
	c.Network.SetPartitioned("carthage", "sousse", cut)
	c.Network.SetPartitioned("ariana", "sousse", cut)
}

func TestHomeThatCannotBeReached(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, nil)
		req := request(t, c.Daemons[0], false)
		c.cutRegion(true)
		a := c.Daemons[2].Entry.Do(context.Background(), req)
		wantOutcome(t, a, types.OutcomeUnknown)
		if a.AskAt != "carthage" || !errs.Is(a.Reason, errs.Unavailable) {
			t.Errorf("got %+v", a)
		}
		c.cutRegion(false)
		wantDone(t, req, c.Daemons[2].Entry.Do(context.Background(), req))
	})
}

func TestDrainOfEveryEntryInTurnUnderLoad(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, nil)
		l := &ledger{}
		stop := watchSlots(t, c)
		for i, d := range c.Daemons[:7] {
			rest := append([]*Daemon(nil), c.Daemons[i+1:]...)
			wait := pour(t, l, append(rest, d), 2*time.Millisecond, time.Second)
			time.Sleep(500 * time.Millisecond)
			c.handOver(d, rest)
			if err := d.Entry.Drain(context.Background()); err != nil {
				t.Error(err)
			}
			wait()
			if left := len(d.Holder.Shares()); left > 0 {
				t.Errorf("%s still holds slots of %d runners", d.Self.VM, left)
			}
			c.SetGone(d.Self.VM)
			c.Kill(d)
		}
		stop()
		wantPromises(t, c, l)
		wantNone(t, l, types.OutcomeUnknown)
	})
}

// handOver makes another entry of the data centre the lead when the one that leaves is it.
func (c *Cell) handOver(d *Daemon, rest []*Daemon) {
	dc := d.Self.Site.DataCentre
	lead := d.Leads()[dc]
	if lead.Target.VM != d.Self.VM {
		return
	}
	for _, next := range rest {
		if next.Self.Site.DataCentre == dc {
			d.Table.End()
			d.Lender.End()
			c.Lead(context.Background(), next, dc, lead.Epoch+1)
			return
		}
	}
}

func TestNotRunIsFinal(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := cell(t, nil)
		l := &ledger{}
		s := l.add(request(t, c.Daemons[0], false))
		wantOutcome(t, c.Daemons[0].Entry.Close(context.Background(), s.request.ID), types.OutcomeNotRun)
		for _, d := range c.Daemons {
			wantOutcome(t, s.do(d), types.OutcomeNotRun)
		}
		wantPromises(t, c, l)
	})
}

func TestLeavingRunnerGetsNoNewRequests(t *testing.T) {
	for _, how := range []string{"Listed", "Refuses"} {
		t.Run(how, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := cell(t, nil)
				l := &ledger{}
				wait := pour(t, l, c.Daemons, time.Millisecond, 8*time.Second)
				time.Sleep(3 * time.Second)
				left := time.Now()
				if how == "Listed" {
					c.SetLeaving("runner-0")
				} else {
					c.Runners.Set("runner-0", runner.Refuse)
				}
				wait()
				var last time.Duration
				for _, x := range c.Runners.Record() {
					if x.Runner == "runner-0" {
						last = max(last, x.Start.Sub(left))
					}
				}
				t.Logf("last new request %s after the runner left", last)
				if last > 3*time.Second {
					t.Errorf("a request started %s after the runner left", last)
				}
				wantPromises(t, c, l)
			})
		})
	}
}

// wantNone checks that no request has the outcome.
func wantNone(t *testing.T, l *ledger, outcome types.Outcome) {
	t.Helper()
	for _, s := range l.sent {
		for _, a := range s.got() {
			if a.Outcome == outcome {
				t.Errorf("%s (idempotent %t) is %s: %v", a.ID, s.request.Idempotent, outcome, a.Reason)
			}
		}
	}
}
