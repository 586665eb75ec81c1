//go:build !race

package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// simulate runs a test on a simulated clock, so that its times are those of the product and not of the processor.
func simulate(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	// The first meter starts a goroutine of the process, which must not belong to a simulation.
	metrics.NewMeter().Stop()
	synctest.Test(t, test)
}

// A service has no end of its own: failed attempts must not end it, and once it is cancelled nothing of it may start.
func TestServiceRunsUntilItIsCancelled(t *testing.T) {
	simulate(t, func(t *testing.T) {
		w := quickWorld()
		w.Fails = func(specs.RunnerID, specs.Ref, specs.Attempt) bool { return true }
		f := newFixture(t, w)
		f.addRunners(2)
		o, _ := f.startOwner()
		s := step(2)
		s.Service = true
		f.submit(o, job("j", s))
		f.eventually("its tasks start at least 10 times", func() bool { return f.fleet.StartCount() >= 10 })
		if err := o.Cancel(context.Background(), specs.Caller{}, "j"); err != nil {
			t.Fatal(err)
		}
		f.waitForState(o, "j", tasks.JobCancelled)
		f.eventually("the runners are empty", func() bool { return o.runCount("w00")+o.runCount("w01") == 0 })
		before := f.fleet.StartCount()
		time.Sleep(200 * time.Millisecond)
		if got := f.fleet.StartCount(); got != before {
			t.Errorf("%d starts after it was cancelled", got-before)
		}
	})
}

// A store that is back for moments only must not keep most callers away for all of their tries.
func TestHalfOfTheJobsAreAcceptedWithAnUnsteadyStore(t *testing.T) {
	for name, disturb := range unsteadyStores {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				if accepted, submitted := submitToUnsteadyStore(t, disturb); accepted < submitted/2 {
					t.Errorf("%d of %d jobs were accepted, want at least half", accepted, submitted)
				}
			})
		})
	}
}
