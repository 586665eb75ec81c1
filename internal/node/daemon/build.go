package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/app/config"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/spread"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/guard"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
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
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/serve/httpd"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = time.Minute
	// maxIdleConnsPerHost allows one idle connection for each slot of a runner.
	maxIdleConnsPerHost = 16
	watchInterval       = 250 * time.Millisecond
	// yieldTimeout is how long a former leader that stops waits for the next leader to read its table of request ids.
	yieldTimeout = 5 * time.Second
)

// newPlatform returns HTTP clients of the platform's services.
func newPlatform(s config.Settings, calls *meter.Meter) platform {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}}
	return platform{
		store: store.NewHTTP(store.HTTPConfig{
			Base: s.StoreURL, Region: s.StoreRegion, From: s.Site.DataCentre, Meter: calls, Client: client,
		}),
		vms: vmlist.NewHTTP(vmlist.HTTPConfig{
			Base: s.VMListURL, Region: s.StoreRegion, From: s.Site.DataCentre, Meter: calls, Client: client,
		}),
		workers: &worker.HTTPDialer{Client: client, Meter: calls},
		runner:  &runner.HTTP{Client: client, Meter: calls},
	}
}

func (d *Daemon) buildDocuments() error {
	var err error
	d.audit, err = audit.NewLog(audit.Config{
		Self: d.self, Clock: d.config.Clock, Store: d.platform.store, Peers: d.peerCaller, Registrar: d.server,
		Entries: d.members.Known, Leading: d.leading, Metrics: d.metrics, Log: d.log,
	})
	if err != nil {
		return err
	}
	d.spread, err = spread.New(spread.Config{
		Self: d.self, Environment: d.config.Settings.Environment, Clock: d.config.Clock,
		Store: d.platform.store, StoreRegion: d.config.Settings.StoreRegion,
		Peers: d.peerCaller, Registrar: d.server, Entries: d.members.Known,
		Leading: d.leading, LeaderOf: d.members.Leader,
		Audit: d.audit, Log: d.log, Metrics: d.metrics,
	})
	return err
}

// leading returns the epoch and whether this daemon leads its data centre. It may be called before the leader component
// is built, and then returns false.
func (d *Daemon) leading() (types.Epoch, bool) {
	if d.leader == nil {
		return 0, false
	}
	return d.leader.Leading()
}

func (d *Daemon) buildLeader() error {
	var err error
	d.leader, err = lead.New(lead.Config{
		Self: d.self, Clock: d.config.Clock, Store: d.platform.store, Workers: d.platform.workers,
		VMs: d.platform.vms, Audit: d.audit, Peers: d.peerCaller,
		Planner: plan.New(plan.Config{Document: d.spread.Current, ExternalServices: true}),
		Log:     d.log, Metrics: d.metrics, Document: d.spread.Current, Entries: d.members.Entries,
	})
	if err != nil {
		return err
	}
	d.jobs = jobs.New(jobs.Config{
		Self: d.self, Clock: d.config.Clock, Peers: d.peerCaller, Local: d.leader, Find: d.members.Leader,
	})
	return d.jobs.Register(d.server)
}

func (d *Daemon) buildRoutes() error {
	d.lender = lend.NewLender(lend.LenderConfig{
		Self: d.self, Clock: d.config.Clock, Peers: d.peerCaller, Audit: d.audit, Log: d.log, Metrics: d.metrics,
		Upstreams: d.leader.Upstreams, Entries: d.members.Known, Gone: d.members.GoneForGood,
	})
	d.holder = lend.NewHolder(lend.HolderConfig{
		Self: d.self, Clock: d.config.Clock, Peers: d.peerCaller, Audit: d.audit, Log: d.log, Metrics: d.metrics,
		LeaderOf: d.slotLeaders,
	})
	d.table = once.NewTable(once.TableConfig{
		Self: d.self, Clock: d.config.Clock, Peers: d.peerCaller, Audit: d.audit, Log: d.log, Metrics: d.metrics,
		Copies: d.members.LocalPeers, FormerLeaders: d.formerLeaders, Policy: d.requestPolicy,
	})
	d.once = once.NewClient(once.ClientConfig{
		Self: d.self, Clock: d.config.Clock, Peers: d.peerCaller, Metrics: d.metrics, Table: d.table,
		LeaderOf: d.members.Leader,
	})
	d.entry = entry.New(entry.Config{
		Self: d.self, Clock: d.config.Clock, Runner: d.platform.runner, Holder: d.holder, Once: d.once,
		Audit: d.audit, Log: d.log, Metrics: d.metrics, Document: d.spread.Current,
		Entries: func() int { return len(d.members.LocalPeers()) + 1 },
	})
	if err := d.server.Register(lend.ServiceName, lend.NewService(d.lender, d.holder)); err != nil {
		return err
	}
	return d.server.Register(once.ServiceName, once.NewService(d.table))
}

