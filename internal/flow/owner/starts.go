package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// requestTimeout limits how long a runner may take to answer a stop, and any try of a start.
	requestTimeout = 600 * time.Millisecond
	// ticketMargin is the part of a ticket's validity that is reserved for the transmission of a start to its runner.
	ticketMargin = 60 * time.Millisecond
	// maxStartTries is how often an unanswered start is sent before the fence is raised. A further try has no effect on a runner that
	// has executed an earlier one, and costs far less time than a new fence.
	maxStartTries = 3
	// stopRetryInterval is the time after which a stop is sent again if the run still goes on.
	stopRetryInterval = 700 * time.Millisecond
)

// recordStart records the intent of a start; the start is sent once the intent is durable. All starts of a gang's attempt
// are recorded under one lock, so all have the same checkpoint, which stays that of the attempt. The caller must hold o.mu.
func (o *Owner) recordStart(s order.Start) {
	t := s.Task
	attempt := t.Attempt + 1
	if t.Step.Spec.Gang {
		attempt = t.Step.GangAttempt(s.Task)
	}
	o.recordAddress(s.Runner)
	run := s.Runner.PlaceTask(t, attempt)
	now := o.config.Clock.Now()
	s.Runner.LastStartAt = now
	if s.Quiet {
		s.Runner.KeepQuiet(run)
		o.counters.quietStarts.Inc(1)
	}
	run.Ticket, run.TicketUntil = s.Ticket, s.TicketUntil
	c := t.Change()
	c.State, c.Attempt, c.Runner = tasks.Placed, attempt, s.Runner.Info.ID
	run.StartCheckpoint, run.Checkpoint = c.Saved, c.Saved
	o.window.begin()
	o.record(tasks.Record{Task: c}, func() {
		o.load.noteDurable(o.config.Clock.Since(now))
		o.dispatchStart(run)
		o.endStart()
	})
}

// dispatchStart sends the start of a durable intent, or discards the run when it is not wanted any more, when its
// ticket is about to expire, when its organisation's quota was lowered, when its runner may not run it any more, or when its runner
// is no longer available or may be draining. A newer catalog is applied first, since it may have arrived after the last plan. The caller must hold o.mu.
func (o *Owner) dispatchStart(run *tasks.Run) {
	o.applyCatalog()
	if run.Runner.Runs[run.Key] != run {
		return
	}
	if reason := o.discardReasonOf(run, o.config.Clock.Now()); reason != "" {
		o.discardStart(run, reason)
		return
	}
	o.discards.noteSent(run.Task)
	o.sendStart(run)
}

// lacksTicket reports whether the queue of a run got a recommendation after its start was decided, so that its runner rejects it.
func lacksTicket(run *tasks.Run) bool {
	return run.Task.Step.NeedsTicket() && run.TicketUntil.IsZero()
}

// hasStaleTicket reports whether a start that needs a ticket has none that stays valid on its way to the runner, or another member of its
// gang: one member that is rejected breaks the gang. The caller must hold o.mu.
func (o *Owner) hasStaleTicket(run *tasks.Run, now time.Time) bool {
	if !run.Task.Step.NeedsTicket() {
		return false
	}
	arrival := now.Add(ticketMargin/2 + o.load.ticketDelay())
	isStale := func(r *tasks.Run) bool { return r.TicketUntil.Before(arrival) }
	if isStale(run) || !run.Task.Step.Spec.Gang {
		return isStale(run)
	}
	for _, m := range run.Task.Step.Tasks {
		if m.Run != nil && m.Run.Key.Attempt == run.Key.Attempt && !m.Run.Sent && isStale(m.Run) {
			return true
		}
	}
	return false
}

// sendStart sends a start in the background. The caller must hold o.mu.
func (o *Owner) sendStart(run *tasks.Run) {
	r := run.Runner
	now := o.config.Clock.Now()
	request := o.startRequest(run)
	if j := run.Task.Step.Job; j.Started.IsZero() {
		j.Started = now
		o.config.Log.Info().Str("Job", string(j.Spec.ID)).Str("Runner", string(r.Info.ID)).Int("Tasks", len(run.Task.Step.Tasks)).
			Dur("After", now.Sub(j.Spec.Accepted)).Dur("TicketLeft", elapsed(run.TicketUntil, now)).Msg("sending the first start of the job")
		o.counters.dueToStart.Update(now.Sub(run.Task.Step.Occurrence.Due))
		o.organisationCounters.started(&j.Spec, now)
	}
	if !run.Sent {
		run.SentAt = now
	} else {
		o.counters.startsRepeated.Inc(1)
	}
	run.Sent, run.InFlight, run.LastSentAt = true, true, now
	run.SentFence = r.Fence
	run.Tries++
	o.counters.starts.Inc(1)
	o.load.inFlight++
	o.window.begin()
	info := r.Info
	timeout := o.startTimeout(run.Tries)
	go o.guarded("answer of a runner", func() {
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		err := o.config.Agents.Start(ctx, info, request)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.ctx.Err() != nil {
			return
		}
		o.load.inFlight--
		o.endStart()
		took := o.config.Clock.Since(now)
		o.counters.startLatency.Update(took)
		if err == nil {
			o.answers.starts.Observe(took)
		}
		o.applyStartAnswer(run, request, err)
	})()
}

