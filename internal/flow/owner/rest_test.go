package owner

import (
	"fmt"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Guards against plans of which each begins anew with the steps that rank first, so that those behind them are never served.
func TestPlansComeToStepsThatRankLate(t *testing.T) {
	const gangs, plans = 900, 8
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	t.Cleanup(o.Stop)
	r := o.addRunner(runner(0))
	r.Synced = true
	stuck := gang(2)
	stuck.Resources.Cores = 3 * types.Core
	for i := range gangs {
		o.table.AddJob(job(fmt.Sprintf("gang%03d", i), stuck))
	}
	behind := job("last", step(1))
	behind.Queue.Priority = 1
	o.table.AddJob(behind)
	for range plans {
		o.directoryAt = f.clock.Now()
		o.executePlan()
		f.clock.Sleep(restInterval)
	}
	if len(r.Runs) != 1 {
		t.Errorf("%d tasks are placed after %d plans, want the one behind %d gangs that cannot start", len(r.Runs), plans, gangs)
	}
}
