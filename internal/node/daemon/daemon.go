// Package daemon assembles the components of an entry VM's process and runs them until the process drains and stops.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/app/config"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/spread"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/guard"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/member"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/route/entry"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/jobs"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/lead"
	"github.com/magnoliawalk/magnoliawalk/internal/serve/httpd"
)

// lastAnswerTime is the time between the cancellation of the requests that outlast a drain and the closing of their
// connections, in which their answers are written.
const lastAnswerTime = 250 * time.Millisecond

type (
	// Config configures a Daemon.
	Config struct {
		Settings config.Settings
		Clock    clockwork.Clock
		Log      zerolog.Logger
		// Wrap, when set, wraps the caller of other daemons. Tests use it to partition data centres.
		Wrap func(peer.Caller) peer.Caller
	}

	// Daemon is the process of one entry VM.
	Daemon struct {
		config  Config
		self    peer.Target
		metrics metrics.Registry
		log     zerolog.Logger

		callerListener net.Listener
		peerListener   net.Listener
		server         *peer.Server
		client         *peer.Client
		peerCaller     peer.Caller

		platform platform
		members  *member.Member
		audit    *audit.Log
		spread   *spread.Spread
		leader   *lead.Leader
		jobs     *jobs.Jobs
		lender   *lend.Lender
		holder   *lend.Holder
		table    *once.Table
		once     *once.Client
		entry    *entry.Entry
		http     *httpd.Server

		// applied is used only by the watch loop.
		applied appliedState
		loops   sync.WaitGroup
	}

	// appliedState is the epoch and the document revision that were last passed on to the daemon's components. The
	// epoch is 0 while the daemon does not lead.
	appliedState struct {
		epoch    types.Epoch
		revision types.Revision
	}

	// platform holds the clients of the platform's services.
	platform struct {
		store   store.Store
		vms     vmlist.Source
		workers worker.Dialer
		runner  runner.Runner
	}
)

