package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// sink is a writer that collects the log's output.
type sink struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

func TestLinesAreBoundedAndCounted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	out := &sink{}
	l := New(Config{Writer: out, Clock: clock, Level: zerolog.InfoLevel, Budget: 10})
	for range 25 {
		l.Info().Msg("often")
	}
	l.Error().Msg("rare")
	clock.Advance(time.Second)
	l.Info().Msg("next second")
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.text()
	if got := strings.Count(text, "often"); got != 10 {
		t.Errorf("%d lines were written, want 10", got)
	}
	for _, want := range []string{"rare", "next second", `"info":15`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in:\n%s", want, text)
		}
	}
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestUnreadOutputBlocksNobody guards against code that blocks in logging because the output is not read.
func TestUnreadOutputBlocksNobody(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := New(Config{Writer: out, Clock: clockwork.NewRealClock(), Level: zerolog.InfoLevel, Budget: 100_000})
	done := make(chan struct{})
	go func() {
		for range 3 * bufferedLines {
			l.Info().Msg("line")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("logging blocks while the output is not read")
	}
	close(out.release)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}
