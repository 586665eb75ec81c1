package cmds

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/app/local"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

type shell struct {
	t     *testing.T
	flags []string
}

// run runs a command and returns its exit code and what it printed.
func (s *shell) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := Run(context.Background(), append([]string{"magnoliawalk"}, args...), &out, &out)
	return code, out.String()
}

// remote runs a command with the flags that reach the cell; flags stand before the arguments.
func (s *shell) remote(command string, args ...string) (int, string) {
	parts := append(strings.Fields(command), s.flags...)
	return s.run(append(parts, args...)...)
}

func (s *shell) want(code int, text string, gotCode int, gotText string) {
	s.t.Helper()
	if gotCode != code || !strings.Contains(gotText, text) {
		s.t.Fatalf("exit code %d, want %d with %q in:\n%s", gotCode, code, text, gotText)
	}
}

func (s *shell) file(text string) string {
	s.t.Helper()
	name := filepath.Join(s.t.TempDir(), "document.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return name
}

func TestWrongUseIsRefusedWithTheCodeOfItsKind(t *testing.T) {
	s := &shell{t: t}
	cases := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"NoSettings", []string{"serve"}, errs.ExitUsage, "--vm"},
		{"LogLevel", []string{"serve", "--log-level", "loud"}, errs.ExitUsage, "--log-level"},
		{"MissingFile", []string{"env", "check"}, errs.ExitUsage, "FILE"},
		{"NoSuchFile", []string{"env", "check", "/nonexistent"}, errs.ExitUsage, "reading the document"},
		{"FlagWithoutValue", []string{"env", "promote", "--expect-digest"}, errs.ExitUsage, "--expect-digest"},
		{"UnknownFlag", []string{"status", "--nope"}, errs.ExitUsage, "nope"},
		{"MissingID", []string{"explain"}, errs.ExitUsage, "ID"},
		{"NoDaemon", []string{"status", "--entry", "http://127.0.0.1:1"}, errs.ExitRetry, "Unavailable"},
		{"StandinWorkers", []string{"standin", "--workers", "0"}, errs.ExitUsage, "--workers"},
	}
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			sub := &shell{t: t}
			code, text := s.run(e.args...)
			sub.want(e.code, e.text, code, text)
		})
	}
}

func TestMalformedDocumentIsRefusedWithLineAndPath(t *testing.T) {
	s := &shell{t: t}
	code, text := s.run("env", "check", s.file(strings.Replace(string(local.Sample()), "Slots: 8", "Slots: -8", 1)))
	s.want(errs.ExitUsage, "Services[0].Slots", code, text)
	code, text = s.run("env", "check", s.file(string(local.Sample())))
	s.want(0, "valid", code, text)
}

func TestCommandsAgainstACell(t *testing.T) {
	dev, err := local.StartDev(context.Background(), "127.0.0.1:0", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := dev.Cluster.Close(); err != nil {
			t.Error(err)
		}
	}()
	s := &shell{t: t, flags: []string{"--entry", dev.URLs[0], "--token", dev.Cluster.OperatorToken.Reveal()}}
	t.Run("Request", func(t *testing.T) {
		code, text := s.remote("request send", "--service", "booking-desk", "--team", "bookings", "hello")
		s.want(0, "Done: hello", code, text)
		code, text = s.remote("request ask", strings.Fields(text)[0])
		s.want(0, "Done: hello", code, text)
	})
	t.Run("UnknownService", func(t *testing.T) {
		code, text := s.remote("request send", "--service", "nope", "--team", "bookings", "hello")
		s.want(errs.ExitRefused, "NotRun", code, text)
	})
	t.Run("Status", func(t *testing.T) {
		code, text := s.remote("status")
		s.want(0, "no alarms", code, text)
	})
	t.Run("JobAndExplain", func(t *testing.T) {
		code, text := s.remote("job submit", "--wait", "contract-bundles")
		s.want(0, "10 done", code, text)
		code, text = s.remote("explain", strings.Fields(text)[0])
		s.want(0, "accepted", code, strings.ToLower(text))
	})
	t.Run("TwoOperatorsRace", func(t *testing.T) { race(t, s) })
}

// race has a second operator put against the revision that the first one has already replaced.
func race(t *testing.T, s *shell) {
	sub := &shell{t: t}
	mine := sub.file(strings.Replace(string(local.Sample()), "Count: 10", "Count: 11", 1))
	theirs := sub.file(strings.Replace(string(local.Sample()), "Count: 10", "Count: 12", 1))
	code, text := s.remote("env put", "--by", "amina", "--expect", "1", mine)
	sub.want(0, "revision 2", code, text)
	code, text = s.remote("env put", "--by", "bilel", "--expect", "1", theirs)
	sub.want(errs.ExitConflict, "amina", code, text)
	code, text = s.remote("env diff", "--environment", "trial", theirs)
	sub.want(0, "against revision 2", code, text)
	code, text = s.remote("env history", "--environment", "trial")
	sub.want(0, "by amina", code, text)
}