// New opens the daemon's listeners and builds its components. Nothing runs before Run.
func New(c Config) (*Daemon, error) {
	d := &Daemon{config: c, metrics: metrics.NewRegistry()}
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.build(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// Self returns the daemon's VM, its site and its address for other daemons.
func (d *Daemon) Self() peer.Target { return d.self }

// URL returns the base URL for callers and operators.
func (d *Daemon) URL() string {
	scheme := "http://"
	if d.config.Settings.CertFile != "" {
		scheme = "https://"
	}
	return scheme + d.callerListener.Addr().String()
}

// Metrics returns the daemon's metrics registry.
func (d *Daemon) Metrics() metrics.Registry { return d.metrics }

// Revision returns the revision of the environment document that is in force in this daemon.
func (d *Daemon) Revision() types.Revision {
	_, revision := d.spread.Current()
	return revision
}

// Leading returns the epoch of this daemon's leadership and whether it leads its data centre.
func (d *Daemon) Leading() (types.Epoch, bool) { return d.leader.Leading() }

// Runners returns the number of runners, the running service tasks that take requests, in the tables of this daemon's
// leader component.
func (d *Daemon) Runners() int { return len(d.leader.Upstreams()) }

// Shares returns the number of runners of which this daemon holds slots.
func (d *Daemon) Shares() int { return len(d.holder.Shares()) }

// Run serves until ctx ends, then drains: it accepts no new work, finishes the work in flight, returns its slots,
// releases its claim and returns nil. It returns an error when serving callers fails or the drain is incomplete.
func (d *Daemon) Run(ctx context.Context) error {
	return d.RunUntil(ctx, context.Background())
}

// RunUntil is Run with a second context. When killCtx ends, the daemon stops at once without draining, as when its VM
// is lost.
func (d *Daemon) RunUntil(ctx, killCtx context.Context) error {
	loopCtx, stop := context.WithCancel(killCtx)
	defer d.loops.Wait()
	defer d.closeConnections()
	defer stop()
	serveErr := d.start(loopCtx)
	select {
	case err := <-serveErr:
		return err
	case <-killCtx.Done():
		return nil
	case <-ctx.Done():
		return d.drain(killCtx)
	}
}

// start starts the listeners and the components' loops. The channel receives an error when serving callers fails.
func (d *Daemon) start(ctx context.Context) <-chan error {
	serveErr := make(chan error, 1)
	d.spawn(func() { d.server.Serve(d.peerListener) })
	d.spawn(func() {
		s := d.config.Settings
		if err := d.http.Serve(d.callerListener, s.CertFile, s.KeyFile); !errors.Is(err, http.ErrServerClosed) {
			serveErr <- errs.New(errs.Unavailable, "serving callers: %v", err)
		}
	})
	loops := []func(context.Context) error{
		d.members.Run, d.audit.Run, d.spread.Run, d.leader.Run, d.lender.Run,
		d.holder.Run, d.table.Run, d.entry.Run, d.watch,
	}
	for _, run := range loops {
		d.spawn(func() { d.runLoop(ctx, run) })
	}
	d.log.Info().Str("Callers", d.URL()).Str("Peers", string(d.self.Address)).Msg("serving")
	return serveErr
}

// spawn runs a function in a goroutine that is counted in d.loops.
func (d *Daemon) spawn(run func()) {
	d.loops.Add(1)
	go func() {
		defer d.loops.Done()
		run()
	}()
}

// runLoop runs a component's loop, and logs its error unless ctx has ended.
func (d *Daemon) runLoop(ctx context.Context, run func(context.Context) error) {
	err := run(ctx)
	if err != nil && ctx.Err() == nil {
		d.log.Error().Err(err).Msg("component loop failed; the daemon continues without it")
	}
}

// drain finishes the work in flight, returns the slots, steps down and waits for a new leader to read the table of
// request ids, all within the drain timeout. For the time of the drain notice it reports itself as draining but still
// accepts work, so that the load balancer can stop sending it here.
func (d *Daemon) drain(killCtx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(killCtx, d.config.Clock, d.config.Settings.DrainTimeout)
	defer cancel()
	cancellation := d.config.Clock.AfterFunc(d.config.Settings.DrainTimeout-lastAnswerTime, d.http.CancelRequests)
	defer cancellation.Stop()
	d.log.Info().Msg("draining")
	d.http.SetDraining()
	d.members.SetDraining()
	d.config.Clock.Sleep(d.config.Settings.DrainNotice)
	var failures []error
	failures = append(failures, d.entry.Drain(ctx), d.http.Shutdown(ctx), d.leader.StepDown(ctx))
	if len(d.members.LocalPeers()) > 0 && !d.table.AwaitYield(ctx, yieldTimeout) {
		d.log.Warn().Msg("no new leader read the table of request ids in time; stopping without handing it over")
	}
	d.audit.Flush(ctx)
	if err := errors.Join(failures...); err != nil {
		d.log.Error().Err(err).Msg("drain incomplete; stopping anyway")
		return errs.New(errs.Deadline, "draining: %v", err)
	}
	d.log.Info().Msg("drained")
	return nil
}

// closeConnections closes all remaining connections and the listeners.
func (d *Daemon) closeConnections() {
	d.http.Close()
	d.server.Close()
	d.client.Close()
	d.closeListeners()
}

func (d *Daemon) listen() error {
	var err error
	if d.callerListener, err = net.Listen("tcp", string(d.config.Settings.CallersAddress)); err != nil {
		return errs.New(errs.Unavailable, "listening for callers: %v", err)
	}
	if d.peerListener, err = net.Listen("tcp", string(d.config.Settings.PeersAddress)); err != nil {
		_ = d.callerListener.Close()
		return errs.New(errs.Unavailable, "listening for peers: %v", err)
	}
	return nil
}

func (d *Daemon) closeListeners() {
	_ = d.callerListener.Close()
	_ = d.peerListener.Close()
}

// build builds the components, each after those that it depends on.
func (d *Daemon) build() error {
	s := d.config.Settings
	d.self = peer.Target{VM: s.VM, Site: s.Site, Address: types.Address(d.peerListener.Addr().String())}
	d.log = d.config.Log.With().Str("VM", string(s.VM)).Str("DataCentre", string(s.Site.DataCentre)).Logger()
	calls := meter.New(d.metrics, s.Site.Region)
	d.platform = newPlatform(s, calls)
	steps := []func() error{
		func() error { return d.buildPeers(calls) },
		d.buildMembers, d.buildDocuments, d.buildLeader, d.buildRoutes, d.buildHTTP,
		func() error { return d.server.Register(fleetService, &FleetService{daemon: d}) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) buildPeers(calls *meter.Meter) error {
	security, err := guard.NewPeerTLS(d.config.Settings.PeerKeys)
	if err != nil {
		return err
	}
	d.server = peer.NewServer(d.config.Clock)
	d.server.Security = security
	d.client = peer.NewClient(calls, d.config.Clock)
	d.client.Security = security
	d.peerCaller = d.client
	if d.config.Wrap != nil {
		d.peerCaller = d.config.Wrap(d.client)
	}
	return nil
}

func (d *Daemon) buildMembers() error {
	var err error
	d.members, err = member.New(member.Config{
		Self: d.self, Clock: d.config.Clock, VMs: d.platform.vms, Peers: d.peerCaller, Registrar: d.server,
		Log: d.log, Metrics: d.metrics, Seeds: d.config.Settings.Seeds,
	})
	return err
}
