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
	// ClusterConfig configures the stand-ins and the daemons of a Cluster.
	ClusterConfig struct {
		Clock  clockwork.Clock
		Log    zerolog.Logger
		Layout Layout
		// DrainTimeout is the drain timeout of each daemon.
		DrainTimeout time.Duration
		// DrainNotice is how long a draining daemon continues to serve, so that callers notice that it is leaving.
		DrainNotice time.Duration
		// CallersAddress is where a daemon that is started while no other one runs serves callers. All others use free
		// ports, as do all daemons if it is empty.
		CallersAddress types.Address
	}

	// Cluster runs the stand-ins of a platform and daemons that use them. It is safe for concurrent use.
	Cluster struct {
		Platform *Platform
		// Partition simulates network partitions between data centres.
		Partition *peer.Partition
		// CallerToken and OperatorToken are the tokens that every daemon accepts.
		CallerToken   guard.Secret
		OperatorToken guard.Secret

		config  ClusterConfig
		peerKey guard.Secret
		mu      sync.Mutex
		daemons map[types.VMID]*runningDaemon
	}

	// runningDaemon is a daemon that runs in this process. The function drain makes it drain and end, kill ends it at
	// once; done receives the result of its run.
	runningDaemon struct {
		daemon *daemon.Daemon
		drain  context.CancelFunc
		kill   context.CancelFunc
		done   chan error
	}
)

// StartCluster starts the stand-ins. Daemons are started one by one with StartEntry.
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

// StartEntry adds an entry VM to the list of VMs and starts a daemon on it.
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

// StopEntry drains a daemon, waits until it has ended and removes its VM from the list of VMs.
func (c *Cluster) StopEntry(id types.VMID) error {
	running, err := c.removeDaemon(id)
	if err != nil {
		return err
	}
	running.drain()
	err = <-running.done
	running.kill()
	c.Platform.VMs.Remove(id)
	return err
}

// KillEntry ends a daemon at once without draining, as when its VM is lost, and removes the VM from the list of VMs.
func (c *Cluster) KillEntry(id types.VMID) error {
	running, err := c.removeDaemon(id)
	if err != nil {
		return err
	}
	running.kill()
	err = <-running.done
	running.drain()
	c.Platform.VMs.Remove(id)
	return err
}

// Entries returns the running daemons by VM ID.
func (c *Cluster) Entries() map[types.VMID]*daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[types.VMID]*daemon.Daemon, len(c.daemons))
	for id, running := range c.daemons {
		out[id] = running.daemon
	}
	return out
}

// Put replaces the document of the trial environment and promotes exactly the same bytes to the environment that the
// daemons use.
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

// Close drains all daemons concurrently, then stops the stand-ins. It returns the first error of a daemon.
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

// currentRevision returns the revision of the accepted document of an environment, or 0 if there is none.
func (c *Cluster) currentRevision(ctx context.Context, editor *edit.Editor, env envdoc.Name) (types.Revision, error) {
	accepted, err := editor.Get(ctx, env)
	if errs.Is(err, errs.NotFound) {
		return 0, nil
	}
	return accepted.Revision, err
}

func (c *Cluster) startDaemon(id types.VMID, d *daemon.Daemon) {
	drainCtx, drain := context.WithCancel(context.Background())
	killCtx, kill := context.WithCancel(context.Background())
	running := &runningDaemon{daemon: d, drain: drain, kill: kill, done: make(chan error, 1)}
	c.mu.Lock()
	c.daemons[id] = running
	c.mu.Unlock()
	go func() { running.done <- d.RunUntil(drainCtx, killCtx) }()
}

// removeDaemon removes the daemon on a VM from the running ones and returns it, or an error of kind NotFound.
func (c *Cluster) removeDaemon(id types.VMID) (*runningDaemon, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	running, ok := c.daemons[id]
	if !ok {
		return nil, errs.New(errs.NotFound, "no daemon is running on VM %s", id)
	}
	delete(c.daemons, id)
	return running, nil
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
		DrainTimeout: c.config.DrainTimeout, DrainNotice: c.config.DrainNotice,
		CallerTokens: []guard.Secret{c.CallerToken}, OperatorTokens: []guard.Secret{c.OperatorToken},
		PeerKeys: []guard.Secret{c.peerKey},
	}
}

func newSecret() guard.Secret {
	return guard.NewSecret(strings.ReplaceAll(uuid.NewString()+uuid.NewString(), "-", ""))
}
