package fleet

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// trace keeps what was brought about and when, for the report of a failure.
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

// print writes the trace; a writer that fails has nobody to report to.
func (t *trace) print(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, line := range t.lines {
		_, _ = fmt.Fprintln(w, line)
	}
}
