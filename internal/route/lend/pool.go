package lend

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

// Distances of a runner from an entry, the nearest first.
const (
	// Local means the same data centre.
	Local Distance = iota
	// Regional means another data centre of the same region.
	Regional
	// Far means another region, over the paid link.
	Far
	distances
)

// Results of a call, as Release takes them.
const (
	// Answered means that the runner sent a whole answer.
	Answered Result = iota
	// Refused means that the runner said that it takes no more requests.
	Refused
	// Failed means that the call surely did not run.
	Failed
	// Unsure means that the call may still run.
	Unsure
	// Unused means that the slot was not used.
	Unused
)

type (
	// Distance ranks how far a runner is from an entry.
	Distance int
	// Result is how a call ended, as far as the slot and the circuit are concerned.
	Result int

	// Slot is the right to have one request in flight at a runner.
	Slot struct {
		Upstream runner.Upstream
		Distance Distance
		runner   *held
	}

	// held is one runner with the slots that this entry holds.
	held struct {
		up          runner.Upstream
		lender      types.DataCentre
		distance    Distance
		slots       int
		connections int
		busy        int
		// returning are idle slots that go back to the lead with the next call.
		returning int
		// usedAt is when a slot was last taken while no other one was idle.
		usedAt  time.Time
		circuit *circuit
		// barred tells that the lead said that the runner takes no more requests.
		barred bool
	}

	// pool is the runners of one service, by distance.
	pool struct {
		runners [distances][]*held
		queued  int
		busy    int
	}

	// settling is a slot whose call may still run; it is free again at a time.
	settling struct {
		runner *held
		until  time.Time
	}
)

// Acquire takes a slot of the service that is at most the distance away, or tells that none is free. It looks at
// nearer runners first and takes the less loaded of two random ones.
func (o *Holder) Acquire(service types.ServiceName, within Distance, avoid types.RunnerID) (Slot, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.services[service]
	if !ok {
		return Slot{}, false
	}
	now := o.config.Clock.Now()
	for d := Local; d <= within; d++ {
		if r := choose(p.runners[d], avoid, now); r != nil {
			return o.takeSlot(p, r, now), true
		}
	}
	return Slot{}, false
}

func (o *Holder) takeSlot(p *pool, r *held, now time.Time) Slot {
	r.busy++
	p.busy++
	if r.idle() == 0 {
		r.usedAt = now
	}
	r.circuit.begin()
	return Slot{Upstream: r.up, Distance: r.distance, runner: r}
}

// choose returns the less loaded of two random runners with a free slot, or nil.
func choose(runners []*held, avoid types.RunnerID, now time.Time) *held {
	n := len(runners)
	if n == 0 {
		return nil
	}
	first := next(runners, rand.IntN(n), avoid, now)
	if first == nil || n == 1 {
		return first
	}
	second := next(runners, rand.IntN(n), avoid, now)
	if second.idle() > first.idle() {
		return second
	}
	return first
}

// next returns the first runner with a free slot from the index on.
func next(runners []*held, from int, avoid types.RunnerID, now time.Time) *held {
	for i := range runners {
		r := runners[(from+i)%len(runners)]
		if r.usable(now) && r.up.ID != avoid {
			return r
		}
	}
	return nil
}

func (r *held) idle() int {
	return r.slots - r.busy - r.returning
}

func (r *held) usable(now time.Time) bool {
	return !r.barred && r.idle() > 0 && r.circuit.allows(now)
}

// Release gives a slot back after a call. A slot whose call may still run stays taken until the time.
func (o *Holder) Release(s Slot, result Result, until time.Time) {
	if s.runner == nil {
		return
	}
	o.mu.Lock()
	now := o.config.Clock.Now()
	o.judge(s.runner, result, now)
	if result == Unsure && until.After(now) {
		o.settling = append(o.settling, settling{runner: s.runner, until: until})
		o.mu.Unlock()
		return
	}
	o.freeSlot(s.runner)
	notify := o.notify
	o.mu.Unlock()
	notify(s.Upstream.Service)
}

func (o *Holder) judge(r *held, result Result, now time.Time) {
	switch result {
	case Answered:
		r.circuit.succeed()
	case Refused:
		r.circuit.refuse(now)
		o.lender(r.lender).refusing[r.up.ID] = true
		metrics.GetOrRegisterCounter("Lend.Refusals", o.config.Metrics).Inc(1)
	case Failed, Unsure:
		r.circuit.fail(now)
	case Unused:
		r.circuit.probing = false
	}
}

// freeSlot makes a slot idle, or sets it aside when the lead asked for one back.
func (o *Holder) freeSlot(r *held) {
	r.busy--
	if p, ok := o.services[r.up.Service]; ok {
		p.busy--
	}
	if o.setAside(r, 1) > 0 {
		o.wake()
	}
}

// setAside keeps up to count idle slots of a runner for the lead that asked for some back.
func (o *Holder) setAside(r *held, count int) int {
	l := o.lender(r.lender)
	slots := min(count, r.idle(), l.owed[r.up.Service])
	if slots <= 0 {
		return 0
	}
	r.returning += slots
	l.owed[r.up.Service] -= slots
	return slots
}

// settle frees the slots whose calls have surely ended and returns their services.
func (o *Holder) settle() []types.ServiceName {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	var freed []types.ServiceName
	o.settling = slices.DeleteFunc(o.settling, func(s settling) bool {
		if now.Before(s.until) {
			return false
		}
		o.freeSlot(s.runner)
		freed = append(freed, s.runner.up.Service)
		return true
	})
	return freed
}

// Queued states how many requests of a service wait for a slot.
func (o *Holder) Queued(service types.ServiceName, count int) {
	o.mu.Lock()
	p := o.pool(service)
	first := count > 0 && p.queued == 0
	p.queued = count
	o.mu.Unlock()
	if first {
		o.wake()
	}
}

func (o *Holder) wake() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// Held returns how many slots of a service are held within the distance, busy or not.
func (o *Holder) Held(service types.ServiceName, within Distance) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.services[service]
	if !ok {
		return 0
	}
	return p.held(within)
}

// Shares returns all that is held, for reports and checks.
func (o *Holder) Shares() []Share {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Share
	for id, r := range o.runners {
		out = append(out, Share{Runner: id, Slots: r.slots, Connections: r.connections})
	}
	return out
}

func (p *pool) held(within Distance) int {
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

func (o *Holder) pool(service types.ServiceName) *pool {
	p, ok := o.services[service]
	if !ok {
		p = &pool{}
		o.services[service] = p
	}
	return p
}

func (o *Holder) add(dc types.DataCentre, g Grant, now time.Time) {
	r, ok := o.runners[g.Upstream.ID]
	if !ok {
		r = &held{lender: dc, circuit: newCircuit(), distance: distanceOf(o.config.Self.Site, g.Upstream.Site)}
		o.runners[g.Upstream.ID] = r
		p := o.pool(g.Upstream.Service)
		p.runners[r.distance] = append(p.runners[r.distance], r)
	}
	r.up = g.Upstream
	r.barred = g.Upstream.Leaving
	r.usedAt = now
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

func (o *Holder) drop(r *held) {
	delete(o.runners, r.up.ID)
	p := o.pool(r.up.Service)
	p.runners[r.distance] = slices.DeleteFunc(p.runners[r.distance], func(x *held) bool { return x == r })
}
