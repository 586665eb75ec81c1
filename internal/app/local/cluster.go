package local

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/app/config"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/guard"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/daemon"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	trialName    = envdoc.Name("trial")
	operatorName = "local"
)

type (
	// ClusterConfig says how the daemons of a Cluster are set.
	ClusterConfig struct {
		Clock  clockwork.Clock
		Log    zerolog.Logger
		Layout Layout
		// Drain is the drain timeout of each daemon.
		Drain time.Duration
		// Notice is how long a draining daemon goes on serving, so that callers see it leave.
		Notice time.Duration
		// CallersAddress is where the first entry takes callers; the others take free ports.
		CallersAddress types.Address
	}

	// Cluster is the stand-ins of a platform and daemons against them. It is safe for concurrent use.
	Cluster struct {
		Platform  *Platform
		Partition *peer.Partition
		// CallerToken and OperatorToken are those that every daemon accepts.
		CallerToken   guard.Secret
		OperatorToken guard.Secret

		config  ClusterConfig
		peerKey guard.Secret
		mu      sync.Mutex
		daemons map[types.VMID]*runningDaemon
	}

	// runningDaemon is one running daemon.
	runningDaemon struct {
		daemon *daemon.Daemon
		drain  context.CancelFunc
		kill   context.CancelFunc
		done   chan error
	}
)

// StartCluster starts the stand-ins; daemons are started one by one.
func StartCluster(c ClusterConfig) (*Cluster, error) {
	p, err := StartPlatform(c.Clock, c.Layout)
	if err != nil {
		return nil, err
	}
	return &Cluster{
		Platform:      p,
		Partition:     peer.NewPartition(),
		CallerToken:   newSecret(),
		OperatorToken: newSecret(),
		config:        c,
		peerKey:       newSecret(),
		daemons:       make(map[types.VMID]*runningDaemon),
	}, nil
}

// StartEntry starts a daemon on a new entry VM and lists it.
func (c *Cluster) StartEntry(id types.VMID, site types.Site) (*daemon.Daemon, error) {
	d, err := daemon.New(daemon.Config{
		Settings: c.daemonSettings(id, site),
		Clock:    c.config.Clock,
		Log:      c.config.Log,
		Wrap:     func(caller peer.Caller) peer.Caller { return c.Partition.Wrap(caller, site.DataCentre) },
	})
	if err != nil {
		return nil, err
	}
	c.Platform.AddEntry(id, site, d.Self().Address)
	c.startDaemon(id, d)
	return d, nil
}

// StopEntry drains a daemon and waits for its end.
func (c *Cluster) StopEntry(id types.VMID) error {
	p, err := c.removeDaemon(id)
	if err != nil {
		return err
	}
	p.drain()
	err = <-p.done
	p.kill()
	c.Platform.VMs.Remove(id)
	return err
}

// KillEntry ends a daemon at once, as when its VM is lost, and takes it off the list.
func (c *Cluster) KillEntry(id types.VMID) error {
	p, err := c.removeDaemon(id)
	if err != nil {
		return err
	}
	p.kill()
	err = <-p.done
	p.drain()
	c.Platform.VMs.Remove(id)
	return err
}

// Entries returns the running daemons by VM.
func (c *Cluster) Entries() map[types.VMID]*daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[types.VMID]*daemon.Daemon, len(c.daemons))
	for id, p := range c.daemons {
		out[id] = p.daemon
	}
	return out
}

// Put puts a document in trial and promotes the very bytes to the environment that the daemons run.
func (c *Cluster) Put(ctx context.Context, body []byte) (edit.Accepted, error) {
	editor := edit.New(edit.Config{
		Store: c.Platform.Store.As("", meter.Discard()), Clock: c.config.Clock, Audit: audit.Discard{}, By: operatorName,
	})
	trialRevision, err := c.currentRevision(ctx, editor, trialName)
	if err != nil {
		return edit.Accepted{}, err
	}
	accepted, err := editor.Put(ctx, trialName, trialRevision, body)
	if err != nil {
		return edit.Accepted{}, err
	}
	productionRevision, err := c.currentRevision(ctx, editor, config.DefaultEnvironment)
	if err != nil {
		return edit.Accepted{}, err
	}
	return editor.Promote(ctx, trialName, config.DefaultEnvironment, accepted.Digest, productionRevision)
}

// Close drains all daemons side by side and stops the stand-ins.
func (c *Cluster) Close() error {
	var wg sync.WaitGroup
	failures := make(chan error, len(c.Entries()))
	for id := range c.Entries() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := c.StopEntry(id); err != nil {
				failures <- err
			}
		}()
	}
	wg.Wait()
	c.Platform.Close()
	close(failures)
	return <-failures
}

func (c *Cluster) currentRevision(ctx context.Context, editor *edit.Editor, env envdoc.Name) (types.Revision, error) {
	accepted, err := editor.Get(ctx, env)
	if errs.Is(err, errs.NotFound) {
		return 0, nil
	}
	return accepted.Revision, err
}

func (c *Cluster) startDaemon(id types.VMID, d *daemon.Daemon) {
	running, drain := context.WithCancel(context.Background())
	alive, kill := context.WithCancel(context.Background())
	p := &runningDaemon{daemon: d, drain: drain, kill: kill, done: make(chan error, 1)}
	c.mu.Lock()
	c.daemons[id] = p
	c.mu.Unlock()
	go func() { p.done <- d.RunUntil(running, alive) }()
}

func (c *Cluster) removeDaemon(id types.VMID) (*runningDaemon, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.daemons[id]
	if !ok {
		return nil, errs.New(errs.NotFound, "no daemon runs on %s", id)
	}
	delete(c.daemons, id)
	return p, nil
}

func (c *Cluster) daemonSettings(id types.VMID, site types.Site) config.Settings {
	callers := types.Address(loopback)
	if c.config.CallersAddress != "" && len(c.Entries()) == 0 {
		callers = c.config.CallersAddress
	}
	return config.Settings{
		VM: id, Site: site, Environment: config.DefaultEnvironment,
		CallersAddress: callers, PeersAddress: loopback,
		StoreURL: c.Platform.StoreURL, StoreRegion: c.config.Layout.StoreRegion, VMListURL: c.Platform.ListURL,
		DrainTimeout: c.config.Drain, DrainNotice: c.config.Notice,
		CallerTokens: []guard.Secret{c.CallerToken}, OperatorTokens: []guard.Secret{c.OperatorToken},
		PeerKeys: []guard.Secret{c.peerKey},
	}
}

func newSecret() guard.Secret {
	return guard.NewSecret(strings.ReplaceAll(uuid.NewString()+uuid.NewString(), "-", ""))
}
