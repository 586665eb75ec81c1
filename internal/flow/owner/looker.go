package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// leaseTTL is how long tasks run on without a word from the lead. A new lead must hold them within it.
	leaseTTL = 5 * time.Second
	// longPollTimeout is how long a runner may wait for an end before it answers a hold.
	longPollTimeout = 1200 * time.Millisecond
	// longPollMargin limits how long the answer may take beyond that.
	longPollMargin = 700 * time.Millisecond
	// renewTimeout limits the answer to a hold that waits for nothing.
	renewTimeout = 900 * time.Millisecond
	// renewBackoff is the pause after a hold that failed.
	renewBackoff = 80 * time.Millisecond
	// acknowledgeDelay lets the write of ends finish before the next hold acknowledges them.
	acknowledgeDelay = 40 * time.Millisecond
	// storeContactTimeout is how long a lead goes on without a word from the store.
	storeContactTimeout = 8 * time.Second
)

// startRenewLoop starts the loop that holds a runner. The caller holds the lock.
func (o *Owner) startRenewLoop(r *tasks.Runner) {
	if _, ok := o.renewLoops[r]; ok || r.Info.Address == "" {
		return
	}
	o.renewLoops[r] = struct{}{}
	o.loops.Go(func() { o.renewLoop(r) })
}

// renewal is a hold that is about to be sent.
type renewal struct {
	to      agent.Runner
	request agent.RenewRequest
	sentAt  time.Time
}

// renewLoop holds a runner until it is gone.
func (o *Owner) renewLoop(r *tasks.Runner) {
	for o.ctx.Err() == nil {
		next, ok := o.nextRenewal(r)
		if !ok {
			return
		}
		if o.config.Clock.Since(o.config.LastContact()) > storeContactTimeout {
			o.sleep(renewBackoff)
			continue
		}
		delay := o.renewLeases(r, next)
		if delay > 0 {
			o.sleep(delay)
		}
	}
}

// nextRenewal returns the next hold of the runner, or false when the loop ends.
func (o *Owner) nextRenewal(r *tasks.Runner) (renewal, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	current := o.table.Runners[r.Info.ID] == r
	if !current || (!r.Listed && len(r.Runs) == 0) {
		delete(o.renewLoops, r)
		return renewal{}, false
	}
	next := renewal{to: r.Info, request: agent.RenewRequest{Fence: r.Fence, Acknowledged: r.DurableResult}, sentAt: now}
	switch {
	case !r.Synced:
		// Until it answers, nothing on the runner is known to be worth a lease.
	case !r.UnreachableSince.IsZero():
		// The lease of a silent runner is not extended, so that it is known when it ends.
		next.request.Deadline = r.Deadline
	default:
		next.request.Deadline = r.ExtendLease(now, leaseTTL)
		if !r.FencePending {
			next.request.Wait = longPollTimeout
		}
	}
	return next, true
}

// renewLeases sends one hold and returns the pause before the next.
func (o *Owner) renewLeases(r *tasks.Runner, next renewal) time.Duration {
	timeout := renewTimeout
	if next.request.Wait > 0 {
		timeout = next.request.Wait + longPollMargin
	}
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	o.counters.renewals.Inc(1)
	report, err := o.config.Agents.RenewLeases(ctx, next.to, next.request)
	if o.ctx.Err() != nil {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		return o.handleRenewFailure(r, next.request, err)
	}
	o.applyReport(r, next.request, report, next.sentAt)
	if len(report.Results) > 0 {
		return acknowledgeDelay
	}
	return 0
}

// handleRenewFailure notes a hold without an answer. The caller holds the lock.
func (o *Owner) handleRenewFailure(r *tasks.Runner, request agent.RenewRequest, err error) time.Duration {
	o.counters.renewFailures.Inc(1)
	if errs.Is(err, errs.Fenced) {
		if request.Fence == r.Fence {
			o.endTerm("runner " + string(r.Info.ID) + " has seen a later lead")
		}
		return renewBackoff
	}
	if r.UnreachableSince.IsZero() {
		r.UnreachableSince = o.config.Clock.Now()
		o.config.Log.Warn().Err(err).Str("Runner", string(r.Info.ID)).Int("Runs", len(r.Runs)).Msg("runner does not answer")
	}
	return renewBackoff
}

