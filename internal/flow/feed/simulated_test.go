//go:build !race

package feed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Followers would slow the transfer down if they read the store, too. On a simulated clock the times are those of the product and not of the
// processor.
func TestFollowersWaitWhileTheirSourceReceives(t *testing.T) {
	// The first meter starts a goroutine of the process, which must not belong to a simulation.
	metrics.NewMeter().Stop()
	synctest.Test(t, func(t *testing.T) {
		// The handlers of the last polls end once their waits are over.
		t.Cleanup(func() { time.Sleep(applyTimeout) })
		f := newFixture(t, 4, applyTimeout)
		f.store.write(1, 1)
		f.waitForVersion(1)
		f.store.mu.Lock()
		f.store.transfer = 2 * applyTimeout
		f.store.mu.Unlock()
		began := time.Now()
		f.store.write(2, 100)
		f.waitForVersion(2)
		if took := time.Since(began); took > 2*applyTimeout+pollMargin {
			t.Errorf("the catalog was in force after %s, want at most %s", took, 2*applyTimeout+pollMargin)
		}
		if got := f.store.readers(); got != 1 {
			t.Errorf("%d daemons read catalogs from the store, want the one head of the leader's data centre: %v", got, f.store.reads)
		}
	})
}
