package runner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// spreadScale is the divisor of SetSpread's thousandths.
const spreadScale = 1000

// Limits is how many calls a stand-in runner processes and accepts at a time; zero means no limit.
type Limits struct {
	// Slots is how many calls run at a time; further calls wait in order of arrival.
	Slots int
	// Connections is how many calls may run or wait; further calls are rejected with kind Overloaded.
	Connections int
}

// SetLimits sets the limits of every runner. With a limit on slots, a runner behaves as a real one does: it queues
// calls beyond its slots, and it finishes a call even if the caller has stopped waiting.
func (m *Memory) SetLimits(l Limits) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = l
}

// SetWorkTime sets the time that one runner takes for a call; zero means the time given to NewMemory.
func (m *Memory) SetWorkTime(id types.RunnerID, workTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runner(id).workTime = workTime
}

// SetSpread makes the time of a call differ from the runner's time by up to this many thousandths of it in either
// direction. The difference is computed from the body, so that calls with equal bodies take equal times.
func (m *Memory) SetSpread(thousandths int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spread = thousandths
}

// serve waits for the work of an admitted call. It returns an error of kind Unknown if ctx ends first.
func (m *Memory) serve(ctx context.Context, to Upstream, call Call) error {
	workTime, limited := m.workTimeOf(to.ID, call.Body)
	if !limited {
		defer m.finishCall(to.ID)
		return m.waitForWork(ctx, to, m.clock.After(workTime))
	}
	done := make(chan time.Time, 1)
	go func() {
		m.acquireSlot(to.ID)
		m.clock.Sleep(workTime)
		m.releaseSlot(to.ID)
		m.finishCall(to.ID)
		done <- time.Time{}
	}()
	return m.waitForWork(ctx, to, done)
}

// waitForWork waits until done receives a value or ctx ends.
func (m *Memory) waitForWork(ctx context.Context, to Upstream, done <-chan time.Time) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errs.New(errs.Unknown, "waiting for %s: %v", to.ID, ctx.Err())
	}
}

// workTimeOf returns how long a call takes on the runner, and whether runners have a limit on slots.
func (m *Memory) workTimeOf(id types.RunnerID, body []byte) (workTime time.Duration, limited bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	workTime = m.workTime
	if own := m.runner(id).workTime; own > 0 {
		workTime = own
	}
	if m.spread > 0 {
		offset := int64(types.DigestOf(body)%types.Digest(2*m.spread+1)) - int64(m.spread)
		workTime += workTime * time.Duration(offset) / spreadScale
	}
	return workTime, m.limits.Slots > 0
}

// acquireSlot waits for a free slot of the runner and occupies it.
func (m *Memory) acquireSlot(id types.RunnerID) {
	m.mu.Lock()
	s := m.runner(id)
	if s.usedSlots < m.limits.Slots {
		s.usedSlots++
		m.mu.Unlock()
		return
	}
	slot := make(chan struct{})
	s.queue = append(s.queue, slot)
	m.mu.Unlock()
	<-slot
}

// releaseSlot passes the slot to the call that has waited longest, or frees it if none waits.
func (m *Memory) releaseSlot(id types.RunnerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.runner(id)
	if len(s.queue) == 0 {
		s.usedSlots--
		return
	}
	close(s.queue[0])
	s.queue = s.queue[1:]
}

// finishCall ends the connection of a call that was admitted.
func (m *Memory) finishCall(id types.RunnerID) {
	m.addConnections(id, -1)
}

// addConnections adds to the number of calls that run or wait on the runner.
func (m *Memory) addConnections(id types.RunnerID, calls int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.runner(id)
	s.connections += calls
	s.peakConnections = max(s.peakConnections, s.connections)
}
