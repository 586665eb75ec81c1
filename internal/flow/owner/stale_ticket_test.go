package owner

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// gangWithTickets returns the runs of a gang of three whose starts were not sent, on runners of their own, with tickets that last for the
// given times. The caller must hold o.mu.
func gangWithTickets(f *fixture, o *Owner, left ...time.Duration) []*tasks.Run {
	now := f.clock.Now()
	o.directoryAt = now
	o.noteConfirmed(now)
	var runs []*tasks.Run
	j := job("j", gang(len(left)))
	j.Queue = sentTo("svc", true)
	for i, t := range o.table.AddJob(j).Occurrences[0].Steps[0].Tasks {
		r := o.addRunner(runner(i))
		r.Synced = true
		run := o.placeNext(t, r)
		run.TicketUntil = now.Add(left[i])
		runs = append(runs, run)
	}
	return runs
}

func countSent(o *Owner, runs []*tasks.Run) int {
	sent := 0
	for _, run := range runs {
		o.dispatchStart(run)
		if run.Sent {
			sent++
		}
	}
	return sent
}

// The members of a gang whose last one had a stale ticket were started and thrown away.
func TestGangWithAStaleTicketIsNotStartedInPart(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	if sent := countSent(o, gangWithTickets(f, o, time.Second, time.Second, time.Millisecond)); sent != 0 {
		t.Errorf("%d starts were sent, want none", sent)
	}
}

// A late leader sent starts whose tickets expired before the orders left it.
func TestLateLeaderSendsNoStartThatArrivesTooLate(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	o.load.noteLateness(300 * time.Millisecond)
	if sent := countSent(o, gangWithTickets(f, o, 250*time.Millisecond)); sent != 0 {
		t.Errorf("%d starts were sent, want none", sent)
	}
}

// A leader that was late by more than half of a ticket's validity started nothing that needs a ticket, however fresh.
func TestVeryLateLeaderStartsWithFreshTickets(t *testing.T) {
	const validity = 1500 * time.Millisecond
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	o.load.noteLateness(3 * time.Second)
	if sent := countSent(o, gangWithTickets(f, o, validity/2)); sent != 1 {
		t.Errorf("%d starts were sent, want 1", sent)
	}
}
