//go:build !race

package owner

import (
	"testing"
	"time"
)

// While one answer in twelve is lost, callers of short work must get their results about as soon as otherwise. Results come with the
// answers to waits alone, so a lost one must be noticed soon. The clock is simulated: the processor takes no part in the times.
func TestShortWorkIsInTimeWhileAnswersAreLost(t *testing.T) {
	const aim = 1200 * time.Millisecond
	jobs, late := 0, 0
	for firstLost := range int64(losePeriod) {
		simulate(t, func(t *testing.T) {
			for _, d := range runShortWork(t, firstLost) {
				jobs++
				if d > aim {
					late++
				}
			}
		})
	}
	t.Logf("%d of %d late", late, jobs)
	if late > jobs/20 {
		t.Errorf("%d of %d jobs took longer than %s, want at most one in twenty", late, jobs, aim)
	}
}