// applyReport takes in what a runner says of itself. The caller holds the lock.
func (o *Owner) applyReport(r *tasks.Runner, request agent.RenewRequest, report agent.Report, sentAt time.Time) {
	if o.table.Runners[r.Info.ID] != r {
		return
	}
	if report.Boot != 0 && r.Info.Boot != 0 && report.Boot != r.Info.Boot {
		o.runnerRestarted(r, report)
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
		o.applyResult(r, e)
	}
	listed := make(map[tasks.RunKey]bool, len(report.Running))
	for _, running := range report.Running {
		listed[tasks.RunKey{Ref: running.Ref, Attempt: running.Attempt}] = true
		o.applyRunning(r, running, now)
	}
	o.removeMissingRuns(r, listed, request.Fence, sentAt)
	o.checkProgress(r, now)
	if len(report.Results) > 0 || !r.Synced {
		wake(o.planWake)
	}
	if request.Fence == r.Fence {
		r.Synced = true
		r.FencePending = false
	}
}

// applyRunning takes in that an attempt runs.
func (o *Owner) applyRunning(r *tasks.Runner, running agent.Running, now time.Time) {
	key := tasks.RunKey{Ref: running.Ref, Attempt: running.Attempt}
	run := r.Runs[key]
	if run == nil {
		run = o.addReportedRun(r, key)
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
	if o.isUnwanted(run) {
		o.stopRun(run)
	}
}

// isUnwanted tells whether a run should not go on: nobody knows it, or its job ended otherwise.
func (o *Owner) isUnwanted(run *tasks.Run) bool {
	if run.Task == nil || run.Task.Run != run {
		return true
	}
	return run.Task.Step.Job.Ending && run.Task.State != tasks.Done
}

// addReportedRun adds an attempt that the tables do not hold at this runner, so that its room counts until it ended.
func (o *Owner) addReportedRun(r *tasks.Runner, key tasks.RunKey) *tasks.Run {
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

// removeMissingRuns settles the runs that a report does not list: an order under a lower fence can never be carried out
// any more, and one that was confirmed before the hold was sent has ended.
func (o *Owner) removeMissingRuns(r *tasks.Runner, listed map[tasks.RunKey]bool, fence agent.Fence, sentAt time.Time) {
	for key, run := range r.Runs {
		if listed[key] || !run.Sent {
			continue
		}
		invalidated := run.SentFence < fence && !run.InFlight
		ended := run.Confirmed && run.ConfirmedAt.Before(sentAt)
		if invalidated || ended {
			o.config.Log.Info().Str("Task", key.Ref.String()).Int("Attempt", int(key.Attempt)).
				Str("Runner", string(r.Info.ID)).Bool("Confirmed", run.Confirmed).Msg("attempt is not on its runner")
			o.runMissing(run, agent.LeaseExpired)
		}
	}
}

// runMissing ends a run that is surely not on its runner.
func (o *Owner) runMissing(run *tasks.Run, outcome agent.Outcome) {
	o.counters.runsLost.Inc(1)
	run.Runner.RemoveRun(run)
	if run.Task != nil {
		o.applyOutcome(run.Runner, run.Task, agent.Result{Ref: run.Key.Ref, Attempt: run.Key.Attempt, Outcome: outcome, Checkpoint: run.Checkpoint})
	}
}

// runnerRestarted replaces a runner by its next life, in which nothing of the former runs.
func (o *Owner) runnerRestarted(r *tasks.Runner, report agent.Report) {
	info := r.Info
	info.Boot = report.Boot
	o.replaceRunner(r, info)
}
