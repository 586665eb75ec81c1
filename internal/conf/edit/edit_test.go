package edit

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const trial, production envdoc.Name = "trial", "production"

// editFixture holds an in-memory store and creates editors for it.
type editFixture struct {
	clock      *clockwork.FakeClock
	memory     *store.Memory
	storeCalls *meter.Meter
}

func newEditFixture() *editFixture {
	clock := clockwork.NewFakeClock()
	return &editFixture{clock: clock, memory: store.NewMemory(clock, "tunis-north"), storeCalls: meter.Discard()}
}

func (f *editFixture) store() store.Store {
	return f.memory.As("carthage", f.storeCalls)
}

func (f *editFixture) editor(by string) *Editor {
	return New(Config{Store: f.store(), Clock: f.clock, By: by})
}

// body returns a valid document whose team has a quota of the given number of cores.
func body(cores int) []byte {
	return fmt.Appendf(nil, `DataCentres:
  - Name: carthage
    Region: tunis-north
    Workers:
      - {Count: 2, Capacity: {Cores: 64, Memory: 256GiB}}
Teams:
  - Name: bookings
    Quota: {Cores: %d, Memory: 400GiB}
    MaxClass: Normal
`, cores)
}

func assertKind(t *testing.T, err error, kind errs.Kind, texts ...string) {
	t.Helper()
	if !errs.Is(err, kind) {
		t.Fatalf("got %v, want kind %s", err, kind)
	}
	for _, text := range texts {
		if !strings.Contains(err.Error(), text) {
			t.Fatalf("%q is missing in error: %v", text, err)
		}
	}
}

func put(t *testing.T, e *Editor, env envdoc.Name, expect types.Revision, cores int) Accepted {
	t.Helper()
	accepted, err := e.Put(context.Background(), env, expect, body(cores))
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

func assertCurrent(t *testing.T, e *Editor, env envdoc.Name, revision types.Revision, cores int) {
	t.Helper()
	got, err := e.Get(context.Background(), env)
	if err != nil {
		t.Fatal(err)
	}
	if got.Revision != revision || string(got.Body) != string(body(cores)) {
		t.Fatalf("got revision %d by %s, want revision %d with %d cores", got.Revision, got.By, revision, cores)
	}
}

func TestPutAndGet(t *testing.T) {
	e := newEditFixture().editor("amel")
	if first := put(t, e, trial, 0, 10); first.Revision != 1 {
		t.Fatalf("got revision %d", first.Revision)
	}
	put(t, e, trial, 1, 11)
	assertCurrent(t, e, trial, 2, 11)
}

func TestGetOfNothingSaysWhatToDo(t *testing.T) {
	_, err := newEditFixture().editor("amel").Get(context.Background(), trial)
	assertKind(t, err, errs.NotFound, "expected revision 0")
}

func TestMalformedDocumentIsNotAccepted(t *testing.T) {
	f := newEditFixture()
	_, err := f.editor("amel").Put(context.Background(), trial, 0, []byte("Teams: 3"))
	assertKind(t, err, errs.Invalid, "line 1")
	if n := f.storeCalls.Total("Store.", meter.Calls); n != 0 {
		t.Fatalf("%d store calls for a rejected document, want none", n)
	}
}

func TestOldRevisionShowsTheOtherChange(t *testing.T) {
	f := newEditFixture()
	amel, sami := f.editor("amel"), f.editor("sami")
	put(t, amel, trial, 0, 10)
	put(t, sami, trial, 1, 20)
	_, err := amel.Put(context.Background(), trial, 1, body(30))
	assertKind(t, err, errs.Conflict, "put by sami", "Quota of team bookings changes", "Get revision 2")
	assertCurrent(t, amel, trial, 2, 20)
}

func TestRaceHasExactlyOneWinner(t *testing.T) {
	for round := range 20 {
		f := newEditFixture()
		put(t, f.editor("amel"), trial, 0, 10)
		const operators = 4
		results := make([]error, operators)
		var group sync.WaitGroup
		for i := range operators {
			group.Add(1)
			go func() {
				defer group.Done()
				_, results[i] = f.editor(fmt.Sprint("operator-", i)).Put(context.Background(), trial, 1, body(20+i))
			}()
		}
		group.Wait()
		winner := -1
		for i, err := range results {
			switch {
			case err == nil && winner < 0:
				winner = i
			case err == nil:
				t.Fatalf("round %d: operators %d and %d both won", round, winner, i)
			default:
				assertKind(t, err, errs.Conflict, "was not taken", "Get revision 2")
			}
		}
		assertCurrent(t, f.editor("amel"), trial, 2, 20+winner)
	}
}

func TestPromoteKeepsTheDigest(t *testing.T) {
	e := newEditFixture().editor("amel")
	source := put(t, e, trial, 0, 10)
	promoted, err := e.Promote(context.Background(), trial, production, source.Digest, 0)
	if err != nil {
		t.Fatal(err)
	}
	if promoted.Digest != source.Digest || promoted.From != trial || promoted.Environment != production {
		t.Fatalf("got %+v", promoted)
	}
	assertCurrent(t, e, production, 1, 10)
}

func TestPromoteRefusesWhatWasNotTried(t *testing.T) {
	f := newEditFixture()
	e := f.editor("amel")
	outdated := put(t, e, trial, 0, 10)
	put(t, f.editor("sami"), trial, 1, 20)
	_, err := e.Promote(context.Background(), trial, production, outdated.Digest, 0)
	assertKind(t, err, errs.Conflict, "put by sami", "try that revision")
	_, err = e.Get(context.Background(), production)
	assertKind(t, err, errs.NotFound)
}

func TestDocumentForOneEnvironmentStaysThere(t *testing.T) {
	e := newEditFixture().editor("amel")
	boundBody := append([]byte("Environment: trial\n"), body(10)...)
	source, err := e.Put(context.Background(), trial, 0, boundBody)
	if err != nil {
		t.Fatal(err)
	}
	_, err = e.Promote(context.Background(), trial, production, source.Digest, 0)
	assertKind(t, err, errs.Invalid, "leave Environment out")
	_, err = e.Put(context.Background(), production, 0, boundBody)
	assertKind(t, err, errs.Invalid, "only for environment trial")
}

func TestWriteInDoubtIsResolvedByReadingBack(t *testing.T) {
	f := newEditFixture()
	e := f.editor("amel")
	put(t, e, trial, 0, 10)
	for _, lost := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			now, err := e.Get(context.Background(), trial)
			if err != nil {
				t.Fatal(err)
			}
			f.memory.Faults.LoseAnswers(lost)
			accepted, err := e.Put(context.Background(), trial, now.Revision, body(20+lost))
			f.memory.Faults.LoseAnswers(0)
			after, getErr := e.Get(context.Background(), trial)
			if getErr != nil {
				t.Fatal(getErr)
			}
			assertAnswerMatchesStore(t, accepted, err, now, after)
		})
	}
}

