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
	// Memory is an in-memory list that shows changes after a lag. It is safe for concurrent use.
	Memory struct {
		Faults *fault.Plan

		mu      sync.Mutex
		clock   clockwork.Clock
		region  types.Region
		lag     time.Duration
		changes []change
	}

	change struct {
		at      time.Time
		vm      types.VM
		removed bool
	}

	view struct {
		memory *Memory
		from   types.DataCentre
		meter  *meter.Meter
	}
)

// NewMemory returns an empty list that shows changes after the lag.
func NewMemory(clock clockwork.Clock, region types.Region, lag time.Duration) *Memory {
	return &Memory{Faults: fault.New(clock), clock: clock, region: region, lag: lag}
}

// As returns the list as a caller in the data centre sees it.
func (m *Memory) As(from types.DataCentre, calls *meter.Meter) Source {
	return &view{memory: m, from: from, meter: calls}
}

// Set adds a VM or changes it, as in its state.
func (m *Memory) Set(vm types.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = append(m.changes, change{at: m.clock.Now(), vm: vm})
}

// Remove takes a VM off the list.
func (m *Memory) Remove(id types.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = append(m.changes, change{at: m.clock.Now(), vm: types.VM{ID: id}, removed: true})
}

// List returns the list as it was one lag ago.
func (v *view) List(ctx context.Context) (Snapshot, error) {
	var out Snapshot
	err := v.memory.Faults.Before(ctx, v.from)
	if err == nil {
		out = v.memory.snapshot()
	}
	v.meter.Count(meter.Sample{Kind: KindList, Remote: v.memory.region, Failed: err != nil})
	return out, err
}

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
