package owner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// lockedFor is how long the tables stay locked while a snapshot ends.
const lockedFor = 200 * time.Millisecond

// The results that a snapshot has stored are removed by their count. If the next snapshot could begin before that, both
// would remove them: the second removal panics, or removes newer results that no snapshot holds, which the next leader
// then lacks.
func TestNextSnapshotBeginsAfterTheStoredResultsAreRemoved(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newOwner()
	defer o.cancel()
	jobLedger := o.openLedger()
	recordResults(o, "old", 5)
	first := o.beginDueSnapshot(t, jobLedger)
	recordResults(o, "new", 2)
	appendLarge(t, jobLedger)
	o.mu.Lock()
	done := make(chan struct{})
	go func() {
		o.writeSnapshot(jobLedger, first)
		close(done)
	}()
	for until := time.Now().Add(lockedFor); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if o.snapshotDue(jobLedger) {
			t.Error("the next snapshot is due while the stored results are still in the tables")
			break
		}
	}
	o.mu.Unlock()
	<-done
	if got := len(o.table.RecentResults); got != 2 {
		t.Errorf("%d results are left after the snapshot, want the 2 newer ones", got)
	}
	second := o.beginDueSnapshot(t, jobLedger)
	o.writeSnapshot(jobLedger, second)
	checkResultsAfterTakeover(t, f, "old", 5)
	checkResultsAfterTakeover(t, f, "new", 2)
}

// recordResults records the results of jobs that have ended.
func recordResults(o *Owner, prefix string, count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range count {
		id := specs.JobID(fmt.Sprintf("%s%d", prefix, i))
		o.record(tasks.Record{End: &tasks.JobResult{Job: id, Queue: "q", State: tasks.JobCompleted, At: o.config.Clock.Now()}}, nil)
	}
}

// appendLarge appends a segment that is so large that a snapshot is due.
func appendLarge(t *testing.T, jobLedger *ledger.Ledger) {
	t.Helper()
	saved := specs.Checkpoint(strings.Repeat("x", 1<<19))
	change := &tasks.TaskChange{Ref: specs.Ref{StepRef: specs.StepRef{Job: "none"}}, State: tasks.Waiting, Saved: saved}
	if err := jobLedger.Append(context.Background(), ledger.Entry{Records: []tasks.Record{{Task: change}}}); err != nil {
		t.Fatal(err)
	}
}

// beginDueSnapshot makes the pending changes durable together with a snapshot, which it returns, not yet written.
func (o *Owner) beginDueSnapshot(t *testing.T, jobLedger *ledger.Ledger) *ledger.Snapshot {
	t.Helper()
	if !o.snapshotDue(jobLedger) {
		appendLarge(t, jobLedger)
	}
	toCommit := make(chan *inFlightWrite, 1)
	if err := o.beginWrite(jobLedger, toCommit); err != nil {
		t.Fatal(err)
	}
	w := <-toCommit
	if err := <-w.done; err != nil {
		t.Fatal(err)
	}
	for _, segment := range w.writes {
		jobLedger.Finish(segment)
	}
	o.commitWrite(w)
	if w.snapshot == nil {
		t.Fatal("no snapshot was begun")
	}
	return w.snapshot
}

func (o *Owner) snapshotDue(jobLedger *ledger.Ledger) bool {
	o.ledgerMu.Lock()
	defer o.ledgerMu.Unlock()
	return jobLedger.SnapshotDue()
}

// checkResultsAfterTakeover checks that the next leader knows that the jobs have ended.
func checkResultsAfterTakeover(t *testing.T, f *fixture, prefix string, count int) {
	t.Helper()
	next := f.newOwner()
	defer next.cancel()
	next.openLedger()
	for i := range count {
		id := specs.JobID(fmt.Sprintf("%s%d", prefix, i))
		if _, ended := next.table.EndedJobs[id]; !ended {
			t.Errorf("the next leader does not know that job %s has ended", id)
		}
	}
}

// A result names the runs that had not ended with their job, for the next leader to count. In a snapshot, those that have ended
// since would make the results many times larger, and the next leader would hold their room and quota without a reason.
func TestSnapshotNamesOnlyRunsThatGoOn(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := f.newLockedOwner()
	r := o.addRunner(runner(0))
	goesOn := tasks.RemainingRun{Ref: specs.Ref{StepRef: specs.StepRef{Job: "j"}, Index: 0}, Attempt: 1, Runner: r.Info.ID}
	ended := goesOn
	ended.Ref.Index = 1
	r.AddRun(&tasks.Run{Key: tasks.RunKey{Ref: goesOn.Ref, Attempt: 1}, Runner: r, Sent: true})
	o.table.RecentResults = []tasks.JobResult{
		{Job: "j", Largest: oneCore(), Runs: []tasks.RemainingRun{goesOn, ended}},
		{Job: "k", Largest: oneCore(), Runs: []tasks.RemainingRun{ended}},
	}
	got := o.snapshotResults()
	if len(got) != 2 || len(got[0].Runs) != 1 || got[0].Runs[0] != goesOn || got[0].Largest.IsZero() {
		t.Errorf("got %+v, want the run that goes on alone", got)
	}
	if len(got[1].Runs) != 0 || !got[1].Largest.IsZero() {
		t.Errorf("got %+v, want no run", got[1])
	}
	if len(o.table.RecentResults[0].Runs) != 2 {
		t.Error("the results in the tables were changed")
	}
}
