package fleet

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// trace records the injected faults and other events with their times, for the report of a failed run.
type trace struct {
	clock     clockwork.Clock
	startedAt time.Time

	mu    sync.Mutex
	lines []string
}

func newTrace(clock clockwork.Clock) *trace {
	return &trace{clock: clock, startedAt: clock.Now()}
}

func (t *trace) add(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.clock.Since(t.startedAt).Round(time.Millisecond)
	t.lines = append(t.lines, fmt.Sprintf("%8s  ", at)+fmt.Sprintf(format, args...))
}

// print writes the trace. Errors of the writer are ignored, since they cannot be reported anywhere.
func (t *trace) print(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, line := range t.lines {
		_, _ = fmt.Fprintln(w, line)
	}
}
