package order

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// tailShare of the tasks take tailFactor times the usual time.
	tailShare  = 0.03
	tailFactor = 7
)

// movingMeans is the former predictor, the baseline: a moving mean of 16 run times for each queue.
type movingMeans map[specs.QueueName]*movingMean

type movingMean struct {
	runs              int
	runTime, estimate float64
}

func (p movingMeans) Observe(q specs.QueueName, estimate, ran time.Duration) {
	m := p[q]
	if m == nil {
		m = &movingMean{}
		p[q] = m
	}
	m.runs++
	weight := 1 / float64(min(m.runs, 16))
	m.runTime += (ran.Seconds() - m.runTime) * weight
	m.estimate += (estimate.Seconds() - m.estimate) * weight
}

func (p movingMeans) Centre(q specs.QueueName, estimate time.Duration) (time.Duration, bool) {
	m := p[q]
	if m == nil {
		return 0, false
	}
	scale := 1.0
	if m.estimate > 0 && estimate > 0 {
		scale = (1 + estimate.Seconds()/m.estimate) / 2
	}
	return time.Duration(m.runTime * scale * float64(time.Second)), true
}

func (p movingMeans) Mean(q specs.QueueName, estimate time.Duration) (time.Duration, bool) {
	return p.Centre(q, estimate)
}

func (p movingMeans) Quantile(specs.QueueName, time.Duration, float64) (time.Duration, int) {
	return 0, 0
}

func (p movingMeans) Remaining(specs.QueueName, time.Duration, time.Duration) (time.Duration, bool) {
	return 0, false
}

// playLoad plays the heavy load with factor times the arrivals, with the former predictor or the present one, and with a tail
// of long tasks or without. Jobs are rejected as the leader does. It returns the fraction of the value that callers gain and
// the number of accepted jobs that were of no use to them, since they ended too late or not at all.
func playLoad(seeds int, factor float64, former, tail bool) (value float64, useless int) {
	for seed := range uint64(seeds) {
		sim := newSimulation(seed)
		if former {
			sim.table.Times = tasks.NewTimesWith(movingMeans{})
		}
		if tail {
			sim.tailShare = tailShare
		}
		for i := range sim.kinds {
			sim.kinds[i].perSec *= factor
		}
		sim.admit = func(table *tasks.Table, spec *specs.Job, now time.Time) bool {
			backlog := MeasureBacklog(table, now)
			return backlog.Excess(table.NewJob(spec)) <= 0
		}
		value += sim.run(byUrgency) / float64(seeds)
		useless += sim.lastNumber - sim.rejected - sim.gainedJobs
	}
	return value, useless
}

// Where run times have no tail, the order of the plan must serve callers as the former predictor did.
func TestEvenLoadIsServedAsWithMeans(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates thirty seconds of load six times")
	}
	const seeds, tolerance = 3, 0.01
	former, _ := playLoad(seeds, 1, true, false)
	present, _ := playLoad(seeds, 1, false, false)
	t.Logf("fraction of the value gained: %.3f, %.3f with means", present, former)
	if diff := present - former; diff < -tolerance || diff > tolerance {
		t.Errorf("callers gain %.3f of the value, want %.3f, as with means", present, former)
	}
}

// Under overload, a tail of long tasks must not make the jobs of its queue look so long, or so late, that others are served
// before them in vain.
func TestLateEndsUnderATailAreFewerThanWithMeans(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates thirty seconds of load four times")
	}
	const seeds, factor = 2, 2
	formerValue, formerUseless := playLoad(seeds, factor, true, true)
	value, useless := playLoad(seeds, factor, false, true)
	t.Logf("fraction of the value gained: %.3f, %.3f with means; accepted jobs of no use: %d, %d with means", value, formerValue, useless, formerUseless)
	if useless >= formerUseless || value < formerValue {
		t.Errorf("callers gain %.3f of the value, %.3f with means; %d accepted jobs are of no use, %d with means", value, formerValue, useless, formerUseless)
	}
}
