package owner

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// TestReportOfBeforeTheStartRemovesNothing guards against starting a task again that runs: a report to a renewal that was
// sent before the runner answered the start may have been made before the start.
func TestReportOfBeforeTheStartRemovesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		sentAfterStart time.Duration
		wantRuns       int
	}{
		"RenewalBeforeTheStart": {sentAfterStart: -time.Millisecond, wantRuns: 1},
		"RenewalAfterTheStart":  {sentAfterStart: time.Millisecond, wantRuns: 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newOwner()
			t.Cleanup(o.Stop)
			o.mu.Lock()
			defer o.mu.Unlock()
			r := o.addRunner(runner(0))
			r.Synced = true
			run := r.PlaceTask(o.table.AddJob(job("j", step(1))).Occurrences[0].Steps[0].Tasks[0], 1)
			run.Sent, run.SentFence = true, r.Fence
			startedAt := f.clock.Now()
			run.Confirm(startedAt)
			o.applyReport(r, agent.RenewRequest{Fence: r.Fence}, agent.Report{Clock: r.Clock}, startedAt.Add(test.sentAfterStart))
			if got := len(r.Runs); got != test.wantRuns {
				t.Errorf("%d runs after the report, want %d", got, test.wantRuns)
			}
		})
	}
}
