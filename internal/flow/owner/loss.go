package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// suspectAge is how old a run may be for its task to count as a possible cause of its runner's crash. A crash that breaks no
	// connection is noticed only when a lease renewal times out.
	suspectAge = 3 * time.Second
	// promptAge is how soon after its start a run must be lost for a crash to follow from it at once. That includes the time until a
	// broken connection is noticed.
	promptAge = 250 * time.Millisecond
	// maxSuspects is how many tasks or gangs are suspected of one crash. Each of them keeps other starts off a runner for a while.
	maxSuspects = 3
	// lastingProofAge is how long a run of a service must have gone on for the loss of its runner not to count against it.
	lastingProofAge = 10 * time.Second
	// clearingAge is how long an attempt must have gone on for the earlier losses of its task not to count any more. A task that
	// crashes its runners later than that costs one in each such time.
	clearingAge = 10 * time.Minute
	// brokenWindow is the time before and after the loss of a runner in which other losses count as simultaneous, if their connections
	// broke, which is noticed at once. silentWindow is that for runners that no longer answer.
	brokenWindow = 150 * time.Millisecond
	silentWindow = 2 * time.Second
	// minMassLoss is how many simultaneous losses, and massLossDivisor which fraction of all runners, 1/massLossDivisor, have no
	// task as their cause.
	minMassLoss     = 4
	massLossDivisor = 16
	// silentTimeout is how long a call that does not wait for results must have taken to count as unanswered.
	silentTimeout = 300 * time.Millisecond
	// silentMarginDivisor is the part of a call's time-out, 1/silentMarginDivisor, by which a timer may be early, as the relay's is.
	silentMarginDivisor = 10
	// lossMemory is how long losses are remembered.
	lossMemory = 30 * time.Second
)

// runnerLoss is a runner that became unreachable.
type runnerLoss struct {
	runner specs.RunnerID
	at     time.Time
	// silent is set when the runner no longer answered, and its connections did not break.
	silent bool
	// explained is set when a task that may have crashed a runner before was on it.
	explained bool
}

// isSilent reports whether a renewal that failed after the given time got no answer, in contrast to one whose connection broke. The
// time-out of one that does not wait for results may be shorter than silentTimeout.
func isSilent(sent renewal, took time.Duration) bool {
	return took >= min(max(sent.request.Wait, silentTimeout), sent.timeout-sent.timeout/silentMarginDivisor)
}

// noteUnreachable notes that the lease renewals of a runner have begun to fail. The caller must hold o.mu.
func (o *Owner) noteUnreachable(r *tasks.Runner, silent bool) {
	now := o.config.Clock.Now()
	r.UnreachableSince, r.Silent = now, silent
	o.losses = slices.DeleteFunc(o.losses, func(l runnerLoss) bool { return now.Sub(l.at) >= lossMemory })
	o.losses = append(o.losses, runnerLoss{runner: r.Info.ID, at: now, silent: silent, explained: r.HasSuspect()})
}

// forgetLoss removes the latest loss of a runner that answers again: it was only silent. The caller must hold o.mu.
func (o *Owner) forgetLoss(r *tasks.Runner) {
	o.losses = slices.DeleteFunc(o.losses, func(l runnerLoss) bool {
		return l.runner == r.Info.ID && l.at.Equal(r.UnreachableSince)
	})
}

// unexplainedLosses returns how many runners without a suspected task were lost at about the given time, as one that was silent or
// one whose connections broke. The caller must hold o.mu.
func (o *Owner) unexplainedLosses(at time.Time, silent bool) int {
	n := 0
	for _, l := range o.losses {
		window := brokenWindow
		if silent || l.silent {
			window = silentWindow
		}
		if !l.explained && l.at.Sub(at).Abs() <= window {
			n++
		}
	}
	return n
}

// runnerGone handles the proof that a runner is gone: another one answers at its address. Nothing of it runs any more. The
// caller must hold o.mu.
func (o *Owner) runnerGone(r *tasks.Runner) {
	if r.Replaced {
		return
	}
	r.Replaced, r.Listed = true, false
	o.counters.runnersReplaced.Inc(1)
	o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Str("Address", string(r.Info.Address)).Int("Runs", len(r.Runs)).Bool("Draining", r.Info.Draining).
		Dur("Silent", elapsed(o.config.Clock.Now(), r.UnreachableSince)).Msg("another runner answers at the runner's address; it has crashed or left")
	o.confirmLoss(r.Info.Address)
	o.removeLostRuns(r, true)
}

// removeLostRuns removes the runs of a runner that is lost. Crashed is set when it has certainly crashed or left, in contrast to
// one that was out of reach until its leases expired, and whose unsent starts are discarded elsewhere. The caller must hold o.mu.
func (o *Owner) removeLostRuns(r *tasks.Runner, crashed bool) {
	losses := o.assessLoss(r, crashed)
	if !crashed {
		o.noteUnprovenLoss(r, losses)
	}
	for _, run := range r.Runs {
		if !crashed && !run.Sent {
			continue
		}
		loss := losses[run]
		if run.InDoubt {
			loss = run.LossIfAbsent
		}
		if crashed {
			o.removeCrashedRun(run, loss)
			continue
		}
		o.removeAbsentRun(run, agent.LeaseExpired, loss)
	}
}

// removeCrashedRun removes a run whose runner has crashed or left. The caller must hold o.mu.
func (o *Owner) removeCrashedRun(run *tasks.Run, loss tasks.Loss) {
	run.StopCause = cmp.Or(run.StopCause, tasks.EndedRunnerLeft)
	o.removeAbsentRun(run, agent.LeaseExpired, loss)
}

