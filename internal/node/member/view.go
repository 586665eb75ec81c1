package member

import (
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// Entries returns the live entries of all data centres, in order of VM id. It includes this VM unless it is draining.
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

// Known returns every entry that is not Gone, live or not, in order of VM id.
func (m *Member) Known() []peer.Target {
	var out []peer.Target
	for _, e := range m.All() {
		if e.State != Gone {
			out = append(out, e.Target)
		}
	}
	return out
}

// LocalPeers returns the other live entries of the own data centre, without this VM.
func (m *Member) LocalPeers() []peer.Target {
	var out []peer.Target
	for _, target := range m.Entries() {
		if target.Site.DataCentre == m.config.Self.Site.DataCentre && target.VM != m.config.Self.VM {
			out = append(out, target)
		}
	}
	return out
}

// All returns a copy of every entry in any state, in order of VM id.
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

// GoneForGood reports whether a VM has sent no heartbeat, and has been missing from the VM list in successful reads of
// it, for so long that it cannot hold anything any more. A VM without an entry counts as gone once the list has been
// read for longer than the gone timeout since the start of this daemon.
func (m *Member) GoneForGood(vm types.VMID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[vm]
	if ok {
		return e.State == Gone
	}
	return m.listReadAt.Sub(m.startedAt) > m.config.GoneTimeout
}

// Leader returns the leader of a data centre with the highest epoch known here, and whether one is known.
func (m *Member) Leader(site types.DataCentre) (peer.Target, types.Epoch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leaders[site]
	return l.Target, l.Epoch, ok
}

// Leaders returns the known leader of each data centre.
func (m *Member) Leaders() map[types.DataCentre]Leader {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[types.DataCentre]Leader, len(m.leaders))
	for site, l := range m.leaders {
		out[site] = l
	}
	return out
}

// updateStates sets Live entries without recent heartbeats to Suspect, and entries that later reads of the VM list do
// not contain either to Gone. While the list cannot be read no entry becomes Gone.
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
			m.setState(e, Gone, "no heartbeat, and missing from the platform's VM list")
			continue
		}
		if e.State == Live && sinceHeartbeat > suspectTimeout {
			m.setState(e, Suspect, "no heartbeat within the suspect timeout")
		}
	}
}

// farSuspectTimeout is the suspect timeout of entries of other data centres. It is longer, since a round of heartbeats
// reaches only one entry of each other data centre.
func (m *Member) farSuspectTimeout() time.Duration {
	return m.config.GoneTimeout
}
