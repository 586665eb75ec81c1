//go:build !race

package owner

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// While the store was away, runners with results that could not be acknowledged were asked twenty times a second each, and the leader of a
// large fleet had no processor left for its callers.
func TestRunnersWithResultsAreNotPolledFastInAnOutage(t *testing.T) {
	const (
		runners = 10
		outage  = 3 * time.Second
		// mostPerSecond is how often a runner may be asked a second.
		mostPerSecond = 5
	)
	simulate(t, func(t *testing.T) {
		w := quickWorld()
		w.RunTime = func(specs.Ref) time.Duration { return 500 * time.Millisecond }
		f := newFixture(t, w)
		f.addRunners(runners)
		o := f.newOwner()
		counted := &lossyAgent{Agent: f.fleet}
		o.config.Agents = counted
		stop := f.runOwner(o)
		f.submit(o, job("j", step(4*runners)))
		f.eventually("all tasks run", func() bool { return f.fleet.StartCount() == 4*runners })
		f.store.Faults.SetDown(true)
		time.Sleep(time.Second)
		before := counted.renewals.Load()
		time.Sleep(outage)
		if got := counted.renewals.Load() - before; got > int64(runners*mostPerSecond*outage/time.Second) {
			t.Errorf("%d renewals in %s on %d runners, want at most %d a second for each", got, outage, runners, mostPerSecond)
		}
		f.store.Faults.SetDown(false)
		f.waitForState(o, "j", "Completed")
		stop()
		f.checkNoViolations()
	})
}
