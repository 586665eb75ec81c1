package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// rosterInterval is how often the candidates are computed again from the members.
	rosterInterval = 500 * time.Millisecond
	// failureBackoff is how long a relay that failed gets no orders, slowBackoff one that answers slowly.
	failureBackoff = 2 * time.Second
	slowBackoff    = 5 * time.Second
	// stallTimeout is how long all relays must be silent for the leader to take itself for the cause. It is shorter than
	// dispatchTimeout, so that the first call that times out finds the others silent, too.
	stallTimeout = dispatchTimeout / 2
)

type (
	// ClientConfig holds the dependencies of a Client.
	ClientConfig struct {
		Session SessionID
		// Self is the leader's daemon, which is no relay.
		Self peer.Target
		// Direct calls the runners without a relay.
		Direct agent.Agent
		// MaxDirect is the largest number of runners that are called without a relay.
		MaxDirect int
		Peers     peer.Caller
		// Members returns the daemons that are alive.
		Members func() []Member
		Clock   clockwork.Clock
		Log     zerolog.Logger
		Metrics metrics.Registry
	}

	// Client is the leader's side. It implements agent.Agent: each request goes through a relay once there are more than
	// MaxDirect runners. A request that a relay did not answer in time is in doubt, of kind Lost. It is safe for
	// concurrent use.
	Client struct {
		config   ClientConfig
		ctx      context.Context
		beganAt  time.Time
		counters clientCounters

		mu      sync.Mutex
		runners map[specs.RunnerID]types.DataCentre
		links   map[types.VMID]*link
		roster  roster
		builtAt time.Time
	}

	clientCounters struct {
		relayed    metrics.Counter
		failures   metrics.Counter
		dispatches metrics.Timer
	}
)

// NewClient returns a client whose background work ends with ctx.
func NewClient(ctx context.Context, c ClientConfig) *Client {
	return &Client{
		config: c, ctx: ctx, beganAt: c.Clock.Now(), runners: make(map[specs.RunnerID]types.DataCentre), links: make(map[types.VMID]*link),
		counters: clientCounters{
			relayed:    metrics.GetOrRegisterCounter("Relay.Orders", c.Metrics),
			failures:   metrics.GetOrRegisterCounter("Relay.Failures", c.Metrics),
			dispatches: metrics.GetOrRegisterTimer("Relay.Dispatch", c.Metrics),
		},
	}
}

// RenewLeases implements agent.Agent.
func (c *Client) RenewLeases(ctx context.Context, to agent.Runner, r agent.RenewRequest) (agent.Report, error) {
	l := c.relayFor(to)
	if l == nil {
		return c.config.Direct.RenewLeases(ctx, to, r)
	}
	a, err := l.send(ctx, Order{Runner: to.ID, Boot: to.Boot, Address: to.Address, Renew: &r})
	if err != nil {
		return agent.Report{}, err
	}
	if a.Report == nil {
		return agent.Report{}, errs.New(errs.Lost, "the relay's answer to a renewal holds no report")
	}
	return *a.Report, nil
}

// Start implements agent.Agent.
func (c *Client) Start(ctx context.Context, to agent.Runner, r agent.StartRequest) error {
	l := c.relayFor(to)
	if l == nil {
		return c.config.Direct.Start(ctx, to, r)
	}
	_, err := l.send(ctx, Order{Runner: to.ID, Boot: to.Boot, Address: to.Address, Start: &r})
	return err
}

// Stop implements agent.Agent.
func (c *Client) Stop(ctx context.Context, to agent.Runner, r agent.StopRequest) error {
	l := c.relayFor(to)
	if l == nil {
		return c.config.Direct.Stop(ctx, to, r)
	}
	_, err := l.send(ctx, Order{Runner: to.ID, Boot: to.Boot, Address: to.Address, Stop: &r})
	return err
}

// relayFor returns the link to the relay of a runner, or nil when the runner is called directly.
func (c *Client) relayFor(to agent.Runner) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runners[to.ID] = to.DataCentre
	if len(c.runners) <= c.config.MaxDirect {
		return nil
	}
	now := c.config.Clock.Now()
	if now.Sub(c.builtAt) >= rosterInterval {
		c.roster, c.builtAt = newRoster(c.config.Self, c.config.Members(), c.runnersByDataCentre()), now
	}
	target, ok := c.roster.choose(to.ID, to.DataCentre, func(vm types.VMID) time.Time { return c.failedAt(vm, now) })
	if !ok {
		return nil
	}
	return c.linkTo(target)
}

// runnersByDataCentre counts the runners that were called. The caller must hold c.mu.
func (c *Client) runnersByDataCentre() map[types.DataCentre]int {
	out := make(map[types.DataCentre]int)
	for _, dc := range c.runners {
		out[dc]++
	}
	return out
}

// failedAt returns when a relay last failed if it is in backoff, or zero. The caller must hold c.mu.
func (c *Client) failedAt(vm types.VMID, now time.Time) time.Time {
	l := c.links[vm]
	if l == nil {
		return time.Time{}
	}
	return l.failureAt(now)
}

// linkTo returns the link to a relay; a daemon that moved to another address gets a new one. The caller must hold c.mu.
func (c *Client) linkTo(target peer.Target) *link {
	l := c.links[target.VM]
	if l == nil || l.target.Address != target.Address {
		l = newLink(c, target)
		c.links[target.VM] = l
	}
	return l
}

// isStalled reports whether no other relay has answered within stallTimeout, though some are in use: then the cause is
// likely to be this daemon's own processor or network link.
func (c *Client) isStalled(except *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	others := false
	for _, l := range c.links {
		if l == except || l.lastAnswer().IsZero() {
			continue
		}
		others = true
		if now.Sub(l.lastAnswer()) < stallTimeout {
			return false
		}
	}
	return others
}

// usualLatency returns the median latency of all links that have one.
func (c *Client) usualLatency() time.Duration {
	c.mu.Lock()
	links := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		links = append(links, l)
	}
	c.mu.Unlock()
	return medianLatency(links)
}
