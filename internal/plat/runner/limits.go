package runner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// wholeWork is the whole of a runner's work in thousandths.
const wholeWork = 1000

// Limits is how many calls a stand-in runner works on and takes; zero means no limit.
type Limits struct {
	// Slots is how many calls run at a time; others wait in order of arrival.
	Slots int
	// Connections is how many calls may run or wait; others are refused.
	Connections int
}

// SetLimits makes every runner work as a real one does: it queues what is over its slots, and it finishes a call
// even if the caller stopped waiting.
func (m *Memory) SetLimits(l Limits) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = l
}

// SetWork sets the time that one runner takes for a call.
func (m *Memory) SetWork(id types.RunnerID, work time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.get(id).work = work
}

// SetSpread makes the times of calls differ by up to this part of the work, in thousandths, to both sides. The body of
// a call decides, so that equal bodies take equal times.
func (m *Memory) SetSpread(thousandths int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spread = thousandths
}

// serve does the work of one call that was begun. It returns early when the caller stops waiting.
func (m *Memory) serve(ctx context.Context, to Upstream, call Call) error {
	work, limited := m.workOf(to.ID, call.Body)
	if !limited {
		defer m.finish(to.ID)
		return m.wait(ctx, to, m.clock.After(work))
	}
	done := make(chan time.Time, 1)
	go func() {
		m.takeTurn(to.ID)
		m.clock.Sleep(work)
		m.endTurn(to.ID)
		m.finish(to.ID)
		done <- time.Time{}
	}()
	return m.wait(ctx, to, done)
}

func (m *Memory) wait(ctx context.Context, to Upstream, done <-chan time.Time) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errs.New(errs.Unknown, "waiting for %s: %v", to.ID, ctx.Err())
	}
}

// workOf returns how long a call takes, and whether runners have limits.
func (m *Memory) workOf(id types.RunnerID, body []byte) (work time.Duration, limited bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	work = m.work
	if own := m.get(id).work; own > 0 {
		work = own
	}
	if m.spread > 0 {
		part := int64(types.DigestOf(body)%types.Digest(2*m.spread+1)) - int64(m.spread)
		work += work * time.Duration(part) / wholeWork
	}
	return work, m.limits.Slots > 0
}

// takeTurn waits until one of the runner's slots is free.
func (m *Memory) takeTurn(id types.RunnerID) {
	m.mu.Lock()
	s := m.get(id)
	if s.running < m.limits.Slots {
		s.running++
		m.mu.Unlock()
		return
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	m.mu.Unlock()
	<-turn
}

// endTurn hands the slot to the call that waited longest.
func (m *Memory) endTurn(id types.RunnerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(id)
	if len(s.queue) == 0 {
		s.running--
		return
	}
	close(s.queue[0])
	s.queue = s.queue[1:]
}

func (m *Memory) finish(id types.RunnerID) {
	m.hold(id, -1)
}

// hold changes the count of calls that occupy the runner.
func (m *Memory) hold(id types.RunnerID, calls int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(id)
	s.busy += calls
	s.peak = max(s.peak, s.busy)
}
