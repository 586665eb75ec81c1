package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

func serviceStep(count int, each types.MilliCores) specs.Step {
	s := stepOf(count, each)
	s.Service = true
	return s
}

// addService adds a service of one task that has been without a run since the given time before now.
func (f *tableFixture) addService(id string, priority int, waited time.Duration) *tasks.Job {
	j := f.addJob(id, priority, serviceStep(1, types.Core))
	j.Occurrences[0].Due = start.Add(-time.Hour)
	j.Occurrences[0].Steps[0].Tasks[0].EndedAt = start.Add(-waited)
	return j
}

// Guards against a service whose runner has crashed and that does not start again beside free capacity, since a gang that cannot start
// keeps that, or since it ranks as overdue for ever.
func TestServiceStartsAgainWhateverWaits(t *testing.T) {
	const core = types.Core
	// reserving adds a gang that has room on one runner and waits for another, full one, and reserves both.
	reserving := func(f *tableFixture, priority int) {
		for i := range 12 {
			f.addRunner(fmt.Sprintf("full%d", i), "r9").Used.Cores = 4 * core
		}
		f.table.Runners["full0"].Used.Cores = core
		f.addJob("gang", priority, gangStepOf(2, 4*core))
	}
	t.Run("BehindAGangThatReserves", func(t *testing.T) {
		f := newTableFixture(t, 0)
		reserving(f, 0)
		f.addService("service", 5, maxServiceWait)
		f.wantStarts(f.plan(start), "service")
	})
	t.Run("BehindAGangThatReservesAfterAChangeOfTheLeader", func(t *testing.T) {
		f := newTableFixture(t, 0)
		reserving(f, 0)
		f.addService("service", 5, 0).Occurrences[0].Steps[0].Tasks[0].EndedAt = time.Time{}
		f.wantStarts(f.plan(start), "service")
	})
	t.Run("BeforePatientWorkThatIsInTime", func(t *testing.T) {
		f := newTableFixture(t, 1)
		f.table.Runners["w0"].Used.Cores = 3 * core
		f.addJob("patient", 3, stepOf(1, core))
		f.addService("service", 2, 0)
		f.wantStarts(f.plan(start), "service")
	})
	t.Run("LongestWaitFirst", func(t *testing.T) {
		f := newTableFixture(t, 1)
		f.table.Runners["w0"].Used.Cores = 3 * core
		f.addService("a", 2, 100*time.Millisecond)
		f.addService("b", 2, 200*time.Millisecond)
		f.wantStarts(f.plan(start), "b")
	})
}

// Guards against services that take the last room from more urgent work.
func TestServiceLeavesTheLastRoomToMoreUrgentWork(t *testing.T) {
	f := newTableFixture(t, 1)
	f.table.Runners["w0"].Used.Cores = 3 * types.Core
	f.addService("service", 5, time.Minute)
	f.addJob("urgent", 0, stepOf(1, types.Core))
	f.wantStarts(f.plan(start), "urgent")
}
