package lend

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

// Distances of a runner from an entry, nearest first.
const (
	// Local means the same data centre.
	Local Distance = iota
	// Regional means another data centre of the same region.
	Regional
	// Far means another region, which is reached over the paid link.
	Far
	distanceCount
)

// Results of a call, as passed to Release.
const (
	// Answered means that the runner sent a complete answer.
	Answered Result = iota
	// Refused means that the runner refused the call because it takes no more requests.
	Refused
	// Failed means that the call certainly did not run.
	Failed
	// InDoubt means that the call is in doubt: it may still be running.
	InDoubt
	// Unused means that no call was made.
	Unused
)

type (
	// Distance ranks how far a runner is from an entry.
	Distance int
	// Result is how a call ended, as far as it matters to the slot and the circuit breaker.
	Result int

	// Slot is the right to have one request in flight at a runner.
	Slot struct {
		Upstream runner.Upstream
		Distance Distance
		runner   *heldRunner
	}

	// heldRunner is one runner with the slots that this entry holds of it.
	heldRunner struct {
		upstream    runner.Upstream
		dataCentre  types.DataCentre
		distance    Distance
		slots       int
		connections int
		busy        int
		// returning counts idle slots that are reserved for return with the next call to the leader.
		returning int
		// fullyUsedAt is when the last idle slot was last taken, or when slots were last lent.
		fullyUsedAt time.Time
		circuit     *circuit
		// barred means that the leader reported that the runner must get no more requests.
		barred bool
	}

	// pool holds the runners of one service by distance, and how many requests wait for and use slots of it.
	pool struct {
		runners [distanceCount][]*heldRunner
		queued  int
		busy    int
	}

	// inDoubtSlot is a slot whose call may still run; it counts as busy up to the given time.
	inDoubtSlot struct {
		runner *heldRunner
		until  time.Time
	}
)

// Acquire takes a slot of the service at a runner within the distance, or returns false when none is free. It prefers
// nearer runners, and among those of one distance takes the less loaded of two random ones. It never chooses avoid.
func (o *Holder) Acquire(service types.ServiceName, within Distance, avoid types.RunnerID) (Slot, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.services[service]
	if !ok {
		return Slot{}, false
	}
	now := o.config.Clock.Now()
	for d := Local; d <= within; d++ {
		if r := chooseRunner(p.runners[d], avoid, now); r != nil {
			return o.acquireSlot(p, r, now), true
		}
	}
	return Slot{}, false
}

// acquireSlot takes an idle slot of a runner of the pool. The caller must hold o.mu.
func (o *Holder) acquireSlot(p *pool, r *heldRunner, now time.Time) Slot {
	r.busy++
	p.busy++
	if r.idleSlots() == 0 {
		r.fullyUsedAt = now
	}
	r.circuit.recordStart()
	return Slot{Upstream: r.upstream, Distance: r.distance, runner: r}
}

// chooseRunner returns the less loaded of two random runners with a free slot, or nil.
func chooseRunner(runners []*heldRunner, avoid types.RunnerID, now time.Time) *heldRunner {
	n := len(runners)
	if n == 0 {
		return nil
	}
	first := nextUsable(runners, rand.IntN(n), avoid, now)
	if first == nil || n == 1 {
		return first
	}
	second := nextUsable(runners, rand.IntN(n), avoid, now)
	if second.idleSlots() > first.idleSlots() {
		return second
	}
	return first
}

// nextUsable returns the first runner with a free slot, from the index on and around the end, or nil.
func nextUsable(runners []*heldRunner, from int, avoid types.RunnerID, now time.Time) *heldRunner {
	for i := range runners {
		r := runners[(from+i)%len(runners)]
		if r.isUsable(now) && r.upstream.ID != avoid {
			return r
		}
	}
	return nil
}

func (r *heldRunner) idleSlots() int {
	return r.slots - r.busy - r.returning
}

func (r *heldRunner) isUsable(now time.Time) bool {
	return !r.barred && r.idleSlots() > 0 && r.circuit.allows(now)
}

// Release frees a slot after a call. After the result InDoubt the slot stays taken until the given time, because the
// call may still run.
func (o *Holder) Release(s Slot, result Result, until time.Time) {
	if s.runner == nil {
		return
	}
	o.mu.Lock()
	now := o.config.Clock.Now()
	o.recordResult(s.runner, result, now)
	if result == InDoubt && until.After(now) {
		o.inDoubt = append(o.inDoubt, inDoubtSlot{runner: s.runner, until: until})
		o.mu.Unlock()
		return
	}
	o.freeSlot(s.runner)
	notify := o.notify
	o.mu.Unlock()
	notify(s.Upstream.Service)
}

