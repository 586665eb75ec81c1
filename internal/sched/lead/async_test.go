package lead

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// async has a lead's launches run beside its ticks, as they do in a daemon.
func async(m *member) {
	m.spawn = func(run func()) { go run() }
}

// pace ticks until the condition holds, with a moment of real time for launches between ticks.
func (r *rig) pace(what string, done func() bool) {
	r.t.Helper()
	for range 400 {
		r.clock.Advance(tickPeriod)
		for _, m := range r.leads {
			r.step(m)
		}
		time.Sleep(2 * time.Millisecond)
		if done() {
			return
		}
	}
	r.t.Fatalf("never: %s", what)
}

func (m *member) leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role == roleLead
}

func (m *member) stateOf(id types.JobID) types.JobState {
	s, err := m.Status(context.Background(), id)
	if err != nil {
		return ""
	}
	return s.State
}

func TestHungWorkerDelaysOnlyItself(t *testing.T) {
	r := newRig(t, 3)
	m := r.addLead(testSite, "e1")
	async(m)
	r.workers["carthage-w00"].Faults.SetDelay(time.Hour)
	r.pace("a lead", m.leads)
	j := r.job("job", nil)
	outcome := r.submit(m, j)
	r.pace("the end of the job", func() bool {
		outcome()
		return m.stateOf(j.ID) == types.JobDone
	})
}

func TestSlowStoreHoldsUpNoRenewals(t *testing.T) {
	r := newRig(t, 2)
	m := r.addLead(testSite, "e1")
	async(m)
	r.pace("a lead", m.leads)
	long := r.job("long", func(j *types.Job) {
		j.Task.RunTime = time.Minute
		j.Task.Idempotent = false
	})
	r.submit(m, long)
	r.pace("the start of the job", func() bool { return m.stateOf(long.ID) == types.JobRunning })
	// Each call to the store takes half a second, then longer than the limit of a call.
	r.store.Faults.SetDelay(500 * time.Millisecond)
	next := r.job("next", nil)
	r.submit(m, next)
	r.pace("the end of the next job", func() bool { return m.stateOf(next.ID) == types.JobDone })
	r.store.Faults.SetDelay(time.Hour)
	refused := r.submit(m, r.job("refused", nil))
	r.pace("the refusal", func() bool {
		known, err := refused()
		return known && errs.Is(err, errs.Unavailable)
	})
	r.store.Faults.SetDelay(0)
	r.pace("the end of the long job", func() bool { return m.stateOf(long.ID) == types.JobDone })
	r.checkRecords()
}

func TestRunTicksUntilItEnds(t *testing.T) {
	r := newRig(t, 2)
	m := r.addLead(testSite, "e1")
	async(m)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	wait := func(what string, done func() bool) {
		t.Helper()
		for range 400 {
			r.clock.Advance(tickPeriod)
			time.Sleep(2 * time.Millisecond)
			if done() {
				return
			}
		}
		t.Fatalf("never: %s", what)
	}
	wait("a lead", m.leads)
	j := r.job("job", nil)
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
	other := r.addLead(testSite, "e2")
	r.step(other)
	if !other.leads() {
		t.Fatal("the claim was not free after the lead stepped down")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestSubmissionsAreTakenWhileAWriteIsUnderWay(t *testing.T) {
	r := newRig(t, 1)
	m := r.addLead(testSite, "e1")
	async(m)
	r.pace("a lead", m.leads)
	r.store.Faults.SetDelay(time.Second)
	r.submit(m, r.job("first", nil))
	r.step(m)
	second := r.submit(m, r.job("second", nil))
	r.pace("the second acceptance", func() bool {
		known, err := second()
		if err != nil {
			t.Fatal(err)
		}
		return known
	})
}
