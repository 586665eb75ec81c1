package entry

import (
	"context"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// observationTime is how long, in real time, a test checks that an event does not happen.
const observationTime = 50 * time.Millisecond

func TestDrainWaitsForWhatIsInFlight(t *testing.T) {
	e := newEntry(classDocument())
	if !e.beginRequest() {
		t.Fatal("the entry rejects a request before it drains")
	}
	drained := make(chan error, 1)
	go func() { drained <- e.Drain(context.Background()) }()
	select {
	case err := <-drained:
		t.Fatalf("Drain returned %v with a request in flight, want it to wait", err)
	case <-time.After(observationTime):
	}
	if e.beginRequest() {
		t.Fatal("a draining entry accepts a request")
	}
	e.endRequest()
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

func TestDrainEndsWithItsContext(t *testing.T) {
	e := newEntry(classDocument())
	e.beginRequest()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := e.Drain(ctx); !errs.Is(err, errs.Deadline) {
		t.Fatalf("got %v, want kind Deadline", err)
	}
}
