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
	// FleetService answers other daemons about this daemon's lead.
	FleetService struct {
		daemon *Daemon
	}

	// OverviewArgs asks for a lead's counts.
	OverviewArgs struct{}
)

// Overview returns the counts of the lead that runs in this daemon.
func (s *FleetService) Overview(_ *OverviewArgs, reply *lead.Overview) error {
	*reply = s.daemon.leader.Overview()
	return nil
}

// fleetStatus asks every lead for its counts and every VM for its revision.
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

// dataCentreStatus asks the leads side by side.
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

// sites returns the data centres of all known entries.
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