// assertAnswerMatchesStore checks that the result of a put agrees with what the store holds afterwards.
func assertAnswerMatchesStore(t *testing.T, accepted Accepted, err error, before, after Accepted) {
	t.Helper()
	switch {
	case err == nil && (accepted.Revision != after.Revision || accepted.Digest != after.Digest):
		t.Fatalf("the operator was told revision %d, but the store has %d", accepted.Revision, after.Revision)
	case errs.Is(err, errs.Unavailable, errs.Conflict) && after.Revision != before.Revision:
		t.Fatalf("the operator was told %v, but the store went from revision %d to %d", err, before.Revision, after.Revision)
	case err != nil && !errs.Is(err, errs.Unavailable, errs.Conflict, errs.Lost):
		t.Fatalf("got %v", err)
	}
}

func TestStoreDownSaysThatNothingChanged(t *testing.T) {
	f := newEditFixture()
	f.memory.Faults.SetDown(true)
	_, err := f.editor("amel").Put(context.Background(), trial, 0, body(10))
	assertKind(t, err, errs.Unavailable, "nothing was changed", "try again")
}

// failingStore fails every write after a number of them, as if the writer had stopped.
type failingStore struct {
	store.Store
	writes int
}

func (f *failingStore) Put(ctx context.Context, p store.Put) (store.Entry, error) {
	if f.writes == 0 {
		return store.Entry{}, errs.New(errs.Unavailable, "the writer stopped")
	}
	f.writes--
	return f.Store.Put(ctx, p)
}

func TestHistoryIsWholeWhenTheWriterDiesBetweenWrites(t *testing.T) {
	for writes := range 3 {
		t.Run(fmt.Sprint(writes), func(t *testing.T) {
			f := newEditFixture()
			e := f.editor("amel")
			put(t, e, trial, 0, 10)
			put(t, e, trial, 1, 11)
			failing := New(Config{Store: &failingStore{Store: f.store(), writes: writes}, Clock: f.clock, By: "sami"})
			_, err := failing.Put(context.Background(), trial, 2, body(12))
			next := types.Revision(2)
			if err == nil {
				next = 3
			}
			put(t, e, trial, next, 13)
			assertHistory(t, e, next+1)
		})
	}
}

