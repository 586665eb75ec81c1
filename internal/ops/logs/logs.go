// Package logs writes structured log lines without ever blocking the code that logs, and limits their rate.
package logs

import (
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferedLines is how many lines are buffered for a slow writer before lines are dropped.
	bufferedLines = 4096
	// pollInterval is the interval at which buffered lines are written.
	pollInterval = 50 * time.Millisecond
	// DefaultBudget is how many lines of each level may be written per second.
	DefaultBudget = 300
)

type (
	// Config configures a Log.
	Config struct {
		Writer io.Writer
		Clock  clockwork.Clock
		Level  zerolog.Level
		// Budget is how many lines of each level may be written per second; 0 or less means DefaultBudget.
		Budget int
	}

	// Log is a zerolog.Logger that writes through a buffer until it is closed.
	Log struct {
		zerolog.Logger

		writer diode.Writer
	}

	// lineLimiter is a zerolog.Sampler that lets a limited number of lines of each level pass per second, and counts
	// the others.
	lineLimiter struct {
		clock clockwork.Clock
		limit int
		// report logs how many lines of each level were omitted.
		report func(omitted map[string]int)

		mu          sync.Mutex
		windowStart time.Time
		lineCounts  map[zerolog.Level]int
		omitted     map[string]int
	}
)

// New returns a Log. It must be closed, so that buffered lines are written.
func New(c Config) *Log {
	if c.Budget <= 0 {
		c.Budget = DefaultBudget
	}
	out := &Log{}
	out.writer = diode.NewWriter(c.Writer, bufferedLines, pollInterval, func(dropped int) {
		// If this line cannot be written either, nothing can be done.
		_, _ = io.WriteString(c.Writer, droppedLine(dropped))
	})
	plain := zerolog.New(out.writer).Level(c.Level).With().Timestamp().Logger()
	out.Logger = plain.Sample(&lineLimiter{
		clock: c.Clock, limit: c.Budget, lineCounts: make(map[zerolog.Level]int), omitted: make(map[string]int),
		report: func(omitted map[string]int) {
			event := plain.Warn()
			for level, count := range omitted {
				event = event.Int(level, count)
			}
			event.Msg("log lines over the rate limit were omitted")
		},
	})
	return out
}

// Close writes the buffered lines and closes the log.
func (l *Log) Close() error {
	return l.writer.Close()
}

// droppedLine returns the log line that reports how many lines were dropped because the writer was too slow.
func droppedLine(dropped int) string {
	line := zerolog.Dict().Int("Missed", dropped)
	var out lineBuffer
	logger := zerolog.New(&out)
	logger.Warn().Dict("Dropped", line).Msg("log lines were dropped because the output was too slow")
	return string(out)
}

// lineBuffer is an io.Writer that collects bytes.
type lineBuffer []byte

func (b *lineBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// Sample reports whether a line of the level may be written. At the first line of a new second it also reports how many
// lines were omitted before. It implements zerolog.Sampler.
func (l *lineLimiter) Sample(level zerolog.Level) bool {
	l.mu.Lock()
	now := l.clock.Now()
	var omitted map[string]int
	if now.Sub(l.windowStart) >= time.Second || now.Before(l.windowStart) {
		if len(l.omitted) > 0 {
			omitted, l.omitted = l.omitted, make(map[string]int)
		}
		l.windowStart = now
		clear(l.lineCounts)
	}
	l.lineCounts[level]++
	allowed := l.lineCounts[level] <= l.limit
	if !allowed {
		l.omitted[level.String()]++
	}
	l.mu.Unlock()
	if omitted != nil {
		l.report(omitted)
	}
	return allowed
}
