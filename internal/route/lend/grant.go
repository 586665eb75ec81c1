package lend

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// levels is the most slots that an entry of each distance may hold.
	levels struct {
		most [distances]int
		// scarce tells that entries get only what they need now, without headroom.
		scarce bool
	}

	// lot is a runner with slots to lend to one entry.
	lot struct {
		id   types.RunnerID
		free int
		held int
	}
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
	for _, service := range h.services() {
		l.balance(h, service, out, now)
	}
	return out
}

// services returns the services that the entry wants or holds slots of, in order of name.
func (h *holding) services() []types.ServiceName {
	var out []types.ServiceName
	for s := range h.wants {
		out = append(out, s)
	}
	for s := range h.held {
		out = append(out, s)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// balance brings the entry's slots of one service towards its fair part of all of them.
func (l *Lender) balance(h *holding, service types.ServiceName, out *TradeReply, now time.Time) {
	levels := l.levels(service, now)
	target := h.fairPart(service, levels)
	held := h.held[service]
	switch {
	case held < target:
		out.Grants = append(out.Grants, l.grant(h, service, target-held, now)...)
		if h.held[service] < target {
			l.wakePoke()
		}
	case held > target && l.hungry(service, levels):
		out.Recall = append(out.Recall, Want{Service: service, Slots: held - target})
	}
}

// fairPart returns how many slots of a service the entry may hold.
func (h *holding) fairPart(service types.ServiceName, levels levels) int {
	return min(h.need(service, levels.scarce), levels.most[h.distance])
}

// levels returns the most slots that each entry of a distance may hold so that all smaller wants are met. Entries
// that are further away share what the nearer ones leave.
func (l *Lender) levels(service types.ServiceName, now time.Time) levels {
	left := 0
	for _, r := range l.runners {
		if r.up.Service == service && r.lendable(now) {
			left += r.up.Slots
		}
	}
	out := levels{scarce: true}
	for d := Local; d < distances; d++ {
		out.most[d], left = fill(left, l.sortedWants(service, d))
	}
	out.scarce = left == 0
	return out
}

// need returns how many slots the entry could use, with headroom when there are enough.
func (h *holding) need(service types.ServiceName, scarce bool) int {
	want := h.wants[service]
	if scarce {
		return want - want/(headroomPart+1)
	}
	return want
}

func (l *Lender) sortedWants(service types.ServiceName, d Distance) []int {
	var wants []int
	for _, h := range l.holders {
		if want := h.need(service, true); want > 0 && h.distance == d {
			wants = append(wants, want)
		}
	}
	slices.Sort(wants)
	return wants
}

// fill shares an amount so that the smallest wants are met first, and returns the level that no share exceeds and
// what is left.
func fill(amount int, wants []int) (level, left int) {
	for i, want := range wants {
		sharers := len(wants) - i
		if want*sharers > amount {
			return (amount + sharers - 1) / sharers, 0
		}
		amount -= want
	}
	return maxShares, amount
}

// hungry tells whether an entry holds less than its fair part.
func (l *Lender) hungry(service types.ServiceName, levels levels) bool {
	for _, h := range l.holders {
		if h.held[service] < h.fairPart(service, levels) {
			return true
		}
	}
	return false
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
		free := l.free(r)
		if h.distance == Far {
			free = min(free, r.farLimit()-r.far)
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
	l.setShare(h, Share{Runner: r.up.ID, Slots: share.Slots + slots, Connections: share.Connections + connections})
	r.unheld = max(0, r.unheld-slots)
	return Grant{Upstream: r.up, Slots: slots, Connections: connections}
}

// free returns how many slots of a runner are surely held by nobody. As long as an entry near to this data centre
// has not stated what it holds, these are only slots that were free before or were given back under this epoch.
func (l *Lender) free(r *lent) int {
	near, far := l.unknown()
	switch {
	case near:
		return min(r.unheld, r.up.Slots-r.near-r.far)
	case far:
		r.unheld = r.up.Slots - r.near - max(r.farLimit(), r.far)
	default:
		r.unheld = r.up.Slots - r.near - r.far
	}
	return r.unheld
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
		if h.distance == Far {
			far = true
		} else {
			near = true
		}
	}
	return near, far
}

// farLimit returns how many slots the entries of other regions may hold in sum.
func (r *lent) farLimit() int {
	return r.up.Slots / farFraction
}

func (r *lent) lendable(now time.Time) bool {
	return r.listed && !r.up.Leaving && !now.Before(r.refusedUntil)
}
