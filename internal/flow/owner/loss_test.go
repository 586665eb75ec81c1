package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// badJob is the job whose first task crashes each runner that begins it.
	badJob specs.JobID = "bad"
	// maxCrashingStarts is how many starts of a task that crashes its runners are allowed: after the third crash, two more.
	maxCrashingStarts = 5
)

// crashingWorld has a task that crashes its runners, and others of the given run time.
func crashingWorld(runTime time.Duration) agent.FleetConfig {
	w := quickWorld()
	w.RunTime = func(specs.Ref) time.Duration { return runTime }
	w.Crashes = func(ref specs.Ref) bool { return ref.Job == badJob && ref.Step == 0 && ref.Index == 0 }
	w.RestartDelay = 100 * time.Millisecond
	return w
}

// submitInnocent submits jobs of one task and returns their ids.
func (f *fixture) submitInnocent(o *Owner, count int) []specs.JobID {
	f.t.Helper()
	var ids []specs.JobID
	for i := range count {
		id := specs.JobID(fmt.Sprintf("good%02d", i))
		f.submit(o, job(string(id), step(1)))
		ids = append(ids, id)
	}
	return ids
}

// startsOf returns how often tasks of a job were started.
func (f *fixture) startsOf(id specs.JobID) int {
	n := 0
	for _, a := range f.fleet.StartedAttempts() {
		if a.Ref.Job == id {
			n++
		}
	}
	return n
}

// checkGivenUp waits until the bad job has failed, and checks that its task was started no more often than allowed.
func (f *fixture) checkGivenUp(o *Owner) {
	f.t.Helper()
	f.waitForState(o, badJob, tasks.JobFailed)
	if n := f.startsOf(badJob); n < 2 || n > maxCrashingStarts {
		f.t.Errorf("the task that crashes its runners was started %d times, want 2 to %d", n, maxCrashingStarts)
	}
}

// checkAllDone waits until the jobs are done.
func (f *fixture) checkAllDone(o *Owner, ids []specs.JobID) {
	f.t.Helper()
	for _, id := range ids {
		f.waitForState(o, id, tasks.JobCompleted)
	}
}

// TestTaskThatCrashesRunnersIsGivenUp guards against a task that is started on runner after runner and crashes each of them.
func TestTaskThatCrashesRunnersIsGivenUp(t *testing.T) {
	f := newFixture(t, crashingWorld(300*time.Millisecond))
	f.addRunners(6)
	o, _ := f.startOwner()
	ids := f.submitInnocent(o, 6)
	f.submit(o, job(string(badJob), step(1)))
	f.checkGivenUp(o)
	f.checkAllDone(o, ids)
	f.checkNoViolations()
}
