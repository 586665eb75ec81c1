package lead

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
)

// processInbox applies the results that have arrived and starts the operations that follow from them. The caller
// must not hold mu.
func (l *Leader) processInbox(ctx context.Context) {
	for range maxRounds {
		l.mu.Lock()
		l.applyInbox()
		l.dispatchCalls()
		ready := l.pendingOps
		l.pendingOps = nil
		l.mu.Unlock()
		l.notifyEpochChanges()
		if len(ready) == 0 {
			return
		}
		for _, r := range ready {
			l.spawn(func() { l.postResult(r.term, r.run(ctx)) })
		}
	}
}

// runAsync schedules run for execution without the mutex held. The function that it returns is called with the
// mutex held, unless the role has changed in between. The caller must hold mu.
func (l *Leader) runAsync(run func(ctx context.Context) func()) {
	l.pendingOps = append(l.pendingOps, asyncOp{term: l.term, run: run})
}

func (l *Leader) postResult(term uint64, apply func()) {
	l.inbox.mu.Lock()
	l.inbox.ready = append(l.inbox.ready, asyncResult{term: term, apply: apply})
	l.inbox.mu.Unlock()
	every.Wake(l.wake)
}

func (l *Leader) applyInbox() {
	l.inbox.mu.Lock()
	ready := l.inbox.ready
	l.inbox.ready = nil
	l.inbox.mu.Unlock()
	for _, r := range ready {
		if r.term == l.term && r.apply != nil {
			r.apply()
		}
	}
}
