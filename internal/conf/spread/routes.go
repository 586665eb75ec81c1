package spread

import (
	"sort"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

type (
	// routes tells who pushes to whom and who asks whom. It reads the present members at each call.
	routes struct {
		config Config
	}

	// group is the daemons of one data centre; the first one acts for it: its lead, or the first daemon by id
	// while there is none.
	group struct {
		site    types.Site
		targets []peer.Target
	}
)

// all returns every known daemon, this one included, in order of data centre and id.
func (r routes) all() []peer.Target {
	out := []peer.Target{r.config.Self}
	for _, t := range r.config.Entries() {
		if t.VM != r.config.Self.VM {
			out = append(out, t)
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

// groups returns the data centres in order of name.
func (r routes) groups() []group {
	var out []group
	for _, t := range r.all() {
		if len(out) == 0 || out[len(out)-1].site.DataCentre != t.Site.DataCentre {
			out = append(out, group{site: t.Site})
		}
		last := &out[len(out)-1]
		last.targets = append(last.targets, t)
	}
	for i := range out {
		r.actorFirst(&out[i])
	}
	return out
}

func (r routes) actorFirst(g *group) {
	actor := r.lead(g.site.DataCentre)
	if actor == "" {
		return
	}
	sort.SliceStable(g.targets, func(i, j int) bool {
		return g.targets[i].VM == actor && g.targets[j].VM != actor
	})
}

func (r routes) lead(dc types.DataCentre) types.VMID {
	if dc == r.config.Self.Site.DataCentre {
		if _, leading := r.config.Leading(); leading {
			return r.config.Self.VM
		}
	}
	lead, _, known := r.config.Leads(dc)
	if !known {
		return ""
	}
	return lead.VM
}

// acts tells whether this daemon acts for its data centre.
func (r routes) acts() bool {
	for _, g := range r.groups() {
		if g.site.DataCentre == r.config.Self.Site.DataCentre {
			return g.targets[0].VM == r.config.Self.VM
		}
	}
	return false
}

// watches tells whether data centres of the region watch the store.
func (r routes) watches(region types.Region) bool {
	return r.config.StoreRegion == "" || region == r.config.StoreRegion
}

// gateway tells whether this daemon's data centre is the first of its region.
func (r routes) gateway() bool {
	for _, g := range r.groups() {
		if g.site.Region == r.config.Self.Site.Region {
			return g.site.DataCentre == r.config.Self.Site.DataCentre
		}
	}
	return false
}

// plan sorts the daemons by distance.
func (r routes) plan() (own []peer.Target, region, far [][]peer.Target) {
	for _, g := range r.groups() {
		switch {
		case g.site.DataCentre == r.config.Self.Site.DataCentre:
			own = r.others(g.targets)
		case g.site.Region == r.config.Self.Site.Region:
			region = append(region, g.targets)
		default:
			far = append(far, g.targets)
		}
	}
	return own, region, far
}

func (r routes) others(targets []peer.Target) []peer.Target {
	var out []peer.Target
	for _, t := range targets {
		if t.VM != r.config.Self.VM {
			out = append(out, t)
		}
	}
	return out
}

// feeds returns the lists of daemons to push a change to, apart from those of the own data centre. One daemon
// of each list has to take the change; it passes it on.
func (r routes) feeds() [][]peer.Target {
	_, region, far := r.plan()
	self := r.config.Self.Site.Region
	if !r.gateway() || r.config.StoreRegion == "" {
		return nil
	}
	if !r.watches(self) {
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
