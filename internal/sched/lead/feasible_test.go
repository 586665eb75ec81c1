package lead

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

func TestAJobThatCanNeverRunIsRefused(t *testing.T) {
	f := newFixture(t, 2)
	f.addDaemon(testDataCentre, "e1")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	f.run(time.Second)
	// Two workers of four cores could hold 7.5 cores in total, but each has free capacity for only one task of 2.5
	// cores.
	gang := f.job("gang", func(j *types.Job) {
		j.Batch, j.Gang = nil, &types.Gang{Count: 3}
		j.Task.Resources = types.Resources{Cores: 5 * types.Core / 2, Memory: types.GiB}
	})
	t.Run("here and elsewhere", func(t *testing.T) {
		if _, err := f.submit(f.leader(), gang)(); !errs.Is(err, errs.Impossible) {
			t.Fatalf("got %v, want an error of kind Impossible", err)
		}
	})
	t.Run("but not when a peer holds it", func(t *testing.T) {
		l := f.leader()
		l.state.Peers["ariana"] = table.Peer{DataCentre: "ariana", Rooms: []table.Room{{Free: gang.Task.Resources, Workers: 3}}}
		if err := l.checkFeasible(&gang, types.Resources{}); err != nil {
			t.Fatalf("got %v, want no error", err)
		}
	})
}
