package front

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// deniedTimeout is for how long the known leader may answer that it does not lead before it is marked as suspected. A leader that has just
// been elected, or that has just ended its term, answers so for a moment.
const deniedTimeout = 1200 * time.Millisecond

// denials tells for how long the known leader has answered that it does not lead. It is safe for concurrent use.
type denials struct {
	counter metrics.Counter

	mu    sync.Mutex
	epoch types.Epoch
	// since is when the leader of the epoch began to answer so, and latest when it last did; zero while it serves.
	since  time.Time
	latest time.Time
}

func newDenials(r metrics.Registry) *denials {
	return &denials{counter: metrics.GetOrRegisterCounter("Front.NotLeader", r)}
}

// note records the outcome of a call to the leader of an epoch, and reports whether that leader has denied for deniedTimeout that it
// leads. A call whose answer did not arrive tells nothing.
func (d *denials) note(epoch types.Epoch, err error, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !errs.Is(err, errs.Fenced) {
		if err == nil || isFinal(err) {
			d.since = time.Time{}
		}
		return false
	}
	d.counter.Inc(1)
	if d.epoch != epoch || d.since.IsZero() || now.Sub(d.latest) > 2*deniedTimeout {
		d.epoch, d.since = epoch, now
	}
	d.latest = now
	return now.Sub(d.since) >= deniedTimeout
}
