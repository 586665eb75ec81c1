package lead

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

func TestJobRunsToItsEnd(t *testing.T) {
	f := newFixture(t, 2)
	f.addDaemon(testDataCentre, "e1")
	f.addDaemon(testDataCentre, "e2")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	j := f.job("roster", func(j *types.Job) { j.Batch.Count = 10 })
	f.accept(j)
	f.waitUntil(30*time.Second, "the end of the job", func() bool { return f.state(j.ID) == types.JobDone })
}
