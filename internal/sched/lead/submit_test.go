package lead

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// A leader may lose its role between the commit of a job and the answer to its caller. The answer must not say that
// nothing was done.
func TestCommittedJobIsNotRefusedWhenTheTermEnds(t *testing.T) {
	f := newFixture(t, 1)
	m := f.addDaemon(testDataCentre, "e1")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	w := &waiter{outcome: make(chan error, 1)}
	w.outcome <- nil
	m.mu.Lock()
	m.role = roleStandby
	m.mu.Unlock()
	if _, err := m.awaitCommit(context.Background(), "j", w, nil); !errs.Is(err, errs.Unknown) {
		t.Errorf("got %v, want an error of kind Unknown", err)
	}
}
