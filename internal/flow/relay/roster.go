package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	// runnersPerRelay is how many runners of a data centre one relay serves, and minRelays the number of relays that a
	// data centre has at least. More relays than needed cost bytes, since each gets the payloads of its tasks.
	runnersPerRelay = 100
	minRelays       = 2
)

type (
	// Member is a daemon that may be a relay, with its capacity, which has no unit.
	Member struct {
		Target   peer.Target
		Capacity float64
	}

	// roster holds the daemons that may be relays, the strongest first, and how many of each data centre are used.
	roster struct {
		byDataCentre map[types.DataCentre][]peer.Target
		all          []peer.Target
		count        map[types.DataCentre]int
	}
)

// newRoster returns the roster of the members without the leader itself, for the given number of runners in each data
// centre.
func newRoster(self peer.Target, members []Member, runners map[types.DataCentre]int) roster {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Target.VM, b.Target.VM))
	})
	out := roster{byDataCentre: make(map[types.DataCentre][]peer.Target), count: make(map[types.DataCentre]int)}
	for _, m := range sorted {
		if m.Target.VM == self.VM {
			continue
		}
		dc := m.Target.Site.DataCentre
		out.byDataCentre[dc] = append(out.byDataCentre[dc], m.Target)
		out.all = append(out.all, m.Target)
	}
	for dc, n := range runners {
		out.count[dc] = max(minRelays, (n+runnersPerRelay-1)/runnersPerRelay)
	}
	return out
}

// choose returns the relay of a runner: one of the strongest daemons of the runner's data centre that have not failed, or
// of all daemons when the data centre has none. Each runner keeps its relay while that one is usable, and the runners of
// one that is not spread over the others. When all daemons have failed, it returns the one that failed first. It returns
// false when there is no daemon at all.
func (r *roster) choose(runner specs.RunnerID, dc types.DataCentre, failedAt func(types.VMID) time.Time) (peer.Target, bool) {
	count := max(r.count[dc], minRelays)
	for _, group := range [][]peer.Target{r.byDataCentre[dc], r.all} {
		if usable := firstUsable(group, count, failedAt); len(usable) > 0 {
			return highestHash(runner, usable), true
		}
	}
	return chooseFirstFailed(r.all, failedAt)
}

// firstUsable returns the first daemons of the group that have not failed, at most count of them.
func firstUsable(group []peer.Target, count int, failedAt func(types.VMID) time.Time) []peer.Target {
	out := make([]peer.Target, 0, count)
	for _, t := range group {
		if len(out) == count {
			break
		}
		if failedAt(t.VM).IsZero() {
			out = append(out, t)
		}
	}
	return out
}

// highestHash returns the daemon that has the highest hash together with the runner.
func highestHash(runner specs.RunnerID, group []peer.Target) peer.Target {
	best, highest := group[0], uint64(0)
	for _, t := range group {
		if score := xxhash.Sum64String(string(runner) + "/" + string(t.VM)); score >= highest {
			best, highest = t, score
		}
	}
	return best
}

func chooseFirstFailed(group []peer.Target, failedAt func(types.VMID) time.Time) (peer.Target, bool) {
	var best peer.Target
	found := false
	for _, t := range group {
		if !found || failedAt(t.VM).Before(failedAt(best.VM)) {
			best, found = t, true
		}
	}
	return best, found
}
