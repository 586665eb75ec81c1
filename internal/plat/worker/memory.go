package worker

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/fault"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

type (
	// Launcher starts and stops the runners of service tasks, which the in-memory worker does not run itself.
	Launcher interface {
		// Launch starts a runner and returns the address at which it accepts requests.
		Launch(attempt types.AttemptID, service types.Service) (types.Address, error)
		// Halt stops the runner of the attempt.
		Halt(attempt types.AttemptID)
	}

	// Memory is an in-memory worker that records which attempts it ran. It does no work: a task is done when its
	// declared run time has passed. It is safe for concurrent use.
	Memory struct {
		Faults *fault.Plan

		mu       sync.Mutex
		clock    clockwork.Clock
		vm       types.VM
		launcher Launcher
		epoch    types.Epoch
		// attempts holds the attempts that run, and those whose end is not acknowledged.
		attempts map[types.AttemptID]*attempt
		// closed holds the attempts that must not be started: true if the attempt was stopped before it
		// started, false if its end was acknowledged.
		closed        map[types.AttemptID]bool
		boot          uint64
		runs          []Run
		failsAllTasks bool
		usage         func(declared types.Resources) types.Resources
	}

	// attempt is one attempt. The time endsAt is zero for a service, which has no run time.
	attempt struct {
		status    Status
		expiresAt time.Time
		endsAt    time.Time
	}

	// Run is the worker's record of one attempt. End is zero while it runs.
	Run struct {
		Attempt  types.AttemptID
		Declared types.Resources
		Booking  bool
		Start    time.Time
		End      time.Time
		Phase    Phase
	}

	// Fleet is a Dialer of in-memory workers by the id of their VM. It is safe for concurrent use.
	Fleet struct {
		mu      sync.Mutex
		workers map[types.VMID]*Memory
		from    types.Site
		meter   *meter.Meter
	}

	// view is the worker as seen by one caller.
	view struct {
		memory *Memory
		from   types.Site
		meter  *meter.Meter
	}
)

// NewMemory returns a worker with the VM's capacity. With a nil launcher, service tasks have no endpoint.
func NewMemory(clock clockwork.Clock, vm types.VM, launcher Launcher) *Memory {
	return &Memory{
		Faults:   fault.New(clock),
		clock:    clock,
		vm:       vm,
		launcher: launcher,
		attempts: make(map[types.AttemptID]*attempt),
		closed:   make(map[types.AttemptID]bool),
		boot:     1,
		usage:    func(declared types.Resources) types.Resources { return declared },
	}
}

// As returns the worker as seen by a caller at the site, whose calls are counted by the meter.
func (m *Memory) As(from types.Site, calls *meter.Meter) Worker {
	return &view{memory: m, from: from, meter: calls}
}

// FailEverything sets whether each attempt fails as soon as it starts.
func (m *Memory) FailEverything(fail bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failsAllTasks = fail
}

// SetUsage sets the function that returns the resources that a task uses, given those that it declared.
func (m *Memory) SetUsage(usage func(declared types.Resources) types.Resources) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage = usage
}

// Record first ends the attempts that are due, and then returns a copy of the record of all attempts that started.
func (m *Memory) Record() []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endDueAttempts()
	return append([]Run(nil), m.runs...)
}

// Crash ends all running attempts and discards all attempts, as a restart of the VM does. The boot number
// increases; the epoch is kept.
func (m *Memory) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endDueAttempts()
	for id, a := range m.attempts {
		if !a.status.Phase.Ended() {
			m.endAttempt(id, PhaseLeaseExpired, m.clock.Now(), "the VM was restarted")
		}
	}
	m.attempts = make(map[types.AttemptID]*attempt)
	m.boot++
}

// Fence implements Worker.
func (v *view) Fence(ctx context.Context, r FenceRequest) (Report, error) {
	var out Report
	err := v.runCall(ctx, KindFence, r.Check, r.Epoch, func() error {
		out = v.memory.report()
		return nil
	})
	return out, err
}

