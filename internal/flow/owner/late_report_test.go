package owner

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// TestProgressIsJudgedByTheTimeOfTheReport guards against giving up work that goes on: an answer that was on its way for
// seconds, or that a paused leader reads late, shows the progress of before, and no time without any.
func TestProgressIsJudgedByTheTimeOfTheReport(t *testing.T) {
	for name, test := range map[string]struct {
		// runnerClock is how far the runner's clock went on between the two reports.
		runnerClock time.Duration
		wantStop    bool
	}{
		"LateReport":  {runnerClock: 10 * time.Millisecond},
		"StalledTask": {runnerClock: 2 * stallTimeout, wantStop: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			f.addRunners(1)
			o := f.newOwner()
			t.Cleanup(o.Stop)
			clock := clockwork.NewFakeClock()
			o.config.Clock = clock
			o.mu.Lock()
			defer o.mu.Unlock()
			r := o.addRunner(runner(0))
			run := r.PlaceTask(o.table.AddJob(job("j", step(1))).Occurrences[0].Steps[0].Tasks[0], 1)
			run.Sent = true
			report := agent.Report{
				Clock:   agent.Clock(100 * time.Second),
				Running: []agent.Running{{Ref: run.Key.Ref, Attempt: 1, Percent: 10}},
			}
			request := agent.RenewRequest{Fence: r.Fence}
			o.applyReport(r, request, report, clock.Now())
			sentAt := clock.Now()
			clock.Advance(2 * stallTimeout)
			report.Clock += agent.Clock(test.runnerClock)
			o.applyReport(r, request, report, sentAt)
			if run.Stopping != test.wantStop {
				t.Errorf("the run is stopped: %v, want %v", run.Stopping, test.wantStop)
			}
		})
	}
}
