package lend

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// removeUnused removes the slots to be returned to the leader of a data centre and returns them: those that it
// recalled, those of runners that are barred or refused a call, and those that stayed idle. The caller must hold o.mu.
func (o *Holder) removeUnused(dc types.DataCentre, l *leaderState, now time.Time) []Share {
	var out []Share
	for _, r := range o.runners {
		if r.dataCentre != dc {
			continue
		}
		if share, ok := r.removeSlots(o.returnableSlots(r, l, now)); ok {
			out = append(out, share)
		}
		if r.slots == 0 && r.busy == 0 {
			o.removeRunner(r)
		}
	}
	return out
}

// returnableSlots returns how many idle slots of a runner are to be returned, recalled ones included. The caller must
// hold o.mu.
func (o *Holder) returnableSlots(r *heldRunner, l *leaderState, now time.Time) int {
	o.reserveForReturn(r, r.idleSlots())
	idle := r.idleSlots()
	if o.closing || r.barred || l.refusing[r.upstream.ID] {
		return r.returning + idle
	}
	p := o.pool(r.upstream.Service)
	if idle == 0 || now.Sub(r.fullyUsedAt) < IdleTimeout || p.queued > 0 {
		return r.returning
	}
	over := p.totalSlots() - p.busy - o.floorSlots(r)
	return r.returning + max(0, min(idle, over))
}

func (p *pool) totalSlots() int {
	sum := 0
	for d := range p.runners {
		for _, r := range p.runners[d] {
			sum += r.slots
		}
	}
	return sum
}

func (o *Holder) floorSlots(r *heldRunner) int {
	if r.distance == Local {
		return FloorSlots
	}
	return 0
}

// removeSlots removes idle slots from the runner and returns them with their proportion of its connections.
func (r *heldRunner) removeSlots(slots int) (Share, bool) {
	if slots <= 0 {
		return Share{}, false
	}
	connections := r.connections * slots / r.slots
	r.slots -= slots
	r.returning = 0
	r.connections -= connections
	return Share{Runner: r.upstream.ID, Slots: slots, Connections: connections}, true
}

// collectWants returns how many slots of each service the entry could use of a data centre: of the services for which
// that changed since the last call, or of all when the next call must state all. It also reports whether requests wait
// for slots that the data centre could lend. The caller must hold o.mu.
func (o *Holder) collectWants(dc types.DataCentre, l *leaderState) (out []Want, shortOfSlots bool) {
	for service, p := range o.services {
		want := o.wantedSlots(dc, p)
		if p.queued > 0 && want > p.slotsOf(dc) {
			shortOfSlots = true
		}
		if l.mustStateAll || l.sentWants[service] != want {
			out = append(out, Want{Service: service, Slots: want})
		}
	}
	return out, shortOfSlots
}

// wantedSlots returns how many slots of one data centre the entry could use in addition to those of nearer ones. Of
// another data centre it wants no more than it holds unless requests wait.
func (o *Holder) wantedSlots(dc types.DataCentre, p *pool) int {
	if o.closing {
		return 0
	}
	need := p.busy + p.queued
	if dc == o.config.Self.Site.DataCentre {
		return need + max(FloorSlots, need/headroomDivisor)
	}
	if p.queued == 0 {
		return min(need, p.slotsOf(dc))
	}
	region := o.regionOf(dc)
	within := Local
	if region != o.config.Self.Site.Region {
		within = Regional
	}
	return max(0, need-p.heldWithin(within)+p.slotsOfWithin(dc, within))
}

func (o *Holder) regionOf(dc types.DataCentre) types.Region {
	leader, ok := o.config.LeaderOf()[dc]
	if !ok {
		return ""
	}
	return leader.Target.Site.Region
}

func (p *pool) slotsOf(dc types.DataCentre) int {
	return p.slotsOfWithin(dc, Far)
}

func (p *pool) slotsOfWithin(dc types.DataCentre, within Distance) int {
	sum := 0
	for d := Local; d <= within; d++ {
		for _, r := range p.runners[d] {
			if r.dataCentre == dc {
				sum += r.slots
			}
		}
	}
	return sum
}
