package plan

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Weights of a service's spread over the data centre. The number of its tasks in the rack weighs more than that
// on the worker, and that more than the fit. hotWeight applies to a hot worker, and to one with accelerators that
// the service does not need.
const (
	rackWeight   = 1000
	workerWeight = 100
	hotWeight    = 10
)

// spread counts the tasks of a service by rack and by worker.
type spread struct {
	racks   map[types.Rack]int
	workers map[types.VMID]int
}

// packWorker returns the index of the worker that the entry's next task fills best, or none. It examines the
// workers with the least free cores first and compares up to fitsPerBucket of a bucket; workers with accelerators
// and hot workers come last.
func (t *tick) packWorker(e *entry) int {
	need := e.job.Spec.Task.Resources
	if t.hasFailedFit(e) {
		return none
	}
	first := 0
	if need.Accelerators > 0 {
		first = 1
	}
	fallback := none
	for group := first; group <= 1; group++ {
		for b := bucketOf(need); b < bucketCount; b++ {
			best, hot := t.bestInBucket(t.capacity.buckets[group][b], e, need)
			if best != none {
				return best
			}
			if fallback == none {
				fallback = hot
			}
		}
	}
	return fallback
}

// bestInBucket returns the best worker of a bucket that is not hot, and the best one that is hot.
func (t *tick) bestInBucket(bucket []int, e *entry, need types.Resources) (best, hot int) {
	best, hot = none, none
	var bestLeft, hotLeft float64
	fits := 0
	for _, i := range bucket {
		t.examined++
		wc := &t.capacity.list[i]
		if !need.Fits(wc.free) || !t.mayUse(wc, e) {
			continue
		}
		left := leftoverScore(wc, need)
		if wc.isHot {
			if hot == none || left < hotLeft {
				hot, hotLeft = i, left
			}
			continue
		}
		if best == none || left < bestLeft {
			best, bestLeft = i, left
		}
		fits++
		if fits == fitsPerBucket {
			break
		}
	}
	return best, hot
}

// mayUse reports whether the worker's reservation, if any, lets the entry use it: urgent work may use all workers.
func (t *tick) mayUse(wc *workerCapacity, e *entry) bool {
	return wc.reservedFor == "" || wc.reservedFor == e.job.Spec.ID || e.lane == laneUrgent
}

// leftoverScore rates what a start would leave free: the free fractions of the worker's cores and memory plus
// their difference. Lower is better.
func leftoverScore(wc *workerCapacity, need types.Resources) float64 {
	capacity := wc.worker.VM.Capacity
	cores := types.Fraction(int64(wc.free.Cores-need.Cores), int64(capacity.Cores))
	memory := types.Fraction(int64(wc.free.Memory-need.Memory), int64(capacity.Memory))
	gap := max(cores-memory, memory-cores)
	return cores + memory + gap
}

// spreadWorker returns the index of the worker that spreads a service best over racks, then over workers, or none.
func (t *tick) spreadWorker(e *entry) int {
	need := e.job.Spec.Task.Resources
	if t.hasFailedFit(e) {
		return none
	}
	if e.spread == nil {
		e.spread = t.countSpread(e.job)
	}
	best := none
	var bestScore float64
	for i := range t.capacity.list {
		wc := &t.capacity.list[i]
		t.examined++
		if !wc.isOpen() || !need.Fits(wc.free) || !t.mayUse(wc, e) {
			continue
		}
		if score := e.spread.score(wc, need); best == none || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// countSpread counts the job's tasks that occupy a worker.
func (t *tick) countSpread(j *table.Job) *spread {
	p := &spread{racks: make(map[types.Rack]int), workers: make(map[types.VMID]int)}
	for _, k := range j.Tasks {
		if w, ok := t.tables.Workers[k.Worker]; ok && k.State.Occupies() {
			p.add(w, 1)
		}
	}
	return p
}

// add changes the number of tasks on a worker by count, which may be negative.
func (p *spread) add(w *table.Worker, count int) {
	p.racks[w.VM.Site.Rack] += count
	p.workers[w.VM.ID] += count
}

// score rates a start on the worker; lower is better.
func (p *spread) score(wc *workerCapacity, need types.Resources) float64 {
	score := leftoverScore(wc, need)
	score += rackWeight * float64(p.racks[wc.worker.VM.Site.Rack])
	score += workerWeight * float64(p.workers[wc.worker.VM.ID])
	if wc.isHot {
		score += hotWeight
	}
	if wc.group == 1 && need.Accelerators == 0 {
		score += hotWeight
	}
	return score
}

func (e *entry) updateSpread(w *table.Worker, count int) {
	if e.spread != nil {
		e.spread.add(w, count)
	}
}
