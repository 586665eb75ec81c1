package rescue

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// TestPanicsAreReported guards against a panic that is recovered without a trace.
func TestPanicsAreReported(t *testing.T) {
	var lines bytes.Buffer
	registry := metrics.NewRegistry()
	r := New(zerolog.New(&lines), registry)
	if err := r.Call("a call", func() error { panic("boom") }); !errs.Is(err, errs.Internal) {
		t.Errorf("got %v, want kind Internal", err)
	}
	handled := false
	r.Run("a loop", func() { panic("boom") }, func() { handled = true })
	r.Run("a loop", func() {}, func() { t.Error("the end of a loop was handled as a panic") })
	if !handled {
		t.Error("the panic of a loop was not handled")
	}
	if got := metrics.GetOrRegisterCounter(metricPanics, registry).Count(); got != 2 {
		t.Errorf("%d panics counted, want 2", got)
	}
	if !strings.Contains(lines.String(), "boom") || !strings.Contains(lines.String(), "rescue_test.go") {
		t.Errorf("the log lacks the panic or its stack: %s", lines.String())
	}
}
