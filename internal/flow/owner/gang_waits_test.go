package owner

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// The time between two plans must count for the reason that the first of them found, and the sums must hold that of all gangs.
func TestGangWaitsAreSplitByReason(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := tasks.New().AddJob(job("j", gang(2))).Occurrences[0].Steps[0]
	w := newGangWaits(metrics.NewRegistry())
	w.note([]order.GangWait{{Step: s, Reason: order.WaitsForAdvice}}, began)
	w.note([]order.GangWait{{Step: s, Reason: order.WaitsForPlaces}}, began.Add(time.Second))
	w.note([]order.GangWait{{Step: s, Reason: order.WaitsForPlaces}}, began.Add(3*time.Second))
	g := w.end(s, began.Add(4*time.Second))
	if g == nil || g.times[order.WaitsForAdvice] != time.Second || g.times[order.WaitsForPlaces] != 3*time.Second || g.total() != 4*time.Second {
		t.Errorf("wait %+v, want 1s for advice and 3s for places", g)
	}
	if got := w.counters[order.WaitsForPlaces].Count(); got != 3000 {
		t.Errorf("%d ms counted for places, want 3000", got)
	}
	if again := w.end(s, began.Add(5*time.Second)); again != nil {
		t.Errorf("the wait ends twice: %+v", again)
	}
}

// The waits of jobs that have ended must not stay in memory.
func TestGangWaitsOfEndedJobsAreRemoved(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	now := f.clock.Now()
	waiting := o.table.AddJob(job("waits", gang(2)))
	ended := tasks.New().AddJob(job("ended", gang(2)))
	for _, j := range []*tasks.Job{waiting, ended} {
		o.gangWaits.note([]order.GangWait{{Step: j.Occurrences[0].Steps[0], Reason: order.WaitsForPlaces}}, now)
	}
	o.summariseGangWaits(now)
	if len(o.gangWaits.byStep) != 1 || o.gangWaits.byStep[waiting.Occurrences[0].Steps[0]] == nil {
		t.Errorf("%d waits are kept, want that of the job that waits", len(o.gangWaits.byStep))
	}
}
