package member

import (
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// Entries returns the live entries of all data centres, this one included, in order of id.
func (m *Member) Entries() []peer.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []peer.Target
	for _, e := range m.entries {
		if e.State == Live {
			out = append(out, e.Target)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// Known returns every entry that is not gone for good, live or not, in order of id.
func (m *Member) Known() []peer.Target {
	var out []peer.Target
	for _, e := range m.All() {
		if e.State != Gone {
			out = append(out, e.Target)
		}
	}
	return out
}

// Site returns the live entries of the own data centre but this one.
func (m *Member) Site() []peer.Target {
	var out []peer.Target
	for _, target := range m.Entries() {
		if target.Site.DataCentre == m.config.Self.Site.DataCentre && target.VM != m.config.Self.VM {
			out = append(out, target)
		}
	}
	return out
}

// All returns every known entry in order of id.
func (m *Member) All() []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Entry, 0, len(m.entries))
	for _, e := range m.entries {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target.VM < out[j].Target.VM })
	return out
}

// GoneForGood tells whether a VM was silent, and off the list by readings of it, for so long that it holds nothing.
func (m *Member) GoneForGood(vm types.VMID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[vm]
	if ok {
		return e.State == Gone
	}
	return m.listReadAt.Sub(m.startedAt) > m.config.GoneTimeout
}

// Leader returns the lead of a data centre with the highest epoch heard of.
func (m *Member) Leader(site types.DataCentre) (peer.Target, types.Epoch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leaders[site]
	return l.Target, l.Epoch, ok
}

// Leaders returns the lead of each data centre.
func (m *Member) Leaders() map[types.DataCentre]Leader {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[types.DataCentre]Leader, len(m.leaders))
	for site, l := range m.leaders {
		out[site] = l
	}
	return out
}

// updateStates moves silent entries to Suspect and, once later readings of the list lack them too, to Gone. A list that
// cannot be read judges nobody.
func (m *Member) updateStates() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	for _, e := range m.entries {
		if e.Target.VM == m.config.Self.VM {
			continue
		}
		sinceHeartbeat := now.Sub(e.Heard)
		unlistedFor := m.listReadAt.Sub(e.Listed)
		suspectTimeout := m.config.SuspectTimeout
		if e.Target.Site.DataCentre != m.config.Self.Site.DataCentre {
			suspectTimeout = m.farSuspectTimeout()
		}
		if e.State != Gone && sinceHeartbeat > m.config.GoneTimeout && unlistedFor > m.config.GoneTimeout {
			m.setState(e, Gone, "silent and off the platform's list")
			continue
		}
		if e.State == Live && sinceHeartbeat > suspectTimeout {
			m.setState(e, Suspect, "no heartbeat")
		}
	}
}

// farSuspectTimeout allows for entries of other data centres that are not greeted in each round.
func (m *Member) farSuspectTimeout() time.Duration {
	return m.config.GoneTimeout
}
