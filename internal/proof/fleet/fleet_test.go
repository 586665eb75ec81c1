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
	seeds    = 20
	parallel = 6

	// variableSeed runs one seed, variableLength sets for how long.
	variableSeed   = "MAGNOLIAWALK_FAULT_SEED"
	variableLength = "MAGNOLIAWALK_FAULT_LENGTH"
)

func wantKept(t *testing.T, c Config) {
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

// TestPromisesUnderFailures runs the seeds of CI, or the one of the environment for as long as it says.
func TestPromisesUnderFailures(t *testing.T) {
	if text := os.Getenv(variableSeed); text != "" {
		wantKept(t, chosen(t, text))
		return
	}
	slots := make(chan struct{}, parallel)
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("Seed%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			wantKept(t, Config{Seed: seed})
		})
	}
}

func chosen(t *testing.T, text string) Config {
	t.Helper()
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	c := Config{Seed: seed}
	if length := os.Getenv(variableLength); length != "" {
		if c.Length, err = time.ParseDuration(length); err != nil {
			t.Fatal(err)
		}
	}
	return c
}