// assessLoss returns what the loss of a runner tells of its runs, but for those in doubt, of which the loss of the former boot tells. The
// caller must hold o.mu.
func (o *Owner) assessLoss(r *tasks.Runner, crashed bool) map[*tasks.Run]tasks.Loss {
	now := o.config.Clock.Now()
	lostAt := r.UnreachableSince
	if lostAt.IsZero() {
		lostAt = now
	}
	others := o.unexplainedLosses(lostAt, r.Silent)
	isMass := others >= max(minMassLoss, len(o.table.Runners)/massLossDivisor)
	if r.Info.Draining || (isMass && !crashed) {
		// A draining runner leaves as announced. Many runners at once are out of reach for another reason than their tasks.
		return nil
	}
	var culprit *tasks.Run
	if crashed && !isMass {
		culprit = soleSuspect(r, now)
	}
	out := make(map[*tasks.Run]tasks.Loss)
	for _, run := range r.Runs {
		if !run.Sent || run.InDoubt || run.Task == nil || run.Task.Run != run || hasProvedItself(run, now) {
			continue
		}
		out[run] = tasks.Loss{Counts: true, Lasted: run.Age(now) >= clearingAge}
		if crashed {
			out[run] = lossInCrash(run, culprit, others == 0 && run.Age(now) <= promptAge, now)
		}
	}
	if !isMass {
		markSuspects(out, culprit, now)
	}
	o.logLoss(r, out, crashed, isMass, culprit)
	return out
}

// markSuspects marks the runs that are the most likely cause of a loss: the only possible one if there is one, else those that were
// started last, up to maxSuspects tasks or gangs, within suspectAge.
func markSuspects(losses map[*tasks.Run]tasks.Loss, culprit *tasks.Run, now time.Time) {
	runs := slices.SortedFunc(maps.Keys(losses), func(a, b *tasks.Run) int { return b.SentAt.Compare(a.SentAt) })
	var suspects []*tasks.Run
	for _, run := range runs {
		if run.SentAt.IsZero() || run.Age(now) > suspectAge {
			return
		}
		if culprit != nil && !run.SameUnit(culprit) {
			continue
		}
		if !slices.ContainsFunc(suspects, run.SameUnit) {
			if len(suspects) == maxSuspects {
				return
			}
			suspects = append(suspects, run)
		}
		loss := losses[run]
		loss.Suspect = true
		losses[run] = loss
	}
}

// logLoss logs and counts the loss of a runner that had runs. The caller must hold o.mu.
func (o *Owner) logLoss(r *tasks.Runner, losses map[*tasks.Run]tasks.Loss, crashed, isMass bool, culprit *tasks.Run) {
	if len(losses) == 0 {
		return
	}
	suspects := 0
	for _, l := range losses {
		if l.Suspect {
			suspects++
		}
	}
	o.counters.lossSuspects.Inc(int64(suspects))
	line := o.config.Log.Info().Str("Runner", string(r.Info.ID)).Bool("Crashed", crashed).Bool("Mass", isMass).
		Int("Counted", len(losses)).Int("Suspects", suspects)
	if culprit != nil {
		line = line.Str("Culprit", culprit.Key.Ref.String())
	}
	line.Msg("runner was lost; counting the loss against the tasks that may be its cause")
}

// soleSuspect returns the run that is the only likely cause of a crash of its runner, or nil: that of a task with an earlier
// loss, which was started within suspectAge, and QuietTime or more after everything else on the runner.
func soleSuspect(r *tasks.Runner, now time.Time) *tasks.Run {
	var latest *tasks.Run
	for _, run := range r.Runs {
		if run.Sent && (latest == nil || run.SentAt.After(latest.SentAt)) {
			latest = run
		}
	}
	if latest == nil || latest.Task == nil || !latest.Task.WasLost() || latest.SentAt.IsZero() || latest.Age(now) > suspectAge {
		return nil
	}
	for _, run := range r.Runs {
		if run.Sent && !run.SameUnit(latest) && run.SentAt.After(latest.SentAt.Add(-tasks.QuietTime)) {
			return nil
		}
	}
	return latest
}

// lossInCrash returns what the certain crash of a runner tells of one of its runs. A run that the runner has not confirmed has perhaps never
// begun, or begun under a former leader, and is not the only possible cause. IsPrompt is set when the crash followed the start at once.
func lossInCrash(run, culprit *tasks.Run, isPrompt bool, now time.Time) tasks.Loss {
	isAlone := run.Confirmed && culprit != nil && run.SameUnit(culprit)
	return tasks.Loss{
		Counts: true, Crashed: run.Confirmed, Doubtful: !run.Confirmed, Alone: isAlone, Prompt: isAlone && isPrompt,
		Lasted: run.Age(now) >= clearingAge,
	}
}

// hasProvedItself reports whether a run of a service has gone on for so long that it cannot be the cause of a loss.
func hasProvedItself(run *tasks.Run, now time.Time) bool {
	return run.Task.Step.Spec.Service && run.Age(now) >= lastingProofAge
}

// recordAddress records where a runner can be reached, before its first run, so that the next leader can ask it or learn that
// another one answers in its place. The caller must hold o.mu.
func (o *Owner) recordAddress(r *tasks.Runner) {
	a := tasks.RunnerAddress{Runner: r.Info.ID, Boot: r.Info.Boot, Address: r.Info.Address}
	if known, ok := o.table.Address(a.Runner); ok && known == a {
		return
	}
	o.record(tasks.Record{Runner: &a}, nil)
}
