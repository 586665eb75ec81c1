package lend

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// surplus takes away the slots that go back to the lead of a data centre: those that it asked back, those of
// runners that are barred or refuse, and those that stayed idle.
func (o *Holder) surplus(dc types.DataCentre, l *lender, now time.Time) []Share {
	var out []Share
	for _, r := range o.runners {
		if r.lender != dc {
			continue
		}
		if share, some := r.give(o.giveable(r, l, now)); some {
			out = append(out, share)
		}
		if r.slots == 0 && r.busy == 0 {
			o.drop(r)
		}
	}
	return out
}

// giveable returns how many idle slots of a runner go back.
func (o *Holder) giveable(r *held, l *lender, now time.Time) int {
	o.setAside(r, r.idle())
	idle := r.idle()
	if o.closing || r.barred || l.refusing[r.up.ID] {
		return r.returning + idle
	}
	p := o.pool(r.up.Service)
	if idle == 0 || now.Sub(r.usedAt) < IdleAfter || p.queued > 0 {
		return r.returning
	}
	over := p.total() - p.busy - o.floor(r)
	return r.returning + max(0, min(idle, over))
}

func (p *pool) total() int {
	sum := 0
	for d := range p.runners {
		for _, r := range p.runners[d] {
			sum += r.slots
		}
	}
	return sum
}

func (o *Holder) floor(r *held) int {
	if r.distance == Local {
		return FloorSlots
	}
	return 0
}

// give takes idle slots away and returns them with their part of the connections.
func (r *held) give(slots int) (Share, bool) {
	if slots <= 0 {
		return Share{}, false
	}
	connections := r.connections * slots / r.slots
	r.slots -= slots
	r.returning = 0
	r.connections -= connections
	return Share{Runner: r.up.ID, Slots: slots, Connections: connections}, true
}

// wants returns how many slots of each service the entry could use of a data centre, and whether requests wait.
func (o *Holder) wants(dc types.DataCentre, l *lender) (out []Want, hungry bool) {
	for service, p := range o.services {
		want := o.want(dc, p)
		if p.queued > 0 && want > p.heldOf(dc) {
			hungry = true
		}
		if l.full || l.wanted[service] != want {
			out = append(out, Want{Service: service, Slots: want})
		}
	}
	return out, hungry
}

// want returns the slots of one data centre that the entry could use, after those of nearer ones.
func (o *Holder) want(dc types.DataCentre, p *pool) int {
	if o.closing {
		return 0
	}
	need := p.busy + p.queued
	if dc == o.config.Self.Site.DataCentre {
		return need + max(FloorSlots, need/headroomPart)
	}
	if p.queued == 0 {
		return min(need, p.heldOf(dc))
	}
	region := o.regionOf(dc)
	within := Local
	if region != o.config.Self.Site.Region {
		within = Regional
	}
	return max(0, need-p.held(within)+p.heldWithin(dc, within))
}

func (o *Holder) regionOf(dc types.DataCentre) types.Region {
	lead, ok := o.config.Leads()[dc]
	if !ok {
		return ""
	}
	return lead.Target.Site.Region
}

func (p *pool) heldOf(dc types.DataCentre) int {
	return p.heldWithin(dc, Far)
}

func (p *pool) heldWithin(dc types.DataCentre, within Distance) int {
	sum := 0
	for d := Local; d <= within; d++ {
		for _, r := range p.runners[d] {
			if r.lender == dc {
				sum += r.slots
			}
		}
	}
	return sum
}
