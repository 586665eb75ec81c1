package order

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// TestStepsThatNoRunnerCanRunTakeNoTurns guards against work that never starts on idle runners, because more steps than a plan serves
// rank before it and wait for a runner that was lost: one with their label, or one as large as they need.
func TestStepsThatNoRunnerCanRunTakeNoTurns(t *testing.T) {
	labelled := stepOf(1, types.Core)
	labelled.Label = "gone"
	advised := queueOf(0)
	advised.Advice = &specs.AdvicePolicy{Decision: time.Millisecond, Validity: time.Second}
	for name, test := range map[string]struct {
		queue specs.Queue
		step  specs.Step
	}{
		"Label":           {queue: queueOf(0), step: labelled},
		"Size":            {queue: queueOf(0), step: stepOf(1, 1000*types.Core)},
		"Gang":            {queue: queueOf(0), step: gangStepOf(2, 1000*types.Core)},
		"LabelWithAdvice": {queue: advised, step: labelled},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTableFixture(t, 2)
			for i := range 2 * maxSteps {
				f.table.AddJob(&specs.Job{
					ID: specs.JobID(fmt.Sprintf("stuck%04d", i)), Queue: test.queue, Steps: []specs.Step{test.step}, Accepted: start,
				})
			}
			f.addJob("behind", 1, stepOf(1, types.Core))
			if got := startedJobs(f.plan(start)); !slices.Equal(got, []specs.JobID{"behind"}) {
				t.Errorf("the plan starts %v, want only the job behind the steps that no runner can run", got)
			}
		})
	}
}
