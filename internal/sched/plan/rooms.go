package plan

import (
	"math/bits"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	perMille = 1000
	// hotPerMille is the reported use of a worker's cores above which other workers are preferred.
	hotPerMille = 900
	// bucketCount is enough for workers of up to 2^30 thousandths of a core.
	bucketCount = 32
	// fitsPerBucket is how many workers with room are compared for one start.
	fitsPerBucket = 8
	closed        = -1
)

type (
	// room is one worker with what is left of it after the actions planned so far.
	room struct {
		worker *table.Worker
		free   types.Resources
		// holder is the job that the worker is reserved for, if any.
		holder types.JobID
		hot    bool
		trial  bool
		group  int
		bucket int
		slot   int
	}

	// rooms indexes the workers that may be given tasks by their free cores, in powers of two, apart for
	// workers without (group 0) and with (group 1) accelerators.
	rooms struct {
		list     []room
		buckets  [2][bucketCount][]int
		capacity types.Resources
		// shapes holds the different capacities of all workers, in whatever health.
		shapes []types.Resources
	}
)

// reset fills the index anew from the tables.
func (r *rooms) reset(s *table.State) {
	workers := s.Ordered()
	r.list = slices.Grow(r.list[:0], len(workers))[:len(workers)]
	r.shapes = r.shapes[:0]
	r.capacity = types.Resources{}
	for group := range r.buckets {
		for b := range r.buckets[group] {
			r.buckets[group][b] = r.buckets[group][b][:0]
		}
	}
	for i, w := range workers {
		m := &r.list[i]
		*m = room{worker: w, free: w.Free(), bucket: closed, hot: isHot(w)}
		if w.VM.Capacity.Accelerators > 0 {
			m.group = 1
		}
		if !slices.Contains(r.shapes, w.VM.Capacity) {
			r.shapes = append(r.shapes, w.VM.Capacity)
		}
		if !w.Placeable() {
			continue
		}
		r.capacity = r.capacity.Add(w.VM.Capacity)
		m.trial = w.Health == table.WorkerProbing
		if !m.trial {
			r.file(i)
		}
	}
}

func isHot(w *table.Worker) bool {
	return w.Usage.Cores*perMille >= w.VM.Capacity.Cores*hotPerMille
}

func bucketOf(free types.Resources) int {
	if free.Cores < 0 {
		return 0
	}
	return min(bits.Len64(uint64(free.Cores)), bucketCount-1)
}

// open tells whether ordinary starts may use the room.
func (m *room) open() bool {
	return m.bucket != closed
}

func (r *rooms) file(i int) {
	m := &r.list[i]
	m.bucket = bucketOf(m.free)
	list := &r.buckets[m.group][m.bucket]
	m.slot = len(*list)
	*list = append(*list, i)
}

func (r *rooms) unfile(i int) {
	m := &r.list[i]
	if m.bucket == closed {
		return
	}
	list := &r.buckets[m.group][m.bucket]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[m.slot] = moved
	r.list[moved].slot = m.slot
	*list = (*list)[:last]
	m.bucket = closed
}

// take changes what is left of a room; a negative amount gives back.
func (r *rooms) take(i int, need types.Resources) {
	m := &r.list[i]
	m.free = m.free.Sub(need)
	if m.bucket == closed || m.bucket == bucketOf(m.free) {
		return
	}
	r.unfile(i)
	r.file(i)
}

// of returns the room of a worker.
func (r *rooms) of(w *table.Worker) *room {
	return &r.list[w.Index]
}

// anyFits tells whether some open room has as much left now, whoever it is reserved for.
func (r *rooms) anyFits(need types.Resources) bool {
	for group := range r.buckets {
		for b := bucketOf(need); b < bucketCount; b++ {
			for _, i := range r.buckets[group][b] {
				if need.Fits(r.list[i].free) {
					return true
				}
			}
		}
	}
	return false
}

// anyHolds tells whether some worker of the data centre could hold the amount if it were empty.
func (r *rooms) anyHolds(need types.Resources) bool {
	return slices.ContainsFunc(r.shapes, need.Fits)
}
