package owner

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// startsOf returns a start for each task of a job with the steps.
func startsOf(steps ...specs.Step) []order.Start {
	var out []order.Start
	for _, s := range tasks.New().AddJob(job("j", steps...)).Occurrences[0].Steps {
		for _, t := range s.Tasks {
			out = append(out, order.Start{Task: t})
		}
	}
	return out
}

// A part of a gang that starts without the rest is thrown away.
func TestWindowTakesWholeGangs(t *testing.T) {
	starts := startsOf(step(2), gang(3), step(2))
	for size, want := range map[float64]int{1: 1, 2: 2, 4: 2, 5: 5, 6: 6, 7: 7} {
		w := window{size: size}
		if got := len(w.takeStarts(starts)); got != want {
			t.Errorf("a window of %g takes %d starts, want %d", size, got, want)
		}
		if isBlocked := want < len(starts); w.blocked != isBlocked {
			t.Errorf("a window of %g is blocked: %v, want %v", size, w.blocked, isBlocked)
		}
	}
}

// A gang wider than the window would never start.
func TestWindowTakesALargeGangAlone(t *testing.T) {
	w := window{size: 2}
	if got := len(w.takeStarts(startsOf(gang(5)))); got != 5 {
		t.Errorf("an idle window takes %d starts of a gang of 5, want all", got)
	}
	w.begin()
	if got := len(w.takeStarts(startsOf(gang(5)))); got != 0 {
		t.Errorf("a window in use takes %d starts of a gang of 5, want none", got)
	}
}

// One long turn must not keep work waiting, and a leader that is late for long must go down to what it finishes and come back.
func TestWindowFollowsLateness(t *testing.T) {
	w := newWindow()
	w.starting, w.peak = 400, 400
	w.adjust(targetLateness+targetLateness/2, 0)
	if w.size != initialWindow {
		t.Errorf("one late measurement changes the window to %g", w.size)
	}
	for range 50 {
		w.adjust(10*targetLateness, 0)
	}
	if w.size > peakFactor*float64(w.starting) {
		t.Errorf("the window of a late leader is %g with %d in progress", w.size, w.starting)
	}
	for range 5 * int(time.Second/latenessInterval) {
		w.blocked = true
		w.adjust(0, 0)
	}
	if w.size < initialWindow {
		t.Errorf("the window is %g five seconds after the leader was late, want at least %d", w.size, initialWindow)
	}
}

// Starts that need no advice kept a step that does from being asked about, however urgent it was.
func TestWindowLeavesRoomForAdvice(t *testing.T) {
	w := window{size: 10, starting: 10, advised: make(map[adviceClass]int)}
	s := tasks.New().AddJob(job("j", step(4))).Occurrences[0].Steps[0]
	s.Job.Spec.Queue.Advice = &specs.AdvicePolicy{Decision: time.Millisecond}
	if got := len(w.takeAdvice([]order.AdviceCall{{Step: s}})); got != 1 {
		t.Errorf("a window full of starts takes %d calls for advice, want 1", got)
	}
}

// A window that had grown far beyond what is in progress did not bind when the leader fell behind.
func TestWindowGrowsWithWhatIsInProgress(t *testing.T) {
	w := newWindow()
	w.starting = 2 * initialWindow
	for range int(time.Minute / latenessInterval) {
		w.begin()
		w.blocked = true
		w.starting--
		w.adjust(0, 0)
	}
	if most := peakFactor * float64(w.starting+1); w.size > most {
		t.Errorf("the window is %g with %d in progress, want at most %g", w.size, w.starting, most)
	}
}
