package check

import (
	"fmt"
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

type (
	// step is a change of what occupies a worker.
	step struct {
		at     time.Time
		change types.Resources
		frees  bool
	}

	// place is one run together with its worker.
	place struct {
		worker types.VMID
		run    worker.Run
	}
)

// capacity adds up what each worker ran at every instant.
func capacity(h *History) []Violation {
	var out []Violation
	for _, w := range h.Workers {
		var used types.Resources
		for _, s := range steps(w.Runs) {
			used = used.Add(s.change)
			if !used.Fits(w.VM.Capacity) {
				out = append(out, Violation{
					Promise: Capacity, Subject: string(w.VM.ID), At: s.at,
					Detail: fmt.Sprintf("ran %s, has %s", used, w.VM.Capacity),
				})
			}
		}
	}
	return out
}

// steps returns the changes in order of time; at the same instant ends come first.
func steps(runs []worker.Run) []step {
	var out []step
	for _, r := range runs {
		out = append(out, step{at: r.Start, change: r.Declared})
		if !r.End.IsZero() {
			out = append(out, step{at: r.End, change: types.Resources{}.Sub(r.Declared), frees: true})
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].at.Equal(out[j].at) {
			return out[i].at.Before(out[j].at)
		}
		return out[i].frees && !out[j].frees
	})
	return out
}

// onePlace looks for runs of one booking task that overlap, on one worker or on two.
func onePlace(h *History) []Violation {
	var out []Violation
	for task, places := range byTask(h) {
		for i := 1; i < len(places); i++ {
			earlier, later := latestEnd(places[:i]), places[i]
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

// byTask returns the runs of each task in order of their start.
func byTask(h *History) map[types.TaskID][]place {
	out := make(map[types.TaskID][]place)
	for _, w := range h.Workers {
		for _, r := range w.Runs {
			task := r.Attempt.Task()
			out[task] = append(out[task], place{worker: w.VM.ID, run: r})
		}
	}
	for _, places := range out {
		sort.SliceStable(places, func(i, j int) bool { return places[i].run.Start.Before(places[j].run.Start) })
	}
	return out
}

func (p place) span() Interval {
	return Interval{From: p.run.Start, To: p.run.End}
}

func latestEnd(places []place) place {
	last := places[0]
	for _, p := range places[1:] {
		if last.run.End.IsZero() {
			return last
		}
		if p.run.End.IsZero() || p.run.End.After(last.run.End) {
			last = p
		}
	}
	return last
}
