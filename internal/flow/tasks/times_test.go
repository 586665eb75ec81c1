package tasks

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// tailEvery is how many runs there are for one that takes tailFactor times the usual time.
	tailEvery  = 32
	tailFactor = 7
	// precision is the error that the histograms' buckets may cause.
	precision = 0.035
)

// checkTime checks a predicted time.
func checkTime(t *testing.T, what string, got, want time.Duration, tolerance float64) {
	t.Helper()
	if math.Abs(got.Seconds()-want.Seconds()) > tolerance*want.Seconds() {
		t.Errorf("%s: %s, want %s", what, got, want)
	}
}

// Equal run times are predicted as they are, also for the first run of a queue.
func TestEvenRunTimesArePredictedAsTheyAre(t *testing.T) {
	for _, ran := range []time.Duration{30 * time.Millisecond, time.Second, 77 * time.Second, time.Hour} {
		times := NewTimes()
		for _, runs := range []int{1, 5, 200} {
			for range runs {
				times.ObserveRunTime("q", time.Second, ran)
			}
			checkTime(t, "usual", times.Expect("q", time.Second), ran, precision)
			checkTime(t, "mean", times.ExpectMean("q", time.Second), ran, precision)
		}
	}
}

// The caller's estimate counts half, relative to the other estimates of the queue, and alone before the first run.
func TestEstimateScalesTheExpectedRunTime(t *testing.T) {
	times := NewTimes()
	checkTime(t, "without runs", times.Expect("q", 3*time.Second), 3*time.Second, 0)
	checkTime(t, "without runs and estimate", times.Expect("q", 0), defaultRunTime, 0)
	for range 100 {
		times.ObserveRunTime("q", 2*time.Second, time.Second)
	}
	checkTime(t, "usual estimate", times.Expect("q", 2*time.Second), time.Second, precision)
	checkTime(t, "three times the usual estimate", times.Expect("q", 6*time.Second), 2*time.Second, precision)
}

// A moving mean of 16 runs rises to 1.4 times the usual time after each long task, and makes all others look late.
func TestTailDoesNotMoveTheUsualRunTime(t *testing.T) {
	times := NewTimes()
	for i := range 20 * tailEvery {
		ran := time.Second
		if i%tailEvery == tailEvery-1 {
			ran *= tailFactor
		}
		times.ObserveRunTime("q", time.Second, ran)
		if i > 2*tailEvery {
			checkTime(t, fmt.Sprintf("usual after %d runs", i), times.Expect("q", time.Second), time.Second, precision)
			checkTime(t, fmt.Sprintf("mean after %d runs", i), times.ExpectMean("q", time.Second), 1190*time.Millisecond, 0.1)
		}
	}
	within, runs := times.Within("q", time.Second, 0.9)
	checkTime(t, "nine tenths", within, time.Second, precision)
	if within, _ = times.Within("q", time.Second, 1); within < tailFactor*time.Second || runs < windowRuns {
		t.Errorf("all of %d tasks are done within %s, want at least %d runs and the time of the long ones", runs, within, windowRuns)
	}
}

// The longer a task has run, the longer it goes on: one that is past the usual time is one of the long ones.
func TestRemainingTimeGrowsPastTheUsualRunTime(t *testing.T) {
	times := NewTimes()
	checkTime(t, "without runs", times.Remaining("q", 2*time.Second, time.Second), time.Second, 0)
	for i := range 2 * tailEvery {
		ran := time.Second
		if i%tailEvery == 0 {
			ran *= tailFactor
		}
		times.ObserveRunTime("q", time.Second, ran)
	}
	checkTime(t, "at the start", times.Remaining("q", time.Second, 0), times.ExpectMean("q", time.Second), precision)
	checkTime(t, "past the usual time", times.Remaining("q", time.Second, 2*time.Second), 5*time.Second, 2*precision)
	checkTime(t, "past all", times.Remaining("q", time.Second, 20*time.Second), 20*time.Second, 0)
}

// What a queue's tasks did before a change is forgotten after two windows.
func TestRunTimesFollowAChange(t *testing.T) {
	times := NewTimes()
	for range 1000 {
		times.ObserveRunTime("q", time.Second, 10*time.Second)
	}
	for range 2 * windowRuns {
		times.ObserveRunTime("q", time.Second, time.Second)
	}
	checkTime(t, "usual", times.Expect("q", time.Second), time.Second, precision)
	checkTime(t, "mean", times.ExpectMean("q", time.Second), time.Second, precision)
}

// Queues come and go with the catalogs; the memory must not grow with all that ever had a run.
func TestRunTimesOfTheQueuesThatRanLastAreKept(t *testing.T) {
	times := NewTimes()
	times.ObserveRunTime("first", time.Second, time.Minute)
	for i := range 2 * maxQueues {
		times.ObserveRunTime(specs.QueueName(fmt.Sprint(i)), time.Second, time.Minute)
		times.ObserveRunTime("used", time.Second, time.Minute)
	}
	d := times.predictor.(*Distributions)
	if len(d.queues) != maxQueues {
		t.Errorf("%d queues are kept, want %d", len(d.queues), maxQueues)
	}
	for i := maxQueues + 1; i < 2*maxQueues; i++ {
		if d.queues[specs.QueueName(fmt.Sprint(i))] == nil {
			t.Fatalf("queue %d is dropped, though it ran later than others", i)
		}
	}
	checkTime(t, "a queue in use", times.Expect("used", time.Second), time.Minute, precision)
	checkTime(t, "a queue that ran long ago", times.Expect("first", time.Second), time.Second, 0)
}
