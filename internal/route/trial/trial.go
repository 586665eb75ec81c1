// Package trial runs the request side of several entries against stand-in runners in one process: for tests that inject
// failures, and for benchmarks against simpler ways of choosing a runner.
package trial

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/route/entry"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

// Service is the only service of a cell.
const Service types.ServiceName = "booking-desk"

const teams = 4

type (
	// Config describes a cell.
	Config struct {
		Clock clockwork.Clock
		// Entries and Runners are how many of each there are; they are spread over the data centres in turn.
		Entries int
		Runners int
		// Slots and Connections are those of each runner.
		Slots       int
		Connections int
		// Work is how long a runner takes for a call.
		Work time.Duration
		// Near and Far are the one-way delays between data centres of a region and between regions.
		Near, Far time.Duration
		// Document changes the environment document before the start; nil leaves it unchanged.
		Document func(d *envdoc.Document)
	}

	// Cell is a set of entries with their leaders and runners. It is safe for concurrent use.
	Cell struct {
		Config  Config
		Network *peer.Network
		Runners *runner.Memory
		Daemons []*Daemon

		mu        sync.Mutex
		document  *envdoc.Document
		upstreams map[types.DataCentre][]runner.Upstream
		gone      map[types.VMID]bool
		cancel    context.CancelFunc
		loops     sync.WaitGroup
	}

	// Daemon is the request side of one entry VM.
	Daemon struct {
		Self   peer.Target
		Entry  *entry.Entry
		Holder *lend.Holder
		Lender *lend.Lender
		Table  *once.Table
		Once   *once.Client
		Meter  *meter.Meter
		Stats  metrics.Registry

		cell    *Cell
		mu      sync.Mutex
		leaders map[types.DataCentre]lend.Leader
		cancel  context.CancelFunc
	}
)

// Sites returns the data centres of the cell: two in one region and one in another.
func Sites() []types.Site {
	return []types.Site{
		{Region: "tunis-north", DataCentre: "carthage"},
		{Region: "tunis-north", DataCentre: "ariana"},
		{Region: "sahel-south", DataCentre: "sousse"},
	}
}

// New returns a cell. Nothing runs and no entry leads before Start.
func New(c Config) *Cell {
	cell := &Cell{
		Config:    c,
		Network:   peer.NewNetwork(),
		Runners:   runner.NewMemory(c.Clock, c.Work),
		document:  newDocument(c),
		upstreams: make(map[types.DataCentre][]runner.Upstream),
		gone:      make(map[types.VMID]bool),
	}
	for i := range c.Runners {
		up := cell.newUpstream(i)
		dc := up.Site.DataCentre
		cell.upstreams[dc] = append(cell.upstreams[dc], up)
	}
	for i := range c.Entries {
		site := Sites()[i%len(Sites())]
		id := fmt.Sprintf("entry-%d", i)
		cell.Daemons = append(cell.Daemons, cell.newDaemon(peer.Target{VM: types.VMID(id), Site: site, Address: types.Address(id)}))
	}
	return cell
}

func newDocument(c Config) *envdoc.Document {
	d := envdoc.Default()
	for i := range teams {
		d.Teams = append(d.Teams, envdoc.Team{Name: teamID(i), MaxClass: types.ClassUrgent})
	}
	d.Services = []envdoc.ServiceEntry{{Name: Service, Team: teamID(0), Slots: c.Slots, Connections: c.Connections}}
	if c.Document != nil {
		c.Document(&d)
	}
	return &d
}

func teamID(i int) types.TeamID {
	return types.TeamID(fmt.Sprintf("team-%d", i%teams))
}

func (c *Cell) newUpstream(i int) runner.Upstream {
	id := fmt.Sprintf("runner-%d", i)
	return runner.Upstream{
		ID: types.RunnerID(id), Service: Service, VM: types.VMID(id), Site: Sites()[i%len(Sites())],
		Endpoint: types.Address(id), Slots: c.Config.Slots, Connections: c.Config.Connections,
	}
}

