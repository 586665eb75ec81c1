package owner

import (
	"testing"
	"time"
)

// A leader placed hundreds of tasks while the store was away, whose tickets had expired when their intents were durable.
func TestNothingIsPlacedInAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		stalled time.Duration
		want    int
	}{
		"StoreAnswers": {want: 2},
		"StoreIsAway":  {stalled: 2 * maxStallTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newOwner()
			defer o.Stop()
			now := f.clock.Now()
			o.directoryAt = now
			r := o.addRunner(runner(1))
			r.Synced = true
			o.table.AddJob(job("j", step(2)))
			if c.stalled > 0 {
				o.committedAt = now.Add(-c.stalled)
				o.inFlight = []*inFlightWrite{{beganAt: o.committedAt}}
			}
			o.executePlan()
			if got := len(r.Runs); got != c.want {
				t.Errorf("%d tasks were placed, want %d", got, c.want)
			}
		})
	}
}
