package vmlist

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/fault"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

type (
	// Memory is an in-memory list in which changes become visible after a lag. It is safe for concurrent use.
	Memory struct {
		Faults *fault.Plan

		mu      sync.Mutex
		clock   clockwork.Clock
		region  types.Region
		lag     time.Duration
		changes []change
	}

	// change is one call of Set or Remove.
	change struct {
		at      time.Time
		vm      types.VM
		removed bool
	}

	// view is the list as seen by one caller.
	view struct {
		memory *Memory
		from   types.DataCentre
		meter  *meter.Meter
	}
)

// NewMemory returns an empty list in the region, in which changes become visible after the lag.
func NewMemory(clock clockwork.Clock, region types.Region, lag time.Duration) *Memory {
	return &Memory{Faults: fault.New(clock), clock: clock, region: region, lag: lag}
}

// As returns the list as seen by a caller in the data centre, whose calls are counted by the meter.
func (m *Memory) As(from types.DataCentre, calls *meter.Meter) Source {
	return &view{memory: m, from: from, meter: calls}
}

// Set adds a VM, or replaces the one that has the same id, for example to change its state.
func (m *Memory) Set(vm types.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = append(m.changes, change{at: m.clock.Now(), vm: vm})
}

// Remove removes a VM from the list.
func (m *Memory) Remove(id types.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = append(m.changes, change{at: m.clock.Now(), vm: types.VM{ID: id}, removed: true})
}

// List implements Source. It returns the list as it was one lag ago.
func (v *view) List(ctx context.Context) (Snapshot, error) {
	var out Snapshot
	err := v.memory.Faults.Before(ctx, v.from)
	if err == nil {
		out = v.memory.snapshot()
	}
	v.meter.Count(meter.Sample{Kind: KindList, Remote: v.memory.region, Failed: err != nil})
	return out, err
}

// snapshot replays the changes that are visible; their number is the version of the list.
func (m *Memory) snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	cutoff := m.clock.Now().Add(-m.lag)
	index := make(map[types.VMID]int)
	var listed []types.VM
	var visible uint64
	for _, c := range m.changes {
		if c.at.After(cutoff) {
			break
		}
		visible++
		i, known := index[c.vm.ID]
		if !known {
			i = len(listed)
			index[c.vm.ID] = i
			listed = append(listed, types.VM{})
		}
		listed[i] = c.vm
		if c.removed {
			listed[i] = types.VM{}
		}
	}
	out := Snapshot{Version: visible}
	for _, vm := range listed {
		if vm.ID != "" {
			out.VMs = append(out.VMs, vm)
		}
	}
	return out
}
