package order

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

func TestBacklog(t *testing.T) {
	// Two runners of four cores do 40 core-seconds in 5 s.
	loaded := func(t *testing.T, priority int) *tableFixture {
		f := newTableFixture(t, 2)
		f.addJob("first", priority, stepOf(40, types.Core))
		return f
	}
	wait := func(f *tableFixture, priority, width int, now time.Time) time.Duration {
		backlog := MeasureBacklog(f.table, now)
		return backlog.Wait(f.newJob(priority, stepOf(width, types.Core)))
	}
	t.Run("WorkOfTheSamePriorityIsAhead", func(t *testing.T) {
		wantWait(t, wait(loaded(t, 1), 1, 80, start), 5*time.Second)
	})
	t.Run("WorkOfALowerPriorityIsNot", func(t *testing.T) {
		wantWait(t, wait(loaded(t, 2), 1, 80, start), 0)
	})
	t.Run("OverdueWorkIsNot", func(t *testing.T) {
		wantWait(t, wait(loaded(t, 1), 1, 80, start.Add(time.Minute)), 0)
	})
	t.Run("WorkThatIsDoneIsNot", func(t *testing.T) {
		f := loaded(t, 1)
		for _, task := range f.table.Jobs["first"].Occurrences[0].Steps[0].Tasks[:20] {
			f.finish(task)
		}
		wantWait(t, wait(f, 1, 80, start), 5*time.Second/2)
	})
	t.Run("NotKnownWithoutRunners", func(t *testing.T) {
		f := loaded(t, 1)
		f.table.Runners["w0"].Listed, f.table.Runners["w1"].Listed = false, false
		wantWait(t, wait(f, 1, 80, start), 0)
	})
	// The ranking puts small jobs before large ones.
	t.Run("LargerJobsOfTheSamePriorityAreNot", func(t *testing.T) {
		wantWait(t, wait(loaded(t, 1), 1, 1, start), 0)
	})
	// Tasks of one second have an objective of 3 s and are overdue after 9 s: the job can wait 8 s.
	t.Run("Excess", func(t *testing.T) {
		f := loaded(t, 1)
		backlog := MeasureBacklog(f.table, start)
		wantWait(t, backlog.Excess(f.newJob(1, stepOf(80, types.Core))), -3*time.Second)
		f.addJob("second", 1, stepOf(40, types.Core))
		backlog = MeasureBacklog(f.table, start)
		wantWait(t, backlog.Excess(f.newJob(1, stepOf(80, types.Core))), 2*time.Second)
	})
}

func wantWait(t *testing.T, got, want time.Duration) {
	t.Helper()
	if got.Round(time.Millisecond) != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
