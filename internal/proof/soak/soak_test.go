package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/app/cmds"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/soak"
)

const (
	// daemonEnv makes the test binary run as a daemon, so that the race detector also covers the daemons.
	daemonEnv = "MAGNOLIAWALK_SOAK_DAEMON"
	// seedEnv names the seeds that TestMoreSeeds runs besides those of CI, as FIRST,COUNT.
	seedEnv = "MAGNOLIAWALK_SOAK_SEEDS"
	// shortLength is how long TestSoak injects faults.
	shortLength = 6 * time.Second
)

// regressions are the seeds that failed in the past, with the cause of each.
var regressions = map[uint64]string{
	14:  "a runner had completed a task and crashed before it reported that; the task ran again, which the check did not allow (cause as in seed 25; this seed was not traced)",
	21:  "cause as in seed 14",
	25:  "cause as in seed 14; traced for one of the two jobs concerned",
	307: "ledger writes took longer than tickets are valid, so that the last jobs never started",
}

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) == "" {
		// The daemons that the tests start inherit the variable.
		if err := os.Setenv(daemonEnv, "1"); err != nil {
			panic(err)
		}
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	code := cmds.Run(ctx, append([]string{"magnoliawalk"}, os.Args[1:]...), os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func runSeed(t *testing.T, seed uint64, length time.Duration) {
	t.Helper()
	runWith(t, soak.Config{Seed: seed, Length: length})
}

// runWith runs the seed of a configuration for its length; the rest is set here, unless it is one of the modes.
func runWith(t *testing.T, c soak.Config) {
	t.Helper()
	t.Parallel()
	directory, err := soak.NewDirectory(c.Seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { removeLogs(t, directory) })
	c.Command, c.Directory = []string{os.Args[0], "platform"}, directory
	c.Daemons = soak.DefaultDaemons
	if c.Runners == 0 {
		c.Runners = soak.DefaultRunners
	}
	if c.Callers == 0 {
		c.Callers = soak.DefaultCallers
	}
	report, err := soak.Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	if err := report.Print(t.Output()); err != nil {
		t.Fatal(err)
	}
	if report.Accepted == 0 || report.Completed == 0 {
		t.Errorf("got %d jobs accepted and %d completed, want at least one of each", report.Accepted, report.Completed)
	}
	for _, b := range report.Broken {
		t.Error(b)
	}
	assertNoRaces(t, directory)
}

// assertNoRaces fails the test if a daemon's log has a report of the race detector.
func assertNoRaces(t *testing.T, directory string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range logs {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(content, []byte("DATA RACE")) {
			t.Errorf("the race detector reported a data race of a daemon, see its log %s", path)
		}
	}
}

// removeLogs removes the directory of a run unless the test failed.
func removeLogs(t *testing.T, directory string) {
	if t.Failed() {
		return
	}
	if err := os.RemoveAll(directory); err != nil {
		t.Error(err)
	}
}

func TestSoak(t *testing.T) {
	runSeed(t, 1, shortLength)
}

// The daemons that relay the leader's requests to runners fail like all others.
func TestSoakThroughRelays(t *testing.T) {
	runWith(t, soak.Config{Seed: 2, Length: shortLength, NarrowLinks: true})
}

func TestSoakWithLargeCatalogs(t *testing.T) {
	runWith(t, soak.Config{Seed: 4, Length: shortLength, LargeCatalogs: true})
}

// Jobs go on while their queue is moved, and gets and loses its recommendation and its route.
func TestSoakWithChangingPolicies(t *testing.T) {
	runWith(t, soak.Config{Seed: 1316, Length: soak.DefaultLength, ChangingPolicies: true})
}

// Leaders whose terms are shorter than a snapshot leave a full ring to their successors. The ring fills only under many callers and
// over many terms.
func TestSoakWithShortTerms(t *testing.T) {
	runWith(t, soak.Config{Seed: 5, Length: 20 * time.Second, Callers: 24, ShortTerms: true})
}

// Starts reach the next boot of runners that restart under their ids.
func TestSoakWithRunnerReboots(t *testing.T) {
	runWith(t, soak.Config{Seed: 12, Length: 4 * time.Second, Callers: 3, RunnerReboots: true})
}

// Callers go on while the store refuses some daemons, loses answers and limits its rates, and after all daemons were killed at once.
func TestSoakWithStoreFaults(t *testing.T) {
	runWith(t, soak.Config{Seed: 8, Length: shortLength, StoreFaults: true, ScarceProcessor: true, PowerLosses: 1})
}

// A leader that ends its term while the store takes no write must not stay the recorded one.
func TestNoDaemonStaysRecordedWithoutATerm(t *testing.T) {
	runWith(t, soak.Config{Seed: 11, Length: soak.DefaultLength, StoreFaults: true, OnlyFault: "store refuses writes", PowerLosses: 1})
}

// While VMs are replaced, daemons of the build in production and of this one share the ledger and the election, in any order.
func TestSoakWithAFormerBuild(t *testing.T) {
	former := buildFormer(t)
	for _, seed := range []uint64{6, 7} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runWith(t, soak.Config{Seed: seed, Length: shortLength, Former: []string{former, "platform"}})
		})
	}
}

// buildFormer builds the version that deploy/system.toml names as production, from the repository's history.
func buildFormer(t *testing.T) string {
	t.Helper()
	const root = "../../.."
	settings, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"$`).FindSubmatch(settings)
	if found == nil {
		t.Fatal("deploy/system.toml names no commit as production")
	}
	commit, directory := string(found[1]), t.TempDir()
	if err := exec.Command("git", "-C", root, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("the history does not hold %s, which is in production; no former build is played: %v", commit, err)
	}
	out := filepath.Join(directory, "former")
	build := fmt.Sprintf("git -C %s archive %s | tar x -C %s && cd %s && go build -o %s ./cmd/magnoliawalk", root, commit, directory, directory, out)
	if output, err := exec.Command("sh", "-c", build).CombinedOutput(); err != nil {
		t.Fatalf("building %s: %v\n%s", commit, err, output)
	}
	return out
}

// The seeds that failed in the past run at full length.
func TestRegressions(t *testing.T) {
	for seed, cause := range regressions {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Log(cause)
			runSeed(t, seed, soak.DefaultLength)
		})
	}
}

// Guards against a task that runs twice because its start reached the next boot of its runner.
func TestTasksRunOnceWhileRunnersReboot(t *testing.T) {
	for _, seed := range []uint64{702, 704} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runWith(t, soak.Config{
				Seed: seed, Length: shortLength, RunnerReboots: true, OnlyFault: "catalog", Runners: 12, Callers: 16,
			})
		})
	}
}

// The seeds are taken from the environment variable seedEnv, as FIRST,COUNT; without it the test is skipped.
func TestMoreSeeds(t *testing.T) {
	first, count, found := strings.Cut(os.Getenv(seedEnv), ",")
	if !found {
		t.Skip(seedEnv + " names no seeds")
	}
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.ParseUint(count, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for seed := from; seed < from+n; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed, soak.DefaultLength) })
	}
}
