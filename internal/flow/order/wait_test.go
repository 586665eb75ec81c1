package order

import (
	"slices"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// newCrampedGang returns a table of ten runners with one core free each, and the step of a gang of two tasks of four cores, which is allowed on
// all of them with tickets that are valid until the given time.
func newCrampedGang(t *testing.T, until time.Time) (*tableFixture, *tasks.Step) {
	f := newTableFixture(t, 10)
	for _, r := range f.table.Runners {
		r.Used = types.Resources{Cores: 3 * types.Core}
	}
	job := f.addJob("gang", 1, gangStepOf(2, 4*types.Core))
	job.Spec.Queue.Advice = &specs.AdvicePolicy{Decision: 200 * time.Millisecond, PerRunner: time.Millisecond, Validity: 2500 * time.Millisecond}
	s := job.Occurrences[0].Steps[0]
	f.allowAll(s, until)
	return f, s
}

func TestReasonsWhyGangsWait(t *testing.T) {
	wantReason := func(t *testing.T, f *tableFixture, s *tasks.Step, want WaitReason) {
		t.Helper()
		waits := f.plan(start).GangWaits
		if !slices.Contains(waits, GangWait{Step: s, Reason: want}) {
			t.Errorf("waits %v, want the gang's for %s", waits, want)
		}
	}
	t.Run("Advice", func(t *testing.T) {
		f, s := newCrampedGang(t, start)
		s.Advice = tasks.Advice{}
		wantReason(t, f, s, WaitsForAdvice)
	})
	t.Run("Places", func(t *testing.T) {
		f, s := newCrampedGang(t, start)
		wantReason(t, f, s, WaitsForPlaces)
	})
	t.Run("Tickets", func(t *testing.T) {
		f, s := newCrampedGang(t, start)
		for _, r := range f.table.Runners {
			r.Used = types.Resources{}
		}
		wantReason(t, f, s, WaitsForTickets)
	})
	t.Run("KeptForOthers", func(t *testing.T) {
		f, s := newCrampedGang(t, start)
		f.table.Runners["w0"].Used, f.table.Runners["w1"].Used = types.Resources{}, types.Resources{}
		f.addJob("urgent", 0, stepOf(10, 1*types.Core))
		wantReason(t, f, s, WaitsForKept)
	})
	t.Run("ReservedShare", func(t *testing.T) {
		f, s := newCrampedGang(t, start)
		other := f.addJob("before", 0, gangStepOf(2, 4*types.Core))
		if other.Spec.Queue.Advice != nil {
			t.Fatal("the other gang needs advice")
		}
		wantReason(t, f, s, WaitsForShare)
	})
	t.Run("Members", func(t *testing.T) {
		f, s := newCrampedGang(t, start)
		s.Tasks[0].NotBefore = start.Add(time.Second)
		wantReason(t, f, s, WaitsForMembers)
	})
}

func TestPlacesAreCounted(t *testing.T) {
	f, s := newCrampedGang(t, start)
	f.table.Runners["w3"].Used = types.Resources{}
	f.allowOne(s, "w3", start.Add(time.Second))
	want := Places{Allowed: 1, WithTicket: 1, FreeWithTicket: 1, FreeAllowed: 1, Free: 1, FreeCores: 13 * types.Core}
	if got := CountPlaces(f.table, s, start); got != want {
		t.Errorf("places %+v, want %+v", got, want)
	}
}
