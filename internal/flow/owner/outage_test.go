package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/hold"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// callerTime is how long a caller can wait in these tests.
const callerTime = 2 * time.Second

// submitPatiently submits a job as a daemon does for a caller: it calls again as long as the leader says that the caller may wait.
func submitPatiently(o *Owner, j *specs.Job, patience time.Duration) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patience+time.Second)
	defer cancel()
	for {
		waited := time.Since(began)
		err := o.SubmitWaiting(ctx, j, hold.Patience{Waited: waited, Left: patience - waited})
		if !isOutage(err) {
			return err
		}
	}
}

// newOwnerInOutage returns an owner whose writes are stalled, as the store is down; the job "first" is in doubt.
func newOwnerInOutage(t *testing.T, f *fixture) *Owner {
	t.Helper()
	o, _ := f.startOwner()
	f.submit(o, job("before", step(1)))
	f.store.Faults.SetDown(true)
	go func() { _ = submitPatiently(o, job("first", step(1)), 4*callerTime) }()
	f.eventually("writes are stalled", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.stalledFor() > 0
	})
	return o
}

// submitMany submits jobs at the same time and returns the error of each.
func submitMany(o *Owner, prefix string, count int, patience time.Duration) []error {
	out := make([]error, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { out[i] = submitPatiently(o, job(fmt.Sprint(prefix, i), step(1)), patience) })
	}
	wg.Wait()
	return out
}

// checkOutcomes reports an accepted job that the next leader does not know, and a refused one that it does.
func checkOutcomes(t *testing.T, f *fixture, prefix string, outcomes []error) {
	t.Helper()
	o, _ := f.startOwner()
	f.eventually("the ledger is read", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.open
	})
	for i, err := range outcomes {
		_, stateErr := o.jobState(specs.JobID(fmt.Sprint(prefix, i)))
		switch known := stateErr == nil; {
		case err == nil && !known:
			t.Errorf("job %d was accepted and is not stored", i)
		case errs.Is(err, errs.Unavailable) && known:
			t.Errorf("job %d was refused as not accepted and is stored", i)
		}
	}
}

// Callers that wait must be served when the store takes writes again, without a further try of theirs.
func TestWaitingSubmissionsAreAcceptedWhenTheStoreIsBack(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := newOwnerInOutage(t, f)
	time.AfterFunc(callerTime/2, func() { f.store.Faults.SetDown(false) })
	began := time.Now()
	outcomes := submitMany(o, "waiting", 50, callerTime)
	for i, err := range outcomes {
		if err != nil {
			t.Errorf("job %d: %v, want it to be accepted", i, err)
		}
	}
	if took := time.Since(began); took > callerTime*3/4 {
		t.Errorf("the last job was accepted after %s, long after the store was back", took)
	}
	checkOutcomes(t, f, "waiting", outcomes)
}

// A job that was put into a write while the store takes none is in doubt, and its caller can be told nothing. So it must be put
// into none, and the refusal at the end of the caller's time must be a definite one.
func TestWaitInVainEndsInADefiniteRefusal(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := newOwnerInOutage(t, f)
	outcomes := submitMany(o, "vain", 20, callerTime/2)
	for i, err := range outcomes {
		if !errs.Is(err, errs.Unavailable) || errs.Of(err).RetryAfter == 0 {
			t.Errorf("job %d: %v, want kind Unavailable with a RetryAfter", i, err)
		}
	}
	f.store.Faults.SetDown(false)
	f.eventually("writes go on", func() bool { return o.Submit(t.Context(), job("after", step(1))) == nil })
	checkOutcomes(t, f, "vain", outcomes)
}

// A caller that cannot wait, as one of a daemon of a former version, must be refused at once.
func TestCallerWithoutPatienceIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := newOwnerInOutage(t, f)
	began := time.Now()
	err := o.Submit(t.Context(), job("j", step(1)))
	if !errs.Is(err, errs.Unavailable) || errs.Of(err).RetryAfter == 0 || time.Since(began) > holdSlice/2 {
		t.Errorf("got %v after %s, want a refusal with a RetryAfter at once", err, time.Since(began))
	}
}

