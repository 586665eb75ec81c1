package ledger

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// storeFixture is an in-memory store with the epoch that was last raised.
type storeFixture struct {
	t       *testing.T
	memory  *store.Memory
	clock   clockwork.Clock
	epoch   types.Epoch
	version store.Version
}

func newStoreFixture(t *testing.T) *storeFixture {
	clock := clockwork.NewRealClock()
	return &storeFixture{t: t, memory: store.NewMemory(clock, "r1"), clock: clock}
}

func (f *storeFixture) batcher() store.Batcher {
	v, ok := f.memory.As("dc1", meter.Discard()).(store.Batcher)
	if !ok {
		f.t.Fatal("the in-memory store does not support batches")
	}
	return v
}

// openLedger raises the epoch, as a new leader does, and reads the ledger.
func (f *storeFixture) openLedger() (*Ledger, *tasks.Table) {
	f.t.Helper()
	f.epoch++
	out, err := f.batcher().Apply(context.Background(), store.Batch{
		Conditions: []store.Condition{{Key: EpochKey, Expect: f.version}},
		Puts:       []store.Put{{Key: EpochKey, Value: []byte("1")}},
	})
	if err != nil || !out.Applied {
		f.t.Fatalf("raising the epoch: %v", err)
	}
	f.version = out.Version
	table := tasks.New()
	l, err := Open(context.Background(), Config{
		Store: f.batcher(), Clock: f.clock, Epoch: f.epoch, EpochVersion: f.version,
	}, table)
	if err != nil {
		f.t.Fatal(err)
	}
	return l, table
}

func (f *storeFixture) mustAppend(l *Ledger, e Entry) {
	f.t.Helper()
	if err := l.Append(context.Background(), e); err != nil {
		f.t.Fatal(err)
	}
}

func newJob(id string) *specs.Job {
	return &specs.Job{ID: specs.JobID(id), Queue: specs.Queue{Name: "q"}, Steps: []specs.Step{{Count: 2}}}
}

func refOf(id string, index int) specs.Ref {
	return specs.Ref{StepRef: specs.StepRef{Job: specs.JobID(id)}, Index: index}
}

func taskRecord(id string, state tasks.State, attempt specs.Attempt) tasks.Record {
	return tasks.Record{Task: &tasks.TaskChange{Ref: refOf(id, 0), State: state, Attempt: attempt}}
}

func resultRecord(id string) tasks.Record {
	return tasks.Record{End: &tasks.JobResult{Job: specs.JobID(id), Queue: "q", State: tasks.JobCompleted, At: time.Now()}}
}

func TestNextLeaderReadsWhatWasAppended(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	var many []*specs.Job
	for i := range 100 {
		many = append(many, newJob(fmt.Sprintf("j%d", i)))
	}
	f.mustAppend(l, Entry{Jobs: many, Records: []tasks.Record{taskRecord("j1", tasks.Placed, 1), resultRecord("j2")}})
	f.mustAppend(l, Entry{Records: []tasks.Record{taskRecord("j1", tasks.Waiting, 1)}})
	_, table := f.openLedger()
	if got := len(table.Jobs); got != 99 {
		t.Errorf("%d jobs, want 99", got)
	}
	if got := table.Task(refOf("j1", 0)); got.State != tasks.Waiting || got.Attempt != 1 {
		t.Errorf("task is %s in attempt %d", got.State, got.Attempt)
	}
	if got := table.EndedJobs["j2"].State; got != tasks.JobCompleted {
		t.Errorf("j2 is %q, want completed", got)
	}
}

