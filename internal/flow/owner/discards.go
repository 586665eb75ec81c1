package owner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// maxDiscardGap is the longest time between two discarded starts of one series.
const maxDiscardGap = 2 * time.Second

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
		// longest is the time, in milliseconds, from the first discarded start of a series to the latest, of the longest series that goes on.
		longest metrics.Gauge
		series  map[*tasks.Task]discardSeries
	}

	// discardSeries is a series of discarded starts of one task without one that was sent.
	discardSeries struct {
		first, latest time.Time
	}
)

func newDiscards(r metrics.Registry) discards {
	out := discards{
		counters: make(map[discardReason]metrics.Counter),
		longest:  metrics.GetOrRegisterGauge("Owner.StartsDiscardedForMs", r),
		series:   make(map[*tasks.Task]discardSeries),
	}
	for _, reason := range []discardReason{
		discardUnwanted, discardQuota, discardOutOfService, discardUnconfirmed, discardService, discardLabel, discardCapacity, discardTicket,
	} {
		out.counters[reason] = metrics.GetOrRegisterCounter("Owner.StartsDiscarded."+string(reason), r)
	}
	return out
}

// note notes that a start of the task was discarded, and returns how long its series of discarded starts is.
func (d *discards) note(t *tasks.Task, reason discardReason, now time.Time) time.Duration {
	d.counters[reason].Inc(1)
	if t == nil {
		return 0
	}
	s, ok := d.series[t]
	if !ok || !s.goesOn(now) {
		s.first = now
	}
	s.latest = now
	d.series[t] = s
	return s.latest.Sub(s.first)
}

// noteSent notes that a start of the task is sent.
func (d *discards) noteSent(t *tasks.Task) {
	delete(d.series, t)
}

// goesOn reports whether the latest start of the series was discarded within maxDiscardGap. Otherwise its task has waited for something
// else since, for room as an example.
func (s discardSeries) goesOn(now time.Time) bool {
	return now.Sub(s.latest) <= maxDiscardGap
}

// updateLongest updates the gauge, and forgets the series that have ended.
func (d *discards) updateLongest(now time.Time) {
	var longest time.Duration
	for t, s := range d.series {
		if !s.goesOn(now) || t.Step.Job.Ending {
			delete(d.series, t)
			continue
		}
		longest = max(longest, s.latest.Sub(s.first))
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
	case r.Info.Service != step.Job.Spec.Queue.Service:
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
