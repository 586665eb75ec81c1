package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Limits of throttling, in thousandths.
const (
	// throttleAbove is the reported use of a worker's cores above which its greediest task is limited.
	throttleAbove = 950
	// unthrottleBelow is the use below which a limit is lifted.
	unthrottleBelow = 700
	// throttleTo limits a task to its declared cores, less a margin for the lag of reports.
	throttleTo = 900
	// throttleOff is the highest limit that a worker takes.
	throttleOff = 999
)

// throttle limits, on workers whose cores are used up, the one task that uses the most beyond what it
// declared; the least urgent class first. It lifts the limits once the worker has cores to spare.
func throttle(t *tick) {
	for _, w := range t.tables.Ordered() {
		whole := w.VM.Capacity.Cores
		if whole > 0 && w.Usage.Cores*perMille >= whole*throttleAbove {
			t.limitOn(w)
		}
	}
	for _, k := range t.throttled() {
		w, ok := t.tables.Workers[k.Worker]
		if ok && w.Usage.Cores*perMille < w.VM.Capacity.Cores*unthrottleBelow {
			t.lift(k, w)
		}
	}
}

// throttled returns the running tasks whose cores are limited, by id.
func (t *tick) throttled() []*table.Task {
	var out []*table.Task
	for _, k := range t.tables.Throttled() {
		if k.State == table.TaskRunning && k.Throttle != throttleOff {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *table.Task) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

func (t *tick) limitOn(w *table.Worker) {
	var greediest *table.Task
	for _, k := range t.runningOn(w) {
		if k.Throttle == throttleTo || excess(k) <= 0 || k.Job.Spec.Class == types.ClassUrgent {
			continue
		}
		if greediest == nil || isGreedier(k, greediest) {
			greediest = k
		}
	}
	if greediest == nil {
		return
	}
	t.add(ThrottleAction{
		Task:     greediest.ID,
		Permille: throttleTo,
		Reason: fmt.Sprintf("worker %s uses %dm of %dm cores; the %s task uses %dm and declared %dm",
			w.VM.ID, w.Usage.Cores, w.VM.Capacity.Cores,
			greediest.Job.Spec.Class, greediest.Usage.Cores, greediest.Need().Cores),
	})
}

func (t *tick) lift(k *table.Task, w *table.Worker) {
	t.add(ThrottleAction{
		Task:     k.ID,
		Permille: throttleOff,
		Reason:   fmt.Sprintf("worker %s uses %dm of %dm cores", w.VM.ID, w.Usage.Cores, w.VM.Capacity.Cores),
	})
}

func excess(k *table.Task) types.MilliCores {
	return k.Usage.Cores - k.Need().Cores
}

func isGreedier(a, b *table.Task) bool {
	if c := a.Job.Spec.Class.Rank() - b.Job.Spec.Class.Rank(); c != 0 {
		return c > 0
	}
	return excess(a) > excess(b)
}
