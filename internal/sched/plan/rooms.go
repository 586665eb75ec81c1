package plan

import (
	"math/bits"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	permille = 1000
	// hotUsagePermille is the reported use of a worker's cores, in thousandths, from which other workers are
	// preferred.
	hotUsagePermille = 900
	// bucketCount is enough for workers of up to 2^30 thousandths of a core.
	bucketCount = 32
	// fitsPerBucket is how many workers of a bucket on which a task fits are compared for one start.
	fitsPerBucket = 8
	none          = -1
)

type (
	// workerCapacity is one worker with the free capacity that the actions planned so far leave.
	workerCapacity struct {
		worker *table.Worker
		free   types.Resources
		// reservedFor is the job that the worker is reserved for, if any.
		reservedFor types.JobID
		isHot       bool
		isProbing   bool
		group       int
		bucket      int
		position    int
	}

	// capacityIndex indexes the workers that may be given tasks by their free cores, in buckets of powers of two,
	// separately for workers without (group 0) and with (group 1) accelerators. Its list holds all workers by
	// Worker.Index; workers that are not open are in no bucket.
	capacityIndex struct {
		list    []workerCapacity
		buckets [2][bucketCount][]int
		total   types.Resources
		// sizes holds the distinct capacities of all workers, whatever their health.
		sizes []types.Resources
	}
)

// reset rebuilds the index from the tables.
func (c *capacityIndex) reset(s *table.State) {
	workers := s.Ordered()
	c.list = slices.Grow(c.list[:0], len(workers))[:len(workers)]
	c.sizes = c.sizes[:0]
	c.total = types.Resources{}
	for group := range c.buckets {
		for b := range c.buckets[group] {
			c.buckets[group][b] = c.buckets[group][b][:0]
		}
	}
	for i, w := range workers {
		wc := &c.list[i]
		*wc = workerCapacity{worker: w, free: w.Free(), bucket: none, isHot: isHot(w)}
		if w.VM.Capacity.Accelerators > 0 {
			wc.group = 1
		}
		if !slices.Contains(c.sizes, w.VM.Capacity) {
			c.sizes = append(c.sizes, w.VM.Capacity)
		}
		if !w.Placeable() {
			continue
		}
		c.total = c.total.Add(w.VM.Capacity)
		wc.isProbing = w.Health == table.WorkerProbing
		if !wc.isProbing {
			c.insert(i)
		}
	}
}

// isHot reports whether the worker's reported use of cores has reached hotUsagePermille.
func isHot(w *table.Worker) bool {
	return w.Usage.Cores*permille >= w.VM.Capacity.Cores*hotUsagePermille
}

func bucketOf(free types.Resources) int {
	if free.Cores < 0 {
		return 0
	}
	return min(bits.Len64(uint64(free.Cores)), bucketCount-1)
}

// isOpen reports whether starts other than probe tasks may use the worker.
func (wc *workerCapacity) isOpen() bool {
	return wc.bucket != none
}

func (c *capacityIndex) insert(i int) {
	wc := &c.list[i]
	wc.bucket = bucketOf(wc.free)
	list := &c.buckets[wc.group][wc.bucket]
	wc.position = len(*list)
	*list = append(*list, i)
}

func (c *capacityIndex) remove(i int) {
	wc := &c.list[i]
	if wc.bucket == none {
		return
	}
	list := &c.buckets[wc.group][wc.bucket]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[wc.position] = moved
	c.list[moved].position = wc.position
	*list = (*list)[:last]
	wc.bucket = none
}

// allocate takes the need from a worker's free capacity; a negative amount returns it.
func (c *capacityIndex) allocate(i int, need types.Resources) {
	wc := &c.list[i]
	wc.free = wc.free.Sub(need)
	if wc.bucket == none || wc.bucket == bucketOf(wc.free) {
		return
	}
	c.remove(i)
	c.insert(i)
}

// of returns the capacity of a worker.
func (c *capacityIndex) of(w *table.Worker) *workerCapacity {
	return &c.list[w.Index]
}

// anyFits reports whether the need fits into what is free on some open worker now, reserved or not.
func (c *capacityIndex) anyFits(need types.Resources) bool {
	for group := range c.buckets {
		for b := bucketOf(need); b < bucketCount; b++ {
			for _, i := range c.buckets[group][b] {
				if need.Fits(c.list[i].free) {
					return true
				}
			}
		}
	}
	return false
}

// anyHolds reports whether the need would fit on some worker of the data centre if the worker were empty.
func (c *capacityIndex) anyHolds(need types.Resources) bool {
	return slices.ContainsFunc(c.sizes, need.Fits)
}
