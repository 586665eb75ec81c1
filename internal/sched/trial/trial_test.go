package trial

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Bounds that follow from the stated targets.
const (
	// urgentBound is half of the 6.3 s in which urgent work has to start; the other half is reserved for the
	// failure of a leader.
	urgentBound = 3150 * time.Millisecond
	// starvationBound is the longest time that any task may wait in a peak of ten minutes that the cell has the
	// capacity for.
	starvationBound = 10 * time.Minute
	// examinedBound is how many workers may be examined for one start, whatever the size of the cell: a tenth of
	// the 333 us that 3,000 starts a second leave for each, at 250 ns for each worker.
	examinedBound = 133
	// Stated rates, checked only when wallVariable is set, since wall times depend on the machine.
	statedRate     = 3000
	statedDecision = 5 * time.Millisecond
	wallVariable   = "MAGNOLIA_WALL"
	// seedsVariable sets the number of seeds, for a longer run.
	seedsVariable = "MAGNOLIA_SEEDS"
)

func systemsEntrant() Entrant {
	return Entrants(1)[0]
}

func mustRun(t *testing.T, c Config, e Entrant) *Result {
	t.Helper()
	r, err := Run(c, e)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// seedCount returns the number of seeds to run.
func seedCount(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv(seedsVariable)
	if text == "" {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		t.Fatalf("%s: %v", seedsVariable, err)
	}
	return n
}

func assertWithin(t *testing.T, r *Result, c types.Class, bound time.Duration) {
	t.Helper()
	if got := r.Wait(c, 100); got > bound {
		t.Errorf("%s: %s work waited up to %s, want at most %s", r.Config, c, got, bound)
	}
}

func assertAllStarted(t *testing.T, r *Result) {
	t.Helper()
	for c, n := range r.Waiting {
		if n > 0 {
			t.Errorf("%s: %d %s tasks never started", r.Config, n, c)
		}
	}
}

func TestPeaks(t *testing.T) {
	for _, size := range []func(uint64) Config{Today, Site, Target} {
		for seed := range seedCount(t) {
			c := size(seed)
			t.Run(fmt.Sprintf("%s, seed %d", c.Name, seed), func(t *testing.T) {
				r := mustRun(t, c, systemsEntrant())
				assertWithin(t, r, types.ClassUrgent, urgentBound)
				assertWithin(t, r, types.ClassNormal, starvationBound)
				assertWithin(t, r, types.ClassBatch, starvationBound)
				assertAllStarted(t, r)
				if got := r.Examined / uint64(r.Starts); got > examinedBound {
					t.Errorf("%d workers were examined for each start, want at most %d", got, examinedBound)
				}
			})
		}
	}
}

func TestOverloadKeepsUrgentWorkQuickAndStarvesNoClass(t *testing.T) {
	r := mustRun(t, Overload(1), systemsEntrant())
	assertWithin(t, r, types.ClassUrgent, urgentBound)
	assertAllStarted(t, r)
}

func TestTheBaselinesAreSlowerForUrgentWork(t *testing.T) {
	c := Site(1)
	c.Duration = 5 * time.Minute
	// A longer drain would only wait for tasks that first fit never starts.
	c.Drain = time.Minute
	results, err := Compare(c)
	if err != nil {
		t.Fatal(err)
	}
	systems := results[0]
	for _, r := range results[1:] {
		if r.Wait(types.ClassUrgent, 99) <= systems.Wait(types.ClassUrgent, 99) {
			t.Errorf("%s starts urgent work within %s at p99, no later than the systems planner with %s",
				r.Planner, r.Wait(types.ClassUrgent, 99), systems.Wait(types.ClassUrgent, 99))
		}
	}
}

func TestANightMissesNoDeadline(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := Overnight(seed)
			c.Workers = 20
			r := mustRun(t, c, systemsEntrant())
			if r.Deadlines == 0 || r.Missed > 0 {
				t.Errorf("%d of %d deadlines were missed, want none of at least one", r.Missed, r.Deadlines)
			}
			assertAllStarted(t, r)
			if baseline := mustRun(t, c, Entrants(1)[1]); baseline.Missed == 0 {
				t.Error("first fit missed no deadline either, so the load is too low to compare planners")
			}
		})
	}
}

func TestTable(t *testing.T) {
	c := Today(1)
	c.Duration = 10 * time.Second
	results, err := Compare(c)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := Table(&out, results); err != nil {
		t.Fatal(err)
	}
	if lines := bytes.Count(out.Bytes(), []byte("\n")); lines != len(results)+1 {
		t.Fatalf("%d lines for %d results, want one for each and a heading:\n%s", lines, len(results), &out)
	}
}

// TestStatedRates checks the stated wall times. It runs only on request, and must not run under the race detector.
func TestStatedRates(t *testing.T) {
	if os.Getenv(wallVariable) == "" {
		t.Skipf("%s is not set", wallVariable)
	}
	for _, c := range []Config{Today(1), Site(1), Target(1)} {
		r := mustRun(t, c, systemsEntrant())
		if rate := float64(r.Starts) / r.Deciding.Seconds(); rate < statedRate {
			t.Errorf("%s: %.0f starts a second of decision time, want at least %d", c.Name, rate, statedRate)
		}
		if p := time.Duration(r.Decision.ValueAtPercentile(99)) * time.Microsecond; p > statedDecision {
			t.Errorf("%s: p99 of a decision is %s, want at most %s", c.Name, p, statedDecision)
		}
	}
}
