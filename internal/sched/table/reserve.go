package table

import (
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// Reservation keeps workers free of other starts that are not urgent, until the job fits or Until is reached.
	// All tasks of an all-at-once job fit at once; other jobs reserve for one task.
	Reservation struct {
		Job types.JobID
		// Workers holds how many of the job's tasks each worker is meant for.
		Workers map[types.VMID]int
		Since   time.Time
		Until   time.Time
	}

	// Room is a group of workers with the same free capacity.
	Room struct {
		Free    types.Resources `json:"Free"`
		Workers int             `json:"Workers"`
	}

	// Peer is the latest summary of another data centre.
	Peer struct {
		DataCentre types.DataCentre `json:"DataCentre"`
		Region     types.Region     `json:"Region"`
		Rooms      []Room           `json:"Rooms"`
		// Waiting is the number of waiting tasks of that data centre.
		Waiting int       `json:"Waiting"`
		At      time.Time `json:"At"`
	}
)

// Reserve stores a reservation, in place of an older one of the same job, and counts it in the job's Reservations.
func (s *State) Reserve(r *Reservation) {
	s.Reservations[r.Job] = r
	if j, ok := s.Jobs[r.Job]; ok {
		j.Reservations++
	}
}

// Unreserve removes the job's reservation, if any.
func (s *State) Unreserve(id types.JobID) {
	delete(s.Reservations, id)
}

// FitCount returns how many tasks of the given size fit into the free capacity of the peer's workers.
func (p Peer) FitCount(need types.Resources) int {
	total := 0
	for _, r := range p.Rooms {
		total += Fit(need, r.Free) * r.Workers
	}
	return total
}

// Fit returns how many times need fits into within, at most types.MaxTasks.
func Fit(need, within types.Resources) int {
	return need.CountIn(within, types.MaxTasks)
}

// Rooms returns the free capacity of the workers that may be given tasks, rounded down to whole cores and GiB
// and grouped, the largest first. It is reported to peers.
func (s *State) Rooms() []Room {
	groups := make(map[types.Resources]int)
	for _, w := range s.Workers {
		if w.Placeable() {
			groups[rounded(w.Free())]++
		}
	}
	out := make([]Room, 0, len(groups))
	for free, count := range groups {
		out = append(out, Room{Free: free, Workers: count})
	}
	sort.Slice(out, func(i, j int) bool { return larger(out[i].Free, out[j].Free) })
	return out
}

func rounded(r types.Resources) types.Resources {
	r.Cores -= r.Cores % types.Core
	r.Memory -= r.Memory % types.GiB
	return r
}

func larger(a, b types.Resources) bool {
	switch {
	case a.Accelerators != b.Accelerators:
		return a.Accelerators > b.Accelerators
	case a.Cores != b.Cores:
		return a.Cores > b.Cores
	default:
		return a.Memory > b.Memory
	}
}
