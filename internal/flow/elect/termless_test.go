package elect

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const termlessMessage = "the leader record names this daemon, which has no term"

// Guards against a daemon that refuses every call as not the leader without a line that says so, or why.
func TestRecordWithoutATermIsReported(t *testing.T) {
	var lines bytes.Buffer
	clock, registry := clockwork.NewFakeClock(), metrics.NewRegistry()
	e := New(Config{Self: peer.Target{VM: "a"}, Clock: clock, Log: zerolog.New(&lines), Metrics: registry})
	e.record, e.leaderVersion, e.termless.reason = Leader{Target: peer.Target{VM: "a"}, Epoch: 3}, store.Version(7), "a plan panicked"
	assertReport := func(when string, count int, gauge time.Duration) {
		t.Helper()
		e.mu.Lock()
		e.checkTermless()
		e.mu.Unlock()
		if got := strings.Count(lines.String(), termlessMessage); got != count {
			t.Errorf("%s: %d lines, want %d: %s", when, got, count, lines.String())
		}
		if got := metrics.GetOrRegisterGauge("Elect.TermlessFor", registry).Value(); got != gauge.Milliseconds() {
			t.Errorf("%s: the gauge is %d ms, want %d", when, got, gauge.Milliseconds())
		}
	}
	assertReport("at first", 0, 0)
	clock.Advance(termlessLogInterval)
	assertReport("after a second", 1, termlessLogInterval)
	clock.Advance(termlessLogInterval / 2)
	assertReport("half a second later", 1, termlessLogInterval*3/2)
	clock.Advance(termlessLogInterval)
	assertReport("another second later", 2, termlessLogInterval*5/2)
	if !strings.Contains(lines.String(), "a plan panicked") {
		t.Errorf("the lines do not say why the latest term ended: %s", lines.String())
	}
	e.leader = Leader{Target: peer.Target{VM: "b"}, Epoch: e.record.Epoch + 1}
	assertReport("once a newer leader is known", 2, 0)
	e.leader = Leader{}
	assertReport("while none is known", 2, 0)
	clock.Advance(termlessLogInterval)
	assertReport("a second after that", 3, termlessLogInterval)
	e.record.Target.VM = "b"
	assertReport("once the record names another daemon", 3, 0)
}
