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

// world is a store with an epoch.
type world struct {
	t       *testing.T
	memory  *store.Memory
	clock   clockwork.Clock
	epoch   types.Epoch
	version store.Version
}

func newWorld(t *testing.T) *world {
	clock := clockwork.NewRealClock()
	return &world{t: t, memory: store.NewMemory(clock, "r1"), clock: clock}
}

func (w *world) batcher() store.Batcher {
	v, ok := w.memory.As("dc1", meter.Discard()).(store.Batcher)
	if !ok {
		w.t.Fatal("the stand-in takes no batches")
	}
	return v
}

// open begins a new epoch and reads the ledger.
func (w *world) open() (*Ledger, *tasks.Table) {
	w.t.Helper()
	w.epoch++
	out, err := w.batcher().Apply(context.Background(), store.Batch{
		Conditions: []store.Condition{{Key: EpochKey, Expect: w.version}},
		Puts:       []store.Put{{Key: EpochKey, Value: []byte("1")}},
	})
	if err != nil || !out.Applied {
		w.t.Fatalf("raising the epoch: %v", err)
	}
	w.version = out.Version
	table := tasks.New()
	l, err := Open(context.Background(), Config{
		Store: w.batcher(), Clock: w.clock, Epoch: w.epoch, EpochVersion: w.version,
	}, table)
	if err != nil {
		w.t.Fatal(err)
	}
	return l, table
}

func (w *world) append(l *Ledger, e Entry) {
	w.t.Helper()
	if err := l.Append(context.Background(), e); err != nil {
		w.t.Fatal(err)
	}
}

func newJob(id string) *specs.Job {
	return &specs.Job{ID: specs.JobID(id), Queue: specs.Queue{Name: "q"}, Steps: []specs.Step{{Count: 2}}}
}

func refOf(id string, index int) specs.Ref {
	return specs.Ref{StepRef: specs.StepRef{Job: specs.JobID(id)}, Index: index}
}

func change(id string, state tasks.State, attempt specs.Attempt) tasks.Record {
	return tasks.Record{Task: &tasks.TaskChange{Ref: refOf(id, 0), State: state, Attempt: attempt}}
}

func ended(id string) tasks.Record {
	return tasks.Record{End: &tasks.JobResult{Job: specs.JobID(id), Queue: "q", State: tasks.JobCompleted, At: time.Now()}}
}

