package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// leaseTime is how long tasks run on without a word from the lead. A new lead must hold them within it.
	leaseTime = 5 * time.Second
	// holdWait is how long a runner may wait for an end before it answers a hold.
	holdWait = 1200 * time.Millisecond
	// holdLimit limits how long the answer may take beyond that.
	holdLimit = 700 * time.Millisecond
	// urgentLimit limits the answer to a hold that waits for nothing.
	urgentLimit = 900 * time.Millisecond
	// holdPause is the pause after a hold that failed.
	holdPause = 80 * time.Millisecond
	// endsPause lets the write of ends finish before the next hold acknowledges them.
	endsPause = 40 * time.Millisecond
	// loneLead is how long a lead goes on without a word from the store.
	loneLead = 8 * time.Second
)

// look starts the loop that holds a runner. The caller holds the lock.
func (o *Owner) look(r *tasks.Runner) {
	if _, ok := o.lookers[r]; ok || r.Info.Address == "" {
		return
	}
	o.lookers[r] = struct{}{}
	o.loops.Go(func() { o.lookLoop(r) })
}

// nextHold is a hold that is about to be sent.
type nextHold struct {
	to      agent.Runner
	request agent.RenewRequest
	sent    time.Time
}

// lookLoop holds a runner until it is gone.
func (o *Owner) lookLoop(r *tasks.Runner) {
	for o.ctx.Err() == nil {
		next, ok := o.nextHold(r)
		if !ok {
			return
		}
		if o.config.Clock.Since(o.config.LastContact()) > loneLead {
			o.sleep(holdPause)
			continue
		}
		pause := o.hold(r, next)
		if pause > 0 {
			o.sleep(pause)
		}
	}
}

// nextHold returns the next hold of the runner, or false when the loop ends.
func (o *Owner) nextHold(r *tasks.Runner) (nextHold, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	current := o.table.Runners[r.Info.ID] == r
	if !current || (!r.Listed && len(r.Runs) == 0) {
		delete(o.lookers, r)
		return nextHold{}, false
	}
	next := nextHold{to: r.Info, request: agent.RenewRequest{Fence: r.Fence, Acknowledged: r.DurableResult}, sent: now}
	switch {
	case !r.Synced:
		// Until it answers, nothing on the runner is known to be worth a lease.
	case !r.UnreachableSince.IsZero():
		// The lease of a silent runner is not extended, so that it is known when it ends.
		next.request.Deadline = r.Deadline
	default:
		next.request.Deadline = r.ExtendLease(now, leaseTime)
		if !r.FencePending {
			next.request.Wait = holdWait
		}
	}
	return next, true
}

// hold sends one hold and returns the pause before the next.
func (o *Owner) hold(r *tasks.Runner, next nextHold) time.Duration {
	limit := urgentLimit
	if next.request.Wait > 0 {
		limit = next.request.Wait + holdLimit
	}
	ctx, cancel := context.WithTimeout(o.ctx, limit)
	defer cancel()
	o.counters.holds.Inc(1)
	report, err := o.config.Agents.RenewLeases(ctx, next.to, next.request)
	if o.ctx.Err() != nil {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		return o.holdFailed(r, next.request, err)
	}
	o.report(r, next.request, report, next.sent)
	if len(report.Results) > 0 {
		return endsPause
	}
	return 0
}

// holdFailed notes a hold without an answer. The caller holds the lock.
func (o *Owner) holdFailed(r *tasks.Runner, request agent.RenewRequest, err error) time.Duration {
	o.counters.holdFails.Inc(1)
	if errs.Is(err, errs.Fenced) {
		if request.Fence == r.Fence {
			o.fenced("runner " + string(r.Info.ID) + " has seen a later lead")
		}
		return holdPause
	}
	if r.UnreachableSince.IsZero() {
		r.UnreachableSince = o.config.Clock.Now()
		o.config.Log.Warn().Err(err).Str("Runner", string(r.Info.ID)).Int("Runs", len(r.Runs)).Msg("runner does not answer")
	}
	return holdPause
}

