package runner

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// Behaviours of a stand-in runner.
const (
	// Serve answers with the body of the call.
	Serve Behaviour = iota
	// Refuse rejects calls with kind Draining before they run, as a leaving runner does.
	Refuse
	// Hang runs the call and does not answer; it keeps the connection until the caller stops waiting.
	Hang
	// Die runs the call and breaks the connection.
	Die
	// Truncate runs the call and returns only the first half of the body.
	Truncate
	// Misdirect runs the call and answers with the id of another request.
	Misdirect
)

type (
	// Behaviour is the way in which a stand-in runner handles calls.
	Behaviour int

	// Memory is a set of in-memory runners that record which calls they ran. A runner exists as soon as its id
	// is used. It is safe for concurrent use.
	Memory struct {
		mu       sync.Mutex
		clock    clockwork.Clock
		workTime time.Duration
		runners  map[types.RunnerID]*runnerState
		limits   Limits
		// spread is the argument of SetSpread, in thousandths.
		spread int
	}

	runnerState struct {
		behaviour Behaviour
		// connections counts the calls that run or wait.
		connections     int
		peakConnections int
		executions      []Execution
		// workTime, if above 0, replaces Memory's workTime for this runner.
		workTime  time.Duration
		usedSlots int
		// queue holds a channel for each call that waits for a slot; it is closed when the call gets the slot.
		queue []chan struct{}
	}

	// Execution is a runner's record of one call that it ran.
	Execution struct {
		Runner types.RunnerID
		ID     types.RequestID
		Start  time.Time
	}

	// view is the runners as seen by one caller.
	view struct {
		memory *Memory
		meter  *meter.Meter
	}
)

// NewMemory returns runners without limits that take workTime for each call.
func NewMemory(clock clockwork.Clock, workTime time.Duration) *Memory {
	return &Memory{clock: clock, workTime: workTime, runners: make(map[types.RunnerID]*runnerState)}
}

// As returns the runners as seen by a caller whose calls are counted by the meter.
func (m *Memory) As(calls *meter.Meter) Runner {
	return &view{memory: m, meter: calls}
}

// SetBehaviour sets how one runner handles calls.
func (m *Memory) SetBehaviour(id types.RunnerID, b Behaviour) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runner(id).behaviour = b
}

// Record returns the calls that ran on all runners, in no particular order of runners.
func (m *Memory) Record() []Execution {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Execution
	for _, s := range m.runners {
		out = append(out, s.executions...)
	}
	return out
}

// Peak returns the highest number of calls that ran or waited on one runner at the same time.
func (m *Memory) Peak(id types.RunnerID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runner(id).peakConnections
}

// Call implements Runner.
func (v *view) Call(ctx context.Context, to Upstream, call Call) (Reply, error) {
	reply, err := v.memory.runCall(ctx, to, call)
	sample := meter.Sample{Kind: KindCall, Remote: to.Site.Region, Failed: err != nil}
	sample.Sent = len(call.Body)
	sample.Read = len(reply.Body)
	v.meter.Count(sample)
	return reply, err
}

func (m *Memory) runCall(ctx context.Context, to Upstream, call Call) (Reply, error) {
	b, err := m.admitCall(to, call)
	if err != nil {
		return Reply{}, err
	}
	if err := m.serve(ctx, to, call); err != nil {
		return Reply{}, err
	}
	reply := Reply{ID: call.ID, Body: call.Body, Length: types.Bytes(len(call.Body)), Digest: types.DigestOf(call.Body)}
	switch b {
	case Hang:
		m.addConnections(to.ID, 1)
		defer m.addConnections(to.ID, -1)
		<-ctx.Done()
		return Reply{}, errs.New(errs.Unknown, "waiting for %s: %v", to.ID, ctx.Err())
	case Die:
		return Reply{}, errs.New(errs.Unknown, "runner %s broke the connection", to.ID)
	case Truncate:
		reply.Body = reply.Body[:len(reply.Body)/2]
	case Misdirect:
		reply.ID += "-other"
	case Serve, Refuse:
	}
	return reply, nil
}

// admitCall records a call that is to run, or rejects it. It returns the runner's behaviour.
func (m *Memory) admitCall(to Upstream, call Call) (Behaviour, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.runner(to.ID)
	if s.behaviour == Refuse {
		return Refuse, errs.New(errs.Draining, "runner %s is leaving", to.ID)
	}
	if m.limits.Connections > 0 && s.connections >= m.limits.Connections {
		return s.behaviour, errs.New(errs.Overloaded, "runner %s has %d connections", to.ID, s.connections)
	}
	s.connections++
	s.peakConnections = max(s.peakConnections, s.connections)
	s.executions = append(s.executions, Execution{Runner: to.ID, ID: call.ID, Start: m.clock.Now()})
	return s.behaviour, nil
}

// runner returns the state of a runner, which it creates on first use. The caller must hold m.mu.
func (m *Memory) runner(id types.RunnerID) *runnerState {
	s, ok := m.runners[id]
	if !ok {
		s = &runnerState{}
		m.runners[id] = s
	}
	return s
}
