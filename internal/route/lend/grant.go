package lend

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// shareLimits is the maximum number of slots that an entry of each distance may hold.
	shareLimits struct {
		maxSlots [distanceCount]int
		// isScarce means that entries get only what they need now, without headroom.
		isScarce bool
	}

	// candidate is a runner with slots that can be lent to one entry, and how many of its slots the entry holds.
	candidate struct {
		id   types.RunnerID
		free int
		held int
	}
)

// buildReply lends an entry what it may have and returns that with what it must return. The caller must hold l.mu.
func (l *Lender) buildReply(h *holderState) *TradeReply {
	out := &TradeReply{Epoch: l.epoch}
	now := l.config.Clock.Now()
	for id := range h.shares {
		if r, ok := l.runners[id]; !ok || !r.isLendable(now) {
			out.Barred = append(out.Barred, id)
		}
	}
	for _, service := range h.services() {
		l.balanceService(h, service, out, now)
	}
	return out
}

// services returns the services that the entry wants or holds slots of, in order of name.
func (h *holderState) services() []types.ServiceName {
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

// balanceService moves the entry's slots of one service towards its fair share: it lends the missing ones, or recalls
// the excess while another entry holds less than its fair share. The caller must hold l.mu.
func (l *Lender) balanceService(h *holderState, service types.ServiceName, out *TradeReply, now time.Time) {
	limits := l.shareLimits(service, now)
	target := h.fairShare(service, limits)
	held := h.held[service]
	switch {
	case held < target:
		out.Grants = append(out.Grants, l.grantSlots(h, service, target-held, now)...)
		if h.held[service] < target {
			l.requestNotify()
		}
	case held > target && l.belowFairShare(service, limits):
		out.Recall = append(out.Recall, Want{Service: service, Slots: held - target})
	}
}

// fairShare returns how many slots of a service the entry should hold.
func (h *holderState) fairShare(service types.ServiceName, limits shareLimits) int {
	return min(h.need(service, limits.isScarce), limits.maxSlots[h.distance])
}

// shareLimits returns the maximum number of slots that each entry of a distance may hold so that all smaller wants are
// met. Entries that are further away share what the nearer ones leave. The caller must hold l.mu.
func (l *Lender) shareLimits(service types.ServiceName, now time.Time) shareLimits {
	left := 0
	for _, r := range l.runners {
		if r.upstream.Service == service && r.isLendable(now) {
			left += r.upstream.Slots
		}
	}
	out := shareLimits{isScarce: true}
	for d := Local; d < distanceCount; d++ {
		out.maxSlots[d], left = maxMinFair(left, l.sortedWants(service, d))
	}
	out.isScarce = left == 0
	return out
}

// need returns how many slots the entry could use, without the headroom that its want includes when slots are scarce.
func (h *holderState) need(service types.ServiceName, isScarce bool) int {
	want := h.wants[service]
	if isScarce {
		return want - want/(headroomDivisor+1)
	}
	return want
}

// sortedWants returns, in ascending order, how many slots of the service each entry of the distance could use, without
// headroom. The caller must hold l.mu.
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

// maxMinFair shares an amount by max-min fairness, so that the smallest wants, which must be in ascending order, are
// met first. It returns the level that no share exceeds, rounded up, and what is left.
func maxMinFair(amount int, wants []int) (level, left int) {
	for i, want := range wants {
		sharers := len(wants) - i
		if want*sharers > amount {
			return (amount + sharers - 1) / sharers, 0
		}
		amount -= want
	}
	return maxShares, amount
}

// belowFairShare reports whether any entry holds less than its fair share. The caller must hold l.mu.
func (l *Lender) belowFairShare(service types.ServiceName, limits shareLimits) bool {
	for _, h := range l.holders {
		if h.held[service] < h.fairShare(service, limits) {
			return true
		}
	}
	return false
}

// grantSlots lends up to count slots, one of each runner in turn: first of the runners of which the entry holds the
// fewest, then of those with the most free slots. The caller must hold l.mu.
func (l *Lender) grantSlots(h *holderState, service types.ServiceName, count int, now time.Time) []Grant {
	candidates := l.candidates(h, service, now)
	assigned := make(map[types.RunnerID]int)
	for count > 0 && len(candidates) > 0 {
		count -= assignRound(candidates, assigned, count)
		candidates = slices.DeleteFunc(candidates, func(x candidate) bool { return assigned[x.id] >= x.free })
	}
	out := make([]Grant, 0, len(assigned))
	for id, slots := range assigned {
		out = append(out, l.lendSlots(h, l.runners[id], slots))
	}
	slices.SortFunc(out, func(a, b Grant) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return out
}

// assignRound assigns one slot of each candidate until count is reached, and returns how many it assigned.
func assignRound(candidates []candidate, assigned map[types.RunnerID]int, count int) int {
	n := 0
	for _, x := range candidates {
		if n == count {
			break
		}
		assigned[x.id]++
		n++
	}
	return n
}

// candidates returns the runners of the service that have slots to lend to the entry, in the order in which grantSlots
// uses them. The caller must hold l.mu.
func (l *Lender) candidates(h *holderState, service types.ServiceName, now time.Time) []candidate {
	var out []candidate
	for id, r := range l.runners {
		if r.upstream.Service != service || !r.isLendable(now) {
			continue
		}
		free := l.freeSlots(r)
		if h.distance == Far {
			free = min(free, r.farLimit()-r.heldFar)
		}
		if free > 0 {
			out = append(out, candidate{id: id, free: free, held: h.shares[id].Slots})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.held, b.held), cmp.Compare(b.free, a.free), cmp.Compare(a.id, b.id))
	})
	return out
}