// report takes in what a runner says of itself. The caller holds the lock.
func (o *Owner) report(r *tasks.Runner, request agent.RenewRequest, report agent.Report, sent time.Time) {
	if o.table.Runners[r.Info.ID] != r {
		return
	}
	if report.Boot != 0 && r.Info.Boot != 0 && report.Boot != r.Info.Boot {
		o.reborn(r, report)
		return
	}
	now := o.config.Clock.Now()
	if !r.UnreachableSince.IsZero() {
		o.config.Log.Info().Str("Runner", string(r.Info.ID)).Dur("Silent", now.Sub(r.UnreachableSince)).Msg("runner answers again")
		r.UnreachableSince = time.Time{}
	}
	r.ObserveClock(report.Clock, now)
	if !r.Synced {
		// Another lead may have asked for a lease up to the longest; from now on its orders are refused.
		r.Deadline = r.Clock + agent.Clock(o.config.Bounds.MaxLeaseTTL)
	}
	for _, e := range report.Results {
		o.ended(r, e)
	}
	listed := make(map[tasks.RunKey]bool, len(report.Running))
	for _, running := range report.Running {
		listed[tasks.RunKey{Ref: running.Ref, Attempt: running.Attempt}] = true
		o.running(r, running, now)
	}
	o.missing(r, listed, request.Fence, sent)
	o.assess(r, now)
	if len(report.Results) > 0 || !r.Synced {
		wake(o.planWake)
	}
	if request.Fence == r.Fence {
		r.Synced = true
		r.FencePending = false
	}
}

// running takes in that an attempt runs.
func (o *Owner) running(r *tasks.Runner, running agent.Running, now time.Time) {
	key := tasks.RunKey{Ref: running.Ref, Attempt: running.Attempt}
	run := r.Runs[key]
	if run == nil {
		run = o.stray(r, key)
	}
	if !run.Confirmed {
		run.Confirm(now)
	}
	if run.FirstAt.IsZero() {
		run.First, run.FirstAt = running.Percent, now
	}
	if running.Percent != run.Percent {
		run.Percent, run.ProgressAt = running.Percent, now
	}
	if running.Checkpoint != "" {
		run.Checkpoint = running.Checkpoint
		if run.Task != nil && run.Task.Run == run {
			run.Task.Checkpoint = running.Checkpoint
		}
	}
	if o.unwanted(run) {
		o.stop(run)
	}
}

// unwanted tells whether a run should not go on: nobody knows it, or its job ended otherwise.
func (o *Owner) unwanted(run *tasks.Run) bool {
	if run.Task == nil || run.Task.Run != run {
		return true
	}
	return run.Task.Step.Job.Ending && run.Task.State != tasks.Done
}

// stray adds an attempt that the tables do not hold at this runner, so that its room counts until it ended.
func (o *Owner) stray(r *tasks.Runner, key tasks.RunKey) *tasks.Run {
	t := o.table.Task(key.Ref)
	if t != nil && t.Run == nil && t.State == tasks.Placed && t.Attempt == key.Attempt && t.Runner == r.Info.ID {
		run := r.PlaceTask(t, key.Attempt)
		run.Sent = true
		return run
	}
	run := &tasks.Run{Key: key, Runner: r, Sent: true, Orphan: t == nil}
	if t != nil {
		run.Resources = t.Step.Spec.Resources
	}
	r.AddRun(run)
	o.config.Log.Warn().Str("Task", key.Ref.String()).Int("Attempt", int(key.Attempt)).
		Str("Runner", string(r.Info.ID)).Msg("runner runs an attempt that is not wanted")
	return run
}

// missing settles the runs that a report does not list: an order under a lower fence can never be carried out
// any more, and one that was confirmed before the hold was sent has ended.
func (o *Owner) missing(r *tasks.Runner, listed map[tasks.RunKey]bool, fence agent.Fence, sent time.Time) {
	for key, run := range r.Runs {
		if listed[key] || !run.Sent {
			continue
		}
		void := run.SentFence < fence && !run.InFlight
		over := run.Confirmed && run.ConfirmedAt.Before(sent)
		if void || over {
			o.config.Log.Info().Str("Task", key.Ref.String()).Int("Attempt", int(key.Attempt)).
				Str("Runner", string(r.Info.ID)).Bool("Confirmed", run.Confirmed).Msg("attempt is not on its runner")
			o.lost(run, agent.LeaseExpired)
		}
	}
}

// lost ends a run that is surely not on its runner.
func (o *Owner) lost(run *tasks.Run, how agent.Outcome) {
	o.counters.lost.Inc(1)
	run.Runner.RemoveRun(run)
	if run.Task != nil {
		o.settle(run.Runner, run.Task, agent.Result{Ref: run.Key.Ref, Attempt: run.Key.Attempt, Outcome: how, Checkpoint: run.Checkpoint})
	}
}

// reborn replaces a runner by its next life, in which nothing of the former runs.
func (o *Owner) reborn(r *tasks.Runner, report agent.Report) {
	info := r.Info
	info.Boot = report.Boot
	o.replace(r, info)
}
