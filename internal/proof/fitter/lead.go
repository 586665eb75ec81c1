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
	leaderTickInterval = 250 * time.Millisecond
	// shortRunTime is the run time of the tasks that start during a measurement, longRunTime that of the tasks that run
	// until its end.
	shortRunTime      = 16 * time.Second
	longRunTime       = 24 * time.Hour
	loadWarmUpTime    = 40 * time.Second
	loadWindow        = 30 * time.Second
	stabilisationTime = 20 * time.Second
	// fitWorkers and fitTasks are LeaderWorkers and LeaderTasks, the sizes of one leader at the target, rounded up.
	fitWorkers = 84
	fitTasks   = 363

	prefixWorker = "Worker."
	prefixStore  = "Store."
)

type (
	// dataCentre is one data centre on a fake clock: its workers behind their HTTP interface, the store, and the leader
	// parts of its daemons.
	dataCentre struct {
		ctx      context.Context
		clock    *clockwork.FakeClock
		store    *store.Memory
		list     *vmlist.Memory
		handlers handlerTransport
		document *envdoc.Document
		leaders  []*daemon
		jobCount int
	}

	// daemon is the leader part of one daemon, with the meter of its calls and its audit log.
	daemon struct {
		*lead.Leader
		calls   *meter.Meter
		audit   *audit.Log
		stopped bool
	}
)

func newDataCentre(workers int) (*dataCentre, error) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC))
	c := &dataCentre{
		ctx: context.Background(), clock: clock, store: store.NewMemory(clock, regionOf(0)),
		list: vmlist.NewMemory(clock, regionOf(0), 0), handlers: make(handlerTransport), document: targetDocument(),
	}
	for i := range workers {
		vm := workerVM(0, i)
		c.list.Set(vm)
		c.handlers[string(vm.Address)] = worker.NewMemory(clock, vm, nil).Handler()
	}
	if err := c.addLeader(0); err != nil {
		return nil, err
	}
	c.runFor(stabilisationTime)
	return c, nil
}

func (c *dataCentre) addLeader(entry int) error {
	calls := meter.New(metrics.NewRegistry(), regionOf(0))
	self := targetOf(0, entry)
	view := c.store.As(self.Site.DataCentre, calls)
	log, err := audit.NewLog(audit.Config{Self: self, Clock: c.clock, Store: view, Log: zerolog.Nop()})
	if err != nil {
		return err
	}
	l, err := lead.New(lead.Config{
		Self: self, Clock: c.clock, Store: view, VMs: c.list.As(self.Site.DataCentre, calls),
		Workers:  &worker.HTTPDialer{Client: &http.Client{Transport: c.handlers}, Meter: calls},
		Planner:  plan.New(plan.Config{}),
		Audit:    log,
		Log:      zerolog.Nop(),
		Metrics:  metrics.NewRegistry(),
		Document: func() (*envdoc.Document, types.Revision) { return c.document, 1 },
		Entries:  func() []peer.Target { return []peer.Target{self} },
		Spawn:    func(run func()) { run() },
	})
	if err != nil {
		return err
	}
	c.leaders = append(c.leaders, &daemon{Leader: l, calls: calls, audit: log})
	return nil
}

// runFor advances the clock step by step and ticks the leaders that are not stopped. Each writes its audit log as often
// as a daemon does.
func (c *dataCentre) runFor(duration time.Duration) {
	for i := range int(duration / leaderTickInterval) {
		c.clock.Advance(leaderTickInterval)
		for _, d := range c.leaders {
			if d.stopped {
				continue
			}
			d.Tick(c.ctx)
			if i%int(audit.DefaultFlushInterval/leaderTickInterval) == 0 {
				d.audit.Flush(c.ctx)
			}
		}
	}
}

// submitJob submits a batch job to a daemon without waiting for the commit: the context of the call is cancelled
// beforehand, and the error of kind Unknown that follows is ignored.
func (c *dataCentre) submitJob(d *daemon, count int, class types.Class, runTime time.Duration) (types.JobID, error) {
	c.jobCount++
	job := batchJob(c.jobCount, count)
	job.Class, job.Task.RunTime = class, runTime
	job.Batch.Deadline = c.clock.Now().Add(longRunTime + runTime)
	cancelled, cancel := context.WithCancel(c.ctx)
	cancel()
	_, err := d.Submit(cancelled, job)
	if errs.Is(err, errs.Unknown) {
		err = nil
	}
	return job.ID, err
}

// startLongTasks starts tasks that run until the end of the measurement. It returns an error unless exactly that many
// tasks are running afterwards.
func (c *dataCentre) startLongTasks(tasks int) error {
	for remaining := tasks; remaining > 0; remaining -= jobTasks {
		if _, err := c.submitJob(c.leaders[0], min(jobTasks, remaining), types.ClassNormal, longRunTime); err != nil {
			return err
		}
	}
	c.runFor(stabilisationTime)
	if running := c.leaders[0].Overview().Tasks[table.TaskRunning]; running != tasks {
		return errs.New(errs.Internal, "got %d running tasks, want %d", running, tasks)
	}
	return nil
}

// runLoad submits a job with the given number of short tasks every second, for the time d.
func (c *dataCentre) runLoad(starts int, d time.Duration) error {
	for range int(d / time.Second) {
		if starts > 0 {
			if _, err := c.submitJob(c.leaders[0], starts, types.ClassNormal, shortRunTime); err != nil {
				return err
			}
		}
		c.runFor(time.Second)
	}
	return nil
}

func (d *daemon) totalBytes(prefix string) int64 {
	return d.calls.Total(prefix, meter.SentBytes) + d.calls.Total(prefix, meter.ReadBytes)
}

func (d *daemon) writes() int64 {
	return d.calls.Get(store.KindPut, meter.Calls) + d.calls.Get(store.KindDelete, meter.Calls) +
		d.calls.Get(store.KindRenew, meter.Calls) + d.calls.Get(store.KindGrant, meter.Calls)
}

func (d *daemon) reads() int64 {
	return d.calls.Get(store.KindGet, meter.Calls) + d.calls.Get(store.KindList, meter.Calls) +
		d.calls.Get(store.KindWatch, meter.Calls)
}

// targetDocument returns the default document with as many teams as the target has.
func targetDocument() *envdoc.Document {
	doc := envdoc.Default()
	for i := range TargetTeams {
		doc.Teams = append(doc.Teams, envdoc.Team{
			Name: types.TeamID(fmt.Sprintf("team-%d", i)), MaxClass: types.ClassUrgent, Quota: workerCapacity.Times(TargetWorkers),
		})
	}
	return &doc
}
