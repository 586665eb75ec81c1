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
	// delaying dials workers whose first start gets stuck on the way.
	delaying struct {
		worker.Dialer
		stuck *[]func()
		left  *int
	}

	// slowLink is a worker behind a link that holds a start back.
	slowLink struct {
		worker.Worker
		link delaying
	}
)

// Dial returns the worker behind the link.
func (d delaying) Dial(vm types.VM) worker.Worker {
	return &slowLink{Worker: d.Dialer.Dial(vm), link: d}
}

// Start loses the answer and delivers the call later.
func (s *slowLink) Start(ctx context.Context, r worker.StartRequest) (worker.Status, error) {
	if *s.link.left == 0 {
		return s.Worker.Start(ctx, r)
	}
	*s.link.left--
	*s.link.stuck = append(*s.link.stuck, func() { _, _ = s.Worker.Start(context.Background(), r) })
	return worker.Status{}, errs.New(errs.Lost, "the call is stuck on the way")
}

func TestStartThatArrivesLateIsHarmless(t *testing.T) {
	for _, later := range []time.Duration{0, time.Second, 5 * time.Second, 20 * time.Second} {
		t.Run(later.String(), func(t *testing.T) {
			r := newRig(t, 2)
			m := r.addLead(testSite, "e1")
			var stuck []func()
			left := 2
			m.cfg.Workers = delaying{Dialer: m.cfg.Workers, stuck: &stuck, left: &left}
			r.until(2*time.Second, "a lead", r.hasLead)
			j := r.job("refund", func(j *types.Job) {
				j.Task.Booking = true
				j.Task.Idempotent = false
				j.Task.RunTime = 30 * time.Second
				j.Batch.Count = 2
			})
			r.accept(j)
			r.until(5*time.Second, "the starts to be sent", func() bool { return left == 0 })
			r.run(later)
			for _, deliver := range stuck {
				deliver()
				r.checkRecords()
			}
			r.until(2*time.Minute, "the end of the job", r.ended([]types.Job{j}))
			r.wantState(j.ID, types.JobDone)
		})
	}
}

// TestWorkerWithStaleAttemptsIsNotOverfilled has a worker come back that still runs, under an earlier and
// longer lease, what was started elsewhere meanwhile.
func TestWorkerWithStaleAttemptsIsNotOverfilled(t *testing.T) {
	r := newRig(t, 2)
	r.addLead(testSite, "e1")
	r.addLead(testSite, "e2")
	r.doc.Placement.TaskLease = 2 * time.Minute
	r.until(2*time.Second, "a lead", r.hasLead)
	forever := func(j *types.Job) {
		j.Batch.Count = 4
		j.Task.RunTime = time.Hour
	}
	r.accept(r.job("first", forever))
	r.run(time.Second)
	w := r.workers["carthage-w00"]
	w.Faults.SetDown(true)
	r.doc.Placement.TaskLease = 10 * time.Second
	r.lead().dead = true
	r.until(time.Minute, "the work to run elsewhere", func() bool {
		return len(r.workers["carthage-w01"].Record()) == 4
	})
	r.accept(r.job("second", forever))
	w.Faults.SetDown(false)
	r.until(time.Minute, "the second job to start", func() bool { return len(w.Record()) == 8 })
}

func TestEndIsCommittedBeforeItIsAcknowledged(t *testing.T) {
	for _, down := range []time.Duration{8 * time.Second, 20 * time.Second, 40 * time.Second} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			r := newRig(t, 1)
			r.addLead(testSite, "e1")
			r.addLead(testSite, "e2")
			r.until(2*time.Second, "a lead", r.hasLead)
			j := r.job("refund", func(j *types.Job) { j.Task.Idempotent = false })
			r.accept(j)
			r.run(time.Second)
			r.store.Faults.SetDown(true)
			r.run(down)
			r.lead().dead = true
			r.run(2 * time.Second)
			r.store.Faults.SetDown(false)
			r.until(time.Minute, "the end of the job", r.ended([]types.Job{j}))
			r.wantState(j.ID, types.JobDone)
		})
	}
}