func (c *Cell) newDaemon(self peer.Target) *Daemon {
	stats := metrics.NewRegistry()
	d := &Daemon{
		Self: self, cell: c, Stats: stats, Meter: meter.New(stats, self.Site.Region),
		leaders: make(map[types.DataCentre]lend.Leader),
	}
	node := c.Network.Join(self, d.Meter)
	d.Lender = lend.NewLender(lend.LenderConfig{
		Self: self, Clock: c.Config.Clock, Peers: node, Audit: audit.Discard{}, Log: zerolog.Nop(), Metrics: stats,
		Upstreams: func() []runner.Upstream { return c.Upstreams(self.Site.DataCentre) },
		Entries:   c.targets, Gone: c.isGone,
	})
	d.Holder = lend.NewHolder(lend.HolderConfig{
		Self: self, Clock: c.Config.Clock, Peers: node, Audit: audit.Discard{}, Log: zerolog.Nop(), Metrics: stats,
		LeaderOf: d.Leaders,
	})
	d.Table = once.NewTable(once.TableConfig{
		Self: self, Clock: c.Config.Clock, Peers: node, Audit: audit.Discard{}, Log: zerolog.Nop(), Metrics: stats,
		Copies: func() []peer.Target { return c.targetsOf(self.Site.DataCentre) },
		Policy: func() envdoc.RequestPolicy { return c.Document().Requests },
	})
	d.Once = once.NewClient(once.ClientConfig{
		Self: self, Clock: c.Config.Clock, Peers: node, Metrics: stats, Table: d.Table, LeaderOf: d.leaderOf,
	})
	d.Entry = entry.New(entry.Config{
		Self: self, Clock: c.Config.Clock, Runner: c.newDelayedRunner(self.Site, d.Meter), Holder: d.Holder, Once: d.Once,
		Audit: audit.Discard{}, Log: zerolog.Nop(), Metrics: stats,
		Document: func() (*envdoc.Document, types.Revision) { return c.Document(), 1 },
		Entries:  func() int { return len(c.targetsOf(self.Site.DataCentre)) },
	})
	d.registerServices(node)
	return d
}

func (d *Daemon) registerServices(node *peer.Node) {
	services := map[string]any{
		lend.ServiceName: lend.NewService(d.Lender, d.Holder),
		once.ServiceName: once.NewService(d.Table),
	}
	for name, service := range services {
		if err := node.Register(name, service); err != nil {
			panic("trial: " + err.Error())
		}
	}
}

// Start starts all loops and makes the first entry of each data centre its leader under epoch 1.
func (c *Cell) Start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	for _, d := range c.Daemons {
		d.startLoops(ctx)
	}
	for i, site := range Sites() {
		if i < len(c.Daemons) {
			c.SetLeader(ctx, c.Daemons[i], site.DataCentre, 1)
		}
	}
}

func (d *Daemon) startLoops(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	for _, loop := range []func(context.Context) error{d.Lender.Run, d.Holder.Run, d.Table.Run, d.Entry.Run} {
		d.cell.loops.Go(func() {
			// The loops return nil once ctx ends.
			_ = loop(ctx)
		})
	}
}

// Stop ends all loops and connections.
func (c *Cell) Stop() {
	c.cancel()
	c.loops.Wait()
	c.Network.Close()
}

// SetLeader makes a daemon the leader of its data centre under the epoch. Every daemon of the cell learns of it first,
// also across a partition.
func (c *Cell) SetLeader(ctx context.Context, d *Daemon, dc types.DataCentre, epoch types.Epoch) {
	for _, other := range c.Daemons {
		other.SetLeader(dc, lend.Leader{Target: d.Self, Epoch: epoch})
	}
	d.Table.Begin(ctx, epoch)
	d.Lender.Begin(ctx, epoch)
}

// SetLeader sets the leader that this daemon knows of a data centre.
func (d *Daemon) SetLeader(dc types.DataCentre, leader lend.Leader) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaders[dc] = leader
}

// Leaders returns the leaders that this daemon knows, by data centre.
func (d *Daemon) Leaders() map[types.DataCentre]lend.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.leaders)
}

func (d *Daemon) leaderOf(dc types.DataCentre) (peer.Target, types.Epoch, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	leader, ok := d.leaders[dc]
	return leader.Target, leader.Epoch, ok
}

// Kill ends a daemon's loops and makes it unreachable. Its calls in flight go on at their runners.
func (c *Cell) Kill(d *Daemon) {
	c.Network.SetDown(d.Self.Address, true)
	d.cancel()
}

// SetGone marks a VM as gone for good; the leaders see it at their next tick.
func (c *Cell) SetGone(vm types.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[vm] = true
}

func (c *Cell) isGone(vm types.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone[vm]
}

// Document returns the document in force.
func (c *Cell) Document() *envdoc.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Upstreams returns the runners of a data centre as its leader lists them.
func (c *Cell) Upstreams(dc types.DataCentre) []runner.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]runner.Upstream(nil), c.upstreams[dc]...)
}

// SetLeaving marks a runner as leaving in the list of its leader.
func (c *Cell) SetLeaving(id types.RunnerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ups := range c.upstreams {
		for i := range ups {
			if ups[i].ID == id {
				ups[i].Leaving = true
			}
		}
	}
}

func (c *Cell) targets() []peer.Target {
	out := make([]peer.Target, 0, len(c.Daemons))
	for _, d := range c.Daemons {
		out = append(out, d.Self)
	}
	return out
}

func (c *Cell) targetsOf(dc types.DataCentre) []peer.Target {
	var out []peer.Target
	for _, t := range c.targets() {
		if t.Site.DataCentre == dc {
			out = append(out, t)
		}
	}
	return out
}
