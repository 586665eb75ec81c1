package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// applyReport applies a runner's answer to the renewal request that was sent at sentAt. The caller must hold o.mu.
func (o *Owner) applyReport(r *tasks.Runner, request agent.RenewRequest, report agent.Report, sentAt time.Time) {
	if o.table.Runners[r.Info.ID] != r {
		return
	}
	if report.Boot != 0 && r.Info.Boot != 0 && report.Boot != r.Info.Boot {
		o.runnerRestarted(r, report)
		return
	}
	now := o.config.Clock.Now()
	r.Replaced = false
	if !r.UnreachableSince.IsZero() {
		o.config.Log.Info().Str("Runner", string(r.Info.ID)).Dur("Silent", now.Sub(r.UnreachableSince)).Msg("runner is reachable again; the leases of its attempts are extended again")
		o.answers.noteReachable(now, r.UnreachableSince, len(o.table.Runners))
		o.forgetLoss(r)
		delete(o.unprovenLosses, r.Info.Address)
		r.UnreachableSince = time.Time{}
	}
	if r.ObserveClock(report.Clock, sentAt, now) {
		o.counters.clocksWentBack.Inc(1)
		o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Int("Runs", len(r.Runs)).Msg("the runner's clock went back; computing the deadlines of its leases from its present value")
	}
	if !r.Synced {
		// Another leader may have asked for a lease up to the maximum; from now on the runner refuses its requests.
		r.Deadline = r.Clock + agent.Clock(o.config.Bounds.MaxLeaseTTL)
	}
	madeAt := r.TimeOf(report.Clock, now)
	for _, e := range report.Results {
		o.applyResult(r, e)
	}
	listed := make(map[tasks.RunKey]bool, len(report.Running))
	for _, running := range report.Running {
		listed[tasks.RunKey{Ref: running.Ref, Attempt: running.Attempt}] = true
		o.applyRunning(r, running, madeAt)
	}
	if report.ListsAllResults() {
		o.removeMissingRuns(r, listed, request.Fence, sentAt)
		o.checkProgress(r, madeAt)
	} else {
		// An attempt that the report does not name may be done: it has neither been lost nor made no progress.
		o.counters.reportsTruncated.Inc(1)
		o.config.Log.Debug().Str("Runner", string(r.Info.ID)).Int("Results", len(report.Results)).Int("Runs", len(r.Runs)).
			Msg("runner may have more results than its report lists; attempts that it does not list are kept until a report lists all")
	}
	if len(report.Results) > 0 || !r.Synced {
		every.Wake(o.planWake)
	}
	if request.Fence == r.Fence {
		r.Synced = true
		r.FencePending = false
	}
}

// applyRunning applies the report that an attempt is running: it adds its run if the tables do not hold it on this
// runner, confirms the run, and records its progress and checkpoint. An attempt that is unwanted is stopped. The
// progress is that of madeAt, when the runner made the report: a report may be on its way, or wait to be read, for seconds. The
// caller must hold o.mu.
func (o *Owner) applyRunning(r *tasks.Runner, running agent.Running, madeAt time.Time) {
	key := tasks.RunKey{Ref: running.Ref, Attempt: running.Attempt}
	run := r.Runs[key]
	if run == nil {
		run = o.addReportedRun(r, key)
	}
	if run.InDoubt {
		o.config.Log.Info().Str("Task", key.Ref.String()).Int("Attempt", int(key.Attempt)).Str("Runner", string(r.Info.ID)).
			Int64("Boot", int64(r.Info.Boot)).Msg("attempt in doubt is on its runner's next boot; it goes on there")
		run.SettleOnBoot(o.config.Clock.Now())
	}
	if !run.Confirmed {
		run.Confirm(o.config.Clock.Now())
	}
	if run.FirstAt.IsZero() {
		run.First, run.FirstAt = running.Percent, madeAt
	}
	if running.Percent != run.Percent {
		run.Percent, run.ProgressAt = running.Percent, madeAt
	}
	run.ObserveCheckpoint(running.Checkpoint, madeAt)
	if o.isUnwanted(run) {
		o.stopRun(run)
	}
}

