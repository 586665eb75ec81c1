package elect

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Guards against an entry that forgets the leader when it drains, and so refuses the calls that it still gets.
func TestDrainingEntryStillKnowsTheLeader(t *testing.T) {
	t.Parallel()
	f := newClusterFixture(t)
	leader, other := f.awaitLeaderOf(f.join("a"), f.join("b"))
	other.StepDown(context.Background())
	for until := time.Now().Add(2 * testTTL); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if known, ok := other.Leader(); !ok || known.Target.VM != leader.vm {
			t.Fatalf("the draining entry knows leader %q, want %q", known.Target.VM, leader.vm)
		}
	}
}

// Guards against a daemon that forgets its successor because the answer to the delete of its own record comes after the successor's claim.
func TestLateAnswerToADeleteKeepsTheSuccessor(t *testing.T) {
	t.Parallel()
	var once sync.Once
	var held atomic.Bool
	proceed := make(chan struct{})
	f := newClusterFixture(t)
	f.hookAnswers(func(batch store.Batch, out store.Outcome) (store.Outcome, error) {
		if deletesLeader(batch) {
			once.Do(func() {
				held.Store(true)
				<-proceed
			})
		}
		return out, nil
	})
	leader, other := f.awaitLeaderOf(f.join("a"), f.join("b"))
	go func() {
		deadline := time.Now().Add(vacancyTimeout)
		for time.Now().Before(deadline) {
			if known, ok := leader.Leader(); ok && known.Target.VM == other.vm {
				break
			}
			time.Sleep(time.Millisecond)
		}
		close(proceed)
	}()
	leader.StandBack(*leader.presentTerm(), "test")
	<-proceed
	if !held.Load() {
		t.Fatal("the record was not deleted")
	}
	time.Sleep(testTTL / 4)
	for until := time.Now().Add(2 * testTTL); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if known, ok := leader.Leader(); !ok || known.Target.VM != other.vm {
			t.Fatalf("the former leader knows leader %q, want %q", known.Target.VM, other.vm)
		}
	}
}

// Guards against a process that has stepped down and deletes the record of the next process of the same VM.
func TestRecordOfTheNextProcessOfTheVMIsLeftAlone(t *testing.T) {
	t.Parallel()
	var deletes atomic.Int64
	f := newClusterFixture(t)
	f.hookAnswers(func(batch store.Batch, out store.Outcome) (store.Outcome, error) {
		if out.Applied && deletesLeader(batch) {
			deletes.Add(1)
		}
		return out, nil
	})
	former := f.join("a")
	f.awaitLeader(former)
	former.StepDown(context.Background())
	before := deletes.Load()
	f.join("a")
	time.Sleep(3 * testTTL)
	if got := deletes.Load() - before; got > 0 {
		t.Errorf("the former process has deleted the record of the present one %d times in %s", got, 3*testTTL)
	}
}
