package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/member"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/report"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/lead"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	fleetService    = "Fleet"
	methodOverview  = peer.Method(fleetService + ".Overview")
	overviewTimeout = 2 * time.Second
)

type (
	// FleetService is the RPC service that reports the counts of this daemon's leader component.
	FleetService struct {
		daemon *Daemon
	}

	// OverviewArgs are the arguments of FleetService.Overview.
	OverviewArgs struct{}
)

// Overview returns the counts of workers, tasks and the queue in the leader component of this daemon.
func (s *FleetService) Overview(_ *OverviewArgs, reply *lead.Overview) error {
	*reply = s.daemon.leader.Overview()
	return nil
}

// fleetStatus asks every leader for its counts and every VM for its revision, and returns the status with its alarms.
func (d *Daemon) fleetStatus(ctx context.Context) report.Fleet {
	doc, _ := d.spread.Current()
	fleet := report.Fleet{At: d.config.Clock.Now(), Environment: d.config.Settings.Environment}
	states := make(map[types.VMID]member.State)
	for _, e := range d.members.All() {
		states[e.Target.VM] = e.State
	}
	for _, s := range d.spread.Status(ctx) {
		fleet.VMs = append(fleet.VMs, report.VM{
			ID: s.VM, DataCentre: s.DataCentre, Reached: s.Reached, Revision: s.Revision, Age: s.Age,
			Draining: states[s.VM] == member.Draining,
		})
	}
	fleet.DataCentres = d.dataCentreStatus(ctx)
	return report.Status(fleet, doc)
}

// dataCentreStatus asks the leaders of all known data centres in parallel, within the overview timeout.
func (d *Daemon) dataCentreStatus(ctx context.Context) []report.DataCentre {
	callCtx, cancel := clockwork.WithTimeout(ctx, d.config.Clock, overviewTimeout)
	defer cancel()
	leaders := d.members.Leaders()
	sites := d.sites()
	out := make([]report.DataCentre, len(sites))
	var wg sync.WaitGroup
	for i, site := range sites {
		out[i] = report.DataCentre{Name: site.DataCentre, Region: site.Region}
		l, known := leaders[site.DataCentre]
		if !known {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.queryOverview(callCtx, l, &out[i])
		}()
	}
	wg.Wait()
	return out
}

// sites returns the site of each data centre that has a known entry.
func (d *Daemon) sites() []types.Site {
	seen := make(map[types.DataCentre]bool)
	var out []types.Site
	for _, e := range d.members.All() {
		site := e.Target.Site
		if !seen[site.DataCentre] {
			seen[site.DataCentre] = true
			out = append(out, site)
		}
	}
	return out
}

// queryOverview fills in the counts of one data centre's leader. On an error Reached stays false and the counts zero.
func (d *Daemon) queryOverview(ctx context.Context, l member.Leader, out *report.DataCentre) {
	out.Lead = l.Target.VM
	out.Epoch = l.Epoch
	var counts lead.Overview
	if err := d.peerCaller.Call(ctx, l.Target, methodOverview, &OverviewArgs{}, &counts); err != nil {
		return
	}
	out.Reached = true
	for _, n := range counts.Workers {
		out.Workers += n
	}
	out.Quarantined = counts.Workers[table.WorkerQuarantined]
	out.Unreachable = counts.Workers[table.WorkerUnreachable]
	out.Running = counts.Tasks[table.TaskRunning]
	out.Waiting = counts.Queue
	out.Capacity = counts.Total
	out.Used = counts.Used
}
