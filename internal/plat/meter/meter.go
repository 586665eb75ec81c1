// Package meter counts calls, failures, bytes and bytes between regions by kind of call.
package meter

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Names of the counters of each kind; the full name of a counter is, for example, "Store.Put.Calls".
const (
	Calls        = "Calls"
	Failures     = "Failures"
	SentBytes    = "SentBytes"
	ReadBytes    = "ReadBytes"
	CrossedBytes = "CrossedBytes"
)

type (
	// Kind names a kind of call, for example "Store.Put".
	Kind string

	// Meter counts calls in a metrics registry. It is safe for concurrent use. The zero value is not usable.
	Meter struct {
		registry metrics.Registry
		local    types.Region
	}

	// Sample is one call to be counted. Remote is the region of the called service, or empty if it is not known;
	// Sent and Read are in bytes.
	Sample struct {
		Kind   Kind
		Remote types.Region
		Sent   int
		Read   int
		Failed bool
	}
)

// New returns a meter with counters in the registry, for a caller in the local region.
func New(registry metrics.Registry, local types.Region) *Meter {
	return &Meter{registry: registry, local: local}
}

// Discard returns a meter with a registry of its own, for callers whose calls need not be reported.
func Discard() *Meter {
	return New(metrics.NewRegistry(), "")
}

// Count adds one call to the counters of its kind. CrossedBytes counts its bytes if it left the local region.
func (m *Meter) Count(s Sample) {
	m.add(s.Kind, Calls, 1)
	m.add(s.Kind, SentBytes, s.Sent)
	m.add(s.Kind, ReadBytes, s.Read)
	if s.Failed {
		m.add(s.Kind, Failures, 1)
	}
	if s.Remote != "" && s.Remote != m.local {
		m.add(s.Kind, CrossedBytes, s.Sent+s.Read)
	}
}

// Get returns the value of one counter of one kind.
func (m *Meter) Get(kind Kind, counter string) int64 {
	return metrics.GetOrRegisterCounter(string(kind)+"."+counter, m.registry).Count()
}

// Total returns the sum of a counter over all kinds whose names start with the prefix.
func (m *Meter) Total(prefix, counter string) int64 {
	var sum int64
	m.registry.Each(func(name string, metric any) {
		c, ok := metric.(metrics.Counter)
		if ok && strings.HasPrefix(name, prefix) && strings.HasSuffix(name, "."+counter) {
			sum += c.Count()
		}
	})
	return sum
}

func (m *Meter) add(kind Kind, counter string, n int) {
	metrics.GetOrRegisterCounter(string(kind)+"."+counter, m.registry).Inc(int64(n))
}
