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

func open(t *testing.T, s *store.Memory, epoch types.Epoch) (*Journal, *CommittedState) {
	t.Helper()
	j, image, err := tryOpen(s, epoch)
	if err != nil {
		t.Fatal(err)
	}
	return j, image
}

func tryOpen(s *store.Memory, epoch types.Epoch) (*Journal, *CommittedState, error) {
	c := Config{Site: site, Writer: types.VMID(fmt.Sprint("e", epoch)), Epoch: epoch, Store: s.As(site, meter.Discard())}
	return Open(context.Background(), c, now)
}

func job(n int) types.Job {
	return types.Job{ID: types.JobID(fmt.Sprintf("carthage.1.j%d", n)), Batch: &types.Batch{Count: 1}}
}

func accept(n int) []Record {
	return []Record{{Accept: &Accept{Job: job(n)}}}
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
	j, _ := open(t, s, 1)
	task := job(1).ID.Task(0)
	wantAppend(t, j, accept(1))
	wantAppend(t, j, []Record{{Intent: &Intent{Task: task, Number: 1, Worker: "w", Boot: 3}}})
	_, image := open(t, s, 2)
	got := image.Task(task)
	if got == nil || got.State != table.TaskIntended || got.Worker != "w" || got.Boot != 3 {
		t.Fatalf("got %+v", got)
	}
}

func TestLateWriteOfAnEarlierLeadFails(t *testing.T) {
	s := newStore()
	old, _ := open(t, s, 1)
	wantAppend(t, old, accept(1))
	fresh, _ := open(t, s, 2)
	wantKind(t, old.Append(context.Background(), now, accept(2)), errs.Fenced)
	// Not even after the ring went round many times.
	for n := range 3 * slots {
		wantAppend(t, fresh, nil)
		if fresh.SnapshotDue() {
			wantSnapshot(t, fresh, NewCommittedState())
		}
		if n%slots == 17 {
			wantKind(t, old.ResolveInDoubt(context.Background()), errs.Fenced)
		}
	}
	wantKind(t, old.ResolveInDoubt(context.Background()), errs.Fenced)
}

func wantSnapshot(t *testing.T, j *Journal, image *CommittedState) {
	t.Helper()
	if err := j.Snapshot(context.Background(), now, image); err != nil {
		t.Fatal(err)
	}
}

func TestEarlierEpochCannotOpenAfterALaterOne(t *testing.T) {
	s := newStore()
	open(t, s, 2)
	_, _, err := tryOpen(s, 1)
	wantKind(t, err, errs.Conflict)
}

func TestRingKeepsEverySnapshottedJob(t *testing.T) {
	s := newStore()
	j, image := open(t, s, 1)
	const jobs = 2500
	for n := range jobs {
		if j.SnapshotDue() {
			wantSnapshot(t, j, image)
		}
		wantAppend(t, j, accept(n))
		image.Apply(accept(n)[0], now)
	}
	if _, found := open(t, s, 2); len(found.Jobs) != jobs {
		t.Fatalf("found %d of %d jobs", len(found.Jobs), jobs)
	}
}

func TestLargeSnapshotIsSplit(t *testing.T) {
	s := newStore()
	j, image := open(t, s, 1)
	for n := range 300 {
		r := accept(n)[0]
		r.Accept.Job.Task.Payload = string(make([]byte, 10_000))
		image.Apply(r, now)
	}
	wantSnapshot(t, j, image)
	if _, found := open(t, s, 2); len(found.Jobs) != 300 {
		t.Fatalf("found %d jobs", len(found.Jobs))
	}
}

func TestPartOfASnapshotIsPassedOver(t *testing.T) {
	s := newStore()
	j, _ := open(t, s, 1)
	wantAppend(t, j, accept(1))
	if err := j.write(context.Background(), Segment{At: now, Part: &Part{Index: 0, Total: 2, Data: []byte("{")}}); err != nil {
		t.Fatal(err)
	}
	if _, found := open(t, s, 2); len(found.Jobs) != 1 {
		t.Fatalf("found %d jobs", len(found.Jobs))
	}
}

func TestLostAnswers(t *testing.T) {
	t.Run("settled by reading back", func(t *testing.T) {
		s := newStore()
		j, _ := open(t, s, 1)
		s.Faults.LoseAnswers(1)
		wantAppend(t, j, accept(1))
	})
	t.Run("unsettled until the store answers", func(t *testing.T) {
		s := newStore()
		j, _ := open(t, s, 1)
		s.Faults.LoseAnswers(2)
		wantKind(t, j.Append(context.Background(), now, accept(1)), errs.Lost)
		if !j.InDoubt() {
			t.Fatal("the journal counts as settled")
		}
		s.Faults.SetDown(true)
		wantKind(t, j.ResolveInDoubt(context.Background()), errs.Unavailable)
		wantKind(t, j.Append(context.Background(), now, accept(2)), errs.Internal)
		s.Faults.SetDown(false)
		if err := j.ResolveInDoubt(context.Background()); err != nil {
			t.Fatal(err)
		}
		wantAppend(t, j, accept(2))
		if _, found := open(t, s, 2); len(found.Jobs) != 2 {
			t.Fatalf("found %d jobs", len(found.Jobs))
		}
	})
	t.Run("refused is not written", func(t *testing.T) {
		s := newStore()
		j, _ := open(t, s, 1)
		s.Faults.SetDown(true)
		wantKind(t, j.Append(context.Background(), now, accept(1)), errs.Unavailable)
		s.Faults.SetDown(false)
		if j.InDoubt() {
			t.Fatal("the journal counts as unsettled")
		}
		if _, found := open(t, s, 2); len(found.Jobs) != 0 {
			t.Fatalf("found %d jobs", len(found.Jobs))
		}
	})
}
