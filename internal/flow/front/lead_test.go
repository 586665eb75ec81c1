package front

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// answers is a lead that answers each call with the next error.
type answers struct {
	errors []error
	calls  int
	// slow is how long each answer takes.
	slow time.Duration
}

func (a *answers) Call(ctx context.Context, _ peer.Target, _ peer.Method, _, _ any) error {
	a.calls++
	select {
	case <-time.After(a.slow):
	case <-ctx.Done():
		return errs.New(errs.Lost, "no answer: %v", ctx.Err())
	}
	if a.calls > len(a.errors) {
		return nil
	}
	return a.errors[a.calls-1]
}

func frontTo(lead *answers) *Front {
	f := New(Config{
		Self: peer.Target{VM: "self"}, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
		Metrics: metrics.NewRegistry(), Peers: lead,
	})
	f.elector.AdoptLeader(elect.Leader{Target: peer.Target{VM: "lead"}, Epoch: 1})
	return f
}

func submit(f *Front, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return f.Submit(ctx, &specs.Job{ID: "j"})
}

func TestWhatCallersMayConclude(t *testing.T) {
	away := errs.New(errs.Unavailable, "does not lead")
	stuck := errs.After(errs.Unavailable, time.Second, "the store takes no write")
	lost := errs.New(errs.Lost, "no answer")
	t.Run("NewLeadIsFound", func(t *testing.T) {
		if err := submit(frontTo(&answers{errors: []error{away, away}}), 3*time.Second); err != nil {
			t.Errorf("got %v", err)
		}
	})
	t.Run("RefusalIsToldAtOnce", func(t *testing.T) {
		lead := &answers{errors: []error{stuck, stuck}}
		began := time.Now()
		err := submit(frontTo(lead), 3*time.Second)
		if !errs.Is(err, errs.Unavailable) || errs.Of(err).RetryAfter != time.Second {
			t.Errorf("got %v", err)
		}
		if lead.calls != 1 || time.Since(began) > leadPatience {
			t.Errorf("%d calls in %s", lead.calls, time.Since(began))
		}
	})
	t.Run("RefusalTellsWhenToComeBack", func(t *testing.T) {
		many := make([]error, 100)
		for i := range many {
			many[i] = away
		}
		err := submit(frontTo(&answers{errors: many}), 3*time.Second)
		if !errs.Is(err, errs.Unavailable) || errs.Of(err).RetryAfter == 0 {
			t.Errorf("got %v", err)
		}
	})
	t.Run("NoRefusalAfterALostAnswer", func(t *testing.T) {
		err := submit(frontTo(&answers{errors: []error{lost, stuck}}), time.Second)
		if !errs.Is(err, errs.Lost) {
			t.Errorf("got %v, want Lost", err)
		}
	})
	t.Run("LostAnswerIsTriedAgain", func(t *testing.T) {
		if err := submit(frontTo(&answers{errors: []error{lost}}), 3*time.Second); err != nil {
			t.Errorf("got %v", err)
		}
	})
	t.Run("NoCallThatItsCallerWouldMiss", func(t *testing.T) {
		lead := &answers{errors: []error{away, away, away, away}, slow: 10 * time.Millisecond}
		err := submit(frontTo(lead), 130*time.Millisecond)
		if !errs.Is(err, errs.Unavailable) {
			t.Errorf("got %v, want a certain refusal", err)
		}
	})
}

// A lead that can write again by the time that the store answers another daemon keeps the lead.
func TestLeadIsGivenUpOnlyIfItStillCannotWrite(t *testing.T) {
	for _, stuck := range []bool{false, true} {
		lead := &calledMethods{}
		f := New(Config{
			Self: peer.Target{VM: "self"}, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
			Metrics: metrics.NewRegistry(), Peers: lead,
		})
		f.elector.AdoptLeader(elect.Leader{Target: peer.Target{VM: "other"}, Epoch: 1})
		f.relieve(context.Background(), 1, func() bool { return stuck })
		if got := lead.has(methodRelieve); got != stuck {
			t.Errorf("still stuck: %v; the other was asked to lead: %v", stuck, got)
		}
	}
}

// calledMethods is a daemon that answers everything, and remembers what it was asked.
type calledMethods struct {
	mu   sync.Mutex
	seen []peer.Method
}

func (c *calledMethods) Call(_ context.Context, _ peer.Target, m peer.Method, _, _ any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, m)
	return nil
}

func (c *calledMethods) has(m peer.Method) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.seen, m)
}
