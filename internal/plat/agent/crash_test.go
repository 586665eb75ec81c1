package agent

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// A crash that a busy machine carries out after the run time of its task must count as one, and the task must not be done.
func TestLateCrashIsCountedAgainstItsTask(t *testing.T) {
	clock := clockwork.NewFakeClock()
	crashed := make(chan specs.RunnerID, 1)
	f := NewFleet(clock, FleetConfig{
		RunTime: func(specs.Ref) time.Duration { return crashDelay / 2 }, MaxLeaseTTL: time.Minute,
		Crashes: func(specs.Ref) bool { return true }, OnCrash: func(id specs.RunnerID) { crashed <- id },
	})
	r := Runner{ID: "w1", Address: "127.0.0.1:1"}
	f.Add(r)
	ref := specs.Ref{StepRef: specs.StepRef{Job: "j"}}
	if err := f.Start(t.Context(), r, StartRequest{Ref: ref, Attempt: 1, Deadline: Clock(time.Minute)}); err != nil {
		t.Fatal(err)
	}
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(crashDelay)
	if done := f.DoneCount("j"); done != 0 {
		t.Errorf("%d tasks are done, want none", done)
	}
	f.Crash(<-crashed)
	if got := f.MostCrashes("j"); got != 1 {
		t.Errorf("%d crashes were counted, want 1", got)
	}
}
