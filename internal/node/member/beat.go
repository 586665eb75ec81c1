package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// nearTargets returns the other entries of the own data centre that are not Gone, and the seeds while no other entry is
// known.
func (m *Member) nearTargets() []peer.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []peer.Target
	for _, e := range m.entries {
		same := e.Target.Site.DataCentre == m.config.Self.Site.DataCentre
		if same && e.Target.VM != m.config.Self.VM && e.State != Gone {
			out = append(out, e.Target)
		}
	}
	if len(m.entries) == 1 {
		for _, address := range m.config.Seeds {
			out = append(out, peer.Target{Address: address, Site: m.config.Self.Site})
		}
	}
	return out
}

// farTargets returns one entry of each other data centre: its leader if that is live, else a random one that is not
// Gone.
func (m *Member) farTargets() []peer.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := make(map[types.DataCentre][]peer.Target)
	for _, e := range m.entries {
		site := e.Target.Site.DataCentre
		if site != m.config.Self.Site.DataCentre && e.State != Gone {
			candidates[site] = append(candidates[site], e.Target)
		}
	}
	var out []peer.Target
	for site, targets := range candidates {
		l, known := m.leaders[site]
		e, listed := m.entries[l.Target.VM]
		if known && listed && e.State == Live {
			out = append(out, l.Target)
			continue
		}
		out = append(out, targets[rand.IntN(len(targets))])
	}
	return out
}

// sendHeartbeats sends a heartbeat to each target in a goroutine of its own that wg waits for.
func (m *Member) sendHeartbeats(ctx context.Context, wg *sync.WaitGroup, targets []peer.Target) {
	for _, to := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.sendHeartbeat(ctx, to)
		}()
	}
}

// sendHeartbeat sends one heartbeat and applies the heartbeat in the answer.
func (m *Member) sendHeartbeat(ctx context.Context, to peer.Target) {
	callCtx, cancel := clockwork.WithTimeout(ctx, m.config.Clock, m.config.HeartbeatInterval)
	defer cancel()
	args, reply := m.newHeartbeat(to.VM), Beat{}
	if err := m.config.Peers.Call(callCtx, to, methodBeat, &args, &reply); err != nil {
		m.count("BeatFailures")
		return
	}
	m.applyHeartbeat(reply)
}

// newHeartbeat returns the heartbeat for an entry. It lists the leaders unless the entry's last heartbeat had the same
// digest of leaders.
func (m *Member) newHeartbeat(to types.VMID) Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Beat{From: m.config.Self, Draining: m.draining, Known: digestOf(m.leaders)}
	if e, ok := m.entries[to]; ok && e.leadersDigest == out.Known {
		return out
	}
	for site, l := range m.leaders {
		out.Leads = append(out.Leads, LeadOf{DataCentre: site, Lead: l})
	}
	return out
}

// applyHeartbeat updates the sender's entry and the leaders. It ignores heartbeats that are malformed or from this VM.
func (m *Member) applyHeartbeat(b Beat) {
	if b.Check() != nil || b.From.VM == m.config.Self.VM {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.upsertEntry(b.From)
	e.Heard = m.config.Clock.Now()
	e.leadersDigest = b.Known
	switch {
	case b.Draining:
		m.setState(e, Draining, "its heartbeat says that it is draining")
	case e.State != Live:
		m.setState(e, Live, "heartbeat received")
	}
	leaders := make(map[types.DataCentre]Leader, len(b.Leads))
	for _, l := range b.Leads {
		leaders[l.DataCentre] = l.Lead
	}
	m.mergeLeaders(leaders)
}

// digestOf returns the sum of the hashes of all leaders, which does not depend on their order.
func digestOf(leaders map[types.DataCentre]Leader) Digest {
	var sum Digest
	for site, l := range leaders {
		sum += Digest(xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", site, l.Target.VM, l.Epoch)))
	}
	return sum
}

// mergeLeaders takes over each leader whose epoch is higher than the known one. The caller must hold m.mu.
func (m *Member) mergeLeaders(leaders map[types.DataCentre]Leader) {
	for site, l := range leaders {
		current := m.leaders[site]
		if l.Epoch <= current.Epoch {
			continue
		}
		m.leaders[site] = l
		m.config.Log.Info().Str("DataCentre", string(site)).Str("VM", string(l.Target.VM)).
			Uint64("Epoch", uint64(l.Epoch)).Msg("leader changed")
	}
}

// Check returns an error of kind Invalid when the sender's VM, address or data centre is missing.
func (b *Beat) Check() error {
	if b.From.VM == "" || b.From.Address == "" || b.From.Site.DataCentre == "" {
		return errs.New(errs.Invalid, "heartbeat must name its sender's VM, address and data centre")
	}
	return nil
}
