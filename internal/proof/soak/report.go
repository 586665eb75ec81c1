package soak

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

func (h *harness) report() *Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &Report{
		LongestTermless: h.longestTermless,
		Seed:            h.config.Seed, Daemons: h.config.Daemons, Faults: h.faultCounts, Events: h.events,
		Starts: h.platform.Fleet.StartCount(), UnstoppableStarts: h.platform.Fleet.UnstoppableStarts(), Directory: h.config.Directory,
	}
	h.recorder.fillReport(r)
	slices.Sort(r.Broken)
	r.Broken = slices.Compact(r.Broken)
	return r
}

// Print writes the counts, and for a run with broken promises those, the injected faults and the path of the logs.
func (r *Report) Print(out io.Writer) error {
	lines := []string{
		fmt.Sprintf("seed %d: %d daemons, %d jobs, %d accepted, %d completed, %d cancelled, %d refused, %d starts (%d unstoppable), %d broken",
			r.Seed, r.Daemons, r.Jobs, r.Accepted, r.Completed, r.Cancelled, r.Refused, r.Starts, r.UnstoppableStarts, len(r.Broken)),
		fmt.Sprintf("  failures: %v; the leader record named a daemon without a term for %s at most", r.Faults, r.LongestTermless),
	}
	if len(r.Broken) > 0 {
		lines = append(lines, r.Broken...)
		lines = append(lines, r.Events...)
		lines = append(lines, "  the daemons' logs are in "+r.Directory)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return errs.New(errs.Internal, "printing the report: %v", err)
		}
	}
	return nil
}

// NewDirectory creates a temporary directory for a run's settings and logs and returns its path.
func NewDirectory(seed uint64) (string, error) {
	path, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", errs.New(errs.Internal, "creating a temporary directory: %v", err)
	}
	return path, nil
}
