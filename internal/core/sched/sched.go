// Package sched measures how long the goroutines of this process wait for a processor.
package sched

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	latencies = "/sched/latencies:seconds"
	// quantile is the part of the waits that Recent's result is not below.
	quantile = 0.9
)

// Meter measures the waits since its latest reading. It is not safe for concurrent use.
type Meter struct {
	sample []metrics.Sample
	before []uint64
}

// NewMeter returns a meter whose first reading covers the time from now on.
func NewMeter() *Meter {
	m := &Meter{sample: []metrics.Sample{{Name: latencies}}}
	m.Recent()
	return m
}

// Recent returns the 90th percentile of the times that goroutines have waited since the latest call until they ran; zero when none has.
func (m *Meter) Recent() time.Duration {
	metrics.Read(m.sample)
	if m.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	now := m.sample[0].Value.Float64Histogram()
	counts := make([]uint64, len(now.Counts))
	total := uint64(0)
	for i, c := range now.Counts {
		counts[i] = c
		if m.before != nil {
			counts[i] -= m.before[i]
		}
		total += counts[i]
	}
	m.before = append(m.before[:0], now.Counts...)
	return lowerBound(counts, total, now.Buckets)
}

// lowerBound returns the lower bound of the bucket that holds the quantile of so many waits.
func lowerBound(counts []uint64, total uint64, buckets []float64) time.Duration {
	below := uint64(0)
	for i, c := range counts {
		below += c
		if c > 0 && float64(below) >= quantile*float64(total) {
			seconds := max(buckets[i], 0)
			if math.IsInf(seconds, 0) {
				return 0
			}
			return time.Duration(seconds * float64(time.Second))
		}
	}
	return 0
}
