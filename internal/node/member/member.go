// Package member tracks the entry VMs: which are live, which are leaving, and which one leads each data centre.
//
// It combines the platform's lagging list with heartbeats over net/rpc. A heartbeat goes to every entry of the
// sender's own data centre, and less often to one entry of each other data centre; both ends merge what they
// know of the leads, a higher epoch winning.
package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
)

// Defaults of the periods.
const (
	// DefaultBeatEvery is the time between heartbeats within a data centre.
	DefaultBeatEvery = time.Second
	// DefaultFarEvery is the time between heartbeats to other data centres.
	DefaultFarEvery = 3 * time.Second
	// DefaultListEvery is the time between readings of the platform's list.
	DefaultListEvery = 2 * time.Second
	// DefaultSuspectAfter is the silence after which an entry of the own data centre is not live.
	DefaultSuspectAfter = 3 * time.Second
	// DefaultGoneAfter is how long a VM must be both silent and off the list before it is gone for good.
	DefaultGoneAfter = 30 * time.Second
)

const (
	serviceName = "Member"
	methodBeat  = peer.Method(serviceName + ".Beat")
)

// States of an entry.
const (
	Live     State = "Live"
	Suspect  State = "Suspect"
	Draining State = "Draining"
	Gone     State = "Gone"
)

type (
	// State tells whether an entry can be used.
	State string

	// Config is what a Member needs. Zero periods take their defaults.
	Config struct {
		Self      peer.Target
		Clock     clockwork.Clock
		VMs       vmlist.Source
		Peers     peer.Caller
		Registrar peer.Registrar
		Log       zerolog.Logger
		Metrics   metrics.Registry
		// Seeds are addresses of entries to greet while the platform's list cannot be read.
		Seeds        []types.Address
		BeatEvery    time.Duration
		FarEvery     time.Duration
		ListEvery    time.Duration
		SuspectAfter time.Duration
		GoneAfter    time.Duration
	}

	// Lead names the lead of a data centre.
	Lead struct {
		Target peer.Target
		Epoch  types.Epoch
	}

	// Entry is an entry VM as this daemon sees it.
	Entry struct {
		Target peer.Target
		State  State
		// Heard is when the last heartbeat arrived; zero before the first.
		Heard time.Time
		// Listed is when the platform's list last showed the VM.
		Listed time.Time

		// known is the digest of the leads that the entry last said it knows.
		known Digest
	}

	// Member keeps the view. It is safe for concurrent use.
	Member struct {
		config Config

		mu       sync.Mutex
		started  time.Time
		entries  map[types.VMID]*Entry
		leads    map[types.DataCentre]Lead
		draining bool
		lastBeat time.Time
		lastFar  time.Time
		lastList time.Time
	}
)

// New returns a member that knows only itself, and registers its service with the registrar.
func New(c Config) (*Member, error) {
	c.defaults()
	now := c.Clock.Now()
	m := &Member{
		config:  c,
		started: now,
		entries: map[types.VMID]*Entry{c.Self.VM: {Target: c.Self, State: Live, Heard: now, Listed: now}},
		leads:   make(map[types.DataCentre]Lead),
	}
	if err := c.Registrar.Register(serviceName, &service{member: m}); err != nil {
		return nil, err
	}
	return m, nil
}

func (c *Config) defaults() {
	setDefault(&c.BeatEvery, DefaultBeatEvery)
	setDefault(&c.FarEvery, DefaultFarEvery)
	setDefault(&c.ListEvery, DefaultListEvery)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.GoneAfter, DefaultGoneAfter)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run ticks until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	ticker := m.config.Clock.NewTicker(m.config.BeatEvery / 2)
	defer ticker.Stop()
	for {
		m.Tick(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return nil
		}
	}
}

// Tick reads the list and sends heartbeats where they are due.
func (m *Member) Tick(ctx context.Context) {
	if m.due(&m.lastList, m.config.ListEvery) {
		m.readList(ctx)
	}
	var wg sync.WaitGroup
	if m.due(&m.lastBeat, m.config.BeatEvery) {
		m.beatAll(ctx, &wg, m.near())
	}
	if m.due(&m.lastFar, m.config.FarEvery) {
		m.beatAll(ctx, &wg, m.far())
	}
	wg.Wait()
	m.judge()
}

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

// GoneForGood tells whether a VM was silent and off the platform's list for so long that it holds nothing.
func (m *Member) GoneForGood(vm types.VMID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[vm]
	if ok {
		return e.State == Gone
	}
	return m.config.Clock.Since(m.started) > m.config.GoneAfter
}

// Leader returns the lead of a data centre with the highest epoch heard of.
func (m *Member) Leader(site types.DataCentre) (peer.Target, types.Epoch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leads[site]
	return l.Target, l.Epoch, ok
}

// Leaders returns the lead of each data centre.
func (m *Member) Leaders() map[types.DataCentre]Lead {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[types.DataCentre]Lead, len(m.leads))
	for site, l := range m.leads {
		out[site] = l
	}
	return out
}

// SetLeading records that this VM leads its data centre under the epoch.
func (m *Member) SetLeading(epoch types.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge(map[types.DataCentre]Lead{m.config.Self.Site.DataCentre: {Target: m.config.Self, Epoch: epoch}})
	// The next tick tells the others at once.
	m.lastBeat = time.Time{}
	m.lastFar = time.Time{}
}

