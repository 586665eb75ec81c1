package entry

import "sync/atomic"

// retryBudget limits the retries after attempts in doubt to the document's RetryBudget for each thousand requests. It
// saves up a reserve of at most retryReserve, and starts with it.
type retryBudget struct {
	// balance is in thousandths of a retry.
	balance atomic.Int64
}

// Amounts of a retryBudget, in thousandths of a retry.
const (
	retryCost    = 1000
	retryReserve = 10 * retryCost
)

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.balance.Store(retryReserve)
	return b
}

// deposit adds thousandths of a retry, up to retryReserve.
func (b *retryBudget) deposit(thousandths int) {
	for {
		balance := b.balance.Load()
		if b.balance.CompareAndSwap(balance, min(balance+int64(thousandths), retryReserve)) {
			return
		}
	}
}

// spend takes one retry off the budget. It returns false when the budget does not hold a whole one.
func (b *retryBudget) spend() bool {
	for {
		balance := b.balance.Load()
		if balance < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}
