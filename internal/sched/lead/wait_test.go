package lead

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
)

// auditLog holds the audit records of one leader.
type auditLog struct {
	records []audit.Record
}

func (a *auditLog) Record(r audit.Record) { a.records = append(a.records, r) }

func (a *auditLog) count(verb audit.Verb, subject types.JobID) int {
	n := 0
	for _, r := range a.records {
		if r.Verb == verb && r.Subject == string(subject) && r.Cause != "" {
			n++
		}
	}
	return n
}

func TestWhyAJobWaitsIsRecorded(t *testing.T) {
	f := newFixture(t, 1)
	f.addDaemon(testDataCentre, "e1")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	recorded := &auditLog{}
	m := f.leader()
	m.cfg.Audit = recorded
	m.cfg.Planner = plan.New(plan.Config{})
	j := f.job("crowd", func(j *types.Job) { j.Batch.Count = 2000 })
	f.accept(j)
	f.run(3 * time.Second)
	if n := recorded.count(audit.VerbWait, j.ID); n == 0 || n > 3 {
		t.Fatalf("%d audit records say why the job waits", n)
	}
}
