package every

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// A signal that is sent while one is pending, or while nobody listens, must neither block its sender nor be lost.
func TestSignalsWakeTheLoopOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(t.Context())
	wake := make(chan struct{}, 1)
	Wake(wake)
	Wake(wake)
	steps, woken, done := make(chan struct{}, 8), make(chan struct{}, 8), make(chan error, 1)
	go func() {
		done <- RunWoken(ctx, clock, time.Second, func(context.Context) { Wake(steps) }, wake, func(context.Context) { woken <- struct{}{} })
	}()
	<-woken
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	<-steps
	cancel()
	if err := <-done; err != nil {
		t.Errorf("the loop returned %v, want nil", err)
	}
	if len(woken) != 0 {
		t.Errorf("two signals before the loop ran woke it %d times more, want once in all", len(woken))
	}
}