func TestRingIsReusedBehindSnapshots(t *testing.T) {
	f := newStoreFixture(t)
	l, table := f.openLedger()
	j := newJob("j")
	table.AddJob(j)
	f.mustAppend(l, Entry{Jobs: []*specs.Job{j}})
	const rounds = 3 * slotCount
	for i := range rounds {
		r := taskRecord("j", tasks.Waiting, specs.Attempt(i+1))
		table.Apply(r)
		f.mustAppend(l, Entry{Records: []tasks.Record{r}})
		if l.SnapshotDue() {
			snapshot := l.BeginSnapshot(table.SnapshotRecords(), nil)
			if l.SnapshotDue() {
				t.Fatal("a snapshot is due while one is in flight")
			}
			f.mustAppend(l, Entry{})
			err := snapshot.Run(context.Background())
			l.FinishSnapshot(snapshot, err)
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	_, read := f.openLedger()
	if got := read.Task(refOf("j", 0)).Attempt; got != rounds {
		t.Errorf("attempt %d, want %d", got, rounds)
	}
}

func TestKeysOfEndedJobsAreDeleted(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	f.mustAppend(l, Entry{Jobs: []*specs.Job{newJob("j")}, Records: []tasks.Record{resultRecord("j")}})
	f.mustAppend(l, Entry{})
	if _, err := f.batcher().Get(context.Background(), jobKey("j")); !errs.Is(err, errs.NotFound) {
		t.Errorf("reading the key of an ended job: %v, want NotFound", err)
	}
}

func TestLostAnswerTakesEffectOnce(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	f.memory.Faults.LoseAnswers(2)
	f.mustAppend(l, Entry{Jobs: []*specs.Job{newJob("j")}, Records: []tasks.Record{taskRecord("j", tasks.Placed, 1)}})
	f.mustAppend(l, Entry{Records: []tasks.Record{taskRecord("j", tasks.Waiting, 1)}})
	next, table := f.openLedger()
	if got := table.Task(refOf("j", 0)).State; got != tasks.Waiting {
		t.Errorf("task is %s, want Waiting", got)
	}
	if next.nextSegment != l.nextSegment {
		t.Errorf("the next segment is %d, want %d", next.nextSegment, l.nextSegment)
	}
}

// A write of a former leader that reaches the store late must change nothing.
func TestFormerLeaderIsFenced(t *testing.T) {
	f := newStoreFixture(t)
	former, _ := f.openLedger()
	f.mustAppend(former, Entry{Jobs: []*specs.Job{newJob("j")}})
	f.openLedger()
	err := former.Append(context.Background(), Entry{Jobs: []*specs.Job{newJob("k")}})
	if !errs.Is(err, errs.Fenced) {
		t.Errorf("write of a former leader: %v, want Fenced", err)
	}
	if err := former.BeginSnapshot(nil, nil).Run(context.Background()); !errs.Is(err, errs.Fenced) {
		t.Errorf("snapshot of a former leader: %v, want Fenced", err)
	}
	if _, table := f.openLedger(); table.Jobs["k"] != nil {
		t.Error("the job of a former leader was stored")
	}
}

func TestUnreachableStoreIsTriedUntilTheTermEnds(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	f.memory.Faults.SetDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if err := l.Append(ctx, Entry{}); err == nil {
		t.Fatal("a write succeeded while the store is down")
	}
	f.memory.Faults.SetDown(false)
	f.mustAppend(l, Entry{Jobs: []*specs.Job{newJob("j")}})
	if _, table := f.openLedger(); table.Jobs["j"] == nil {
		t.Error("the job is missing after the store recovered")
	}
}

func TestIncompleteSnapshotIsNotUsed(t *testing.T) {
	whole1 := storedPart{partHeader: partHeader{Base: 7, Epoch: 1, Index: 0, Total: 2}}
	whole2 := storedPart{partHeader: partHeader{Base: 7, Epoch: 1, Index: 1, Total: 2}}
	other := storedPart{partHeader: partHeader{Base: 9, Epoch: 1, Index: 0, Total: 2}}
	longer := storedPart{partHeader: partHeader{Base: 3, Epoch: 1, Index: 2, Total: 3}}
	if got := completeParts([]storedPart{whole2, whole1, longer}); len(got) != 2 {
		t.Errorf("the complete snapshot has %d parts, want 2", len(got))
	}
	if got := completeParts([]storedPart{other, whole2}); got != nil {
		t.Error("parts of two snapshots were used as one")
	}
	if got := completeParts([]storedPart{whole1}); got != nil {
		t.Error("a snapshot with a missing part was used")
	}
}

// lossyStore applies the first batches but does not answer them.
type lossyStore struct {
	store.Batcher

	lostAnswers atomic.Int64
}

func (s *lossyStore) Apply(ctx context.Context, batch store.Batch) (store.Outcome, error) {
	if s.lostAnswers.Add(-1) < 0 {
		return s.Batcher.Apply(ctx, batch)
	}
	out, err := s.Batcher.Apply(ctx, batch)
	if err != nil {
		return out, err
	}
	<-ctx.Done()
	return store.Outcome{}, errs.New(errs.Lost, "the answer was lost")
}

// A lost answer must not delay a write until maxTryTimeout: the next try must be sent while the first is unanswered.
func TestTryWithoutAnswerIsSentAgainBesideIt(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	lossy := &lossyStore{Batcher: f.batcher()}
	lossy.lostAnswers.Store(2)
	l.config.Store = lossy
	began := time.Now()
	f.mustAppend(l, Entry{Jobs: []*specs.Job{newJob("j")}})
	if took := time.Since(began); took > maxTryTimeout/2 {
		t.Errorf("the write took %s", took)
	}
	if _, table := f.openLedger(); table.Jobs["j"] == nil {
		t.Error("the job is missing")
	}
}

// refusingStore applies the first batch without answering it and refuses all others; onRefusal is called at each refusal.
type refusingStore struct {
	store.Batcher

	calls     atomic.Int64
	onRefusal func()
}

func (s *refusingStore) Apply(ctx context.Context, batch store.Batch) (store.Outcome, error) {
	if s.calls.Add(1) > 1 {
		s.onRefusal()
		return store.Outcome{}, errs.New(errs.Unavailable, "refused")
	}
	if out, err := s.Batcher.Apply(ctx, batch); err != nil {
		return out, err
	}
	return store.Outcome{}, errs.New(errs.Lost, "the answer was lost")
}

// A term may end while the store refuses a write of which an earlier try was stored. The error must not say that the
// write is not stored.
func TestRefusalAfterALostAnswerIsInDoubt(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.config.Store = &refusingStore{Batcher: f.batcher(), onRefusal: func() { time.AfterFunc(retryBackoff/3, cancel) }}
	if err := l.Append(ctx, Entry{Jobs: []*specs.Job{newJob("j")}}); !errs.Is(err, errs.Lost) {
		t.Errorf("got %v, want an error of kind Lost", err)
	}
	if _, table := f.openLedger(); table.Jobs["j"] == nil {
		t.Fatal("the first try was not stored")
	}
}

// brokenStore breaks the connection of each call at once, as a store that is down may do, and counts the calls.
type brokenStore struct {
	store.Batcher
	calls atomic.Int64
}

func (s *brokenStore) Apply(context.Context, store.Batch) (store.Outcome, error) {
	s.calls.Add(1)
	return store.Outcome{}, errs.New(errs.Lost, "connection reset")
}

// A store that breaks connections at once must not be called again and again without a pause by each write in flight.
func TestTriesOfAStoreThatBreaksConnectionsAreSpread(t *testing.T) {
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	broken := &brokenStore{Batcher: f.batcher()}
	l.config.Store = broken
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.Append(ctx, Entry{Jobs: []*specs.Job{newJob("j")}}); !errs.Is(err, errs.Lost) {
		t.Errorf("got %v, want kind Lost", err)
	}
	if most := int64(time.Second/retryBackoff) + 4; broken.calls.Load() > most {
		t.Errorf("%d tries in one second, want at most %d", broken.calls.Load(), most)
	}
}

func TestResultsAreStoredOnceAndRetainedForAWhile(t *testing.T) {
	f := newStoreFixture(t)
	l, table := f.openLedger()
	l.config.Retention = time.Minute
	writeSnapshot := func(results ...tasks.JobResult) {
		snapshot := l.BeginSnapshot(table.SnapshotRecords(), results)
		err := snapshot.Run(context.Background())
		l.FinishSnapshot(snapshot, err)
		if err != nil {
			t.Fatal(err)
		}
		f.mustAppend(l, Entry{})
	}
	f.mustAppend(l, Entry{})
	writeSnapshot(tasks.JobResult{Job: "old", State: tasks.JobCompleted, At: time.Now().Add(-2 * time.Minute)})
	writeSnapshot(tasks.JobResult{Job: "new", State: tasks.JobFailed, At: time.Now()})
	writeSnapshot()
	_, read := f.openLedger()
	if _, ok := read.EndedJobs["old"]; ok {
		t.Error("a result is kept past its retention")
	}
	if got := read.EndedJobs["new"].State; got != tasks.JobFailed {
		t.Errorf("the result of the job is %q, want Failed", got)
	}
	if len(read.RecentResults) != 0 {
		t.Errorf("%d stored results would be stored again", len(read.RecentResults))
	}
}
