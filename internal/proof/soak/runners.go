package soak

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// runTime returns how long a task runs. It depends only on the task's job ID and index.
func runTime(ref specs.Ref) time.Duration {
	const minMs, stepCount, stepMs = 20, 8, 40
	sum := ref.Index
	for _, b := range []byte(ref.Job) {
		sum += int(b)
	}
	return time.Duration(minMs+sum%stepCount*stepMs) * time.Millisecond
}

// isCrashing reports whether a task crashes each runner that begins it: the first task of one in crashingShare jobs does.
func isCrashing(ref specs.Ref) bool {
	return hasCrashingTask(ref.Job) && ref.Step == 0 && ref.Index == 0
}

func hasCrashingTask(id specs.JobID) bool {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()%crashingShare == 0
}

// restartRunner crashes a runner, unless it has crashed already. Another one starts at its address after the delay.
func (h *harness) restartRunner(id specs.RunnerID, delay time.Duration) {
	h.mu.Lock()
	address, isRunning := h.runnerAddresses[id]
	delete(h.runnerAddresses, id)
	h.mu.Unlock()
	if !isRunning {
		return
	}
	h.retryChange(func() error { return h.platform.CrashRunner(id) })
	h.clock.Sleep(delay)
	next := h.newRunner(address)
	h.retryChange(func() error { return h.platform.AddRunner(next) })
}

// newRunner returns a runner with an ID of its own at an address, where no other one may be.
func (h *harness) newRunner(address types.Address) agent.Runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runnerCount++
	id := specs.RunnerID(fmt.Sprintf("w%03d", h.runnerCount))
	h.runnerAddresses[id] = address
	return agent.Runner{
		ID: id, Service: h.serviceAt(address), DataCentre: "dc1", Address: address,
		Capacity: types.Resources{Cores: runnerCores, Memory: types.GiB},
	}
}