// Start implements Worker.
func (v *view) Start(ctx context.Context, r StartRequest) (Status, error) {
	var out Status
	err := v.runCall(ctx, KindStart, r.Check, r.Epoch, func() error {
		var err error
		out, err = v.memory.startAttempt(r)
		return err
	})
	return out, err
}

// Renew implements Worker.
func (v *view) Renew(ctx context.Context, r RenewRequest) (Report, error) {
	var out Report
	err := v.runCall(ctx, KindRenew, r.Check, r.Epoch, func() error {
		v.memory.renewLeases(r)
		out = v.memory.report()
		return nil
	})
	return out, err
}

// Stop implements Worker. A request to throttle changes nothing.
func (v *view) Stop(ctx context.Context, r StopRequest) (Status, error) {
	var out Status
	err := v.runCall(ctx, KindStop, r.Check, r.Epoch, func() error {
		out = v.memory.stopAttempt(r)
		return nil
	})
	return out, err
}

// runCall runs effect under the faults that are set, unless the check fails or the epoch is fenced, and counts the
// call. A call whose check fails is not counted.
func (v *view) runCall(ctx context.Context, kind meter.Kind, check func() error, epoch types.Epoch, effect func() error) error {
	if err := check(); err != nil {
		return err
	}
	err := v.memory.Faults.Before(ctx, v.from.DataCentre)
	if err == nil {
		err = v.memory.runFenced(epoch, effect)
		if lost := v.memory.Faults.After(); lost != nil {
			err = lost
		}
	}
	v.meter.Count(meter.Sample{Kind: kind, Remote: v.memory.vm.Site.Region, Failed: err != nil})
	return err
}

// runFenced runs effect with m.mu held. It returns an error of kind Fenced if the epoch is older than one already
// seen; otherwise the epoch becomes the oldest that is accepted.
func (m *Memory) runFenced(epoch types.Epoch, effect func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endDueAttempts()
	if epoch < m.epoch {
		return errs.New(errs.Fenced, "epoch %d is older than %d", epoch, m.epoch)
	}
	m.epoch = epoch
	return effect()
}

// startAttempt starts an attempt, unless it is known or closed. The caller must hold m.mu.
func (m *Memory) startAttempt(r StartRequest) (Status, error) {
	if known, ok := m.attempts[r.Attempt]; ok {
		return known.status, nil
	}
	if _, ok := m.closed[r.Attempt]; ok {
		return m.closedStatus(r.Attempt), nil
	}
	now := m.clock.Now()
	a := &attempt{
		status:    Status{Attempt: r.Attempt, Phase: PhaseRunning, Epoch: r.Epoch, Boot: m.boot, Declared: r.Task.Resources},
		expiresAt: now.Add(r.Lease),
	}
	if r.Service == nil {
		a.endsAt = now.Add(r.Task.RunTime)
	}
	if r.Service != nil && m.launcher != nil {
		endpoint, err := m.launcher.Launch(r.Attempt, *r.Service)
		if err != nil {
			return Status{}, errs.New(errs.Unavailable, "launching the runner: %v", err)
		}
		a.status.Endpoint = endpoint
	}
	m.attempts[r.Attempt] = a
	m.runs = append(m.runs, Run{
		Attempt: r.Attempt, Declared: r.Task.Resources, Booking: r.Task.Booking, Start: now, Phase: PhaseRunning,
	})
	if m.failsAllTasks {
		m.endAttempt(r.Attempt, PhaseFailed, now, "the worker fails everything")
	}
	return a.status, nil
}

// renewLeases extends the leases of running attempts and removes the ended ones that are acknowledged. The caller
// must hold m.mu.
func (m *Memory) renewLeases(r RenewRequest) {
	now := m.clock.Now()
	for _, id := range r.Attempts {
		if a, ok := m.attempts[id]; ok && !a.status.Phase.Ended() {
			a.expiresAt = now.Add(r.Lease)
		}
	}
	for _, id := range r.Acknowledge {
		if a, ok := m.attempts[id]; ok && a.status.Phase.Ended() {
			delete(m.attempts, id)
			m.closed[id] = false
		}
	}
}

