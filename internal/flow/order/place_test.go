package order

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// newGangWithPlace returns a table of ten runners, and the step of a gang that waits for the tickets of a place on w0 and w1.
func newGangWithPlace(t *testing.T) (*tableFixture, *tasks.Step) {
	f := newTableFixture(t, 10)
	job := f.addJob("gang", 1, gangStepOf(2, 4*types.Core))
	job.Spec.Queue.Advice = &specs.AdvicePolicy{Decision: 200 * time.Millisecond, PerRunner: time.Millisecond, Validity: 1500 * time.Millisecond}
	s := job.Occurrences[0].Steps[0]
	f.allowAll(s, start.Add(-time.Second))
	for _, id := range []specs.RunnerID{"w0", "w1"} {
		incarnation := f.table.Runners[id].Incarnation()
		s.Advice.Place = append(s.Advice.Place, tasks.PlaceShare{Incarnation: incarnation, Count: 1})
		s.Advice.Asked = append(s.Advice.Asked, incarnation)
	}
	s.Advice.Pending = 1
	return f, s
}

// startsOnPlace counts the starts of a plan on w0 and w1.
func startsOnPlace(p Plan) int {
	n := 0
	for _, s := range p.Starts {
		if id := s.Runner.Info.ID; id == "w0" || id == "w1" {
			n++
		}
	}
	return n
}

func TestPlacesOfGangs(t *testing.T) {
	// More urgent tasks that find other room must not take the place while the tickets are on the way.
	t.Run("KeptAgainstUrgentWork", func(t *testing.T) {
		f, _ := newGangWithPlace(t)
		f.addJob("urgent", 0, stepOf(40, 1*types.Core))
		p := f.plan(start)
		if got := startsOnPlace(p); got != 0 || len(p.Starts) != 32 {
			t.Errorf("%d starts, %d of them on the gang's place; want 32 on the other eight runners", len(p.Starts), got)
		}
	})
	// The gang itself must start on its place once the tickets are there.
	t.Run("UsedByTheGang", func(t *testing.T) {
		f, s := newGangWithPlace(t)
		f.addJob("urgent", 0, stepOf(40, 1*types.Core))
		s.Advice.Pending = 0
		f.allowAll(s, start.Add(time.Second))
		p := f.plan(start)
		gang := 0
		for _, st := range p.Starts {
			if st.Task.Step == s {
				gang++
			}
		}
		if gang != 2 {
			t.Errorf("%d members of the gang start, want 2", gang)
		}
	})
	// A place whose tickets have expired, or were refused, must not stay idle.
	t.Run("FreeAfterTheTickets", func(t *testing.T) {
		f, s := newGangWithPlace(t)
		f.addJob("urgent", 0, stepOf(40, 1*types.Core))
		s.Advice.Pending = 0
		if p := f.plan(start); len(p.Starts) != 40 {
			t.Errorf("%d urgent tasks start, want 40", len(p.Starts))
		}
	})
	// Gangs must not keep the whole service from urgent work.
	t.Run("Limited", func(t *testing.T) {
		f, s := newGangWithPlace(t)
		for _, r := range f.table.OrderedRunners()[2:4] {
			r.Used = r.Info.Capacity
			r.Synced = false
		}
		f.addJob("urgent", 0, stepOf(40, 1*types.Core))
		if p := f.plan(start); len(p.Starts) != 32 {
			t.Errorf("%d urgent tasks start, want 32: the place of %d tasks is over the limit", len(p.Starts), len(s.Tasks))
		}
	})
	// A gang that callers gain nothing from any more must not keep its place from others.
	t.Run("NotOfOverdueGangs", func(t *testing.T) {
		f, _ := newGangWithPlace(t)
		late := start.Add(time.Hour)
		f.addJob("urgent", 0, stepOf(40, 1*types.Core)).Occurrences[0].Due = late
		if p := f.plan(late); startsOnPlace(p) == 0 {
			t.Error("no urgent task starts on the place of an overdue gang")
		}
	})
}
