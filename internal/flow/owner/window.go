package owner

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// targetLateness is the lateness above which the leader begins less. From a job's submission to its end the leader has about six
	// turns, and each of them is late by that much.
	targetLateness = 80 * time.Millisecond
	// initialWindow, minWindow and maxWindow are how many tasks may be in progress at the beginning, at least and at most.
	initialWindow = 1000
	minWindow     = 48
	maxWindow     = 10_000
	// runnersPerStart keeps the window at one task for so many runners: a large fleet has many starts in progress at any time.
	runnersPerStart = 4
	// peakFactor limits the window of a late leader to so many times what was in progress.
	peakFactor = 2
	// The window shrinks with each measurement by the factor by which the leader is later than targetLateness, at most by
	// maxWindowDecrease, or grows by windowIncrease while work waits for it.
	maxWindowDecrease = 0.7
	windowIncrease    = 1.1
	// latenessDivisor gives one measurement the weight 1/latenessDivisor in the moving average of the lateness: a single one may be
	// that of one long turn.
	latenessDivisor = 3
)

// window limits the tasks whose start is in progress: from the decision on it to the runner's answer, and those for which the leader waits
// for advice. It shrinks while the leader is late, as the congestion window of TCP does, so that what has begun ends before its tickets
// expire and the other members of its gang give up. What does not fit waits and costs nothing. Its methods require Owner.mu.
type window struct {
	size float64
	// lateness is the moving average of the leader's lateness.
	lateness time.Duration
	// starting counts the tasks from the decision on their start on; peak is the most since the latest measurement.
	starting int
	peak     int
	// advised counts the tasks that wait for advice. Those with long calls are counted apart, since they would keep out urgent ones.
	advised map[adviceClass]int
	// blocked is set when a plan could not begin all that it wanted to.
	blocked bool
}

// adviceClass tells whether a call for advice is long.
type adviceClass bool

// classOf returns the class of the calls for advice on a step.
func classOf(s *tasks.Step) adviceClass {
	return adviceClass(specs.IsLong(s.Job.Spec.Queue.Advice.CallDuration(1)))
}

func newWindow() window {
	return window{size: initialWindow, advised: make(map[adviceClass]int)}
}

// adjust adapts the window of a leader of so many runners to a measurement of its lateness.
func (w *window) adjust(late time.Duration, runners int) {
	w.lateness += (late - w.lateness) / latenessDivisor
	switch {
	case w.lateness > targetLateness:
		decrease := max(maxWindowDecrease, float64(targetLateness)/float64(w.lateness))
		w.size = max(minWindow, float64(runners)/runnersPerStart, min(w.size, peakFactor*float64(w.peak))*decrease)
	case w.blocked:
		w.size = max(w.size, min(w.size*windowIncrease, w.usableSize()))
	}
	w.blocked, w.peak = false, w.starting
}

// usableSize returns up to what size the window grows: not far beyond what is in progress, or it would bind too late when the leader falls
// behind.
func (w *window) usableSize() float64 {
	inProgress := w.peak + w.advised[false] + w.advised[true]
	return min(maxWindow, max(initialWindow, peakFactor*float64(inProgress)))
}

// begin notes that the start of a task is in progress.
func (w *window) begin() {
	w.starting++
	w.peak = max(w.peak, w.starting)
}

// hasRoom reports whether so many tasks may begin besides those before them. A gang that is larger than the window begins when there are
// none.
func (w *window) hasRoom(tasks, before int) bool {
	return before == 0 || float64(before+tasks) <= w.size
}

// fields adds what is in progress and the size of the window to a line.
func (w *window) fields(e *zerolog.Event) {
	e.Int("Window", int(w.size)).Int("Starting", w.starting).Int("Advised", w.advised[false]).Int("AdvisedLong", w.advised[true])
}

// takeStarts returns the first of the starts that the window has room for: those of all tasks of a gang or of none.
func (w *window) takeStarts(starts []order.Start) []order.Start {
	for taken := 0; taken < len(starts); {
		size := groupSize(starts[taken:])
		if !w.hasRoom(size, w.starting+taken) {
			w.blocked = true
			return starts[:taken]
		}
		taken += size
	}
	return starts
}

// groupSize returns how many of the first starts go together: those of a gang, or one.
func groupSize(starts []order.Start) int {
	step := starts[0].Task.Step
	if !step.Spec.Gang {
		return 1
	}
	n := 1
	for n < len(starts) && starts[n].Task.Step == step {
		n++
	}
	return n
}

// takeAdvice returns the calls for advice that the window has room for, the first ones of each class. Those for one step follow each other.
// More calls would bring tickets that expire unused. Half of the window is theirs, so that starts without advice do not keep out all others.
func (w *window) takeAdvice(calls []order.AdviceCall) []order.AdviceCall {
	var out []order.AdviceCall
	starting := min(w.starting, int(w.size/2))
	before := map[adviceClass]int{false: starting + w.advised[false], true: starting + w.advised[true]}
	var step *tasks.Step
	hasRoom := false
	for _, c := range calls {
		if c.Step != step {
			step = c.Step
			count, class := w.adviceCount(step), classOf(step)
			hasRoom = w.hasRoom(count, before[class])
			before[class] += count
		}
		if hasRoom {
			out = append(out, c)
		} else {
			w.blocked = true
		}
	}
	return out
}

// adviceCount returns for how many tasks a step counts while it waits for advice: for half of the window at most, so that wide steps have
// their turn, too.
func (w *window) adviceCount(s *tasks.Step) int {
	return min(s.WaitingTasks, int(w.size/2))
}

// endStart notes that the start of a task is no longer in progress. The caller must hold o.mu.
func (o *Owner) endStart() {
	o.window.starting--
	o.wakeBlocked()
}

// beginAdvice notes that a call for advice on a step begins, and returns the function that ends it. The tasks of the step that wait count
// with the first of its calls. The caller must hold o.mu, also when the call ends.
func (o *Owner) beginAdvice(s *tasks.Step) (end func()) {
	class, count := classOf(s), 0
	if s.Advice.Pending == 0 {
		count = o.window.adviceCount(s)
	}
	s.Advice.Pending++
	generation := s.Advice.Generation
	o.window.advised[class] += count
	return func() {
		if s.Advice.Generation == generation {
			s.Advice.Pending--
		}
		o.window.advised[class] -= count
		o.wakeBlocked()
	}
}

// wakeBlocked plans if a plan could not begin all that it wanted to. The caller must hold o.mu.
func (o *Owner) wakeBlocked() {
	if o.window.blocked {
		every.Wake(o.planWake)
	}
}
