package feed

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// headCount is how many heads a data centre has: the second one is used while the first one is not usable.
const headCount = 2

// sources returns the daemons that a daemon may fetch the catalog from, the preferred one first. None means that it reads
// the store. The members are ordered by strength.
//
// Daemons fetch from the heads of their data centre, and heads from those of the leader's data centre, which is usually the
// one nearest to the store. Each head follows the heads before it, so there is no circle.
func sources(self, leader peer.Target, members []elect.Member) []peer.Target {
	local := heads(self.Site.DataCentre, leader.VM, members)
	out := before(self.VM, local)
	isHead := len(out) < len(local)
	if isHead && self.Site.DataCentre != leader.Site.DataCentre {
		out = append(out, heads(leader.Site.DataCentre, leader.VM, members)...)
	}
	return out
}

// heads returns the heads of a data centre: the strongest daemons other than the leader, which has the most other work.
func heads(dc types.DataCentre, leader types.VMID, members []elect.Member) []peer.Target {
	var out []peer.Target
	for _, m := range members {
		if m.Target.Site.DataCentre == dc && m.Target.VM != leader && len(out) < headCount {
			out = append(out, m.Target)
		}
	}
	return out
}

// before returns the targets before the VM, or all when it is not among them.
func before(vm types.VMID, targets []peer.Target) []peer.Target {
	for i, t := range targets {
		if t.VM == vm {
			return targets[:i:i]
		}
	}
	return targets
}
