package edit

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// overwriteCurrent writes an older record over the accepted one, as if the store had been restored from a backup.
func (f *editFixture) overwriteCurrent(t *testing.T, record Accepted) {
	t.Helper()
	ctx := context.Background()
	entry, err := f.store().Get(ctx, CurrentKey(record.Environment))
	if err != nil {
		t.Fatal(err)
	}
	put := store.Put{Key: CurrentKey(record.Environment), Expect: entry.Version}
	if _, err := store.Commit(ctx, f.store(), put, record); err != nil {
		t.Fatal(err)
	}
}

func (f *editFixture) assertReconcile(t *testing.T, inForce Accepted, want ReconcileAction) {
	t.Helper()
	got, err := ReconcileStore(context.Background(), f.store(), inForce)
	if err != nil || got != want {
		t.Fatalf("ReconcileStore returned %s, %v, want %s", got, err, want)
	}
}

func TestRestoredStoreGetsTheRecordInForceBack(t *testing.T) {
	f := newEditFixture()
	e := f.editor("amel")
	old := put(t, e, trial, 0, 10)
	f.clock.Advance(time.Minute)
	inForce := put(t, e, trial, 1, 20)
	f.overwriteCurrent(t, old)
	f.assertReconcile(t, inForce, ReconcileReinstated)
	assertCurrent(t, e, trial, 2, 20)
	f.assertReconcile(t, inForce, ReconcileNothing)
}

func TestEditAfterARestorationIsIssuedAboveTheRecordInForce(t *testing.T) {
	f := newEditFixture()
	e := f.editor("amel")
	old := put(t, e, trial, 0, 10)
	f.clock.Advance(time.Minute)
	put(t, e, trial, 1, 20)
	inForce := put(t, e, trial, 2, 30)
	f.overwriteCurrent(t, old)
	f.clock.Advance(time.Minute)
	put(t, e, trial, 1, 40)
	f.assertReconcile(t, inForce, ReconcileReissued)
	assertCurrent(t, e, trial, 4, 40)
	if _, err := e.Revision(context.Background(), trial, 3); err != nil {
		t.Fatalf("the record that was in force is not in the history: %v", err)
	}
}

func TestPutThroughADaemonThatKnowsMoreThanTheStore(t *testing.T) {
	f := newEditFixture()
	plain := f.editor("amel")
	old := put(t, plain, trial, 0, 10)
	f.clock.Advance(time.Minute)
	inForce := put(t, plain, trial, 1, 20)
	f.overwriteCurrent(t, old)
	e := New(Config{Store: f.store(), Clock: f.clock, By: "sami", InForce: func(envdoc.Name) *Accepted { return &inForce }})
	if _, err := e.Put(context.Background(), trial, 1, body(30)); err == nil {
		t.Fatal("a put that expects the restored revision was accepted")
	}
	put(t, e, trial, 2, 30)
	assertCurrent(t, e, trial, 3, 30)
}

func TestDuplicateRevisionsAreBothKept(t *testing.T) {
	f := newEditFixture()
	e := f.editor("amel")
	old := put(t, e, trial, 0, 10)
	put(t, e, trial, 1, 20)
	put(t, e, trial, 2, 25)
	f.overwriteCurrent(t, old)
	put(t, e, trial, 1, 30)
	put(t, e, trial, 2, 35)
	history, err := e.History(context.Background(), trial, 10)
	if err != nil {
		t.Fatal(err)
	}
	duplicates := 0
	for _, record := range history {
		if record.Revision == 2 {
			duplicates++
		}
	}
	if duplicates != 2 {
		t.Fatalf("the history holds %d records of revision 2, want 2: %v", duplicates, revisions(history))
	}
}

func revisions(records []Accepted) []string {
	var out []string
	for _, r := range records {
		out = append(out, fmt.Sprintf("%d/%x", r.Revision, uint64(r.Digest)))
	}
	return out
}

func TestNewerIsATotalOrder(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	draw := func() *Accepted {
		return &Accepted{
			Revision: types.Revision(r.Intn(3)), At: time.Unix(int64(r.Intn(3)), 0), Digest: types.Digest(r.Intn(3)),
		}
	}
	for range 2000 {
		a, b, c := draw(), draw(), draw()
		same := a.Revision == b.Revision && a.At.Equal(b.At) && a.Digest == b.Digest
		if a.Newer(b) == b.Newer(a) && !same {
			t.Fatalf("neither or both of %+v and %+v are newer than the other", a, b)
		}
		if a.Newer(b) && b.Newer(c) && !a.Newer(c) {
			t.Fatalf("the order of %+v, %+v and %+v is not transitive", a, b, c)
		}
	}
}