func TestNextLeadReadsWhatWasAppended(t *testing.T) {
	w := newWorld(t)
	l, _ := w.open()
	var many []*specs.Job
	for i := range 100 {
		many = append(many, newJob(fmt.Sprintf("j%d", i)))
	}
	w.append(l, Entry{Jobs: many, Records: []tasks.Record{change("j1", tasks.Placed, 1), ended("j2")}})
	w.append(l, Entry{Records: []tasks.Record{change("j1", tasks.Waiting, 1)}})
	_, table := w.open()
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

func TestRingGoesRoundBehindImages(t *testing.T) {
	w := newWorld(t)
	l, table := w.open()
	j := newJob("j")
	table.AddJob(j)
	w.append(l, Entry{Jobs: []*specs.Job{j}})
	const rounds = 3 * slots
	for i := range rounds {
		r := change("j", tasks.Waiting, specs.Attempt(i+1))
		table.Apply(r)
		w.append(l, Entry{Records: []tasks.Record{r}})
		if l.SnapshotDue() {
			image := l.BeginSnapshot(table.SnapshotRecords(), nil)
			if l.SnapshotDue() {
				t.Fatal("an image is due while one is under way")
			}
			w.append(l, Entry{})
			err := image.Run(context.Background())
			l.FinishSnapshot(image, err)
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	_, read := w.open()
	if got := read.Task(refOf("j", 0)).Attempt; got != rounds {
		t.Errorf("attempt %d, want %d", got, rounds)
	}
}

func TestKeysOfEndedJobsAreDeleted(t *testing.T) {
	w := newWorld(t)
	l, _ := w.open()
	w.append(l, Entry{Jobs: []*specs.Job{newJob("j")}, Records: []tasks.Record{ended("j")}})
	w.append(l, Entry{})
	if _, err := w.batcher().Get(context.Background(), jobKey("j")); !errs.Is(err, errs.NotFound) {
		t.Errorf("the key of an ended job: %v, want NotFound", err)
	}
}

func TestLostAnswerTakesEffectOnce(t *testing.T) {
	w := newWorld(t)
	l, _ := w.open()
	w.memory.Faults.LoseAnswers(2)
	w.append(l, Entry{Jobs: []*specs.Job{newJob("j")}, Records: []tasks.Record{change("j", tasks.Placed, 1)}})
	w.append(l, Entry{Records: []tasks.Record{change("j", tasks.Waiting, 1)}})
	next, table := w.open()
	if got := table.Task(refOf("j", 0)).State; got != tasks.Waiting {
		t.Errorf("task is %s, want Waiting", got)
	}
	if next.next != l.next {
		t.Errorf("the next segment is %d, want %d", next.next, l.next)
	}
}

// A write of a former lead that the store carries out late must change nothing.
func TestFormerLeadIsFenced(t *testing.T) {
	w := newWorld(t)
	former, _ := w.open()
	w.append(former, Entry{Jobs: []*specs.Job{newJob("j")}})
	w.open()
	err := former.Append(context.Background(), Entry{Jobs: []*specs.Job{newJob("k")}})
	if !errs.Is(err, errs.Fenced) {
		t.Errorf("a former lead's write: %v, want Fenced", err)
	}
	if err := former.BeginSnapshot(nil, nil).Run(context.Background()); !errs.Is(err, errs.Fenced) {
		t.Errorf("a former lead's image: %v, want Fenced", err)
	}
	if _, table := w.open(); table.Jobs["k"] != nil {
		t.Error("a former lead's job was taken")
	}
}

func TestUnreachableStoreIsTriedUntilTheTermEnds(t *testing.T) {
	w := newWorld(t)
	l, _ := w.open()
	w.memory.Faults.SetDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if err := l.Append(ctx, Entry{}); err == nil {
		t.Fatal("a write succeeded while the store is down")
	}
	w.memory.Faults.SetDown(false)
	w.append(l, Entry{Jobs: []*specs.Job{newJob("j")}})
	if _, table := w.open(); table.Jobs["j"] == nil {
		t.Error("the job is not there once the store is back")
	}
}

func TestHalfAnImageIsNotUsed(t *testing.T) {
	whole1 := part{Base: 7, Epoch: 1, Index: 0, Total: 2}
	whole2 := part{Base: 7, Epoch: 1, Index: 1, Total: 2}
	other := part{Base: 9, Epoch: 1, Index: 0, Total: 2}
	longer := part{Base: 3, Epoch: 1, Index: 2, Total: 3}
	if got := whole([]part{whole2, whole1, longer}); len(got) != 2 {
		t.Errorf("a whole image has %d parts, want 2", len(got))
	}
	if got := whole([]part{other, whole2}); got != nil {
		t.Error("an image was made of parts of two")
	}
	if got := whole([]part{whole1}); got != nil {
		t.Error("an image with a missing part was used")
	}
}

// slowFirst is a store that does not answer the first tries.
type slowFirst struct {
	store.Batcher

	left atomic.Int64
}

func (s *slowFirst) Apply(ctx context.Context, batch store.Batch) (store.Outcome, error) {
	if s.left.Add(-1) < 0 {
		return s.Batcher.Apply(ctx, batch)
	}
	out, err := s.Batcher.Apply(ctx, batch)
	if err != nil {
		return out, err
	}
	<-ctx.Done()
	return store.Outcome{}, errs.New(errs.Lost, "the answer was lost")
}

// An answer that is lost must not hold a write up for as long as the store may be slow.
func TestTryWithoutAnswerIsSentAgainBesideIt(t *testing.T) {
	w := newWorld(t)
	l, _ := w.open()
	s := &slowFirst{Batcher: w.batcher()}
	s.left.Store(2)
	l.config.Store = s
	began := time.Now()
	w.append(l, Entry{Jobs: []*specs.Job{newJob("j")}})
	if took := time.Since(began); took > longestTry/2 {
		t.Errorf("took %s", took)
	}
	if _, table := w.open(); table.Jobs["j"] == nil {
		t.Error("the job is not there")
	}
}

func TestEndsAreStoredOnceAndKeptForAWhile(t *testing.T) {
	w := newWorld(t)
	l, table := w.open()
	l.config.Retention = time.Minute
	image := func(ends ...tasks.JobResult) {
		i := l.BeginSnapshot(table.SnapshotRecords(), ends)
		err := i.Run(context.Background())
		l.FinishSnapshot(i, err)
		if err != nil {
			t.Fatal(err)
		}
		w.append(l, Entry{})
	}
	w.append(l, Entry{})
	image(tasks.JobResult{Job: "old", State: tasks.JobCompleted, At: time.Now().Add(-2 * time.Minute)})
	image(tasks.JobResult{Job: "new", State: tasks.JobFailed, At: time.Now()})
	image()
	_, read := w.open()
	if _, ok := read.EndedJobs["old"]; ok {
		t.Error("an end is kept for too long")
	}
	if got := read.EndedJobs["new"].State; got != tasks.JobFailed {
		t.Errorf("the end of a job is %q, want Failed", got)
	}
	if len(read.RecentResults) != 0 {
		t.Errorf("%d ends would be stored again", len(read.RecentResults))
	}
}
