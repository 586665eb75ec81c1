package owner

import (
	"testing"
	"time"
)

// logPrefix is the prefix of the keys of the ledger's segments.
const logPrefix = "Flow/Data/Log/"

// Guards against a term that ends in an outage because the tables are locked for a moment at one check.
func TestLockedTablesInAnOutageAreNoStall(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.Stop()
	o.confirmedAt = o.config.Clock.Now().Add(-2 * maxTurn)
	var w watchdog
	for check := range 100 {
		locked := check%2 == 0
		if locked {
			o.mu.Lock()
		}
		if w.hasStalled(o, waitOldestWrite, 2*maxTurn+time.Second) {
			t.Fatalf("check %d takes an outage for a stall", check)
		}
		if locked {
			o.mu.Unlock()
		}
	}
}

// Guards against a leader whose tables stay locked, and which nothing else would replace.
func TestTablesThatStayLockedAreAStall(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	var w watchdog
	checks := 0
	for !w.hasStalled(o, turnPlan, 2*maxTurn) {
		if checks++; checks > int(2*maxTurn/watchdogInterval) {
			t.Fatalf("no stall after %d checks of locked tables", checks)
		}
	}
}

// Guards against a term that ends at the end of an outage, when the store answers a read before it has answered the oldest write.
func TestReturnOfTheStoreDoesNotCountAsWantOfProgress(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := newOwnerInOutage(t, f)
	time.Sleep(maxTurn + time.Second)
	f.store.Faults.RefuseWrites(string(logPrefix))
	f.store.Faults.SetDown(false)
	f.eventually("the store confirms the epoch", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.config.Clock.Since(o.confirmedAt) < confirmInterval
	})
	time.Sleep(maxTurn / 2)
	f.store.Faults.RefuseWrites("")
	f.submit(o, job("after", step(1)))
	if o.ctx.Err() != nil {
		t.Error("the term ended although the leader goes on")
	}
}

// Guards against a leader that makes no progress and is not replaced because now and then a try of a write fails, though others succeed.
func TestStalledLoopBesideSingleFailedWritesIsAStall(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.Stop()
	var w watchdog
	for check := range 600 {
		o.mu.Lock()
		o.confirmedAt = o.config.Clock.Now()
		if check%20 == 0 {
			o.failedTryAt = o.config.Clock.Now()
		}
		o.mu.Unlock()
		if w.hasStalled(o, turnPlan, time.Duration(check)*watchdogInterval) {
			return
		}
	}
	t.Error("a turn that has lasted for 600 checks is no stall although the store confirms the epoch at each of them")
}

// Guards against an outage that is taken for a stall at its first check with locked tables, after a long time without failures.
func TestLockedTablesEarlyInAnOutageAreNoStall(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.Stop()
	o.confirmedAt = o.config.Clock.Now()
	var w watchdog
	for range 50 {
		w.hasStalled(o, waitOldestWrite, 0)
	}
	o.confirmedAt = o.config.Clock.Now().Add(-maxTurn)
	o.mu.Lock()
	defer o.mu.Unlock()
	if w.hasStalled(o, waitOldestWrite, maxTurn) {
		t.Error("one check with locked tables takes an outage of 3 s for a stall")
	}
}
