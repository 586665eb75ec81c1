package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// forEachImplementation runs a test against the in-memory store directly, and through the HTTP client and handler.
func forEachImplementation(t *testing.T, test func(t *testing.T, m *Memory, s Store, clock *clockwork.FakeClock)) {
	t.Helper()
	t.Run("Memory", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		m := NewMemory(clock, "north")
		test(t, m, m.As("a", meter.Discard()), clock)
	})
	t.Run("HTTP", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		m := NewMemory(clock, "north")
		server := httptest.NewServer(m.Handler())
		defer server.Close()
		test(t, m, NewHTTP(HTTPConfig{
			Base: server.URL, From: "a", Meter: meter.Discard(), Client: http.DefaultClient,
		}), clock)
	})
}

func wantKind(t *testing.T, err error, kind errs.Kind) {
	t.Helper()
	if !errs.Is(err, kind) {
		t.Fatalf("got %v, want kind %s", err, kind)
	}
}

func wantOK(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestPutComparesVersions(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, _ *Memory, s Store, _ *clockwork.FakeClock) {
		ctx := context.Background()
		first, err := s.Put(ctx, Put{Key: "k", Value: json.RawMessage(`1`)})
		wantOK(t, err)
		_, err = s.Put(ctx, Put{Key: "k", Value: json.RawMessage(`2`)})
		wantKind(t, err, errs.Conflict)
		_, err = s.Put(ctx, Put{Key: "k", Value: json.RawMessage(`2`), Expect: first.Version})
		wantOK(t, err)
		got, err := s.Get(ctx, "k")
		wantOK(t, err)
		if string(got.Value) != "2" {
			t.Fatalf("got value %s, want 2", got.Value)
		}
	})
}

// A write whose answer is lost has taken effect: Commit must find it by its nonce and not repeat it.
func TestCommitResolvesAWriteInDoubt(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, m *Memory, s Store, _ *clockwork.FakeClock) {
		m.Faults.LoseAnswers(1)
		entry, err := Commit(context.Background(), s, Put{Key: "k"}, "body")
		wantOK(t, err)
		var body string
		wantOK(t, DecodeRecord(entry.Value, &body))
		if body != "body" || entry.Version != 1 {
			t.Fatalf("got %q at version %d, want \"body\" at version 1: the write must not be repeated", body, entry.Version)
		}
	})
}

func TestCommitReportsALostRace(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, _ *Memory, s Store, _ *clockwork.FakeClock) {
		_, err := Commit(context.Background(), s, Put{Key: "k"}, "mine")
		wantOK(t, err)
		_, err = Commit(context.Background(), s, Put{Key: "k"}, "theirs")
		wantKind(t, err, errs.Conflict)
	})
}

func TestKeysAreDeletedWithTheirLease(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, _ *Memory, s Store, clock *clockwork.FakeClock) {
		ctx := context.Background()
		lease, err := s.Grant(ctx, 10*time.Second)
		wantOK(t, err)
		_, err = s.Put(ctx, Put{Key: "k", Value: json.RawMessage(`1`), Lease: lease})
		wantOK(t, err)
		clock.Advance(9 * time.Second)
		wantOK(t, s.Renew(ctx, lease))
		clock.Advance(9 * time.Second)
		_, err = s.Get(ctx, "k")
		wantOK(t, err)
		clock.Advance(2 * time.Second)
		_, err = s.Get(ctx, "k")
		wantKind(t, err, errs.NotFound)
		wantKind(t, s.Renew(ctx, lease), errs.NotFound)
	})
}

func TestWatchReturnsChangesAfterTheVersion(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, _ *Memory, s Store, _ *clockwork.FakeClock) {
		ctx := context.Background()
		_, err := s.Put(ctx, Put{Key: "a/1", Value: json.RawMessage(`1`)})
		wantOK(t, err)
		got := make(chan Page, 1)
		go func() {
			page, _ := s.Watch(ctx, "a/", 1)
			got <- page
		}()
		_, err = s.Put(ctx, Put{Key: "a/2", Value: json.RawMessage(`2`)})
		wantOK(t, err)
		page := <-got
		if len(page.Entries) != 1 || page.Entries[0].Key != "a/2" {
			t.Fatalf("got %+v, want one change, of a/2", page)
		}
	})
}

func TestDownAndPartitionedCallsHaveNoEffect(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, m *Memory, s Store, _ *clockwork.FakeClock) {
		ctx := context.Background()
		m.Faults.SetPartitioned("a", true)
		_, err := s.Put(ctx, Put{Key: "k", Value: json.RawMessage(`1`)})
		wantKind(t, err, errs.Unavailable)
		m.Faults.SetPartitioned("a", false)
		m.Faults.SetDown(true)
		_, err = s.Put(ctx, Put{Key: "k", Value: json.RawMessage(`1`)})
		wantKind(t, err, errs.Unavailable)
		m.Faults.SetDown(false)
		_, err = s.Get(ctx, "k")
		wantKind(t, err, errs.NotFound)
	})
}

func TestCallsAreCountedByKindAndCrossing(t *testing.T) {
	m := NewMemory(clockwork.NewFakeClock(), "north")
	calls := meter.Discard()
	s := m.As("a", calls)
	_, err := s.Put(context.Background(), Put{Key: "key", Value: json.RawMessage(`12345`)})
	wantOK(t, err)
	if calls.Get(KindPut, meter.Calls) != 1 || calls.Get(KindPut, meter.SentBytes) != 8 {
		t.Fatal("the call or its 8 bytes were not counted")
	}
	if calls.Get(KindPut, meter.CrossedBytes) != 8 {
		t.Fatal("the 8 bytes between regions were not counted")
	}
}

// A watch without changes must return an empty page after clientWatchTimeout, before its caller's context ends.
func TestWatchOverHTTPAnswersBeforeItsCallerGivesUp(t *testing.T) {
	memory := NewMemory(clockwork.NewRealClock(), "r")
	server := httptest.NewServer(memory.Handler())
	defer server.Close()
	c := NewHTTP(HTTPConfig{Base: server.URL, Region: "r", Meter: meter.Discard(), Client: server.Client()})
	entry, err := c.Put(context.Background(), Put{Key: "a", Value: []byte("1"), Expect: Absent})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientWatchTimeout+10*time.Second)
	defer cancel()
	page, err := c.Watch(ctx, "a", entry.Version)
	if err != nil || len(page.Entries) != 0 || page.Version != entry.Version {
		t.Fatalf("got %+v, %v, want an empty page before the timeout of the caller", page, err)
	}
}

// Guards against faults of the stand-in that end or keep another daemon's lease.
func TestLeasesEndOrAreExtendedOnRequest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := NewMemory(clock, "north")
	s, ctx := m.As("a", meter.Discard()), t.Context()
	ended, err := s.Grant(ctx, time.Second)
	wantOK(t, err)
	kept, err := s.Grant(ctx, time.Second)
	wantOK(t, err)
	for key, lease := range map[Key]LeaseID{"ended": ended, "kept": kept} {
		_, err := s.Put(ctx, Put{Key: key, Value: json.RawMessage(`1`), Lease: lease})
		wantOK(t, err)
	}
	m.EndLeases("ended")
	m.ExtendLeases(time.Second)
	clock.Advance(1500 * time.Millisecond)
	wantKind(t, s.Renew(ctx, ended), errs.NotFound)
	_, err = s.Get(ctx, "ended")
	wantKind(t, err, errs.NotFound)
	wantOK(t, s.Renew(ctx, kept))
}
