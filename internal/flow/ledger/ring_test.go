package ledger

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// fillRing appends changes of the task of job "j", without a snapshot, until no segment may follow.
func (f *storeFixture) fillRing(l *Ledger, table *tasks.Table) {
	f.t.Helper()
	for i := 0; !l.SnapshotRequired(); i++ {
		r := taskRecord("j", tasks.Waiting, specs.Attempt(i+1))
		table.Apply(r)
		f.mustAppend(l, Entry{Records: []tasks.Record{r}})
	}
}

// A leader that opens a full ring must be able to free it by a snapshot alone, since no segment may be written before.
func TestFullRingIsFreedByASnapshotWithoutAWrite(t *testing.T) {
	f := newStoreFixture(t)
	l, table := f.openLedger()
	f.mustAppend(l, Entry{Jobs: []*specs.Job{newJob("j")}})
	table.AddJob(newJob("j"))
	f.fillRing(l, table)
	want := table.Task(refOf("j", 0)).Attempt

	next, table := f.openLedger()
	if !next.SnapshotRequired() || !next.SnapshotDue() {
		t.Fatalf("snapshot required: %v, due: %v; want both", next.SnapshotRequired(), next.SnapshotDue())
	}
	snapshot := next.BeginSnapshot(table.SnapshotRecords(), nil)
	next.FinishSnapshot(snapshot, snapshot.Run(t.Context()))
	if next.SnapshotRequired() {
		t.Error("the ring is full after a snapshot")
	}
	f.mustAppend(next, Entry{Jobs: []*specs.Job{newJob("k")}})
	_, table = f.openLedger()
	if got := table.Task(refOf("j", 0)).Attempt; got != want {
		t.Errorf("attempt %d, want %d", got, want)
	}
	if table.Jobs["k"] == nil {
		t.Error("the job that was accepted after the snapshot is missing")
	}
}

// Writes that were in flight when a term ended leave gaps between the segments. The gaps use up slots of the ring as well:
// if only present segments counted, later segments would overwrite those that no snapshot covers.
func TestGapsBetweenSegmentsUseSlots(t *testing.T) {
	const inFlight = 8
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	f.mustAppend(l, Entry{Jobs: []*specs.Job{newJob("j")}, Records: []tasks.Record{taskRecord("j", tasks.Waiting, 7)}})
	for range 2 * slotCount / inFlight {
		l, _ = f.openLedger()
		if l.SnapshotRequired() {
			break
		}
		var last *Write
		for range inFlight {
			writes, err := l.Begin(Entry{})
			if err != nil {
				t.Fatal(err)
			}
			last = writes[0]
		}
		if err := last.Run(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	_, table := f.openLedger()
	if got := table.Task(refOf("j", 0)).Attempt; got != 7 {
		t.Errorf("attempt %d, want 7: its segment was overwritten before a snapshot", got)
	}
}

// The size of the segments is known after a change of leader too; else terms that are shorter than a snapshot let it grow.
func TestBytesSinceTheSnapshotAreCountedAcrossTerms(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	large := tasks.Record{Task: &tasks.TaskChange{
		Ref: refOf("j", 0), State: tasks.Waiting, Saved: specs.Checkpoint(strings.Repeat("x", maxBytesSinceSnapshot+1)),
	}}
	f.mustAppend(l, Entry{Records: []tasks.Record{large}})
	next, _ := f.openLedger()
	if !next.SnapshotDue() {
		t.Error("no snapshot is due although the segments are larger than the limit")
	}
}

// firstAnswerLost loses the first answer to each key of a snapshot or its results, and counts the calls.
type firstAnswerLost struct {
	store.Batcher
	seen  map[store.Key]bool
	calls atomic.Int64
}

func (s *firstAnswerLost) Apply(ctx context.Context, batch store.Batch) (store.Outcome, error) {
	s.calls.Add(1)
	out, err := s.Batcher.Apply(ctx, batch)
	if key := batch.Puts[0].Key; err == nil && !s.seen[key] {
		s.seen[key] = true
		return store.Outcome{}, errs.New(errs.Lost, "the answer was lost")
	}
	return out, err
}

// A part whose answer was lost is stored. Writing it again, and with it all parts, lets a snapshot take longer than the store's
// history of trouble, and the ring fills meanwhile.
func TestSnapshotGoesOnAfterALostAnswer(t *testing.T) {
	f := newStoreFixture(t)
	l, table := f.openLedger()
	for i := range 2 * recordsPerPart {
		j := newJob(fmt.Sprintf("j%d", i))
		table.AddJob(j)
		table.Apply(taskRecord(string(j.ID), tasks.Waiting, 1))
	}
	lossy := &firstAnswerLost{Batcher: f.batcher(), seen: make(map[store.Key]bool)}
	l.config.Store = lossy
	snapshot := l.BeginSnapshot(table.SnapshotRecords(), []tasks.JobResult{{Job: "done", State: tasks.JobCompleted, At: time.Now()}})
	if err := snapshot.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got, most := lossy.calls.Load(), int64(2*len(lossy.seen)); got > most {
		t.Errorf("%d calls for %d keys, want at most %d", got, len(lossy.seen), most)
	}
}

// A snapshot, and the results that it stores, are split into values that the store takes, whatever their records hold: one
// that is too large is refused for ever, and no segment can be written once the ring is full.
func TestSnapshotIsSplitByItsSize(t *testing.T) {
	const count = 40
	f := newStoreFixture(t)
	l, table := f.openLedger()
	f.mustAppend(l, Entry{})
	var results []tasks.JobResult
	for i := range count {
		id := fmt.Sprintf("j%d", i)
		j := newJob(id)
		f.mustAppend(l, Entry{Jobs: []*specs.Job{j}})
		table.AddJob(j)
		table.Apply(tasks.Record{Task: &tasks.TaskChange{
			Ref: refOf(id, 0), State: tasks.Waiting, Attempt: 3, Saved: specs.Checkpoint(strings.Repeat("x", 50<<10)),
		}})
		results = append(results, tasks.JobResult{
			Job: specs.JobID(fmt.Sprint("done", i)), Queue: specs.QueueName(strings.Repeat("q", 50<<10)), State: tasks.JobCompleted, At: time.Now(),
		})
	}
	sized := &sizedStore{Batcher: f.batcher()}
	l.config.Store = sized
	snapshot := l.BeginSnapshot(table.SnapshotRecords(), results)
	if err := snapshot.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := sized.largest.Load(); got > maxValueBytes {
		t.Errorf("a value has %d bytes, want at most %d", got, maxValueBytes)
	}
	_, read := f.openLedger()
	for i := range count {
		if got := read.Task(refOf(fmt.Sprintf("j%d", i), 0)).Attempt; got != 3 {
			t.Errorf("job %d: attempt %d, want 3", i, got)
		}
		if _, ended := read.EndedJobs[specs.JobID(fmt.Sprint("done", i))]; !ended {
			t.Errorf("result %d is missing", i)
		}
	}
}

// sizedStore records the size of the largest value.
type sizedStore struct {
	store.Batcher
	largest atomic.Int64
}

func (s *sizedStore) Apply(ctx context.Context, batch store.Batch) (store.Outcome, error) {
	for _, p := range batch.Puts {
		s.largest.Store(max(s.largest.Load(), int64(len(p.Value))))
	}
	return s.Batcher.Apply(ctx, batch)
}
