// Package expose serves the counters and latency histograms of a process as text, one value a line.
package expose

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

const prefix = "magnoliawalk_"

// Handler serves the metrics of a registry. Times are in seconds.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// An error means that the reader is gone; there is nobody left to tell.
		_ = Write(w, r)
	})
}

// Write writes the metrics in the order of their names.
func Write(w io.Writer, r metrics.Registry) error {
	var lines []string
	r.Each(func(name string, metric any) {
		lines = append(lines, formatMetric(prefix+replaceDots(name), metric)...)
	})
	slices.Sort(lines)
	for _, line := range lines {
		if _, err := io.WriteString(w, line+"\n"); err != nil {
			return err
		}
	}
	return nil
}

// replaceDots replaces the dots of a name.
func replaceDots(name string) string {
	return strings.ReplaceAll(name, ".", "_")
}

func formatMetric(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Timer:
		return formatTimer(name, m.Snapshot())
	default:
		return nil
	}
}

func formatTimer(name string, t metrics.Timer) []string {
	quantiles := []float64{0.5, 0.9, 0.99}
	values := t.Percentiles(quantiles)
	lines := []string{fmt.Sprintf("%s_count %d", name, t.Count())}
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %.6f", name, q, values[i]/float64(time.Second)))
	}
	return append(lines, fmt.Sprintf("%s_seconds{quantile=\"1\"} %.6f", name, time.Duration(t.Max()).Seconds()))
}