func assertHistory(t *testing.T, e *Editor, newest types.Revision) {
	t.Helper()
	history, err := e.History(context.Background(), trial, 100)
	if err != nil {
		t.Fatal(err)
	}
	if len(history) != int(newest) {
		t.Fatalf("got %d records, want %d", len(history), newest)
	}
	for i, record := range history {
		if record.Revision != newest-types.Revision(i) {
			t.Fatalf("record %d has revision %d", i, record.Revision)
		}
	}
}

func TestHistoryIsBounded(t *testing.T) {
	f := newEditFixture()
	e := f.editor("amel")
	for i := range KeepRevisions + 20 {
		put(t, e, trial, types.Revision(i), 10+i%50)
	}
	page, err := f.store().List(context.Background(), historyPrefix)
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Entries) > KeepRevisions {
		t.Fatalf("the history holds %d records", len(page.Entries))
	}
	limited, err := e.History(context.Background(), trial, 5)
	if err != nil || len(limited) != 5 {
		t.Fatalf("got %d records, %v", len(limited), err)
	}
}

func TestPutCostsAtMostSixCalls(t *testing.T) {
	f := newEditFixture()
	e := f.editor("amel")
	for i := range 110 {
		put(t, e, trial, types.Revision(i), 10+i%50)
	}
	before := f.storeCalls.Total("Store.", meter.Calls)
	put(t, e, trial, 110, 10)
	if n := f.storeCalls.Total("Store.", meter.Calls) - before; n > 6 {
		t.Fatalf("a put took %d store calls, want at most 6", n)
	}
}

func TestAcceptanceTimesGrowThoughClocksDiffer(t *testing.T) {
	f := newEditFixture()
	put(t, f.editor("amel"), trial, 0, 10)
	slow := New(Config{Store: f.store(), Clock: clockwork.NewFakeClockAt(f.clock.Now().Add(-time.Hour)), By: "sami"})
	second := put(t, slow, trial, 1, 11)
	first, err := slow.Revision(context.Background(), trial, 1)
	if err != nil {
		t.Fatal(err)
	}
	if !second.At.After(first.At) {
		t.Fatalf("revision 2 was accepted at %s, not after revision 1 at %s", second.At, first.At)
	}
}

// lossyStore loses the answer to the first write of the accepted record. Before it returns, another operator replaces
// that record.
type lossyStore struct {
	store.Store
	concurrentPut func()
}

func (l *lossyStore) Put(ctx context.Context, p store.Put) (store.Entry, error) {
	entry, err := l.Store.Put(ctx, p)
	if err != nil || p.Key != CurrentKey(trial) || l.concurrentPut == nil {
		return entry, err
	}
	l.concurrentPut()
	l.concurrentPut = nil
	return store.Entry{}, errs.New(errs.Lost, "the answer was lost")
}

func TestLostAnswerOfARecordThatWasReplacedSince(t *testing.T) {
	f := newEditFixture()
	put(t, f.editor("amel"), trial, 0, 10)
	lossy := &lossyStore{Store: f.store()}
	lossy.concurrentPut = func() { put(t, f.editor("sami"), trial, 2, 30) }
	accepted, err := New(Config{Store: lossy, Clock: f.clock, By: "amel"}).Put(context.Background(), trial, 1, body(20))
	if err != nil || accepted.Revision != 2 {
		t.Fatalf("revision 2 was accepted and replaced, but the operator was told %v", err)
	}
	assertCurrent(t, f.editor("amel"), trial, 3, 30)
}

// unreadableStore fails to list keys once the accepted record was written.
type unreadableStore struct {
	lossyStore
	written bool
}

func (u *unreadableStore) Put(ctx context.Context, p store.Put) (store.Entry, error) {
	u.written = u.written || p.Key == CurrentKey(trial)
	return u.lossyStore.Put(ctx, p)
}

func (u *unreadableStore) List(ctx context.Context, prefix store.Key) (store.Page, error) {
	if u.written {
		return store.Page{}, errs.New(errs.Unavailable, "the store is down")
	}
	return u.Store.List(ctx, prefix)
}

// The operator must not be told that the document was refused when it is not known whether it was accepted.
func TestLostAnswerWithAnUnreadableHistoryIsInDoubt(t *testing.T) {
	f := newEditFixture()
	put(t, f.editor("amel"), trial, 0, 10)
	s := &unreadableStore{lossyStore: lossyStore{Store: f.store()}}
	s.concurrentPut = func() { put(t, f.editor("sami"), trial, 2, 30) }
	_, err := New(Config{Store: s, Clock: f.clock, By: "amel"}).Put(context.Background(), trial, 1, body(20))
	assertKind(t, err, errs.Lost)
}