// SetDraining makes heartbeats say that this VM is leaving, and sends them at the next tick.
func (m *Member) SetDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
	m.entries[m.config.Self.VM].State = Draining
	m.lastBeat = time.Time{}
}

func (m *Member) due(last *time.Time, every time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if now.Sub(*last) < every {
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
	for _, vm := range snapshot.VMs {
		if vm.Role != types.RoleEntry || vm.ID == m.config.Self.VM {
			continue
		}
		e := m.entry(peer.Target{VM: vm.ID, Site: vm.Site, Address: vm.Address})
		e.Listed = now
		if vm.State == types.VMLeaving && e.State == Live {
			m.change(e, Draining, "the platform lists it as leaving")
		}
	}
}

// near returns the entries of the own data centre, and the seeds while no other entry is known.
func (m *Member) near() []peer.Target {
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

// far returns one entry of each other data centre: its lead when that is live, else any that is not gone.
func (m *Member) far() []peer.Target {
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
		l, known := m.leads[site]
		e, listed := m.entries[l.Target.VM]
		if known && listed && e.State == Live {
			out = append(out, l.Target)
			continue
		}
		out = append(out, targets[rand.IntN(len(targets))])
	}
	return out
}

func (m *Member) beatAll(ctx context.Context, wg *sync.WaitGroup, targets []peer.Target) {
	for _, to := range targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.beat(ctx, to)
		}()
	}
}

func (m *Member) beat(ctx context.Context, to peer.Target) {
	limited, cancel := clockwork.WithTimeout(ctx, m.config.Clock, m.config.BeatEvery)
	defer cancel()
	args, reply := m.message(to.VM), Beat{}
	if err := m.config.Peers.Call(limited, to, methodBeat, &args, &reply); err != nil {
		m.count("BeatFailures")
		return
	}
	m.receive(reply)
}

// message returns the heartbeat for an entry; it names the leads only to those who know others.
func (m *Member) message(to types.VMID) Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Beat{From: m.config.Self, Draining: m.draining, Known: digestOf(m.leads)}
	if e, ok := m.entries[to]; ok && e.known == out.Known {
		return out
	}
	for site, l := range m.leads {
		out.Leads = append(out.Leads, LeadOf{DataCentre: site, Lead: l})
	}
	return out
}

func (m *Member) receive(b Beat) {
	if b.Check() != nil || b.From.VM == m.config.Self.VM {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entry(b.From)
	e.Heard = m.config.Clock.Now()
	e.known = b.Known
	switch {
	case b.Draining:
		m.change(e, Draining, "it says that it is leaving")
	case e.State != Live:
		m.change(e, Live, "it sent a heartbeat")
	}
	leads := make(map[types.DataCentre]Lead, len(b.Leads))
	for _, l := range b.Leads {
		leads[l.DataCentre] = l.Lead
	}
	m.merge(leads)
}

// digestOf adds up a hash of each lead, so that the order does not matter.
func digestOf(leads map[types.DataCentre]Lead) Digest {
	var sum Digest
	for site, l := range leads {
		sum += Digest(xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", site, l.Target.VM, l.Epoch)))
	}
	return sum
}

func (m *Member) merge(leads map[types.DataCentre]Lead) {
	for site, l := range leads {
		known := m.leads[site]
		if l.Epoch <= known.Epoch {
			continue
		}
		m.leads[site] = l
		m.config.Log.Info().Str("DataCentre", string(site)).Str("VM", string(l.Target.VM)).
			Uint64("Epoch", uint64(l.Epoch)).Msg("lead changed")
	}
}

// judge moves silent entries to Suspect and, once they are off the list too, to Gone.
func (m *Member) judge() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	for _, e := range m.entries {
		if e.Target.VM == m.config.Self.VM {
			continue
		}
		silent := now.Sub(e.Heard)
		unlisted := now.Sub(e.Listed)
		limit := m.config.SuspectAfter
		if e.Target.Site.DataCentre != m.config.Self.Site.DataCentre {
			limit = m.farLimit()
		}
		if e.State != Gone && silent > m.config.GoneAfter && unlisted > m.config.GoneAfter {
			m.change(e, Gone, "silent and off the platform's list")
			continue
		}
		if e.State == Live && silent > limit {
			m.change(e, Suspect, "no heartbeat")
		}
	}
}

// farLimit allows for entries of other data centres that are not greeted in each round.
func (m *Member) farLimit() time.Duration {
	return m.config.GoneAfter
}

func (m *Member) entry(target peer.Target) *Entry {
	e, ok := m.entries[target.VM]
	if !ok {
		now := m.config.Clock.Now()
		e = &Entry{Target: target, State: Live, Heard: now, Listed: now}
		m.entries[target.VM] = e
	}
	e.Target = target
	return e
}

func (m *Member) change(e *Entry, to State, why string) {
	if e.State == to {
		return
	}
	m.config.Log.Info().Str("VM", string(e.Target.VM)).Str("From", string(e.State)).Str("To", string(to)).
		Str("Why", why).Msg("entry changed")
	e.State = to
	m.count("Changes")
}

func (m *Member) count(name string) {
	metrics.GetOrRegisterCounter(serviceName+"."+name, m.config.Metrics).Inc(1)
}

// Check returns an error when a field of the heartbeat is missing.
func (b *Beat) Check() error {
	if b.From.VM == "" || b.From.Address == "" || b.From.Site.DataCentre == "" {
		return errs.New(errs.Invalid, "heartbeat must name its sender's VM, address and data centre")
	}
	return nil
}
