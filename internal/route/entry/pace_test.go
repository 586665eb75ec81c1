package entry

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

func TestSettingTheSameIntervalDoesNotPostponeTheTick(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ticker := clock.NewTicker(TickInterval)
	defer ticker.Stop()
	variable := variableTicker{ticker: ticker, interval: TickInterval}
	for range 5 {
		clock.Advance(TickInterval / 5)
		variable.setInterval(TickInterval)
	}
	select {
	case <-ticker.Chan():
	default:
		t.Fatal("setting the same interval delayed the tick")
	}
}

// TestIdleEntryTicksFasterForARequestThatBeginsToWait checks that an idle entry switches to the short tick interval for
// a request that begins to wait between two idle ticks. The entry holds no slot at all, so that it must reject the
// request after NoRunnerTimeout.
func TestIdleEntryTicksFasterForARequestThatBeginsToWait(t *testing.T) {
	e := newEntry(classDocument())
	clock := e.config.Clock.(*clockwork.FakeClock)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = e.Run(ctx) }()
	// Wait until Run has created both of its tickers.
	if err := clock.BlockUntilContext(ctx, 2); err != nil {
		t.Fatal(err)
	}
	clock.Advance(IdleTickInterval / 2)
	answers := make(chan *types.Answer, 1)
	go func() {
		r := request(types.ClassNormal)
		r.Idempotent = true
		answers <- e.Do(ctx, r)
	}()
	for !e.hasWaiting() {
		time.Sleep(time.Millisecond)
	}
	// The loop goes on for three ticks after the time of the rejection. The sleep gives Run real time to handle a tick.
	started := clock.Now()
	for clock.Since(started) < NoRunnerTimeout+3*TickInterval {
		clock.Advance(TickInterval)
		time.Sleep(2 * time.Millisecond)
		select {
		case a := <-answers:
			if a.Outcome != types.OutcomeNotRun || a.Reason.Kind != errs.Unavailable {
				t.Fatalf("got %+v, want outcome NotRun with kind Unavailable", a)
			}
			return
		default:
		}
	}
	t.Fatalf("no answer %s after the request began to wait, want a rejection within NoRunnerTimeout and three ticks", clock.Since(started))
}
