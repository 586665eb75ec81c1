package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Limits of throttling, in thousandths of cores.
const (
	// throttleAbovePermille is the reported use of a worker's cores from which a task is throttled.
	throttleAbovePermille = 950
	// unthrottleBelowPermille is the reported use of a worker's cores below which its throttles are removed.
	unthrottleBelowPermille = 700
	// throttledPermille limits a task to its declared cores less a margin, since usage is reported late.
	throttledPermille = 900
	// unthrottledPermille is the highest limit that a worker accepts; it stands for no throttle.
	unthrottledPermille = 999
)

// throttle throttles one task on each worker whose cores are used up: of the least urgent class among the tasks
// that use more than they declared, the one with the largest excess. Urgent tasks are never throttled. Throttles
// are removed once the worker has cores to spare.
func throttle(t *tick) {
	for _, w := range t.tables.Ordered() {
		capacity := w.VM.Capacity.Cores
		if capacity > 0 && w.Usage.Cores*permille >= capacity*throttleAbovePermille {
			t.throttleWorker(w)
		}
	}
	for _, k := range t.throttled() {
		w, ok := t.tables.Workers[k.Worker]
		if ok && w.Usage.Cores*permille < w.VM.Capacity.Cores*unthrottleBelowPermille {
			t.unthrottle(k, w)
		}
	}
}

// throttled returns the running tasks whose cores are throttled, sorted by ID.
func (t *tick) throttled() []*table.Task {
	var out []*table.Task
	for _, k := range t.tables.Throttled() {
		if k.State == table.TaskRunning && k.Throttle != unthrottledPermille {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *table.Task) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// throttleWorker throttles one task on the worker, as throttle describes, if there is one that may be throttled.
func (t *tick) throttleWorker(w *table.Worker) {
	var heaviest *table.Task
	for _, k := range t.runningOn(w) {
		if k.Throttle == throttledPermille || excessCores(k) <= 0 || k.Job.Spec.Class == types.ClassUrgent {
			continue
		}
		if heaviest == nil || throttlesFirst(k, heaviest) {
			heaviest = k
		}
	}
	if heaviest == nil {
		return
	}
	t.add(ThrottleAction{
		Task:     heaviest.ID,
		Permille: throttledPermille,
		Reason: fmt.Sprintf("worker %s uses %dm of %dm cores; the %s task uses %dm and declared %dm",
			w.VM.ID, w.Usage.Cores, w.VM.Capacity.Cores,
			heaviest.Job.Spec.Class, heaviest.Usage.Cores, heaviest.Need().Cores),
	})
}

// unthrottle removes the throttle of a task.
func (t *tick) unthrottle(k *table.Task, w *table.Worker) {
	t.add(ThrottleAction{
		Task:     k.ID,
		Permille: unthrottledPermille,
		Reason:   fmt.Sprintf("worker %s uses %dm of %dm cores", w.VM.ID, w.Usage.Cores, w.VM.Capacity.Cores),
	})
}

// excessCores returns how much more the task uses than it declared.
func excessCores(k *table.Task) types.MilliCores {
	return k.Usage.Cores - k.Need().Cores
}

// throttlesFirst reports whether a is to be throttled before b: by class, then by excess.
func throttlesFirst(a, b *table.Task) bool {
	if c := a.Job.Spec.Class.Rank() - b.Job.Spec.Class.Rank(); c != 0 {
		return c > 0
	}
	return excessCores(a) > excessCores(b)
}
