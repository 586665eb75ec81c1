package plan

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Weights of a service's spread. A rack weighs more than a worker, and a worker more than the fit.
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

// packRoom returns the room that the entry's next task fills best, or -1. It looks at the workers with
// the least free cores first and compares a few of them; workers with accelerators and hot ones come last.
func (t *tick) packRoom(e *entry) int {
	need := e.job.Spec.Task.Resources
	if t.isKnownMiss(e) {
		return closed
	}
	first := 0
	if need.Accelerators > 0 {
		first = 1
	}
	fallback := closed
	for group := first; group <= 1; group++ {
		for b := bucketOf(need); b < bucketCount; b++ {
			best, hot := t.bestOf(t.rooms.buckets[group][b], e, need)
			if best != closed {
				return best
			}
			if fallback == closed {
				fallback = hot
			}
		}
	}
	return fallback
}

// bestOf returns the best room of a bucket, and the best one whose worker is hot.
func (t *tick) bestOf(bucket []int, e *entry, need types.Resources) (best, hot int) {
	best, hot = closed, closed
	var bestLeft, hotLeft float64
	fits := 0
	for _, i := range bucket {
		t.examined++
		m := &t.rooms.list[i]
		if !need.Fits(m.free) || !t.admits(m, e) {
			continue
		}
		left := leftOver(m, need)
		if m.hot {
			if hot == closed || left < hotLeft {
				hot, hotLeft = i, left
			}
			continue
		}
		if best == closed || left < bestLeft {
			best, bestLeft = i, left
		}
		fits++
		if fits == fitsPerBucket {
			break
		}
	}
	return best, hot
}

// admits tells whether a room's reservation lets the entry in.
func (t *tick) admits(m *room, e *entry) bool {
	return m.holder == "" || m.holder == e.job.Spec.ID || e.lane == laneUrgent
}

// leftOver measures what a start would leave free, in parts of the worker, and how unevenly.
func leftOver(m *room, need types.Resources) float64 {
	whole := m.worker.VM.Capacity
	cores := part(int64(m.free.Cores-need.Cores), int64(whole.Cores))
	memory := part(int64(m.free.Memory-need.Memory), int64(whole.Memory))
	gap := max(cores-memory, memory-cores)
	return cores + memory + gap
}

// spreadRoom returns the room that spreads a service best over racks, then over workers, or -1.
func (t *tick) spreadRoom(e *entry) int {
	need := e.job.Spec.Task.Resources
	if t.isKnownMiss(e) {
		return closed
	}
	if e.spread == nil {
		e.spread = t.countSpread(e.job)
	}
	best := closed
	var bestScore float64
	for i := range t.rooms.list {
		m := &t.rooms.list[i]
		t.examined++
		if !m.open() || !need.Fits(m.free) || !t.admits(m, e) {
			continue
		}
		if score := e.spread.score(m, need); best == closed || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func (t *tick) countSpread(j *table.Job) *spread {
	p := &spread{racks: make(map[types.Rack]int), workers: make(map[types.VMID]int)}
	for _, k := range j.Tasks {
		if w, ok := t.tables.Workers[k.Worker]; ok && k.State.Occupies() {
			p.note(w, 1)
		}
	}
	return p
}

func (p *spread) note(w *table.Worker, count int) {
	p.racks[w.VM.Site.Rack] += count
	p.workers[w.VM.ID] += count
}

func (p *spread) score(m *room, need types.Resources) float64 {
	score := leftOver(m, need)
	score += rackWeight * float64(p.racks[m.worker.VM.Site.Rack])
	score += workerWeight * float64(p.workers[m.worker.VM.ID])
	if m.hot {
		score += hotWeight
	}
	if m.group == 1 && need.Accelerators == 0 {
		score += hotWeight
	}
	return score
}

func (e *entry) noteSpread(w *table.Worker, count int) {
	if e.spread != nil {
		e.spread.note(w, count)
	}
}
