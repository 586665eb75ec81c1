// Package expose serves the counters, gauges and timers of a process as text, one value per line.
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

// Handler returns a handler that serves the metrics of a registry. Times are in seconds.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// An error means that the client has disconnected; there is nobody to report it to.
		_ = Write(w, r)
	})
}

// Write writes the metrics as lines in sorted order. It returns the first error of the writer.
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

// replaceDots replaces the dots of a metric's name with underscores.
func replaceDots(name string) string {
	return strings.ReplaceAll(name, ".", "_")
}

// formatMetric returns the lines of one metric. Metrics that are not counters, gauges or timers have none.
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

// formatTimer returns the lines of a timer: its count and, in seconds, its quantiles 0.5, 0.9 and 0.99 and its maximum
// as quantile 1.
func formatTimer(name string, t metrics.Timer) []string {
	quantiles := []float64{0.5, 0.9, 0.99}
	values := t.Percentiles(quantiles)
	lines := []string{fmt.Sprintf("%s_count %d", name, t.Count())}
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %.6f", name, q, values[i]/float64(time.Second)))
	}
	return append(lines, fmt.Sprintf("%s_seconds{quantile=\"1\"} %.6f", name, time.Duration(t.Max()).Seconds()))
}
