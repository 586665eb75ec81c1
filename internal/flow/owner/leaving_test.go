package owner

import (
	"testing"
	"time"
)

const leaveStopTimeout = 400 * time.Millisecond

func TestRunsOnARunnerThatLeaves(t *testing.T) {
	cases := []struct {
		name string
		run  leavingRun
		want leaveDecision
	}{
		// Stopping it would throw work away that is done in time.
		{"EndsInTime", leavingRun{untilLeave: 3 * time.Second, untilEnd: 2 * time.Second, measured: true}, keepRunning},
		{"SavedWorkEndsInTime", leavingRun{untilLeave: 3 * time.Second, untilEnd: 2 * time.Second, saves: true}, keepRunning},
		// A stop before the last moment would waste the time until the runner leaves.
		{"SavesLater", leavingRun{untilLeave: 3 * time.Second, untilEnd: 9 * time.Second, saves: true, measured: true}, keepRunning},
		// Without a stop the work since the last checkpoint is lost, and the task waits until its lease has expired.
		{"SavesNow", leavingRun{untilLeave: 900 * time.Millisecond, untilEnd: 9 * time.Second, saves: true}, stopToMove},
		// A late leader checks seldom, so that the next check comes when a stop no longer saves the work.
		{"SavesNowAsTheNextCheckIsLate", leavingRun{untilLeave: 1200 * time.Millisecond, untilEnd: 9 * time.Second, untilCheck: maxTickInterval, saves: true}, stopToMove},
		// What a run does that will be lost delays its task and occupies the runner.
		{"LostForSure", leavingRun{untilLeave: 3 * time.Second, untilEnd: 9 * time.Second, measured: true}, stopToRestart},
		// An estimate may be wrong by far, so the run keeps its chance.
		{"LostByAnEstimate", leavingRun{untilLeave: 3 * time.Second, untilEnd: 9 * time.Second}, keepRunning},
		{"LostByAnEstimateAtLast", leavingRun{untilLeave: 900 * time.Millisecond, untilEnd: 9 * time.Second}, stopToRestart},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.run.decide(leaveStopTimeout); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// drain gives the fixture's runner a directory entry that says when it leaves.
func (f *healthFixture) drain(remaining time.Duration) {
	info := f.runner.Info
	info.Draining, info.Remaining = true, remaining
	f.updateRunner(f.runner, info)
}

// Work that does not end before its runner leaves must not be left to run until it is lost.
func TestRunsStopBeforeTheirRunnerLeaves(t *testing.T) {
	t.Run("SlowWork", func(t *testing.T) {
		f := newHealthFixture(t, 3)
		f.reportProgress(0, 0)
		f.reportProgress(10, time.Second)
		f.drain(3 * time.Second)
		f.stopRunsBeforeLeave(f.runner, f.began.Add(time.Second))
		if got := f.stoppedCount(); got != 3 {
			t.Errorf("%d runs are stopped, want 3", got)
		}
	})
	t.Run("WorkThatEndsInTime", func(t *testing.T) {
		f := newHealthFixture(t, 3)
		f.reportProgress(0, 0)
		f.reportProgress(50, time.Second)
		f.drain(3 * time.Second)
		f.stopRunsBeforeLeave(f.runner, f.began.Add(time.Second))
		if got := f.stoppedCount(); got != 0 {
			t.Errorf("%d runs are stopped, want none", got)
		}
	})
	t.Run("RunnerThatDoesNotSayWhen", func(t *testing.T) {
		f := newHealthFixture(t, 3)
		f.reportProgress(0, 0)
		f.reportProgress(10, time.Second)
		f.drain(0)
		f.stopRunsBeforeLeave(f.runner, f.began.Add(time.Minute))
		if got := f.stoppedCount(); got != 0 {
			t.Errorf("%d runs are stopped, want none", got)
		}
	})
}
