package owner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// Reasons for which a start is discarded before it is sent.
const (
	// discardUnwanted means that its task no longer wants it, since its job has ended for example.
	discardUnwanted discardReason = "Unwanted"
	// discardQuota means that the quota of its organisation was lowered.
	discardQuota discardReason = "Quota"
	// discardOutOfService means that its runner gets no new tasks any more, or not now.
	discardOutOfService discardReason = "OutOfService"
	// discardUnconfirmed means that this leader's directory is too old, or its leadership not confirmed.
	discardUnconfirmed discardReason = "Unconfirmed"
	// discardService means that its runner is not of the service to which its queue is sent.
	discardService discardReason = "Service"
	// discardLabel means that its runner lacks the label that its step requires.
	discardLabel discardReason = "Label"
	// discardCapacity means that its runner has too little capacity.
	discardCapacity discardReason = "Capacity"
	// discardTicket means that its ticket may expire on the way, or that of another member of its gang.
	discardTicket discardReason = "Ticket"
)

type (
	// discardReason is why a start is discarded; empty means that it may be sent.
	discardReason string

	// discards counts the discarded starts by reason, and finds tasks whose starts are discarded again and again. Its methods require
	// Owner.mu.
	discards struct {
		counters map[discardReason]metrics.Counter
		// longest is for how long, in milliseconds, a task that waits has had starts that were all discarded.
		longest metrics.Gauge
		// since holds the tasks whose latest start was discarded, and when the first of the discarded ones in a row was.
		since map[*tasks.Task]time.Time
	}
)

func newDiscards(r metrics.Registry) discards {
	out := discards{
		counters: make(map[discardReason]metrics.Counter),
		longest:  metrics.GetOrRegisterGauge("Owner.StartsDiscardedForMs", r),
		since:    make(map[*tasks.Task]time.Time),
	}
	for _, reason := range []discardReason{
		discardUnwanted, discardQuota, discardOutOfService, discardUnconfirmed, discardService, discardLabel, discardCapacity, discardTicket,
	} {
		out.counters[reason] = metrics.GetOrRegisterCounter("Owner.StartsDiscarded."+string(reason), r)
	}
	return out
}

// note notes that a start of the task was discarded, and returns for how long all starts of it have been.
func (d *discards) note(t *tasks.Task, reason discardReason, now time.Time) time.Duration {
	d.counters[reason].Inc(1)
	if t == nil {
		return 0
	}
	since, ok := d.since[t]
	if !ok {
		since = now
		d.since[t] = since
	}
	return now.Sub(since)
}

// noteSent notes that a start of the task is sent.
func (d *discards) noteSent(t *tasks.Task) {
	delete(d.since, t)
}

// updateLongest updates the gauge, and forgets the tasks that do not wait for a start any more.
func (d *discards) updateLongest(now time.Time) {
	var longest time.Duration
	for t, since := range d.since {
		if t.State == tasks.Done || t.Step.Job.Ending {
			delete(d.since, t)
			continue
		}
		longest = max(longest, now.Sub(since))
	}
	d.longest.Update(longest.Milliseconds())
}

// discardReasonOf returns why a start that was not sent yet must be discarded, or "" if it may be sent. The caller must hold o.mu.
func (o *Owner) discardReasonOf(run *tasks.Run, now time.Time) discardReason {
	switch {
	case run.StartCancelled || o.isUnwanted(run):
		return discardUnwanted
	case o.isOverQuota(run):
		return discardQuota
	case !run.Runner.Available(now):
		return discardOutOfService
	case !o.knowsDirectory() || !o.isLeadershipConfirmed():
		return discardUnconfirmed
	case !suitsRunner(run):
		return unsuitedBy(run)
	case o.hasStaleTicket(run, now):
		return discardTicket
	default:
		return ""
	}
}

// suitsRunner reports whether the runner of a run may still run it by its latest entry, and by the latest catalog: its service, its
// labels and its capacity may have changed since the plan.
func suitsRunner(run *tasks.Run) bool {
	return unsuitedBy(run) == ""
}

// unsuitedBy returns why the runner of a run may not run it any more, or "" if it may.
func unsuitedBy(run *tasks.Run) discardReason {
	r, step := run.Runner, run.Task.Step
	switch {
	case !r.Serves(step) && r.Info.Service != step.Job.Spec.Queue.Service:
		return discardService
	case !r.Serves(step):
		return discardLabel
	case r.IsOvercommitted():
		return discardCapacity
	default:
		return ""
	}
}

// discardStart counts and logs a start that is discarded, and discards its run. The caller must hold o.mu.
func (o *Owner) discardStart(run *tasks.Run, reason discardReason) {
	o.counters.startsDiscarded.Inc(1)
	discardedFor := o.discards.note(run.Task, reason, o.config.Clock.Now())
	var queue types.ServiceName
	if run.Task != nil {
		queue = run.Task.Step.Job.Spec.Queue.Service
	}
	o.config.Log.Info().Str("Task", run.Key.Ref.String()).Int("Attempt", int(run.Key.Attempt)).Str("Runner", string(run.Runner.Info.ID)).
		Str("Reason", string(reason)).Str("Service", string(run.Runner.Info.Service)).Str("QueueService", string(queue)).Dur("DiscardedFor", discardedFor).
		Msg("start discarded before it was sent")
	o.discardRun(run)
}

// discardRun removes a run whose start was never sent, and requeues its task. The caller must hold o.mu.
func (o *Owner) discardRun(run *tasks.Run) {
	run.Runner.RemoveRun(run)
	o.applyOutcome(run.Runner, run.Task, agent.Result{Ref: run.Key.Ref, Attempt: run.Key.Attempt, Outcome: agent.Stopped, Checkpoint: run.Checkpoint}, earlyEnd{cause: causeOf(run, agent.Stopped)})
}
