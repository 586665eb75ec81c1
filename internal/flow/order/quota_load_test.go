package order

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// quotaLoad is one organisation with a quota of 48 cores. A wide patient job, which alone would take more than the quota, comes
// every ten seconds, and an urgent task five times a second.
type quotaLoad struct {
	*tableFixture

	endsAt map[*tasks.Run]time.Time
	urgent map[*tasks.Job]bool
	// inTime counts the urgent jobs that were done within their objective.
	inTime int
}

const (
	quotaLoadStep   = 20 * time.Millisecond
	quotaLoadTime   = 30 * time.Second
	patientInterval = 10 * time.Second
	urgentInterval  = 200 * time.Millisecond
	patientRunTime  = 3400 * time.Millisecond
	urgentRunTime   = time.Second
	urgentLatency   = 400 * time.Millisecond
)

func newQuotaLoad(t *testing.T) *quotaLoad {
	l := &quotaLoad{tableFixture: newTableFixture(t, 40), endsAt: make(map[*tasks.Run]time.Time), urgent: make(map[*tasks.Job]bool)}
	l.setQuotas(map[specs.OrganisationName]types.MilliCores{"a": 48 * types.Core})
	return l
}

// run plays the load and returns the number of urgent jobs.
func (l *quotaLoad) run() int {
	for at := time.Duration(0); at < quotaLoadTime; at += quotaLoadStep {
		now := start.Add(at)
		if at%patientInterval == 0 {
			l.add(now, 2, 90)
		}
		if at%urgentInterval == 0 {
			l.urgent[l.add(now, 0, 1)] = true
		}
		l.finishDue(now)
		for _, s := range l.plan(now).Starts {
			l.begin(s, now)
		}
	}
	return len(l.urgent)
}

func (l *quotaLoad) add(now time.Time, priority, width int) *tasks.Job {
	j := l.addJobOf("a", len(l.table.Jobs)+len(l.table.EndedJobs), stepOf(width, types.Core))
	j.Spec.Queue.Priority, j.Spec.Queue.Stretch, j.Spec.Queue.Latency = priority, 1.5, urgentLatency
	if priority > 0 {
		j.Spec.Queue.Latency = time.Minute
	}
	j.Occurrences[0].Due = now
	return j
}

func (l *quotaLoad) begin(s Start, now time.Time) {
	run := s.Runner.PlaceTask(s.Task, 1)
	c := s.Task.Change()
	c.State, c.Attempt, c.Runner = tasks.Placed, 1, s.Runner.Info.ID
	l.table.Apply(tasks.Record{Task: c})
	l.endsAt[run] = now.Add(patientRunTime)
	if l.urgent[s.Task.Step.Job] {
		l.endsAt[run] = now.Add(urgentRunTime)
	}
}

func (l *quotaLoad) finishDue(now time.Time) {
	for run, end := range l.endsAt {
		if now.Before(end) {
			continue
		}
		delete(l.endsAt, run)
		run.Runner.RemoveRun(run)
		c := run.Task.Change()
		c.State = tasks.Done
		l.table.Apply(tasks.Record{Task: c})
		j := run.Task.Step.Job
		if l.urgent[j] && now.Sub(j.Occurrences[0].Due) <= j.Allowance() {
			l.inTime++
		}
	}
}

// A wide patient job that takes the whole quota makes the urgent jobs that come next late, and late work ranks behind patient work in
// time, which then takes all that is freed.
func TestUrgentJobsAreInTimeBesidePatientWorkAtTheQuota(t *testing.T) {
	l := newQuotaLoad(t)
	count := l.run()
	// The jobs of the last second have no time to end.
	wanted := count - int(urgentRunTime/urgentInterval)
	t.Logf("%d of %d urgent jobs are in time", l.inTime, count)
	if l.inTime < wanted {
		t.Errorf("%d of %d urgent jobs are done in time, want %d", l.inTime, count, wanted)
	}
}
