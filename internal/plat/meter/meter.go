// Package meter counts calls, bytes and crossings of regions by kind of call.
package meter

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Names of the counters below a kind, as in "Store.Put.Calls".
const (
	Calls        = "Calls"
	Failures     = "Failures"
	SentBytes    = "SentBytes"
	ReadBytes    = "ReadBytes"
	CrossedBytes = "CrossedBytes"
)

type (
	// Kind names a kind of call, as in "Store.Put".
	Kind string

	// Meter counts calls in a registry of metrics. The zero value is not usable.
	Meter struct {
		registry metrics.Registry
		local    types.Region
	}

	// Sample is one call that was made.
	Sample struct {
		Kind   Kind
		Remote types.Region
		Sent   int
		Read   int
		Failed bool
	}
)

// New returns a meter for a caller in the local region.
func New(registry metrics.Registry, local types.Region) *Meter {
	return &Meter{registry: registry, local: local}
}

// Discard returns a meter whose counts nobody reads.
func Discard() *Meter {
	return New(metrics.NewRegistry(), "")
}

// Count adds one call.
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

// Get returns one counter of one kind.
func (m *Meter) Get(kind Kind, counter string) int64 {
	return metrics.GetOrRegisterCounter(string(kind)+"."+counter, m.registry).Count()
}

// Total returns the sum of a counter over all kinds that start with the prefix.
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
