package lead

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
)

// keptRecords keeps the records of one lead.
type keptRecords struct {
	records []audit.Record
}

func (k *keptRecords) Record(r audit.Record) { k.records = append(k.records, r) }

func (k *keptRecords) count(verb audit.Verb, subject types.JobID) int {
	n := 0
	for _, r := range k.records {
		if r.Verb == verb && r.Subject == string(subject) && r.Cause != "" {
			n++
		}
	}
	return n
}

func TestWhyAJobWaitsIsRecorded(t *testing.T) {
	r := newRig(t, 1)
	r.addLead(testSite, "e1")
	r.until(2*time.Second, "a lead", r.hasLead)
	kept := &keptRecords{}
	m := r.lead()
	m.cfg.Audit = kept
	m.cfg.Planner = plan.New(plan.Config{})
	j := r.job("crowd", func(j *types.Job) { j.Batch.Count = 2000 })
	r.accept(j)
	r.run(3 * time.Second)
	if n := kept.count(audit.VerbWait, j.ID); n == 0 || n > 3 {
		t.Fatalf("%d records tell why the job waits", n)
	}
}
