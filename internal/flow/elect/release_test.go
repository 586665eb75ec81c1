package elect

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
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
	f.wrap = func(_ types.VMID, b store.Batcher) store.Batcher {
		return &hookedStore{Batcher: b, apply: func(
			ctx context.Context, batch store.Batch, through func(context.Context, store.Batch) (store.Outcome, error),
		) (store.Outcome, error) {
			out, err := through(ctx, batch)
			if err == nil && deletesLeader(batch) {
				once.Do(func() {
					held.Store(true)
					<-proceed
				})
			}
			return out, err
		}}
	}
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
	f.wrap = func(_ types.VMID, b store.Batcher) store.Batcher {
		return &hookedStore{Batcher: b, apply: func(
			ctx context.Context, batch store.Batch, through func(context.Context, store.Batch) (store.Outcome, error),
		) (store.Outcome, error) {
			out, err := through(ctx, batch)
			if err == nil && out.Applied && deletesLeader(batch) {
				deletes.Add(1)
			}
			return out, err
		}}
	}
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