// stopAttempt ends an attempt; one that is not known is closed, so that it can't start. The caller must hold m.mu.
func (m *Memory) stopAttempt(r StopRequest) Status {
	a, ok := m.attempts[r.Attempt]
	if !ok {
		if _, known := m.closed[r.Attempt]; !known {
			m.closed[r.Attempt] = true
		}
		return m.closedStatus(r.Attempt)
	}
	if a.status.Phase.Ended() || r.Throttle > 0 {
		return a.status
	}
	phase := PhaseStopped
	if r.Checkpoint {
		phase = PhaseCheckpointed
	}
	m.endAttempt(r.Attempt, phase, m.clock.Now(), "stopped by the lead")
	return a.status
}

// closedStatus returns the status of an attempt whose end was acknowledged or that was stopped before it started.
// The caller must hold m.mu.
func (m *Memory) closedStatus(id types.AttemptID) Status {
	neverStarted := m.closed[id]
	return Status{Attempt: id, Phase: PhaseStopped, Epoch: m.epoch, Boot: m.boot, Reason: "was not running", NeverStarted: neverStarted}
}

// endDueAttempts ends the attempts whose run time has passed or whose lease has expired by now. An attempt is done
// only if its run time ended no later than its lease. The caller must hold m.mu.
func (m *Memory) endDueAttempts() {
	now := m.clock.Now()
	for id, a := range m.attempts {
		if a.status.Phase.Ended() {
			continue
		}
		done := !a.endsAt.IsZero() && !now.Before(a.endsAt) && !a.endsAt.After(a.expiresAt)
		if done {
			m.endAttempt(id, PhaseDone, a.endsAt, "")
			continue
		}
		if !now.Before(a.expiresAt) {
			m.endAttempt(id, PhaseLeaseExpired, a.expiresAt, "the lease lapsed")
		}
	}
}

// endAttempt sets the phase and reason of an attempt, and halts its runner. The caller must hold m.mu.
func (m *Memory) endAttempt(id types.AttemptID, phase Phase, at time.Time, reason string) {
	a := m.attempts[id]
	a.status.Phase = phase
	a.status.Reason = reason
	if m.launcher != nil && a.status.Endpoint != "" {
		m.launcher.Halt(id)
	}
	for i := range m.runs {
		if m.runs[i].Attempt == id && m.runs[i].End.IsZero() {
			m.runs[i].End = at
			m.runs[i].Phase = phase
		}
	}
}

// report returns the status of all attempts, ordered by id. The caller must hold m.mu.
func (m *Memory) report() Report {
	out := Report{Worker: m.vm.ID, Epoch: m.epoch, Boot: m.boot, Capacity: m.vm.Capacity}
	for _, a := range m.attempts {
		status := a.status
		status.Usage = m.usage(status.Declared)
		out.Attempts = append(out.Attempts, status)
	}
	sort.Slice(out.Attempts, func(i, j int) bool { return out.Attempts[i].Attempt < out.Attempts[j].Attempt })
	return out
}

// NewFleet returns an empty fleet as seen by a caller at the site, whose calls are counted by the meter.
func NewFleet(from types.Site, calls *meter.Meter) *Fleet {
	return &Fleet{workers: make(map[types.VMID]*Memory), from: from, meter: calls}
}

// Add adds a worker to the fleet.
func (f *Fleet) Add(m *Memory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[m.vm.ID] = m
}

// Dial implements Dialer. For a VM without a worker in the fleet it returns one whose calls all fail as Unavailable.
func (f *Fleet) Dial(vm types.VM) Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.workers[vm.ID]
	if !ok {
		m = NewMemory(clockwork.NewRealClock(), vm, nil)
		m.Faults.SetDown(true)
	}
	return m.As(f.from, f.meter)
}
