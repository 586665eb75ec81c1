package commit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const site types.DataCentre = "carthage"

var now = time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)

func newStore() *store.Memory {
	return store.NewMemory(clockwork.NewFakeClock(), "tunis-north")
}

func mustOpen(t *testing.T, s *store.Memory, epoch types.Epoch) (*Journal, *CommittedState) {
	t.Helper()
	j, state, err := openJournal(s, epoch)
	if err != nil {
		t.Fatal(err)
	}
	return j, state
}

func openJournal(s *store.Memory, epoch types.Epoch) (*Journal, *CommittedState, error) {
	c := Config{Site: site, Writer: types.VMID(fmt.Sprint("e", epoch)), Epoch: epoch, Store: s.As(site, meter.Discard())}
	return Open(context.Background(), c, now)
}

func newJob(n int) types.Job {
	return types.Job{ID: types.JobID(fmt.Sprintf("carthage.1.j%d", n)), Batch: &types.Batch{Count: 1}}
}

func acceptRecords(n int) []Record {
	return []Record{{Accept: &Accept{Job: newJob(n)}}}
}

func wantAppend(t *testing.T, j *Journal, records []Record) {
	t.Helper()
	if err := j.Append(context.Background(), now, records); err != nil {
		t.Fatal(err)
	}
}

func wantKind(t *testing.T, err error, kind errs.Kind) {
	t.Helper()
	if !errs.Is(err, kind) {
		t.Fatalf("got %v, want kind %s", err, kind)
	}
}

func TestRecordsSurviveTheirWriter(t *testing.T) {
	s := newStore()
	j, _ := mustOpen(t, s, 1)
	task := newJob(1).ID.Task(0)
	wantAppend(t, j, acceptRecords(1))
	wantAppend(t, j, []Record{{Intent: &Intent{Task: task, Number: 1, Worker: "w", Boot: 3}}})
	_, state := mustOpen(t, s, 2)
	got := state.Task(task)
	if got == nil || got.State != table.TaskIntended || got.Worker != "w" || got.Boot != 3 {
		t.Fatalf("got %+v, want an attempt intended on worker w with boot 3", got)
	}
}

func TestLateWriteOfAnEarlierLeaderFails(t *testing.T) {
	s := newStore()
	older, _ := mustOpen(t, s, 1)
	wantAppend(t, older, acceptRecords(1))
	newer, _ := mustOpen(t, s, 2)
	wantKind(t, older.Append(context.Background(), now, acceptRecords(2)), errs.Fenced)
	// It also fails after the ring has been overwritten several times.
	for n := range 3 * slots {
		wantAppend(t, newer, nil)
		if newer.SnapshotDue() {
			wantSnapshot(t, newer, NewCommittedState())
		}
		if n%slots == 17 {
			wantKind(t, older.ResolveInDoubt(context.Background()), errs.Fenced)
		}
	}
	wantKind(t, older.ResolveInDoubt(context.Background()), errs.Fenced)
}

func wantSnapshot(t *testing.T, j *Journal, state *CommittedState) {
	t.Helper()
	if err := j.Snapshot(context.Background(), now, state); err != nil {
		t.Fatal(err)
	}
}

func TestEarlierEpochCannotOpenAfterALaterOne(t *testing.T) {
	s := newStore()
	mustOpen(t, s, 2)
	_, _, err := openJournal(s, 1)
	wantKind(t, err, errs.Conflict)
}

func TestRingKeepsEverySnapshottedJob(t *testing.T) {
	s := newStore()
	j, state := mustOpen(t, s, 1)
	const jobs = 2500
	for n := range jobs {
		if j.SnapshotDue() {
			wantSnapshot(t, j, state)
		}
		wantAppend(t, j, acceptRecords(n))
		state.Apply(acceptRecords(n)[0], now)
	}
	if _, found := mustOpen(t, s, 2); len(found.Jobs) != jobs {
		t.Fatalf("found %d of %d accepted jobs", len(found.Jobs), jobs)
	}
}