// formerLeaders returns the entries of this data centre that may have led it, including draining ones.
func (d *Daemon) formerLeaders() []peer.Target {
	var out []peer.Target
	for _, target := range d.members.Known() {
		if target.Site.DataCentre == d.self.Site.DataCentre {
			out = append(out, target)
		}
	}
	return out
}

// slotLeaders returns the leaders from which the holder borrows slots, by data centre.
func (d *Daemon) slotLeaders() map[types.DataCentre]lend.Leader {
	out := make(map[types.DataCentre]lend.Leader)
	for site, l := range d.members.Leaders() {
		out[site] = lend.Leader{Target: l.Target, Epoch: l.Epoch}
	}
	return out
}

// requestPolicy returns the request policy of the document in force, or the default one while there is no document.
func (d *Daemon) requestPolicy() envdoc.RequestPolicy {
	if doc, _ := d.spread.Current(); doc != nil {
		return doc.Requests
	}
	return envdoc.Default().Requests
}

func (d *Daemon) buildHTTP() error {
	access, err := guard.New(guard.Config{
		CallerTokens: d.config.Settings.CallerTokens, OperatorTokens: d.config.Settings.OperatorTokens,
	})
	if err != nil {
		return err
	}
	d.http = httpd.New(httpd.Config{
		Jobs: d.jobs, Requests: d.entry, Documents: d.spread.Current, Guard: access,
		Operators: &operators{daemon: d}, Editors: d.editor, Offer: d.spread.Offer, Metrics: d.metrics, Now: d.config.Clock.Now,
		Clock: d.config.Clock, Log: d.log,
	})
	return nil
}

func (d *Daemon) editor(operator string) *edit.Editor {
	return edit.New(edit.Config{
		Store: d.platform.store, Clock: d.config.Clock, Audit: d.audit, By: operator, InForce: d.spread.InForce,
	})
}

// watch polls for changes of leadership, which begin or end the lending of slots and the table of request ids here, and
// for new documents, whose services need slots.
func (d *Daemon) watch(ctx context.Context) error {
	return every.Run(ctx, d.config.Clock, watchInterval, func(ctx context.Context) {
		d.watchRole(ctx)
		d.watchDocument()
	})
}

func (d *Daemon) watchRole(ctx context.Context) {
	epoch, leading := d.leader.Leading()
	if !leading {
		epoch = 0
	}
	if epoch != d.applied.epoch {
		d.changeRole(ctx, d.applied.epoch, epoch)
		d.applied.epoch = epoch
	}
}

// watchDocument has the holder borrow slots for the services of a new document before their first requests.
func (d *Daemon) watchDocument() {
	doc, revision := d.spread.Current()
	if doc == nil || revision == d.applied.revision {
		return
	}
	for _, s := range doc.Services {
		d.holder.Expect(s.Name)
	}
	d.applied.revision = revision
}

// changeRole ends the slot lender and the request table of the old epoch and begins those of the new one. Epoch 0 means
// that the daemon does not lead.
func (d *Daemon) changeRole(ctx context.Context, from, to types.Epoch) {
	if from != 0 {
		d.lender.End()
		d.table.End()
	}
	if to == 0 {
		return
	}
	d.members.SetLeading(to)
	d.lender.Begin(ctx, to)
	d.table.Begin(ctx, to)
}
