//go:build !race

package owner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// serviceJob returns a job of one step with so many tasks that run until it is cancelled.
func serviceJob(id specs.JobID, count int) *specs.Job {
	s := step(count)
	s.Service = true
	return job(string(id), s)
}

// assertRuns checks that the job has not ended, and that the given number of its tasks runs within 6 s.
func (f *fixture) assertRuns(o *Owner, id specs.JobID, want int) {
	f.t.Helper()
	f.waitForState(o, id, tasks.JobRunning)
	f.eventually(fmt.Sprintf("%d tasks of job %s run", want, id), func() bool { return o.runningTasksOf(id) == want })
}

// runningTasksOf returns how many tasks of a job are known to run.
func (o *Owner) runningTasksOf(id specs.JobID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, r := range o.table.Runners {
		for key, run := range r.Runs {
			if key.Ref.Job == id && run.Confirmed {
				n++
			}
		}
	}
	return n
}

// Guards against a service that is given up because its runner has crashed several times; also if the leader changes in between.
func TestServiceIsRestartedHoweverOftenItsRunnerCrashes(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprintf("LeaderChanges%v", changes), func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				f := newFixture(t, crashingWorld(time.Hour))
				f.addRunners(1)
				o, stop := f.startOwner()
				f.submit(o, serviceJob("j", 1))
				for range 6 {
					f.eventually("the task runs", func() bool { return o.runningTasksOf("j") == 1 })
					runners, _, _ := f.fleet.List(t.Context())
					f.fleet.Restart(runners[0].ID, 700*time.Millisecond)
					time.Sleep(time.Second)
					if changes {
						stop()
						o, stop = f.startOwner()
					}
				}
				f.assertRuns(o, "j", 1)
				f.checkNoViolations()
			})
		})
	}
}

// fewestRunners returns the least number of runners that were up at a time within the given time.
func (f *fixture) fewestRunners(within time.Duration) int {
	const interval = 20 * time.Millisecond
	fewest := math.MaxInt
	for range within / interval {
		f.clock.Sleep(interval)
		up, _, _ := f.fleet.List(f.t.Context())
		fewest = min(fewest, len(up))
	}
	return fewest
}

// Guards against services that crash runner after runner without a pause, or many runners at once, beside the work of others.
func TestServiceThatCrashesRunnersIsRestartedWithPauses(t *testing.T) {
	const runners, length = 8, time.Minute
	for _, width := range []int{1, runners} {
		t.Run(fmt.Sprintf("Tasks%d", width), func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				w := crashingWorld(300 * time.Millisecond)
				w.Crashes = func(ref specs.Ref) bool { return ref.Job == badJob }
				f := newFixture(t, w)
				f.addRunners(runners)
				o, _ := f.startOwner()
				f.submit(o, serviceJob(badJob, width))
				time.Sleep(length / 2)
				before := f.startsOf(badJob)
				ids := f.submitInnocent(o, runners)
				if up := f.fewestRunners(length / 2); up < runners/2 {
					t.Errorf("%d of %d runners were up at one time, want half of them or more", up, runners)
				}
				f.checkAllDone(o, ids)
				if state, err := o.State(t.Context(), specs.Caller{}, badJob); err != nil || state != tasks.JobRunning {
					t.Errorf("the service is %s, error %v; want that it runs until it is cancelled", state, err)
				}
				// Each task starts no more than once in the longest pause, and is never given up.
				most, least := width*int(length/2/tasks.MaxServicePause), width*int(length/2/(4*tasks.MaxServicePause))
				if got := f.startsOf(badJob) - before; got > most+width || got < max(least, 1) {
					t.Errorf("%d starts in %s, want %d to %d", got, length/2, max(least, 1), most+width)
				}
				f.checkNoViolations()
			})
		})
	}
}
