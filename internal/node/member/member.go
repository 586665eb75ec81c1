// Package member tracks the entry VMs: which are live, which are draining, and which one leads each data centre.
//
// It combines the platform's VM list, which lags behind the real state, with heartbeats over net/rpc. A heartbeat
// goes to every entry of the sender's own data centre and, less often, to one entry of each other data centre.
// Sender and receiver merge the leaders that they know of; the higher epoch wins.
package member

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
)

// Default intervals and timeouts.
const (
	// DefaultHeartbeatInterval is the time between heartbeats within a data centre.
	DefaultHeartbeatInterval = time.Second
	// DefaultFarHeartbeatInterval is the time between heartbeats to other data centres.
	DefaultFarHeartbeatInterval = 3 * time.Second
	// DefaultListInterval is the time between reads of the platform's VM list.
	DefaultListInterval = 2 * time.Second
	// DefaultSuspectTimeout is the time without a heartbeat after which a live entry of the own data centre becomes
	// Suspect.
	DefaultSuspectTimeout = 3 * time.Second
	// DefaultGoneTimeout is how long a VM must have sent no heartbeat and been missing from the VM list before it
	// becomes Gone.
	DefaultGoneTimeout = 30 * time.Second
)

const (
	serviceName = "Member"
	methodBeat  = peer.Method(serviceName + ".Beat")
)

// States of an entry. Only a Live entry can be used. A Suspect entry has sent no heartbeat within its suspect timeout.
// A Draining entry is leaving. A Gone entry has sent no heartbeat, and has been missing from the platform's VM list,
// for longer than the gone timeout; only a new heartbeat makes it Live or Draining again.
const (
	Live     State = "Live"
	Suspect  State = "Suspect"
	Draining State = "Draining"
	Gone     State = "Gone"
)

type (
	// State says whether an entry can be used, as the failure detector sees it.
	State string

	// Config configures a Member. An interval or timeout of zero means its default.
	Config struct {
		Self      peer.Target
		Clock     clockwork.Clock
		VMs       vmlist.Source
		Peers     peer.Caller
		Registrar peer.Registrar
		Log       zerolog.Logger
		Metrics   metrics.Registry
		// Seeds are addresses of entries that are sent heartbeats while no other entry is known, as when the
		// platform's VM list cannot be read.
		Seeds                []types.Address
		HeartbeatInterval    time.Duration
		FarHeartbeatInterval time.Duration
		ListInterval         time.Duration
		SuspectTimeout       time.Duration
		GoneTimeout          time.Duration
	}

	// Leader is the leader of a data centre and the epoch under which it leads.
	Leader struct {
		Target peer.Target
		Epoch  types.Epoch
	}

	// Entry is an entry VM as this daemon sees it.
	Entry struct {
		Target peer.Target
		State  State
		// Heard is when the last heartbeat arrived; before the first one, when the entry became known.
		Heard time.Time
		// Listed is when the platform's VM list last contained the VM; before that, when the entry became known.
		Listed time.Time

		// leadersDigest is the digest of the known leaders in the entry's last heartbeat.
		leadersDigest Digest
	}

	// Member keeps this daemon's view of the entries and leaders. It is safe for concurrent use.
	Member struct {
		config Config

		mu        sync.Mutex
		startedAt time.Time
		entries   map[types.VMID]*Entry
		leaders   map[types.DataCentre]Leader
		draining  bool
		// listReadAt is when the platform's VM list was last read with success.
		listReadAt         time.Time
		lastHeartbeatAt    time.Time
		lastFarHeartbeatAt time.Time
		lastListAt         time.Time
	}
)

// New returns a Member that knows only its own VM, and registers its RPC service with the registrar.
func New(c Config) (*Member, error) {
	c.defaults()
	now := c.Clock.Now()
	m := &Member{
		config:    c,
		startedAt: now,
		entries:   map[types.VMID]*Entry{c.Self.VM: {Target: c.Self, State: Live, Heard: now, Listed: now}},
		leaders:   make(map[types.DataCentre]Leader),
	}
	if err := c.Registrar.Register(serviceName, &service{member: m}); err != nil {
		return nil, err
	}
	return m, nil
}

