package fleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

const (
	seedCount   = 20
	maxParallel = 6

	// seedEnv names a seed to run instead of those of CI, lengthEnv how long faults are then injected.
	seedEnv   = "MAGNOLIAWALK_FAULT_SEED"
	lengthEnv = "MAGNOLIAWALK_FAULT_LENGTH"
)

func assertPromisesKept(t *testing.T, c Config) {
	t.Helper()
	r, err := Run(context.Background(), c)
	if err != nil {
		t.Fatalf("seed %d: %v", c.Seed, err)
	}
	var out bytes.Buffer
	r.Print(&out)
	if r.Failed() {
		t.Fatal(out.String())
	}
	t.Log(out.String())
}

// TestPromisesUnderFailures runs the seeds of CI, or the seed that the environment names, and fails on broken promises and
// on a fleet that does not recover.
func TestPromisesUnderFailures(t *testing.T) {
	if text := os.Getenv(seedEnv); text != "" {
		assertPromisesKept(t, configFromEnv(t, text))
		return
	}
	slots := make(chan struct{}, maxParallel)
	for seed := uint64(1); seed <= seedCount; seed++ {
		t.Run(fmt.Sprintf("Seed%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			assertPromisesKept(t, Config{Seed: seed})
		})
	}
}

func configFromEnv(t *testing.T, text string) Config {
	t.Helper()
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	c := Config{Seed: seed}
	if length := os.Getenv(lengthEnv); length != "" {
		if c.Length, err = time.ParseDuration(length); err != nil {
			t.Fatal(err)
		}
	}
	return c
}
