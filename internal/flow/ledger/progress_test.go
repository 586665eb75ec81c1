package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// silentStore answers no call that arrives before it is back.
type silentStore struct {
	store.Batcher

	back  atomic.Bool
	calls atomic.Int64
}

func (s *silentStore) Apply(ctx context.Context, batch store.Batch) (store.Outcome, error) {
	s.calls.Add(1)
	if s.back.Load() {
		return s.Batcher.Apply(ctx, batch)
	}
	<-ctx.Done()
	return store.Outcome{}, errs.New(errs.Lost, "no answer")
}

// runWrites runs several writes at the same time until they end.
func runWrites(ctx context.Context, t *testing.T, l *Ledger, count int) {
	t.Helper()
	var wg sync.WaitGroup
	for range count {
		writes, err := l.Begin(Entry{})
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { _ = writes[0].Run(ctx) })
	}
	wg.Wait()
}

// Tries that wait for an answer that will not come must not keep a write from noticing that the store is back.
func TestEndOfASilentOutageIsNoticedSoon(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	silent := &silentStore{Batcher: f.batcher()}
	l.config.Store = silent
	const outage = 2500 * time.Millisecond
	time.AfterFunc(outage, func() { silent.back.Store(true) })
	began := time.Now()
	runWrites(t.Context(), t, l, 5)
	if late := time.Since(began) - outage; late > 2*minTryTimeout {
		t.Errorf("the writes ended %s after the store was back", late)
	}
}

// While the store is down, many writes are in flight. Each of them trying again would add to the load of a store that is coming
// back, and each call is paid for.
func TestOnlyTheOldestWriteIsTriedDuringAnOutage(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	broken := &brokenStore{Batcher: f.batcher()}
	l.config.Store = broken
	const (
		writes = 10
		outage = time.Second
	)
	ctx, cancel := context.WithTimeout(t.Context(), outage)
	defer cancel()
	runWrites(ctx, t, l, writes)
	if most := 2*writes + int64(outage/retryBackoff) + 4; broken.calls.Load() > most {
		t.Errorf("%d tries of %d writes in %s, want at most %d", broken.calls.Load(), writes, outage, most)
	}
}
