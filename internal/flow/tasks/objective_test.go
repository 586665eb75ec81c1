package tasks

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// Without the calls for advice in its objective, a job counts as late while its caller still gains from it in full.
func TestObjectiveIncludesACallForAdviceForEachStep(t *testing.T) {
	advice := &specs.AdvicePolicy{Decision: 440 * time.Millisecond, PerRunner: 6 * time.Millisecond}
	const (
		run     = time.Second
		call    = 620 * time.Millisecond
		latency = 1200 * time.Millisecond
	)
	for name, c := range map[string]struct {
		policy          *specs.AdvicePolicy
		path, remaining time.Duration
	}{
		"Advised":   {policy: advice, path: 2 * (run + call), remaining: 2*run + call},
		"Unadvised": {path: 2 * run, remaining: 2 * run},
	} {
		t.Run(name, func(t *testing.T) {
			steps := []specs.Step{{Count: 1, Estimate: run}, {Count: 1, Estimate: run, After: []int{0}}}
			queue := specs.Queue{Name: "q", Stretch: 2, Latency: latency, Advice: c.policy}
			table := New()
			j := table.AddJob(&specs.Job{ID: "j", Queue: queue, Steps: steps})
			if j.CriticalPath != c.path {
				t.Errorf("critical path %s, want %s", j.CriticalPath, c.path)
			}
			if want := 2*c.path + latency; j.Allowance() != want {
				t.Errorf("allowance %s, want %s", j.Allowance(), want)
			}
			if got := table.Times.RemainingPath(j.Occurrences[0].Steps[0]); got != c.remaining {
				t.Errorf("remaining path %s, want %s", got, c.remaining)
			}
		})
	}
}