// recordResult updates the circuit breaker of a runner. A refusal is also reported to the leader with the next call.
// The caller must hold o.mu.
func (o *Holder) recordResult(r *heldRunner, result Result, now time.Time) {
	switch result {
	case Answered:
		r.circuit.recordSuccess()
	case Refused:
		r.circuit.recordRefusal(now)
		o.leaderOf(r.dataCentre).refusing[r.upstream.ID] = true
		metrics.GetOrRegisterCounter("Lend.Refusals", o.config.Metrics).Inc(1)
	case Failed, InDoubt:
		r.circuit.recordFailure(now)
	case Unused:
		r.circuit.probeInFlight = false
	}
}

// freeSlot makes a slot idle, or reserves it for return when the leader recalled one. The caller must hold o.mu.
func (o *Holder) freeSlot(r *heldRunner) {
	r.busy--
	if p, ok := o.services[r.upstream.Service]; ok {
		p.busy--
	}
	if o.reserveForReturn(r, 1) > 0 {
		o.wake()
	}
}

// reserveForReturn reserves up to count idle slots of a runner for return, as far as the leader recalled slots of its
// service, and returns how many it reserved. The caller must hold o.mu.
func (o *Holder) reserveForReturn(r *heldRunner, count int) int {
	l := o.leaderOf(r.dataCentre)
	slots := min(count, r.idleSlots(), l.recalled[r.upstream.Service])
	if slots <= 0 {
		return 0
	}
	r.returning += slots
	l.recalled[r.upstream.Service] -= slots
	return slots
}

// freeInDoubt frees the slots whose calls were in doubt and have certainly ended by now, and returns their services.
func (o *Holder) freeInDoubt() []types.ServiceName {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	var freed []types.ServiceName
	o.inDoubt = slices.DeleteFunc(o.inDoubt, func(s inDoubtSlot) bool {
		if now.Before(s.until) {
			return false
		}
		o.freeSlot(s.runner)
		freed = append(freed, s.runner.upstream.Service)
		return true
	})
	return freed
}

// Queued sets how many requests of a service wait for a slot.
func (o *Holder) Queued(service types.ServiceName, count int) {
	o.mu.Lock()
	p := o.pool(service)
	queueStarted := count > 0 && p.queued == 0
	p.queued = count
	o.mu.Unlock()
	if queueStarted {
		o.wake()
	}
}

func (o *Holder) wake() {
	every.Wake(o.wakeup)
}

// Held returns how many slots of a service are held within the distance, busy or not. Barred runners do not count.
func (o *Holder) Held(service types.ServiceName, within Distance) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.services[service]
	if !ok {
		return 0
	}
	return p.heldWithin(within)
}

// Shares returns what is held of each runner, in no particular order, for reports and checks.
func (o *Holder) Shares() []Share {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Share
	for id, r := range o.runners {
		out = append(out, Share{Runner: id, Slots: r.slots, Connections: r.connections})
	}
	return out
}

func (p *pool) heldWithin(within Distance) int {
	sum := 0
	for d := Local; d <= within; d++ {
		for _, r := range p.runners[d] {
			if !r.barred {
				sum += r.slots
			}
		}
	}
	return sum
}

// pool returns the pool of a service; it adds an empty one when there is none. The caller must hold o.mu.
func (o *Holder) pool(service types.ServiceName) *pool {
	p, ok := o.services[service]
	if !ok {
		p = &pool{}
		o.services[service] = p
	}
	return p
}

// addGrant adds the slots that the leader of a data centre has lent. The caller must hold o.mu.
func (o *Holder) addGrant(dc types.DataCentre, g Grant, now time.Time) {
	r, ok := o.runners[g.Upstream.ID]
	if !ok {
		r = &heldRunner{dataCentre: dc, circuit: newCircuit(), distance: distanceOf(o.config.Self.Site, g.Upstream.Site)}
		o.runners[g.Upstream.ID] = r
		p := o.pool(g.Upstream.Service)
		p.runners[r.distance] = append(p.runners[r.distance], r)
	}
	r.upstream = g.Upstream
	r.barred = g.Upstream.Leaving
	r.fullyUsedAt = now
	r.slots += g.Slots
	r.connections += g.Connections
}

func distanceOf(a, b types.Site) Distance {
	switch {
	case a.DataCentre == b.DataCentre:
		return Local
	case a.Region == b.Region:
		return Regional
	default:
		return Far
	}
}

// removeRunner removes a runner from its service's pool. The caller must hold o.mu.
func (o *Holder) removeRunner(r *heldRunner) {
	delete(o.runners, r.upstream.ID)
	p := o.pool(r.upstream.Service)
	p.runners[r.distance] = slices.DeleteFunc(p.runners[r.distance], func(x *heldRunner) bool { return x == r })
}
