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
	// Serve answers with the body it got.
	Serve Behaviour = iota
	// Refuse refuses calls before they run, as a leaving runner does.
	Refuse
	// Hang runs the call and never answers.
	Hang
	// Die runs the call and breaks the connection.
	Die
	// Truncate runs the call and cuts the answer short.
	Truncate
	// Misdirect runs the call and answers with another request's id.
	Misdirect
)

type (
	// Behaviour tells how a stand-in runner treats calls.
	Behaviour int

	// Memory is a set of in-memory runners that keep their own record of what ran. It is safe for concurrent use.
	Memory struct {
		mu      sync.Mutex
		clock   clockwork.Clock
		work    time.Duration
		runners map[types.RunnerID]*state
		limits  Limits
		spread  int
	}

	state struct {
		behaviour Behaviour
		busy      int
		peak      int
		record    []Execution
		// work, when set, replaces the time that all runners take for a call.
		work    time.Duration
		running int
		queue   []chan struct{}
	}

	// Execution is the runner's own record of one call that ran.
	Execution struct {
		Runner types.RunnerID
		ID     types.RequestID
		Start  time.Time
	}

	caller struct {
		memory *Memory
		meter  *meter.Meter
	}
)

// NewMemory returns runners that take the given time for each call.
func NewMemory(clock clockwork.Clock, work time.Duration) *Memory {
	return &Memory{clock: clock, work: work, runners: make(map[types.RunnerID]*state)}
}

// As returns the runners as a caller whose calls are counted by the meter.
func (m *Memory) As(calls *meter.Meter) Runner {
	return &caller{memory: m, meter: calls}
}

// Set changes how one runner treats calls.
func (m *Memory) Set(id types.RunnerID, b Behaviour) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.get(id).behaviour = b
}

// Record returns every call that ran, over all runners.
func (m *Memory) Record() []Execution {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Execution
	for _, s := range m.runners {
		out = append(out, s.record...)
	}
	return out
}

// Peak returns the most calls that ran at the same time on one runner.
func (m *Memory) Peak(id types.RunnerID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.get(id).peak
}

// Call runs one call on the runner.
func (c *caller) Call(ctx context.Context, to Upstream, call Call) (Reply, error) {
	reply, err := c.memory.run(ctx, to, call)
	sample := meter.Sample{Kind: KindCall, Remote: to.Site.Region, Failed: err != nil}
	sample.Sent = len(call.Body)
	sample.Read = len(reply.Body)
	c.meter.Count(sample)
	return reply, err
}

func (m *Memory) run(ctx context.Context, to Upstream, call Call) (Reply, error) {
	b, err := m.begin(to, call)
	if err != nil {
		return Reply{}, err
	}
	if err := m.serve(ctx, to, call); err != nil {
		return Reply{}, err
	}
	reply := Reply{ID: call.ID, Body: call.Body, Length: types.Bytes(len(call.Body)), Digest: types.DigestOf(call.Body)}
	switch b {
	case Hang:
		m.hold(to.ID, 1)
		defer m.hold(to.ID, -1)
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

func (m *Memory) begin(to Upstream, call Call) (Behaviour, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(to.ID)
	if s.behaviour == Refuse {
		return Refuse, errs.New(errs.Draining, "runner %s is leaving", to.ID)
	}
	if m.limits.Connections > 0 && s.busy >= m.limits.Connections {
		return s.behaviour, errs.New(errs.Overloaded, "runner %s has %d connections", to.ID, s.busy)
	}
	s.busy++
	s.peak = max(s.peak, s.busy)
	s.record = append(s.record, Execution{Runner: to.ID, ID: call.ID, Start: m.clock.Now()})
	return s.behaviour, nil
}

func (m *Memory) get(id types.RunnerID) *state {
	s, ok := m.runners[id]
	if !ok {
		s = &state{}
		m.runners[id] = s
	}
	return s
}
