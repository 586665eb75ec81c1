// Package logs writes structured log lines without ever blocking who logs, and bounds how many there are.
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
	// bufferedLines is how many lines wait for a slow reader before lines are dropped.
	bufferedLines = 4096
	// pollInterval is how often waiting lines are written.
	pollInterval = 50 * time.Millisecond
	// DefaultBudget is how many lines of one level may be written in a second.
	DefaultBudget = 300
)

type (
	// Config says where lines go and how many.
	Config struct {
		Writer io.Writer
		Clock  clockwork.Clock
		Level  zerolog.Level
		// Budget is how many lines of one level may be written in a second; 0 means DefaultBudget.
		Budget int
	}

	// Log writes lines until it is closed.
	Log struct {
		zerolog.Logger

		writer diode.Writer
	}

	// lineLimiter is a sampler that lets only so many lines of a level through in a second, and counts the rest.
	lineLimiter struct {
		clock clockwork.Clock
		limit int
		// report logs how many lines were left out.
		report func(left map[string]int)

		mu          sync.Mutex
		windowStart time.Time
		lineCounts  map[zerolog.Level]int
		omitted     map[string]int
	}
)

// New returns a log. Close writes what waits.
func New(c Config) *Log {
	if c.Budget <= 0 {
		c.Budget = DefaultBudget
	}
	out := &Log{}
	out.writer = diode.NewWriter(c.Writer, bufferedLines, pollInterval, func(dropped int) {
		// Nothing can be done when even this line is not taken.
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
			event.Msg("log lines were left out")
		},
	})
	return out
}

// Close writes the lines that wait and ends the log.
func (l *Log) Close() error {
	return l.writer.Close()
}

func droppedLine(dropped int) string {
	line := zerolog.Dict().Int("Missed", dropped)
	var out lineBuffer
	logger := zerolog.New(&out)
	logger.Warn().Dict("Dropped", line).Msg("log lines were dropped")
	return string(out)
}

type lineBuffer []byte

func (b *lineBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// Sample tells whether a line may be written.
func (b *lineLimiter) Sample(level zerolog.Level) bool {
	b.mu.Lock()
	now := b.clock.Now()
	var omitted map[string]int
	if now.Sub(b.windowStart) >= time.Second || now.Before(b.windowStart) {
		if len(b.omitted) > 0 {
			omitted, b.omitted = b.omitted, make(map[string]int)
		}
		b.windowStart = now
		clear(b.lineCounts)
	}
	b.lineCounts[level]++
	allowed := b.lineCounts[level] <= b.limit
	if !allowed {
		b.omitted[level.String()]++
	}
	b.mu.Unlock()
	if omitted != nil {
		b.report(omitted)
	}
	return allowed
}
