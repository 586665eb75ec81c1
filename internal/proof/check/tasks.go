package check

import (
	"fmt"
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

type (
	// usageChange is a change of the resources in use on a worker: the start of a run, or its end, which releases them.
	usageChange struct {
		at        time.Time
		change    types.Resources
		isRelease bool
	}

	// taskRun is one run of a task together with its worker.
	taskRun struct {
		worker types.VMID
		run    worker.Run
	}
)

// capacity adds up the resources in use on each worker after each change and finds those beyond its capacity.
func capacity(h *History) []Violation {
	var out []Violation
	for _, w := range h.Workers {
		var used types.Resources
		for _, s := range usageChanges(w.Runs) {
			used = used.Add(s.change)
			if !used.Fits(w.VM.Capacity) {
				out = append(out, Violation{
					Promise: Capacity, Subject: string(w.VM.ID), At: s.at,
					Detail: fmt.Sprintf("runs need %s, the worker has %s", used, w.VM.Capacity),
				})
			}
		}
	}
	return out
}

// usageChanges returns the changes in order of time. At the same instant releases come first.
func usageChanges(runs []worker.Run) []usageChange {
	var out []usageChange
	for _, r := range runs {
		out = append(out, usageChange{at: r.Start, change: r.Declared})
		if !r.End.IsZero() {
			out = append(out, usageChange{at: r.End, change: types.Resources{}.Sub(r.Declared), isRelease: true})
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].at.Equal(out[j].at) {
			return out[i].at.Before(out[j].at)
		}
		return out[i].isRelease && !out[j].isRelease
	})
	return out
}

// onePlace finds overlapping runs of one booking task, on one worker or on two.
func onePlace(h *History) []Violation {
	var out []Violation
	for task, runs := range runsByTask(h) {
		for i := 1; i < len(runs); i++ {
			earlier, later := lastToEnd(runs[:i]), runs[i]
			if !later.run.Booking || !earlier.span().overlaps(later.span()) {
				continue
			}
			out = append(out, Violation{
				Promise: OnePlace, Subject: string(task), At: later.run.Start,
				Detail: fmt.Sprintf("%s on %s overlaps %s on %s", later.run.Attempt, later.worker, earlier.run.Attempt, earlier.worker),
			})
		}
	}
	return out
}

// runsByTask returns the runs of each task, ordered by their start.
func runsByTask(h *History) map[types.TaskID][]taskRun {
	out := make(map[types.TaskID][]taskRun)
	for _, w := range h.Workers {
		for _, r := range w.Runs {
			task := r.Attempt.Task()
			out[task] = append(out[task], taskRun{worker: w.VM.ID, run: r})
		}
	}
	for _, runs := range out {
		sort.SliceStable(runs, func(i, j int) bool { return runs[i].run.Start.Before(runs[j].run.Start) })
	}
	return out
}

func (p taskRun) span() Interval {
	return Interval{From: p.run.Start, To: p.run.End}
}

// lastToEnd returns the run that ends last; one that has not ended counts as the last.
func lastToEnd(runs []taskRun) taskRun {
	last := runs[0]
	for _, p := range runs[1:] {
		if last.run.End.IsZero() {
			return last
		}
		if p.run.End.IsZero() || p.run.End.After(last.run.End) {
			last = p
		}
	}
	return last
}