func TestLargeSnapshotIsSplit(t *testing.T) {
	s := newStore()
	j, state := mustOpen(t, s, 1)
	for n := range 300 {
		r := acceptRecords(n)[0]
		r.Accept.Job.Task.Payload = string(make([]byte, 10_000))
		state.Apply(r, now)
	}
	wantSnapshot(t, j, state)
	if _, found := mustOpen(t, s, 2); len(found.Jobs) != 300 {
		t.Fatalf("found %d jobs, want 300", len(found.Jobs))
	}
}

func TestIncompleteSnapshotIsIgnored(t *testing.T) {
	s := newStore()
	j, _ := mustOpen(t, s, 1)
	wantAppend(t, j, acceptRecords(1))
	if err := j.writeSegment(context.Background(), Segment{At: now, Part: &Part{Index: 0, Total: 2, Data: []byte("{")}}); err != nil {
		t.Fatal(err)
	}
	if _, found := mustOpen(t, s, 2); len(found.Jobs) != 1 {
		t.Fatalf("found %d jobs, want 1", len(found.Jobs))
	}
}

func TestLostAnswers(t *testing.T) {
	t.Run("resolved by reading back", func(t *testing.T) {
		s := newStore()
		j, _ := mustOpen(t, s, 1)
		s.Faults.LoseAnswers(1)
		wantAppend(t, j, acceptRecords(1))
	})
	t.Run("in doubt until the store answers", func(t *testing.T) {
		s := newStore()
		j, _ := mustOpen(t, s, 1)
		s.Faults.LoseAnswers(2)
		wantKind(t, j.Append(context.Background(), now, acceptRecords(1)), errs.Lost)
		if !j.InDoubt() {
			t.Fatal("the segment is not in doubt although its answers were lost")
		}
		s.Faults.SetDown(true)
		wantKind(t, j.ResolveInDoubt(context.Background()), errs.Unavailable)
		wantKind(t, j.Append(context.Background(), now, acceptRecords(2)), errs.Internal)
		s.Faults.SetDown(false)
		if err := j.ResolveInDoubt(context.Background()); err != nil {
			t.Fatal(err)
		}
		wantAppend(t, j, acceptRecords(2))
		if _, found := mustOpen(t, s, 2); len(found.Jobs) != 2 {
			t.Fatalf("found %d jobs, want 2", len(found.Jobs))
		}
	})
	t.Run("not written when the store is unavailable", func(t *testing.T) {
		s := newStore()
		j, _ := mustOpen(t, s, 1)
		s.Faults.SetDown(true)
		wantKind(t, j.Append(context.Background(), now, acceptRecords(1)), errs.Unavailable)
		s.Faults.SetDown(false)
		if j.InDoubt() {
			t.Fatal("the segment is in doubt although the store was unavailable")
		}
		if _, found := mustOpen(t, s, 2); len(found.Jobs) != 0 {
			t.Fatalf("found %d jobs, want none", len(found.Jobs))
		}
	})
}

// A job may end while its cancellation is being committed. Its results must stay.
func TestCancellationAfterTheEndChangesNothing(t *testing.T) {
	s := &CommittedState{Jobs: make(map[types.JobID]*CommittedJob)}
	s.Apply(acceptRecords(1)[0], now)
	task := newJob(1).ID.Task(0)
	s.Apply(Record{Intent: &Intent{Task: task, Number: 1, Worker: "w", Boot: 1}}, now)
	s.Apply(Record{End: &End{Task: task, Number: 1, State: table.TaskDone}}, now)
	before := *s.Jobs[newJob(1).ID]
	if before.Ends.Done != 1 {
		t.Fatalf("the job has the results %+v before the cancellation, want one task done", before.Ends)
	}
	s.Apply(Record{Cancel: &Cancel{Job: newJob(1).ID}}, now)
	after := *s.Jobs[newJob(1).ID]
	if after.Ends != before.Ends || after.Cancelled {
		t.Errorf("the job has the results %+v, cancelled %v after the cancellation, want %+v and false", after.Ends, after.Cancelled, before.Ends)
	}
}
