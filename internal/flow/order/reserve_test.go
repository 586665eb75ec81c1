package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// usableRunners returns the capacities of the runners that may get tasks.
func (f *tableFixture) usableRunners(now time.Time) []*runnerCapacity {
	p := newPass(f.table, now, Limits{})
	p.collectRunners()
	return p.runners["svc"]
}

// gangCallTime is longer than a call for the tickets of the gang takes, with the ticket margin.
const gangCallTime = 400 * time.Millisecond

func wantCalls(t *testing.T, p Plan, want int) {
	t.Helper()
	if len(p.AdviceCalls) != want {
		t.Errorf("%d calls for advice, want %d", len(p.AdviceCalls), want)
	}
}

func TestTicketsOfWaitingGangsAreRefreshed(t *testing.T) {
	// A gang whose tickets are asked for once it fits keeps its place idle during the call.
	t.Run("BeforeTheyExpire", func(t *testing.T) {
		f, _ := newCrampedGang(t, start.Add(gangCallTime/2))
		f.table.Runners["w7"].Used = types.Resources{}
		p := f.plan(start)
		wantCalls(t, p, 1)
		if named := p.AdviceCalls[0].Runners; len(named) != 4 || named[0].Info.ID != "w7" {
			t.Errorf("the call names %d runners, want 4, first the one with a free place", len(named))
		}
	})
	t.Run("NotWhileTheyAreValid", func(t *testing.T) {
		f, _ := newCrampedGang(t, start.Add(2*gangCallTime))
		wantCalls(t, f.plan(start), 0)
	})
	t.Run("NotWhileACallIsInFlight", func(t *testing.T) {
		f, s := newCrampedGang(t, start)
		s.Advice.Pending = 1
		wantCalls(t, f.plan(start), 0)
	})
	// A list of all places of tiny tasks would not fit the memory of a small VM.
	t.Run("OfTinyTasks", func(t *testing.T) {
		f, s := newCrampedGang(t, start)
		s.Spec.Resources = types.Resources{Cores: 1, Memory: 1}
		if got, most := len(nextPlaces(s, f.usableRunners(start))), 10*maxPlacesPerRunner; got != most {
			t.Errorf("%d places on ten runners, want %d", got, most)
		}
	})
	// Callers of a late gang gain little, and the advice service has other work.
	t.Run("NotForLateGangs", func(t *testing.T) {
		f, _ := newCrampedGang(t, start)
		wantCalls(t, f.plan(start.Add(time.Minute)), 0)
	})
}

// A gang that looks for more runners must reserve in the meantime, or smaller work takes each place that becomes free.
func TestGangsReserveDuringCallsForAdvice(t *testing.T) {
	for _, isAsking := range []bool{false, true} {
		t.Run(fmt.Sprintf("Asking=%v", isAsking), func(t *testing.T) {
			f, s := newCrampedGang(t, start.Add(time.Minute))
			if isAsking {
				s.Advice.Pending = 1
			}
			f.addJob("small", 2, stepOf(10, 1*types.Core))
			if got := len(f.plan(start).Starts); got != 8 {
				t.Errorf("%d small tasks start, want 8: none on the two runners that the gang reserves", got)
			}
		})
	}
}
