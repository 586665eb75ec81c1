// Package trial measures planners: it drives the planning systems over a fake clock with seeded arrivals
// and applies their actions to the tables directly, without a lead, workers or a store.
package trial

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
)

// Range of the histograms of waiting times, in milliseconds.
const (
	maxWaitMillis   = int64(24 * time.Hour / time.Millisecond)
	histogramDigits = 3
)

type (
	// Config describes one run: the workers, and the arrivals as a function of the seed.
	Config struct {
		Name string
		Seed uint64
		// Workers have Capacity each; Accelerators are spread over the first workers, eight to each.
		Workers      int
		Capacity     types.Resources
		Accelerators int
		PerRack      int
		Teams        int
		// Arrivals makes the jobs that are submitted, in the order of time.
		Arrivals func(c Config) []Arrival
		// Duration is how long jobs arrive; the run goes on for Drain at most until all have ended.
		Duration time.Duration
		Drain    time.Duration
		Tick     time.Duration
		// StartDelay is from the decision to the confirmation, StopDelay from a stop to its confirmation.
		StartDelay time.Duration
		StopDelay  time.Duration
		// Wall measures how long decisions take; without one the machine's clock does.
		Wall clockwork.Clock
	}

	// Arrival is one job with what the planner does not know: how long its tasks run in truth.
	Arrival struct {
		At      time.Duration
		Job     types.Job
		RunTime time.Duration
	}

	// Entrant is a planner that takes part in a comparison.
	Entrant struct {
		Name string
		Make func() plan.Planner
	}

	// Result is what one planner reached in a run.
	Result struct {
		Config  string
		Planner string
		// Waits holds the times from submission to the first confirmed start, by class, in milliseconds.
		Waits map[types.Class]*hdrhistogram.Histogram
		// Waiting counts the tasks of each class that never started.
		Waiting map[types.Class]int
		Starts  int
		// Packing is the mean part of the cores that is occupied on workers that run anything.
		Packing float64
		// Occupied is the mean part of all cores that is occupied while jobs arrive.
		Occupied    float64
		Preemptions int
		Deadlines   int
		Missed      int
		// Examined is how many workers the planner looked at, where it counts them.
		Examined uint64
		// Decision holds the time of each tick's decision in microseconds, and Deciding their sum.
		Decision *hdrhistogram.Histogram
		Deciding time.Duration
	}
)

// Entrants returns the planner of the lead and the baselines.
func Entrants(seed uint64) []Entrant {
	return []Entrant{
		{Name: "systems", Make: func() plan.Planner { return plan.New(plan.Config{}) }},
		{Name: "first fit", Make: func() plan.Planner { return plan.FirstFit{} }},
		{Name: "random fit", Make: func() plan.Planner { return plan.NewRandomFit(seed) }},
		{Name: "least loaded", Make: func() plan.Planner { return plan.LeastLoaded{} }},
	}
}

// Run runs one planner through a configuration. It returns an error when an action of the planner does
// not apply or breaks an invariant of the tables.
func Run(c Config, e Entrant) (*Result, error) {
	if c.Wall == nil {
		c.Wall = clockwork.NewRealClock()
	}
	cell := newCell(c, e)
	if err := cell.run(); err != nil {
		return nil, fmt.Errorf("%s, %s: %w", c.Name, e.Name, err)
	}
	return cell.result, nil
}

// Compare runs every entrant through the same arrivals.
func Compare(c Config) ([]*Result, error) {
	var out []*Result
	for _, e := range Entrants(c.Seed) {
		r, err := Run(c, e)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func newResult(c Config, e Entrant) *Result {
	r := &Result{
		Config:   c.Name,
		Planner:  e.Name,
		Waits:    make(map[types.Class]*hdrhistogram.Histogram),
		Waiting:  make(map[types.Class]int),
		Decision: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), histogramDigits),
	}
	for _, class := range types.Classes() {
		r.Waits[class] = hdrhistogram.New(1, maxWaitMillis, histogramDigits)
	}
	return r
}

// Wait returns a percentile of a class's waiting time.
func (r *Result) Wait(c types.Class, percentile float64) time.Duration {
	return time.Duration(r.Waits[c].ValueAtPercentile(percentile)) * time.Millisecond
}