// lendSlots records the slots as held by the entry, with their proportion of the runner's connections, and returns the
// grant. The caller must hold l.mu.
func (l *Lender) lendSlots(h *holderState, r *lentRunner, slots int) Grant {
	connections := slots * (r.upstream.Connections / max(1, r.upstream.Slots))
	share := h.shares[r.upstream.ID]
	l.setShare(h, Share{Runner: r.upstream.ID, Slots: share.Slots + slots, Connections: share.Connections + connections})
	r.knownFree = max(0, r.knownFree-slots)
	return Grant{Upstream: r.upstream, Slots: slots, Connections: connections}
}

// freeSlots returns how many slots of a runner are certainly held by nobody. As long as an entry of this region may
// hold slots that it has not stated, these are only the slots that were known to be free before or were returned under
// this epoch. While that is so only of entries of other regions, the slots that they may hold in sum are set aside. The
// caller must hold l.mu.
func (l *Lender) freeSlots(r *lentRunner) int {
	near, far := l.unknownHoldings()
	switch {
	case near:
		return min(r.knownFree, r.upstream.Slots-r.heldNear-r.heldFar)
	case far:
		r.knownFree = r.upstream.Slots - r.heldNear - max(r.farLimit(), r.heldFar)
	default:
		r.knownFree = r.upstream.Slots - r.heldNear - r.heldFar
	}
	return r.knownFree
}

// unknownHoldings reports whether an entry within the region, or one outside of it, may hold slots that it has not
// stated. Under the first epoch nothing was lent before; under a later one, the list of entries may lack some for
// ListLag after the start. The caller must hold l.mu.
func (l *Lender) unknownHoldings() (near, far bool) {
	if l.epoch != firstEpoch && l.config.Clock.Since(l.beganAt) < l.config.ListLag {
		return true, true
	}
	for _, h := range l.holders {
		if h.synced {
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

// farLimit returns how many slots of the runner the entries of other regions may hold in sum.
func (r *lentRunner) farLimit() int {
	return r.upstream.Slots / farDivisor
}

func (r *lentRunner) isLendable(now time.Time) bool {
	return r.listed && !r.upstream.Leaving && !now.Before(r.refusedUntil)
}
