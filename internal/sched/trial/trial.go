// Package trial measures planners by simulation: it runs them in simulated time with seeded arrivals and applies
// their actions to the tables directly, without a leader, workers or a store.
package trial

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
)

// Range of the histograms of waiting times in milliseconds, and significant digits of all histograms.
const (
	maxWaitMillis   = int64(24 * time.Hour / time.Millisecond)
	histogramDigits = 3
)

type (
	// Config describes one run: the workers, and the arrivals as a function of the seed.
	Config struct {
		Name string
		Seed uint64
		// Workers is the number of workers, with Capacity each. Accelerators is their number in total; they are on
		// the first workers, up to eight on each.
		Workers      int
		Capacity     types.Resources
		Accelerators int
		PerRack      int
		Teams        int
		// Arrivals returns the jobs to submit, in order of time.
		Arrivals func(c Config) []Arrival
		// Duration is how long jobs arrive. The run then continues until all jobs but services have ended, for Drain
		// at most.
		Duration time.Duration
		Drain    time.Duration
		Tick     time.Duration
		// StartDelay is the time from the decision to start a task to its confirmation, StopDelay the time from the
		// decision to stop one to its confirmation.
		StartDelay time.Duration
		StopDelay  time.Duration
		// Wall is the clock that measures how long decisions take; nil means the real clock.
		Wall clockwork.Clock
	}

	// Arrival is one job, the time from the start of the run to its submission, and the actual run time of its
	// tasks, which the planner does not know.
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

	// Result holds the figures that one planner reached in a run.
	Result struct {
		Config  string
		Planner string
		// Waits holds the times from submission to the first confirmed start of each task, by class, in
		// milliseconds. A task that never started counts with the time until the end of the run. Services are left out.
		Waits map[types.Class]*hdrhistogram.Histogram
		// Waiting is the number of tasks of each class that never started.
		Waiting map[types.Class]int
		Starts  int
		// Packing is the mean share of cores that is occupied on workers that run anything, while jobs arrive.
		Packing float64
		// Occupied is the mean share of all cores that is occupied while jobs arrive.
		Occupied    float64
		Preemptions int
		Deadlines   int
		Missed      int
		// Examined is the number of workers that the planner examined; zero when it does not count them.
		Examined uint64
		// Decision holds the time that each tick's decision took, in microseconds; Deciding is their sum.
		Decision *hdrhistogram.Histogram
		Deciding time.Duration
	}
)

// Entrants returns the planner that leaders use, then the baselines. The seed is that of random fit.
func Entrants(seed uint64) []Entrant {
	return []Entrant{
		{Name: "systems", Make: func() plan.Planner { return plan.New(plan.Config{}) }},
		{Name: "first fit", Make: func() plan.Planner { return plan.FirstFit{} }},
		{Name: "random fit", Make: func() plan.Planner { return plan.NewRandomFit(seed) }},
		{Name: "least loaded", Make: func() plan.Planner { return plan.LeastLoaded{} }},
	}
}

// Run runs one planner with a configuration. It returns an error when an action of the planner cannot be applied
// or breaks an invariant of the tables.
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

// Compare runs every entrant with the same configuration and arrivals.
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

// Wait returns a percentile, from 0 to 100, of a class's waiting time.
func (r *Result) Wait(c types.Class, percentile float64) time.Duration {
	return time.Duration(r.Waits[c].ValueAtPercentile(percentile)) * time.Millisecond
}
