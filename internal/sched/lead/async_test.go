package lead

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// setAsync runs the operations of a daemon in goroutines of their own, as in production.
func setAsync(m *daemon) {
	m.spawn = func(run func()) { go run() }
}

// waitUntilAsync ticks until the condition holds. It sleeps a little between ticks, so that operations in other
// goroutines can finish.
func (f *fixture) waitUntilAsync(what string, done func() bool) {
	f.t.Helper()
	for range 400 {
		f.clock.Advance(tickInterval)
		for _, m := range f.daemons {
			f.tickDaemon(m)
		}
		time.Sleep(2 * time.Millisecond)
		if done() {
			return
		}
	}
	f.t.Fatalf("condition never held: %s", what)
}

func (m *daemon) isLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role == roleLeader
}

func (m *daemon) stateOf(id types.JobID) types.JobState {
	s, err := m.Status(context.Background(), id)
	if err != nil {
		return ""
	}
	return s.State
}

func TestHungWorkerDelaysOnlyItself(t *testing.T) {
	f := newFixture(t, 3)
	m := f.addDaemon(testDataCentre, "e1")
	setAsync(m)
	f.workers["carthage-w00"].Faults.SetDelay(time.Hour)
	f.waitUntilAsync("a leader", m.isLeader)
	j := f.job("job", nil)
	outcome := f.submit(m, j)
	f.waitUntilAsync("the end of the job", func() bool {
		outcome()
		return m.stateOf(j.ID) == types.JobDone
	})
}

func TestSlowStoreDelaysNoRenewals(t *testing.T) {
	f := newFixture(t, 2)
	m := f.addDaemon(testDataCentre, "e1")
	setAsync(m)
	f.waitUntilAsync("a leader", m.isLeader)
	long := f.job("long", func(j *types.Job) {
		j.Task.RunTime = time.Minute
		j.Task.Idempotent = false
	})
	f.submit(m, long)
	f.waitUntilAsync("the start of the job", func() bool { return m.stateOf(long.ID) == types.JobRunning })
	// Each call to the store takes half a second, and later longer than storeTimeout.
	f.store.Faults.SetDelay(500 * time.Millisecond)
	next := f.job("next", nil)
	f.submit(m, next)
	f.waitUntilAsync("the end of the next job", func() bool { return m.stateOf(next.ID) == types.JobDone })
	f.store.Faults.SetDelay(time.Hour)
	refused := f.submit(m, f.job("refused", nil))
	f.waitUntilAsync("the refusal", func() bool {
		known, err := refused()
		return known && errs.Is(err, errs.Unavailable)
	})
	f.store.Faults.SetDelay(0)
	f.waitUntilAsync("the end of the long job", func() bool { return m.stateOf(long.ID) == types.JobDone })
	f.checkRecords()
}

func TestRunTicksUntilItEnds(t *testing.T) {
	f := newFixture(t, 2)
	m := f.addDaemon(testDataCentre, "e1")
	setAsync(m)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	wait := func(what string, done func() bool) {
		t.Helper()
		for range 400 {
			f.clock.Advance(tickInterval)
			time.Sleep(2 * time.Millisecond)
			if done() {
				return
			}
		}
		t.Fatalf("condition never held: %s", what)
	}
	wait("a leader", m.isLeader)
	j := f.job("job", nil)
	answered := make(chan error, 1)
	go func() {
		_, err := m.Submit(ctx, j)
		answered <- err
	}()
	wait("the end of the job", func() bool { return m.stateOf(j.ID) == types.JobDone })
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
	if err := m.StepDown(ctx); err != nil {
		t.Fatal(err)
	}
	other := f.addDaemon(testDataCentre, "e2")
	f.tickDaemon(other)
	if !other.isLeader() {
		t.Fatal("the claim was not free after the leader stepped down")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestSubmissionsAreAcceptedWhileAWriteIsInFlight(t *testing.T) {
	f := newFixture(t, 1)
	m := f.addDaemon(testDataCentre, "e1")
	setAsync(m)
	f.waitUntilAsync("a leader", m.isLeader)
	f.store.Faults.SetDelay(time.Second)
	f.submit(m, f.job("first", nil))
	f.tickDaemon(m)
	second := f.submit(m, f.job("second", nil))
	f.waitUntilAsync("the second acceptance", func() bool {
		known, err := second()
		if err != nil {
			t.Fatal(err)
		}
		return known
	})
}
