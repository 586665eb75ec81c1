// Package speed tells whether the processor of this VM has become slower than it was.
package speed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
)

const (
	// interval is the time between two measurements, and samples how many of them count: a single one may be that of another process or
	// of a pause.
	interval = 200 * time.Millisecond
	samples  = 7
	// rounds is the work of one measurement, about 50 µs on a whole core. It is far below the time for which the Go runtime lets a goroutine
	// run, so that the other work of this process does not count.
	rounds = 40_000
)

// Meter measures the time of a fixed piece of work from time to time. It is safe for concurrent use.
type Meter struct {
	clock clockwork.Clock

	mu sync.Mutex
	// recent holds the latest measurements, at most samples of them; usual is the lowest median of these so far.
	recent []time.Duration
	usual  time.Duration
	// result keeps the work from being left out by the compiler.
	result uint64
}

// New returns a meter without measurements.
func New(clock clockwork.Clock) *Meter {
	return &Meter{clock: clock}
}

// Run measures until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.measure()
		every.Sleep(ctx, m.clock, interval)
	}
}

func (m *Meter) measure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	began := m.clock.Now()
	for i := range uint64(rounds) {
		m.result = (m.result ^ i) * 0x9E3779B97F4A7C15
	}
	m.observe(m.clock.Since(began))
}

// observe adds a measurement. The caller must hold m.mu.
func (m *Meter) observe(took time.Duration) {
	m.recent = append(m.recent, took)
	if len(m.recent) > samples {
		m.recent = m.recent[1:]
	}
	if len(m.recent) < samples {
		return
	}
	if median := m.median(); m.usual == 0 || median < m.usual {
		m.usual = median
	}
}

// Slowness returns how many times longer work takes now than it did when this process was fastest; 1 until that is known.
func (m *Meter) Slowness() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.usual <= 0 {
		return 1
	}
	return float64(m.median()) / float64(m.usual)
}

// median returns the median of the latest measurements. The caller must hold m.mu.
func (m *Meter) median() time.Duration {
	sorted := slices.Sorted(slices.Values(m.recent))
	return sorted[len(sorted)/2]
}
