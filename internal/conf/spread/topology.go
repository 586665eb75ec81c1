package spread

import (
	"sort"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

type (
	// topology determines which daemons push to and pull from which others. It reads the present members at each call.
	topology struct {
		config Config
	}

	// group holds the daemons of one data centre. The first one represents it: its leader, or the daemon with the
	// lowest ID while there is no leader.
	group struct {
		site    types.Site
		targets []peer.Target
	}
)

// allDaemons returns every known daemon, including this one, in order of data centre and ID.
func (t topology) allDaemons() []peer.Target {
	out := []peer.Target{t.config.Self}
	for _, d := range t.config.Entries() {
		if d.VM != t.config.Self.VM {
			out = append(out, d)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Site.DataCentre != out[j].Site.DataCentre {
			return out[i].Site.DataCentre < out[j].Site.DataCentre
		}
		return out[i].VM < out[j].VM
	})
	return out
}

// groups returns the daemons grouped by data centre, in order of the data centres' names.
func (t topology) groups() []group {
	var out []group
	for _, d := range t.allDaemons() {
		if len(out) == 0 || out[len(out)-1].site.DataCentre != d.Site.DataCentre {
			out = append(out, group{site: d.Site})
		}
		last := &out[len(out)-1]
		last.targets = append(last.targets, d)
	}
	for i := range out {
		t.putRepresentativeFirst(&out[i])
	}
	return out
}

// putRepresentativeFirst moves the leader, if there is one, to the front of its data centre's daemons.
func (t topology) putRepresentativeFirst(g *group) {
	representative := t.leaderOf(g.site.DataCentre)
	if representative == "" {
		return
	}
	sort.SliceStable(g.targets, func(i, j int) bool {
		return g.targets[i].VM == representative && g.targets[j].VM != representative
	})
}

// leaderOf returns the leader of a data centre, or an empty ID when none is known.
func (t topology) leaderOf(dc types.DataCentre) types.VMID {
	if dc == t.config.Self.Site.DataCentre {
		if _, leading := t.config.Leading(); leading {
			return t.config.Self.VM
		}
	}
	leader, _, known := t.config.LeaderOf(dc)
	if !known {
		return ""
	}
	return leader.VM
}

// isRepresentative reports whether this daemon represents its data centre.
func (t topology) isRepresentative() bool {
	for _, g := range t.groups() {
		if g.site.DataCentre == t.config.Self.Site.DataCentre {
			return g.targets[0].VM == t.config.Self.VM
		}
	}
	return false
}

// watchesStore reports whether the data centres of the region watch the store. All regions do when StoreRegion is empty.
func (t topology) watchesStore(region types.Region) bool {
	return t.config.StoreRegion == "" || region == t.config.StoreRegion
}

// isInGateway reports whether this daemon's data centre is the gateway of its region, which exchanges records with other
// regions for the whole region: the first data centre by name of those with a known daemon.
func (t topology) isInGateway() bool {
	for _, g := range t.groups() {
		if g.site.Region == t.config.Self.Site.Region {
			return g.site.DataCentre == t.config.Self.Site.DataCentre
		}
	}
	return false
}

// byDistance returns the other daemons of this data centre, and the daemons of the region's other data centres and of
// other regions, grouped by data centre.
func (t topology) byDistance() (own []peer.Target, region, far [][]peer.Target) {
	for _, g := range t.groups() {
		switch {
		case g.site.DataCentre == t.config.Self.Site.DataCentre:
			own = t.withoutSelf(g.targets)
		case g.site.Region == t.config.Self.Site.Region:
			region = append(region, g.targets)
		default:
			far = append(far, g.targets)
		}
	}
	return own, region, far
}

func (t topology) withoutSelf(targets []peer.Target) []peer.Target {
	var out []peer.Target
	for _, d := range targets {
		if d.VM != t.config.Self.VM {
			out = append(out, d)
		}
	}
	return out
}

// pushTargets returns the lists of daemons to push a change to outside this daemon's data centre. It is enough that one
// daemon of each list receives the change. Only gateways have such lists: that of the store's region one list for each
// other region, that of another region one list for each other data centre of its region. A list of a region starts with
// the daemons of its gateway, as only these pass the change on to the region's other data centres; without them, those
// get it by their pulls. There are no lists when every data centre watches the store.
func (t topology) pushTargets() [][]peer.Target {
	_, region, far := t.byDistance()
	ownRegion := t.config.Self.Site.Region
	if !t.isInGateway() || t.config.StoreRegion == "" {
		return nil
	}
	if !t.watchesStore(ownRegion) {
		return region
	}
	byRegion := make(map[types.Region]int)
	var out [][]peer.Target
	for _, targets := range far {
		i, known := byRegion[targets[0].Site.Region]
		if !known {
			i = len(out)
			byRegion[targets[0].Site.Region] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], targets...)
	}
	return out
}