// startRequest returns the request to start a run, whose lease begins now. The caller must hold o.mu.
func (o *Owner) startRequest(run *tasks.Run) agent.StartRequest {
	r := run.Runner
	return agent.StartRequest{
		Ref: run.Key.Ref, Attempt: run.Key.Attempt, Payload: run.Task.Step.Job.Spec.Payload,
		Deadline: r.ExtendLease(o.config.Clock.Now(), leaseTTL), Fence: r.Fence, Checkpoint: run.StartCheckpoint, Ticket: run.Ticket,
	}
}

// applyStartAnswer applies the answer to a start. The caller must hold o.mu.
func (o *Owner) applyStartAnswer(run *tasks.Run, request agent.StartRequest, err error) {
	run.InFlight = false
	r := run.Runner
	if r.Runs[run.Key] != run {
		return
	}
	switch {
	case err == nil:
		o.answers.noteStart(o.config.Clock.Now(), run.Tries, len(o.table.Runners))
		if !run.Confirmed {
			run.Confirm(o.config.Clock.Now())
		}
		if o.isUnwanted(run) || run.StartCancelled {
			o.stopRun(run)
		}
	case errs.Is(err, errs.Lost):
		o.retryUnanswered(run)
	case errs.Is(err, errs.Fenced) && request.Fence == r.Fence:
		o.handleFenced(r)
		o.applyRejection(run, err)
	default:
		o.applyRejection(run, err)
	}
}

// retryUnanswered sends an unanswered start again, which has no effect if the first was executed; after that it
// raises the fence, which invalidates the starts that were not executed. The caller must hold o.mu.
func (o *Owner) retryUnanswered(run *tasks.Run) {
	o.counters.startsUnanswered.Inc(1)
	if run.Confirmed {
		return
	}
	o.config.Log.Info().Str("Task", run.Key.Ref.String()).Int("Attempt", int(run.Key.Attempt)).
		Str("Runner", string(run.Runner.Info.ID)).Int("Tries", run.Tries).Msg("start was not answered; it is in doubt whether the attempt runs")
	// A run in doubt may be on the next boot already, or have crashed the former one.
	isWanted := !run.InDoubt && !run.StartCancelled && !o.isUnwanted(run) && !o.isOverQuota(run) && suitsRunner(run) && !lacksTicket(run)
	if run.Tries < maxStartTries && isWanted && run.Runner.InService() && o.isLeadershipConfirmed() {
		o.sendStart(run)
		return
	}
	o.raiseFence(run)
}

// applyRejection applies a runner's refusal of a start. Earlier tries may still be executed until the fence is
// raised. The caller must hold o.mu.
func (o *Owner) applyRejection(run *tasks.Run, err error) {
	o.counters.startsRejected.Inc(1)
	o.config.Log.Info().Err(err).Str("Task", run.Key.Ref.String()).Int("Attempt", int(run.Key.Attempt)).
		Str("Runner", string(run.Runner.Info.ID)).Msg("start was rejected by the runner")
	if run.Confirmed {
		return
	}
	if run.Tries > 1 {
		o.raiseFence(run)
		return
	}
	if errs.Is(err, errs.Denied) && run.Task != nil {
		delete(run.Task.Step.Advice.Answers, run.Runner.Incarnation())
	}
	if run.Task != nil {
		run.Task.NotBefore = o.config.Clock.Now().Add(retryBackoff)
	}
	o.removeAbsentRun(run, agent.Stopped, tasks.Loss{})
}

// raiseFence raises the fence of a run's runner above all starts that were sent for the run. A start that has not
// been executed when the runner's next lease renewal arrives is then never executed. The caller must hold o.mu.
func (o *Owner) raiseFence(run *tasks.Run) {
	r := run.Runner
	if run.SentFence >= r.Fence {
		r.Fence = o.nextFence()
	}
	r.FencePending = true
}

// stopRun requests the stop of a run; its resources are free once the runner lists its result. A start that was not
// sent yet is cancelled instead. The caller must hold o.mu.
func (o *Owner) stopRun(run *tasks.Run) {
	now := o.config.Clock.Now()
	if run.Runner.Runs[run.Key] != run {
		return
	}
	if !run.Sent {
		run.StartCancelled = true
		return
	}
	if run.Stopping && now.Sub(run.StopSent) < stopRetryInterval {
		return
	}
	run.StartCancelled = true
	r := run.Runner
	if r.Info.Address == "" {
		// A runner that left before this term was never listed in it, so its address is not known; its runs end with
		// their leases.
		return
	}
	run.Stopping, run.StopSent = true, now
	o.counters.stops.Inc(1)
	info, request := r.Info, agent.StopRequest{Ref: run.Key.Ref, Attempt: run.Key.Attempt, Fence: r.Fence}
	go o.guarded("answer of a runner", func() {
		ctx, cancel := context.WithTimeout(o.ctx, requestTimeout)
		defer cancel()
		if err := o.config.Agents.Stop(ctx, info, request); err != nil && o.ctx.Err() == nil {
			o.config.Log.Info().Err(err).Str("Task", request.Ref.String()).Str("Runner", string(info.ID)).Msg("stop was not confirmed by the runner; it is sent again if the attempt goes on")
		}
	})()
}
