package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

type (
	// delayingDialer dials workers and holds back the first starts; remaining counts those still to be held back.
	delayingDialer struct {
		worker.Dialer
		held      *[]func()
		remaining *int
	}

	// delayingWorker is a worker behind a connection that holds starts back.
	delayingWorker struct {
		worker.Worker
		dialer delayingDialer
	}
)

// Dial returns the worker behind the delaying connection.
func (d delayingDialer) Dial(vm types.VM) worker.Worker {
	return &delayingWorker{Worker: d.Dialer.Dial(vm), dialer: d}
}

// Start returns an error of kind Lost for a held start, which the test delivers later.
func (s *delayingWorker) Start(ctx context.Context, r worker.StartRequest) (worker.Status, error) {
	if *s.dialer.remaining == 0 {
		return s.Worker.Start(ctx, r)
	}
	*s.dialer.remaining--
	*s.dialer.held = append(*s.dialer.held, func() { _, _ = s.Worker.Start(context.Background(), r) })
	return worker.Status{}, errs.New(errs.Lost, "the call is held back")
}

func TestStartThatArrivesLateIsHarmless(t *testing.T) {
	for _, later := range []time.Duration{0, time.Second, 5 * time.Second, 20 * time.Second} {
		t.Run(later.String(), func(t *testing.T) {
			f := newFixture(t, 2)
			m := f.addDaemon(testDataCentre, "e1")
			var held []func()
			remaining := 2
			m.cfg.Workers = delayingDialer{Dialer: m.cfg.Workers, held: &held, remaining: &remaining}
			f.waitUntil(2*time.Second, "a leader", f.hasLeader)
			j := f.job("refund", func(j *types.Job) {
				j.Task.Booking = true
				j.Task.Idempotent = false
				j.Task.RunTime = 30 * time.Second
				j.Batch.Count = 2
			})
			f.accept(j)
			f.waitUntil(5*time.Second, "the starts to be sent", func() bool { return remaining == 0 })
			f.run(later)
			for _, deliver := range held {
				deliver()
				f.checkRecords()
			}
			f.waitUntil(2*time.Minute, "the end of the job", f.allEnded([]types.Job{j}))
			f.wantState(j.ID, types.JobDone)
		})
	}
}

// TestWorkerWithStaleAttemptsIsNotOverfilled guards against placing more on a worker than it holds. The worker is
// unreachable, its work is started elsewhere, and it returns while it still runs that work under an earlier and
// longer lease. checkRecords, which runs at each tick, fails if a worker runs more than its capacity.
func TestWorkerWithStaleAttemptsIsNotOverfilled(t *testing.T) {
	f := newFixture(t, 2)
	f.addDaemon(testDataCentre, "e1")
	f.addDaemon(testDataCentre, "e2")
	f.doc.Placement.TaskLease = 2 * time.Minute
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	forever := func(j *types.Job) {
		j.Batch.Count = 4
		j.Task.RunTime = time.Hour
	}
	f.accept(f.job("first", forever))
	f.run(time.Second)
	w := f.workers["carthage-w00"]
	w.Faults.SetDown(true)
	f.doc.Placement.TaskLease = 10 * time.Second
	f.leader().dead = true
	// The 4 tasks of the first job.
	f.waitUntil(time.Minute, "the work to run elsewhere", func() bool {
		return len(f.workers["carthage-w01"].Record()) == 4
	})
	f.accept(f.job("second", forever))
	w.Faults.SetDown(false)
	// The 4 tasks of the first job, which ran here before, and the 4 of the second.
	f.waitUntil(time.Minute, "the second job to start", func() bool { return len(w.Record()) == 8 })
}

func TestResultIsCommittedBeforeItIsAcknowledged(t *testing.T) {
	// The task runs for 5 s, so it ends while the store is down. The last time exceeds the default task lease of 30 s.
	for _, down := range []time.Duration{8 * time.Second, 20 * time.Second, 40 * time.Second} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			f := newFixture(t, 1)
			f.addDaemon(testDataCentre, "e1")
			f.addDaemon(testDataCentre, "e2")
			f.waitUntil(2*time.Second, "a leader", f.hasLeader)
			j := f.job("refund", func(j *types.Job) { j.Task.Idempotent = false })
			f.accept(j)
			f.run(time.Second)
			f.store.Faults.SetDown(true)
			f.run(down)
			f.leader().dead = true
			f.run(2 * time.Second)
			f.store.Faults.SetDown(false)
			f.waitUntil(time.Minute, "the end of the job", f.allEnded([]types.Job{j}))
			f.wantState(j.ID, types.JobDone)
		})
	}
}
