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
	// none stands for no worker and for no bucket.
	none = -1
)

type (
	// workerCapacity is one worker with the free capacity that the actions planned so far leave.
	workerCapacity struct {
		worker *table.Worker
		free   types.Resources
		// reservedFor is the job that the worker is reserved for, if any.
		reservedFor types.JobID
		isHot       bool
		// isProbing is set if the worker may be given one probe task.
		isProbing bool
		// group and bucket locate the worker in the index, position is its place in the bucket.
		group    int
		bucket   int
		position int
	}

	// capacityIndex indexes the workers that may be given tasks by their free cores, in buckets of powers of two,
	// separately for workers without (group 0) and with (group 1) accelerators. Its list holds all workers by
	// Worker.Index; workers that are not open are in no bucket.
	capacityIndex struct {
		list    []workerCapacity
		buckets [2][bucketCount][]int
		// total is the capacity of all workers that may be given tasks.
		total types.Resources
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

// bucketOf returns the bucket for an amount of free cores.
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

// insert puts a worker into the bucket for its free cores, which opens it for starts.
func (c *capacityIndex) insert(i int) {
	wc := &c.list[i]
	wc.bucket = bucketOf(wc.free)
	list := &c.buckets[wc.group][wc.bucket]
	wc.position = len(*list)
	*list = append(*list, i)
}

// remove takes a worker out of its bucket, if it is in one, which closes it for starts other than probe tasks.
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

// fitsAnyFree reports whether the need fits into what is free on some open worker now, reserved or not.
func (c *capacityIndex) fitsAnyFree(need types.Resources) bool {
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

// fitsAnyEmpty reports whether the need would fit on some worker of the data centre if the worker were empty.
func (c *capacityIndex) fitsAnyEmpty(need types.Resources) bool {
	return slices.ContainsFunc(c.sizes, need.Fits)
}
