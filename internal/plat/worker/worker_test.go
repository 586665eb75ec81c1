package worker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const leaseTTL = 10 * time.Second

func testVM() types.VM {
	return types.VM{
		ID: "w1", Role: types.RoleWorker, State: types.VMLive, Address: "127.0.0.1:1",
		Site:     types.Site{Region: "r", DataCentre: "d"},
		Capacity: types.Resources{Cores: 4 * types.Core, Memory: types.GiB},
	}
}

// forEachImplementation runs a test against the in-memory worker directly, and through the HTTP client and handler.
func forEachImplementation(t *testing.T, test func(t *testing.T, m *Memory, w Worker, clock *clockwork.FakeClock)) {
	t.Helper()
	t.Run("Memory", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		m := NewMemory(clock, testVM(), nil)
		test(t, m, m.As(types.Site{DataCentre: "d"}, meter.Discard()), clock)
	})
	t.Run("HTTP", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		m := NewMemory(clock, testVM(), nil)
		server := httptest.NewServer(m.Handler())
		defer server.Close()
		vm := testVM()
		vm.Address = types.Address(strings.TrimPrefix(server.URL, "http://"))
		dialer := &HTTPDialer{Client: http.DefaultClient, Meter: meter.Discard()}
		test(t, m, dialer.Dial(vm), clock)
	})
}

// startRequest returns a request to start an attempt of a task that runs for 5 s.
func startRequest(epoch types.Epoch, attempt types.AttemptID) StartRequest {
	return StartRequest{
		Epoch: epoch, Attempt: attempt, Lease: leaseTTL,
		Task: types.TaskSpec{Resources: types.Resources{Cores: 1, Memory: 1}, RunTime: 5 * time.Second},
	}
}

func wantOK(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// wantPhase fails the test unless run i of the worker's record is in the phase.
func wantPhase(t *testing.T, m *Memory, i int, phase Phase) {
	t.Helper()
	record := m.Record()
	if i >= len(record) || record[i].Phase != phase {
		t.Fatalf("record %+v: want phase %s at %d", record, phase, i)
	}
}

func TestOlderEpochIsRefused(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, m *Memory, w Worker, _ *clockwork.FakeClock) {
		ctx := context.Background()
		_, err := w.Fence(ctx, FenceRequest{Epoch: 2})
		wantOK(t, err)
		_, err = w.Start(ctx, startRequest(1, "a"))
		if !errs.Is(err, errs.Fenced) || len(m.Record()) != 0 {
			t.Fatalf("got %v, record %v; want kind Fenced and an empty record", err, m.Record())
		}
	})
}

func TestTaskRunsOnceAndEnds(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, m *Memory, w Worker, clock *clockwork.FakeClock) {
		ctx := context.Background()
		for range 2 {
			_, err := w.Start(ctx, startRequest(1, "a"))
			wantOK(t, err)
		}
		clock.Advance(5 * time.Second)
		wantPhase(t, m, 0, PhaseDone)
		if len(m.Record()) != 1 {
			t.Fatal("the attempt ran twice")
		}
	})
}

func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, m *Memory, w Worker, clock *clockwork.FakeClock) {
		ctx := context.Background()
		request := startRequest(1, "a")
		request.Task.RunTime = time.Hour
		_, err := w.Start(ctx, request)
		wantOK(t, err)
		clock.Advance(leaseTTL - time.Second)
		_, err = w.Renew(ctx, RenewRequest{Epoch: 1, Attempts: []types.AttemptID{"a"}, Lease: leaseTTL})
		wantOK(t, err)
		clock.Advance(leaseTTL - time.Second)
		wantPhase(t, m, 0, PhaseRunning)
		clock.Advance(time.Second)
		wantPhase(t, m, 0, PhaseLeaseExpired)
	})
}

// A stop may overtake the start of the same attempt: the start that arrives later must not run it.
func TestStopBeforeStartKeepsItFromStarting(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, m *Memory, w Worker, _ *clockwork.FakeClock) {
		ctx := context.Background()
		_, err := w.Stop(ctx, StopRequest{Epoch: 1, Attempt: "a"})
		wantOK(t, err)
		status, err := w.Start(ctx, startRequest(1, "a"))
		wantOK(t, err)
		if status.Phase != PhaseStopped || len(m.Record()) != 0 {
			t.Fatalf("got %+v, want phase Stopped and an empty record", status)
		}
	})
}

func TestEndedAttemptIsReportedUntilAcknowledged(t *testing.T) {
	forEachImplementation(t, func(t *testing.T, _ *Memory, w Worker, clock *clockwork.FakeClock) {
		ctx := context.Background()
		_, err := w.Start(ctx, startRequest(1, "a"))
		wantOK(t, err)
		clock.Advance(time.Minute)
		report, err := w.Renew(ctx, RenewRequest{Epoch: 1, Lease: leaseTTL})
		wantOK(t, err)
		if len(report.Attempts) != 1 || report.Attempts[0].Phase != PhaseDone {
			t.Fatalf("got %+v, want one attempt in phase Done", report)
		}
		report, err = w.Renew(ctx, RenewRequest{Epoch: 1, Lease: leaseTTL, Acknowledge: []types.AttemptID{"a"}})
		wantOK(t, err)
		if len(report.Attempts) != 0 {
			t.Fatalf("got %+v, want no attempts after the acknowledgement", report)
		}
	})
}
