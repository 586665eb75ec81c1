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

// cliFixture runs commands of the command line within the test process.
type cliFixture struct {
	t     *testing.T
	flags []string
}

// run executes a command and returns its exit code and its combined output.
func (s *cliFixture) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := Run(context.Background(), append([]string{"magnoliawalk"}, args...), &out, &out)
	return code, out.String()
}

// runRemote executes a command with the flags that address the test cluster, which must precede the arguments.
func (s *cliFixture) runRemote(command string, args ...string) (int, string) {
	words := append(strings.Fields(command), s.flags...)
	return s.run(append(words, args...)...)
}

// wantResult fails the test unless the exit code is code and the output contains text.
func (s *cliFixture) wantResult(code int, text string, gotCode int, gotText string) {
	s.t.Helper()
	if gotCode != code || !strings.Contains(gotText, text) {
		s.t.Fatalf("exit code %d, want %d, with %q in the output:\n%s", gotCode, code, text, gotText)
	}
}

// writeDocument writes text to a temporary file and returns its path.
func (s *cliFixture) writeDocument(text string) string {
	s.t.Helper()
	name := filepath.Join(s.t.TempDir(), "document.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return name
}

func TestWrongUseIsRefusedWithTheCodeOfItsKind(t *testing.T) {
	s := &cliFixture{t: t}
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
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			sub := &cliFixture{t: t}
			code, text := s.run(tt.args...)
			sub.wantResult(tt.code, tt.text, code, text)
		})
	}
}

func TestMalformedDocumentIsRefusedWithLineAndPath(t *testing.T) {
	s := &cliFixture{t: t}
	code, text := s.run("env", "check", s.writeDocument(strings.Replace(string(local.Sample()), "Slots: 8", "Slots: -8", 1)))
	s.wantResult(errs.ExitUsage, "Services[0].Slots", code, text)
	code, text = s.run("env", "check", s.writeDocument(string(local.Sample())))
	s.wantResult(0, "valid", code, text)
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
	s := &cliFixture{t: t, flags: []string{"--entry", dev.URLs[0], "--token", dev.Cluster.OperatorToken.Reveal()}}
	t.Run("Request", func(t *testing.T) {
		code, text := s.runRemote("request send", "--service", "booking-desk", "--team", "bookings", "hello")
		s.wantResult(0, "Done: hello", code, text)
		code, text = s.runRemote("request ask", strings.Fields(text)[0])
		s.wantResult(0, "Done: hello", code, text)
	})
	t.Run("UnknownService", func(t *testing.T) {
		code, text := s.runRemote("request send", "--service", "nope", "--team", "bookings", "hello")
		s.wantResult(errs.ExitRefused, "NotRun", code, text)
	})
	t.Run("Status", func(t *testing.T) {
		code, text := s.runRemote("status")
		s.wantResult(0, "no alarms", code, text)
	})
	t.Run("JobAndExplain", func(t *testing.T) {
		code, text := s.runRemote("job submit", "--wait", "contract-bundles")
		s.wantResult(0, "10 done", code, text)
		code, text = s.runRemote("explain", strings.Fields(text)[0])
		s.wantResult(0, "accepted", code, strings.ToLower(text))
	})
	t.Run("TwoOperatorsRace", func(t *testing.T) { testConflictingPuts(t, s) })
}

// testConflictingPuts checks that the second of two operators who replace the same revision gets a conflict that names
// the first one, and that the first one's document remains the accepted one.
func testConflictingPuts(t *testing.T, s *cliFixture) {
	sub := &cliFixture{t: t}
	firstDocument := sub.writeDocument(strings.Replace(string(local.Sample()), "Count: 10", "Count: 11", 1))
	secondDocument := sub.writeDocument(strings.Replace(string(local.Sample()), "Count: 10", "Count: 12", 1))
	code, text := s.runRemote("env put", "--by", "amina", "--expect", "1", firstDocument)
	sub.wantResult(0, "revision 2", code, text)
	code, text = s.runRemote("env put", "--by", "bilel", "--expect", "1", secondDocument)
	sub.wantResult(errs.ExitConflict, "amina", code, text)
	code, text = s.runRemote("env diff", "--environment", "trial", secondDocument)
	sub.wantResult(0, "against revision 2", code, text)
	code, text = s.runRemote("env history", "--environment", "trial")
	sub.wantResult(0, "by amina", code, text)
}
