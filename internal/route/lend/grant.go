package lend

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// reply lends an entry what it may have and tells what it shall give back.
func (l *Lender) reply(h *holding) *TradeReply {
	out := &TradeReply{Epoch: l.epoch}
	now := l.config.Clock.Now()
	for id := range h.shares {
		if r, ok := l.runners[id]; !ok || !r.lendable(now) {
			out.Barred = append(out.Barred, id)
		}
	}
	for _, service := range h.services(l) {
		l.balance(h, service, out, now)
	}
	return out
}

// services returns the services that the entry wants or holds slots of, in order of name.
func (h *holding) services(l *Lender) []types.ServiceName {
	var out []types.ServiceName
	for s := range h.wants {
		out = append(out, s)
	}
	for id := range h.shares {
		if r, ok := l.runners[id]; ok {
			out = append(out, r.up.Service)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// balance brings the entry's slots of one service towards its fair part of all of them.
func (l *Lender) balance(h *holding, service types.ServiceName, out *TradeReply, now time.Time) {
	level := l.fairLevel(service, now)
	held := l.heldBy(h, service)
	target := min(h.wants[service], level)
	switch {
	case held < target:
		out.Grants = append(out.Grants, l.grant(h, service, target-held, now)...)
	case held > max(target, FloorSlots) && l.hungry(service, level, now):
		out.Recall = append(out.Recall, Want{Service: service, Slots: held - max(target, FloorSlots)})
	}
}

// fairLevel returns the most slots that each entry may hold so that all wants below it are met.
func (l *Lender) fairLevel(service types.ServiceName, now time.Time) int {
	left := 0
	for _, r := range l.runners {
		if r.up.Service == service && r.lendable(now) {
			left += r.up.Slots
		}
	}
	var wants []int
	for _, h := range l.holders {
		if want := h.wants[service]; want > 0 {
			wants = append(wants, want)
		}
	}
	slices.Sort(wants)
	for i, want := range wants {
		part := left / (len(wants) - i)
		if want > part {
			return part + min(1, left%(len(wants)-i))
		}
		left -= want
	}
	return maxShares
}

// hungry tells whether an entry holds less than its fair part.
func (l *Lender) hungry(service types.ServiceName, level int, now time.Time) bool {
	for _, h := range l.holders {
		if l.heldBy(h, service) < min(h.wants[service], level) {
			return l.pooled(service, now) == 0
		}
	}
	return false
}

func (l *Lender) pooled(service types.ServiceName, now time.Time) int {
	sum := 0
	for id, r := range l.runners {
		if r.up.Service == service && r.lendable(now) {
			sum += l.free(id, r)
		}
	}
	return sum
}

func (l *Lender) heldBy(h *holding, service types.ServiceName) int {
	sum := 0
	for id, s := range h.shares {
		if r, ok := l.runners[id]; ok && r.up.Service == service {
			sum += s.Slots
		}
	}
	return sum
}

// grant lends up to count slots, first of the runners that have the most left.
func (l *Lender) grant(h *holding, service types.ServiceName, count int, now time.Time) []Grant {
	lots := l.lots(h, service, now)
	given := make(map[types.RunnerID]int)
	for count > 0 && len(lots) > 0 {
		count -= round(lots, given, count)
		lots = slices.DeleteFunc(lots, func(x lot) bool { return given[x.id] >= x.free })
	}
	out := make([]Grant, 0, len(given))
	for id, slots := range given {
		out = append(out, l.lend(h, l.runners[id], slots))
	}
	slices.SortFunc(out, func(a, b Grant) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return out
}

// lot is a runner with slots to lend to one entry.
type lot struct {
	id   types.RunnerID
	free int
	held int
}

// round gives one slot of each lot until count is reached, and returns how many it gave.
func round(lots []lot, given map[types.RunnerID]int, count int) int {
	n := 0
	for _, x := range lots {
		if n == count {
			break
		}
		given[x.id]++
		n++
	}
	return n
}

// lots returns the runners of the service that have slots to lend to the entry.
func (l *Lender) lots(h *holding, service types.ServiceName, now time.Time) []lot {
	var out []lot
	for id, r := range l.runners {
		if r.up.Service != service || !r.lendable(now) {
			continue
		}
		free := l.free(id, r)
		if l.isFar(h) {
			free = min(free, r.farLimit()-l.takenFar(id))
		}
		if free > 0 {
			out = append(out, lot{id: id, free: free, held: h.shares[id].Slots})
		}
	}
	slices.SortFunc(out, func(a, b lot) int {
		return cmp.Or(cmp.Compare(a.held, b.held), cmp.Compare(b.free, a.free), cmp.Compare(a.id, b.id))
	})
	return out
}

func (l *Lender) lend(h *holding, r *lent, slots int) Grant {
	connections := slots * (r.up.Connections / max(1, r.up.Slots))
	share := h.shares[r.up.ID]
	share.Runner = r.up.ID
	share.Slots += slots
	share.Connections += connections
	h.shares[r.up.ID] = share
	r.returned = max(0, r.returned-slots)
	return Grant{Upstream: r.up, Slots: slots, Connections: connections}
}

// free returns how many slots of a runner are surely held by nobody. As long as an entry near to this data centre
// has not stated what it holds, these are only the slots that were given back under this epoch.
func (l *Lender) free(id types.RunnerID, r *lent) int {
	near, far := l.unknown()
	if near {
		return min(r.returned, r.up.Slots-l.taken(id))
	}
	if far {
		return r.up.Slots - l.takenNear(id) - max(r.farLimit(), l.takenFar(id))
	}
	return r.up.Slots - l.taken(id)
}

// unknown tells whether an entry within the region, or one outside of it, may hold slots that it has not stated.
func (l *Lender) unknown() (near, far bool) {
	if l.epoch != firstEpoch && l.config.Clock.Since(l.began) < l.config.ListLag {
		return true, true
	}
	for _, h := range l.holders {
		if h.settled {
			continue
		}
		if l.isFar(h) {
			far = true
		} else {
			near = true
		}
	}
	return near, far
}

func (l *Lender) isFar(h *holding) bool {
	return h.target.Site.Region != l.config.Self.Site.Region
}

func (l *Lender) taken(id types.RunnerID) int {
	return l.takenNear(id) + l.takenFar(id)
}

func (l *Lender) takenNear(id types.RunnerID) int {
	sum := 0
	for _, h := range l.holders {
		if !l.isFar(h) {
			sum += h.shares[id].Slots
		}
	}
	return sum
}

func (l *Lender) takenFar(id types.RunnerID) int {
	sum := 0
	for _, h := range l.holders {
		if l.isFar(h) {
			sum += h.shares[id].Slots
		}
	}
	return sum
}

// farLimit returns how many slots the entries of other regions may hold in sum.
func (r *lent) farLimit() int {
	return r.up.Slots / farFraction
}

func (r *lent) lendable(now time.Time) bool {
	return r.listed && !r.up.Leaving && !now.Before(r.refusedUntil)
}
