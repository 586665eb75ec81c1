package tasks

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// windowRuns is how many runs one window of a queue's run times holds. The distribution consists of the current window
	// and the one before, so it follows a change within twice as many runs.
	windowRuns = 64
	// maxQueues limits the queues whose run times are kept; the one that was observed longest ago is dropped. A queue's two
	// windows take 6 KB.
	maxQueues = 512
	// minRunTime, maxRunTime and runTimeDigits set the range, in milliseconds, and the precision of a histogram.
	minRunTime    = 1
	maxRunTime    = 10_000_000
	runTimeDigits = 1
	// trimmedShare is the part of the runs that the interquartile mean leaves out at either end.
	trimmedShare = 0.25
	// refreshDivisor sets how often the summary of a distribution of n runs is computed: after every n/refreshDivisor new runs.
	refreshDivisor = 16
	// estimateRuns sets the weight of one run in the moving average of a queue's estimates, 1/estimateRuns.
	estimateRuns = 16
)

type (
	// Distributions predicts run times from the distribution of those observed in each queue.
	Distributions struct {
		queues map[specs.QueueName]*runTimes
		// observed counts the observations of all queues.
		observed int
	}

	// runTimes is the distribution of a queue's run times, each divided by the scale of the task's estimate.
	runTimes struct {
		current, former *hdrhistogram.Histogram
		runs            int
		// estimate is the moving average of the estimates, in seconds.
		estimate float64
		// lastObserved is the value of Distributions.observed at the latest run.
		lastObserved int
		// bars, total, centre and mean are the summary of the distribution, computed after summarised runs: its histogram, the
		// number of runs, their interquartile mean and their mean.
		bars       []hdrhistogram.Bar
		summarised int
		total      float64
		centre     float64
		mean       float64
	}
)

// NewDistributions returns a predictor without observations.
func NewDistributions() *Distributions {
	return &Distributions{queues: make(map[specs.QueueName]*runTimes)}
}

// Observe adds the run time of a task that was done, as it would be at the usual speed of the runners.
func (d *Distributions) Observe(q specs.QueueName, estimate, ran time.Duration) {
	r := d.queues[q]
	if r == nil {
		d.dropOldest()
		r = &runTimes{current: newHistogram(), former: newHistogram()}
		d.queues[q] = r
	}
	d.observed++
	r.lastObserved = d.observed
	r.observe(estimate, ran)
}

// dropOldest removes the queue that was observed longest ago if there are maxQueues.
func (d *Distributions) dropOldest() {
	if len(d.queues) < maxQueues {
		return
	}
	var oldest specs.QueueName
	lowest := d.observed + 1
	for q, r := range d.queues {
		if r.lastObserved < lowest {
			oldest, lowest = q, r.lastObserved
		}
	}
	delete(d.queues, oldest)
}

// Centre returns the run time of a usual task with the estimate: the interquartile mean of the runs, which a tail of long
// ones does not change. It returns false for a queue without observations.
func (d *Distributions) Centre(q specs.QueueName, estimate time.Duration) (time.Duration, bool) {
	r := d.queues[q]
	if r == nil {
		return 0, false
	}
	r.summarise()
	return r.predict(r.centre, estimate), true
}

// Mean returns the mean run time of tasks with the estimate, or false for a queue without observations.
func (d *Distributions) Mean(q specs.QueueName, estimate time.Duration) (time.Duration, bool) {
	r := d.queues[q]
	if r == nil {
		return 0, false
	}
	r.summarise()
	return r.predict(r.mean, estimate), true
}

// Quantile returns the time within which the given part of the tasks with the estimate is done, and from how many runs that
// is known.
func (d *Distributions) Quantile(q specs.QueueName, estimate time.Duration, part float64) (time.Duration, int) {
	r := d.queues[q]
	if r == nil {
		return 0, 0
	}
	r.summarise()
	seen := 0.0
	for _, b := range r.bars {
		seen += float64(b.Count)
		if seen >= part*r.total {
			return r.predict(float64(b.To), estimate), int(r.total)
		}
	}
	return 0, 0
}

// Remaining returns how much longer a task with the estimate is expected to run that has already run for the given time. A
// task that has run longer than all that were observed is expected to run as long again. It returns false for a queue
// without observations.
func (d *Distributions) Remaining(q specs.QueueName, estimate, ran time.Duration) (time.Duration, bool) {
	r := d.queues[q]
	if r == nil {
		return 0, false
	}
	r.summarise()
	sum, count := 0.0, 0.0
	for _, b := range r.bars {
		if left := r.predict(barMiddle(b), estimate) - ran; left > 0 {
			sum += left.Seconds() * float64(b.Count)
			count += float64(b.Count)
		}
	}
	if count == 0 {
		return ran, true
	}
	return time.Duration(sum / count * float64(time.Second)), true
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minRunTime, maxRunTime, runTimeDigits)
}

func (r *runTimes) observe(estimate, ran time.Duration) {
	r.runs++
	r.estimate += (estimate.Seconds() - r.estimate) / float64(min(r.runs, estimateRuns))
	if r.current.TotalCount() >= windowRuns {
		r.current, r.former = r.former, r.current
		r.current.Reset()
	}
	relative := int64(float64(ran.Milliseconds()) / r.scale(estimate))
	// The only error is a value that is out of range.
	_ = r.current.RecordValue(min(max(relative, minRunTime), maxRunTime))
}

// count returns the number of runs in the distribution.
func (r *runTimes) count() int {
	return int(r.current.TotalCount() + r.former.TotalCount())
}

// scale returns the expected run time of a task with the estimate, relative to the other tasks of its queue. The estimate
// counts half: the scale is the average of 1 and the estimate's ratio to the mean estimate.
func (r *runTimes) scale(estimate time.Duration) float64 {
	if r.estimate <= 0 || estimate <= 0 {
		return 1
	}
	return (1 + estimate.Seconds()/r.estimate) / 2
}

// predict returns the run time of a task with the estimate from a relative one in milliseconds.
func (r *runTimes) predict(relative float64, estimate time.Duration) time.Duration {
	return time.Duration(relative * r.scale(estimate) * float64(time.Millisecond))
}

// summarise updates the summary when enough runs have been observed since the last one.
func (r *runTimes) summarise() {
	if r.runs-r.summarised < max(1, r.count()/refreshDivisor) {
		return
	}
	r.summarised = r.runs
	r.bars = r.bars[:0]
	for _, h := range []*hdrhistogram.Histogram{r.current, r.former} {
		for _, b := range h.Distribution() {
			if b.Count > 0 {
				r.bars = append(r.bars, b)
			}
		}
	}
	slices.SortFunc(r.bars, func(a, b hdrhistogram.Bar) int { return int(a.From - b.From) })
	r.total = float64(r.count())
	r.mean = r.trimmedMean(0)
	r.centre = r.trimmedMean(trimmedShare)
}

// trimmedMean returns the mean without the given part of the runs at either end.
func (r *runTimes) trimmedMean(trimmed float64) float64 {
	low, high := trimmed*r.total, (1-trimmed)*r.total
	sum, seen := 0.0, 0.0
	for _, b := range r.bars {
		next := seen + float64(b.Count)
		sum += barMiddle(b) * max(0, min(next, high)-max(seen, low))
		seen = next
	}
	return sum / (high - low)
}

// barMiddle returns the middle of the values that the bar counts, in milliseconds.
func barMiddle(b hdrhistogram.Bar) float64 {
	return float64(b.From+b.To) / 2
}