func (c *Config) defaults() {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.FarHeartbeatInterval, DefaultFarHeartbeatInterval)
	setDefault(&c.ListInterval, DefaultListInterval)
	setDefault(&c.SuspectTimeout, DefaultSuspectTimeout)
	setDefault(&c.GoneTimeout, DefaultGoneTimeout)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run calls Tick at once and then twice per heartbeat interval until ctx ends. It returns nil.
func (m *Member) Run(ctx context.Context) error {
	m.Tick(ctx)
	return every.Run(ctx, m.config.Clock, m.config.HeartbeatInterval/2, m.Tick)
}

// Tick reads the VM list and sends heartbeats if they are due, waits for the answers and updates the states of the
// entries.
func (m *Member) Tick(ctx context.Context) {
	if m.due(&m.lastListAt, m.config.ListInterval) {
		m.readList(ctx)
	}
	var wg sync.WaitGroup
	if m.due(&m.lastHeartbeatAt, m.config.HeartbeatInterval) {
		m.sendHeartbeats(ctx, &wg, m.nearTargets())
	}
	if m.due(&m.lastFarHeartbeatAt, m.config.FarHeartbeatInterval) {
		m.sendHeartbeats(ctx, &wg, m.farTargets())
	}
	wg.Wait()
	m.updateStates()
}

// SetLeading records that this VM leads its data centre under the epoch.
func (m *Member) SetLeading(epoch types.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeLeaders(map[types.DataCentre]Leader{m.config.Self.Site.DataCentre: {Target: m.config.Self, Epoch: epoch}})
	// Heartbeats with the new leader are due at the next tick.
	m.lastHeartbeatAt = time.Time{}
	m.lastFarHeartbeatAt = time.Time{}
}

// SetDraining marks this VM as draining in its heartbeats. Those within the data centre are due at the next tick.
func (m *Member) SetDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
	m.entries[m.config.Self.VM].State = Draining
	m.lastHeartbeatAt = time.Time{}
}

// due reports whether the interval has passed since last, and if so sets last to now.
func (m *Member) due(last *time.Time, interval time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

func (m *Member) readList(ctx context.Context) {
	snapshot, err := m.config.VMs.List(ctx)
	if err != nil {
		m.count("ListFailures")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	m.listReadAt = now
	for _, vm := range snapshot.VMs {
		if vm.Role != types.RoleEntry || vm.ID == m.config.Self.VM {
			continue
		}
		e := m.upsertEntry(peer.Target{VM: vm.ID, Site: vm.Site, Address: vm.Address})
		e.Listed = now
		if vm.State == types.VMLeaving && e.State == Live {
			m.setState(e, Draining, "the platform's VM list shows it as leaving")
		}
	}
}

// upsertEntry returns the entry of the target's VM with its target updated. A new entry starts as Live. The caller must
// hold m.mu.
func (m *Member) upsertEntry(target peer.Target) *Entry {
	e, ok := m.entries[target.VM]
	if !ok {
		now := m.config.Clock.Now()
		e = &Entry{Target: target, State: Live, Heard: now, Listed: now}
		m.entries[target.VM] = e
	}
	e.Target = target
	return e
}

// setState changes the state of an entry and logs the change. The caller must hold m.mu.
func (m *Member) setState(e *Entry, to State, reason string) {
	if e.State == to {
		return
	}
	m.config.Log.Info().Str("VM", string(e.Target.VM)).Str("From", string(e.State)).Str("To", string(to)).
		Str("Why", reason).Msg("entry state changed")
	e.State = to
	m.count("Changes")
}

func (m *Member) count(name string) {
	metrics.GetOrRegisterCounter(serviceName+"."+name, m.config.Metrics).Inc(1)
}
