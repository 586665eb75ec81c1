package entry

import (
	"sync"
	"testing"
)

// A deposit into a full budget must not undo a retry that is spent at the same time.
func TestDepositDoesNotUndoSpending(t *testing.T) {
	const rounds = 20_000
	for range rounds {
		b := newRetryBudget()
		var both sync.WaitGroup
		both.Go(func() { b.deposit(1) })
		both.Go(func() { b.spend() })
		both.Wait()
		if got := b.balance.Load(); got > retryReserve-retryCost+1 {
			t.Fatalf("the balance is %d after a retry was spent, want at most %d", got, retryReserve-retryCost+1)
		}
	}
}
