package order

import (
	"math/bits"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

type (
	// roomClass names the runners of a group on which at least the given resources are free.
	roomClass struct {
		runnerGroup
		floor types.Resources
	}

	// roomIndex holds the runners with room by class, each list in the order of the runners' ids. A list is made when it is first
	// needed, and may hold runners that have lost their room since.
	roomIndex struct {
		lists map[roomClass][]*runnerCapacity
		// free returns what counts as free on a runner.
		free func(r *runnerCapacity) types.Resources
	}
)

func newRoomIndex(free func(r *runnerCapacity) types.Resources) roomIndex {
	return roomIndex{lists: make(map[roomClass][]*runnerCapacity), free: free}
}

// freeNow returns what is free on the runner in this pass.
func freeNow(r *runnerCapacity) types.Resources { return r.free }

// freeBesideRuns returns what no run occupies on the runner, whatever is kept there.
func freeBesideRuns(r *runnerCapacity) types.Resources { return r.runner.Free() }

// find returns the runners of a class, which are among the given ones.
func (x *roomIndex) find(class roomClass, all []*runnerCapacity) []*runnerCapacity {
	found, ok := x.lists[class]
	if ok {
		return found
	}
	if wider, isWider := class.wider(); isWider {
		all = x.find(wider, all)
	}
	found = x.filter(class, all)
	x.lists[class] = found
	return found
}

// wider returns a class that holds the runners of this one, from which they are found faster than from all; false means that there is
// none.
func (c roomClass) wider() (roomClass, bool) {
	switch {
	case c.label != "":
		c.label = ""
	case c.floor.Memory > 0 || c.floor.Accelerators > 0:
		c.floor = types.Resources{Cores: c.floor.Cores}
	default:
		return c, false
	}
	return c, true
}

// filter returns those of the runners that belong to the class, or all of them if most do and the class names no label.
func (x *roomIndex) filter(class roomClass, all []*runnerCapacity) []*runnerCapacity {
	belongs := func(r *runnerCapacity) bool {
		return class.floor.Fits(x.free(r)) && (class.label == "" || r.runner.Has(class.label))
	}
	count := 0
	for _, r := range all {
		if belongs(r) {
			count++
		}
	}
	if class.label == "" && count > len(all)/2 {
		return all
	}
	out := make([]*runnerCapacity, 0, count)
	for _, r := range all {
		if belongs(r) {
			out = append(out, r)
		}
	}
	return out
}

// classOf returns the class of the runners that may have room for a task of the step. Steps with similar needs share one.
func (p *pass) classOf(s *tasks.Step) roomClass {
	need := taskResources(s)
	floor := types.Resources{
		Cores: floorPower(need.Cores), Memory: floorPower(need.Memory), Accelerators: floorPower(need.Accelerators),
	}
	return roomClass{runnerGroup: p.groupOf(s), floor: floor}
}

// floorPower returns the highest power of two that is not above the amount, or 0 if there is none.
func floorPower[T ~int | ~int64](amount T) T {
	if amount <= 0 {
		return 0
	}
	return 1 << (bits.Len64(uint64(amount)) - 1)
}

// roomyRunners returns those of the runners for the step on which a task of it may fit now: all on which one does, and few others.
func (p *pass) roomyRunners(s *tasks.Step) []*runnerCapacity {
	if p.looksAtAll {
		return p.runnersFor(s)
	}
	return p.room.find(p.classOf(s), p.runnersFor(s))
}

// hasRoom reports whether a task of the step fits on some runner now.
func (p *pass) hasRoom(s *tasks.Step) bool {
	need := taskResources(s)
	return slices.ContainsFunc(p.roomyRunners(s), func(r *runnerCapacity) bool { return need.Fits(r.free) && canRun(s, r) })
}

// mayFitGang returns false if the tasks of the gang do not fit now on all runners together, whatever the advice service allows.
func (p *pass) mayFitGang(s *tasks.Step) bool {
	if p.looksAtAll {
		return true
	}
	left := len(s.Tasks)
	for _, r := range p.roomyRunners(s) {
		left -= p.countFitting(s, r)
		if left <= 0 {
			return true
		}
	}
	return false
}

// lacksRoom returns true if no runner is found that has room for a task of the step now.
func (p *pass) lacksRoom(s *tasks.Step) bool {
	return !p.looksAtAll && !p.hasRoom(s)
}

// forgetRoom must be called when the free capacity of a runner grows.
func (p *pass) forgetRoom() {
	clear(p.room.lists)
}
