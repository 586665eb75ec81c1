package fitter

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/lead"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	leadTickPeriod = 250 * time.Millisecond
	// shortRunTime is the run time of the tasks that are started during a measurement.
	shortRunTime = 16 * time.Second
	longRunTime  = 24 * time.Hour
	loadWarmUp   = 40 * time.Second
	loadWindow   = 30 * time.Second
	settleTime   = 20 * time.Second
	// fitWorkers and fitTasks are a lead's share at the target in whole numbers.
	fitWorkers = 84
	fitTasks   = 363

	prefixWorker = "Worker."
	prefixStore  = "Store."
)

type (
	// centre is one data centre: its workers behind their HTTP interface, the store, and leads on a fake clock.
	centre struct {
		ctx   context.Context
		clock *clockwork.FakeClock
		store *store.Memory
		list  *vmlist.Memory
		board switchboard
		doc   *envdoc.Document
		leads []*daemon
		jobs  int
	}

	// daemon is one daemon's lead with its counts.
	daemon struct {
		*lead.Leader
		calls *meter.Meter
		audit *audit.Log
		dead  bool
	}
)

func newCentre(workers int) (*centre, error) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC))
	c := &centre{
		ctx: context.Background(), clock: clock, store: store.NewMemory(clock, regionOf(0)),
		list: vmlist.NewMemory(clock, regionOf(0), 0), board: make(switchboard), doc: targetDocument(),
	}
	for i := range workers {
		vm := workerVM(0, i)
		c.list.Set(vm)
		c.board[string(vm.Address)] = worker.NewMemory(clock, vm, nil).Handler()
	}
	if err := c.addLead(0); err != nil {
		return nil, err
	}
	c.run(settleTime)
	return c, nil
}

func (c *centre) addLead(entry int) error {
	calls := meter.New(metrics.NewRegistry(), regionOf(0))
	self := targetOf(0, entry)
	view := c.store.As(self.Site.DataCentre, calls)
	log, err := audit.NewLog(audit.Config{Self: self, Clock: c.clock, Store: view, Log: zerolog.Nop()})
	if err != nil {
		return err
	}
	l, err := lead.New(lead.Config{
		Self: self, Clock: c.clock, Store: view, VMs: c.list.As(self.Site.DataCentre, calls),
		Workers:  &worker.HTTPDialer{Client: &http.Client{Transport: c.board}, Meter: calls},
		Planner:  plan.New(plan.Config{}),
		Audit:    log,
		Log:      zerolog.Nop(),
		Metrics:  metrics.NewRegistry(),
		Document: func() (*envdoc.Document, types.Revision) { return c.doc, 1 },
		Entries:  func() []peer.Target { return []peer.Target{self} },
		Spawn:    func(run func()) { run() },
	})
	if err != nil {
		return err
	}
	c.leads = append(c.leads, &daemon{Leader: l, calls: calls, audit: log})
	return nil
}

// run ticks the leads that are alive; each writes its audit as often as a daemon does.
func (c *centre) run(d time.Duration) {
	for i := range int(d / leadTickPeriod) {
		c.clock.Advance(leadTickPeriod)
		for _, m := range c.leads {
			if m.dead {
				continue
			}
			m.Tick(c.ctx)
			if i%int(audit.DefaultFlush/leadTickPeriod) == 0 {
				m.audit.Flush(c.ctx)
			}
		}
	}
}

// submit has the first lead accept a job, without waiting for the commit.
func (c *centre) submit(m *daemon, count int, class types.Class, runTime time.Duration) (types.JobID, error) {
	c.jobs++
	job := batchJob(c.jobs, count)
	job.Class, job.Task.RunTime = class, runTime
	job.Batch.Deadline = c.clock.Now().Add(longRunTime + runTime)
	gone, cancel := context.WithCancel(c.ctx)
	cancel()
	_, err := m.Submit(gone, job)
	if errs.Is(err, errs.Unknown) {
		err = nil
	}
	return job.ID, err
}

// fill starts tasks that run to the end of the measurement.
func (c *centre) fill(tasks int) error {
	for rest := tasks; rest > 0; rest -= jobTasks {
		if _, err := c.submit(c.leads[0], min(jobTasks, rest), types.ClassNormal, longRunTime); err != nil {
			return err
		}
	}
	c.run(settleTime)
	if running := c.leads[0].Overview().Tasks[table.TaskRunning]; running != tasks {
		return errs.New(errs.Internal, "%d of %d tasks run", running, tasks)
	}
	return nil
}

// load submits the given number of short tasks each second.
func (c *centre) load(starts int, d time.Duration) error {
	for range int(d / time.Second) {
		if starts > 0 {
			if _, err := c.submit(c.leads[0], starts, types.ClassNormal, shortRunTime); err != nil {
				return err
			}
		}
		c.run(time.Second)
	}
	return nil
}

func (m *daemon) bytes(prefix string) int64 {
	return m.calls.Total(prefix, meter.SentBytes) + m.calls.Total(prefix, meter.ReadBytes)
}

func (m *daemon) writes() int64 {
	return m.calls.Get(store.KindPut, meter.Calls) + m.calls.Get(store.KindDelete, meter.Calls) +
		m.calls.Get(store.KindRenew, meter.Calls) + m.calls.Get(store.KindGrant, meter.Calls)
}

func (m *daemon) reads() int64 {
	return m.calls.Get(store.KindGet, meter.Calls) + m.calls.Get(store.KindList, meter.Calls) +
		m.calls.Get(store.KindWatch, meter.Calls)
}

// targetDocument returns a document with the target's teams.
func targetDocument() *envdoc.Document {
	doc := envdoc.Default()
	for i := range TargetTeams {
		doc.Teams = append(doc.Teams, envdoc.Team{
			Name: types.TeamID(fmt.Sprintf("team-%d", i)), MaxClass: types.ClassUrgent, Quota: workerCapacity.Times(TargetWorkers),
		})
	}
	return &doc
}
