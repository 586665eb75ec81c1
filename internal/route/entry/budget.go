package entry

import "sync/atomic"

// retryBudget allows a number of retries for each thousand requests, with some in reserve.
type retryBudget struct {
	// thousandths of a retry.
	balance atomic.Int64
}

const (
	retryCost    = 1000
	retryReserve = 10 * retryCost
)

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.balance.Store(retryReserve)
	return b
}

// deposit adds a request's part of a retry, in thousandths.
func (b *retryBudget) deposit(thousandths int) {
	if b.balance.Add(int64(thousandths)) > retryReserve {
		b.balance.Store(retryReserve)
	}
}

// spend takes one retry off the budget, if there is one.
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