// isUnwanted reports whether a run should not go on: it is not the run of a task in the tables, or its job ended
// while the task was not done. The caller must hold o.mu.
func (o *Owner) isUnwanted(run *tasks.Run) bool {
	if run.Task == nil || run.Task.Run != run {
		return true
	}
	return run.Task.Step.Job.Ending && run.Task.State != tasks.Done
}

// addReportedRun adds a reported attempt that the tables do not hold on this runner, so that its resources count
// until it has ended. If the tables place the attempt on this runner, the run becomes that of its task; otherwise the
// caller stops it as unwanted. The run is marked as an orphan only when its task, and so its resources, is not known.
// The caller must hold o.mu.
func (o *Owner) addReportedRun(r *tasks.Runner, key tasks.RunKey) *tasks.Run {
	t := o.table.Task(key.Ref)
	if t != nil && t.Run == nil && t.State == tasks.Placed && t.Attempt == key.Attempt && t.Runner == r.Info.ID {
		run := r.PlaceTask(t, key.Attempt)
		o.noteSentByFormer(run)
		return run
	}
	r.LastStartAt = o.config.Clock.Now()
	run := &tasks.Run{Key: key, Runner: r, Sent: true, Orphan: t == nil}
	if t == nil {
		o.table.CountOrphan(run)
	} else {
		run.Resources = t.Step.Spec.Resources
		run.Organisation, run.Counted = t.Step.Job.Organisation, t.Step.Spec.Resources
	}
	r.AddRun(run)
	o.config.Log.Warn().Str("Task", key.Ref.String()).Int("Attempt", int(key.Attempt)).
		Str("Runner", string(r.Info.ID)).Int64("Boot", int64(r.Info.Boot)).Msg("runner reports an attempt that is not its task's current one; stopping it")
	return run
}

// removeMissingRuns removes the runs that a report with all results does not list: a start under a lower fence can never be
// executed any more, and a run that was confirmed before the renewal was sent has ended. The caller must hold o.mu.
func (o *Owner) removeMissingRuns(r *tasks.Runner, listed map[tasks.RunKey]bool, fence agent.Fence, sentAt time.Time) {
	for key, run := range r.Runs {
		if listed[key] || !run.Sent {
			continue
		}
		invalidated := run.SentFence < fence && !run.InFlight
		mayReachNextBoot := run.InDoubt && run.InFlight
		ended := run.Confirmed && !mayReachNextBoot && run.ConfirmedAt.Before(sentAt)
		if invalidated || ended {
			o.config.Log.Info().Str("Task", key.Ref.String()).Int("Attempt", int(key.Attempt)).
				Str("Runner", string(r.Info.ID)).Bool("Confirmed", run.Confirmed).Bool("InDoubt", run.InDoubt).Msg("attempt is missing from its runner's report; its task is handled as after an expired lease")
			if run.InDoubt {
				o.removeCrashedRun(run, run.LossIfAbsent)
				continue
			}
			o.removeAbsentRun(run, agent.LeaseExpired, tasks.Loss{})
		}
	}
}

// removeAbsentRun removes a run that is certainly not on its runner, and applies the outcome to its task. The loss is that of
// the runner, if it was lost. The counter runsLost counts all of these runs, also the starts that a runner rejected. The caller
// must hold o.mu.
func (o *Owner) removeAbsentRun(run *tasks.Run, outcome agent.Outcome, loss tasks.Loss) {
	o.counters.runsLost.Inc(1)
	end := o.countEarlyEnd(run, outcome)
	end.loss = loss
	run.Runner.RemoveRun(run)
	if run.Task != nil {
		o.applyOutcome(run.Runner, run.Task, agent.Result{Ref: run.Key.Ref, Attempt: run.Key.Attempt, Outcome: outcome, Checkpoint: run.Checkpoint}, end)
	}
}
