package lead

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

func TestJobRunsToItsEnd(t *testing.T) {
	r := newRig(t, 2)
	r.addLead(testSite, "e1")
	r.addLead(testSite, "e2")
	r.until(2*time.Second, "a lead", r.hasLead)
	j := r.job("roster", func(j *types.Job) { j.Batch.Count = 10 })
	r.accept(j)
	r.until(30*time.Second, "the end of the job", func() bool { return r.state(j.ID) == types.JobDone })
}