// The number of submissions that wait must not exceed the memory of a small VM.
func TestSubmissionsBeyondTheLimitDoNotWait(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := newOwnerInOutage(t, f)
	o.mu.Lock()
	o.held = maxHeld
	o.mu.Unlock()
	began := time.Now()
	err := submitPatiently(o, job("j", step(1)), callerTime)
	if errs.Of(err).RetryAfter == 0 || time.Since(began) > holdSlice/2 {
		t.Errorf("got %v after %s, want a refusal with a RetryAfter at once", err, time.Since(began))
	}
}

// A store that loses answers, or is back for a moment only, must not make an answer to a caller untrue.
func TestAnswersAreTrueWithAnUnsteadyStore(t *testing.T) {
	unsteady := map[string]func(f *fixture, i int){
		"LosesAnswers": func(f *fixture, i int) { f.store.Faults.LoseAnswers(i % 2) },
		"BackFor100ms": func(f *fixture, i int) { f.store.Faults.SetDown(i%8 >= 2) },
	}
	for name, disturb := range unsteady {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := newOwnerInOutage(t, f)
			f.store.Faults.SetDown(false)
			done := make(chan struct{})
			go func() {
				defer close(done)
				for i := range 30 {
					disturb(f, i)
					time.Sleep(50 * time.Millisecond)
				}
				f.store.Faults.LoseAnswers(0)
				f.store.Faults.SetDown(false)
			}()
			outcomes := submitMany(o, "j", 60, callerTime/2)
			<-done
			accepted := 0
			for _, err := range outcomes {
				if err == nil {
					accepted++
				}
			}
			if accepted < len(outcomes)/2 {
				t.Errorf("%d of %d jobs were accepted, want at least half", accepted, len(outcomes))
			}
			checkOutcomes(t, f, "j", outcomes)
		})
	}
}

// Work that has waited for the store is already late; it must not be planned as if it had just arrived.
func TestWaitingCountsFromTheFirstSubmission(t *testing.T) {
	f := newFixture(t, quickWorld())
	o, _ := f.startOwner()
	f.submit(o, job("before", step(1)))
	j := job("j", step(1))
	if err := o.SubmitWaiting(t.Context(), j, hold.Patience{Waited: time.Minute, Left: time.Second}); err != nil {
		t.Fatal(err)
	}
	if age := f.clock.Since(j.Accepted); age < time.Minute {
		t.Errorf("the job counts as submitted %s ago, want a minute", age)
	}
}

// A caller that submits a job a second time, seconds after it was accepted, must not get an answer in doubt because the store is
// away at that moment.
func TestAcceptedJobSubmittedAgainIsAnsweredWithoutTheStore(t *testing.T) {
	f := newFixture(t, quickWorld())
	o := newOwnerInOutage(t, f)
	if err := o.Submit(t.Context(), job("before", step(1))); err != nil {
		t.Errorf("submitting an accepted job again: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), holdSlice/2)
	defer cancel()
	if err := o.Submit(ctx, job("first", step(1))); !errs.Is(err, errs.Lost) {
		t.Errorf("submitting a job in doubt again: %v, want kind Lost", err)
	}
}

// A slow store must not cost the leader its term: the oldest write in flight is always old there, but writes are committed.
func TestTakeoverIsRequestedOnlyWhileNoWriteIsCommitted(t *testing.T) {
	f := newFixture(t, quickWorld())
	now := f.clock.Now()
	cases := map[string]struct {
		committedAt time.Time
		want        bool
	}{
		"Stalled": {committedAt: now.Add(-2 * minStallTimeout), want: true},
		"Slow":    {committedAt: now.Add(-minStallTimeout / 4), want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := f.newOwner()
			defer o.cancel()
			requested := make(chan struct{}, 1)
			o.config.OnWritesStalled = func(func() bool) { requested <- struct{}{} }
			o.inFlight = []*inFlightWrite{{beganAt: now.Add(-2 * minStallTimeout)}}
			o.committedAt = c.committedAt
			o.tick()
			got := false
			select {
			case <-requested:
				got = true
			case <-time.After(minStallTimeout / 4):
			}
			if got != c.want {
				t.Errorf("takeover requested: %v, want %v", got, c.want)
			}
		})
	}
}
