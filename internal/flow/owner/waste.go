package owner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

type (
	// wasteCounters counts, by cause, the confirmed runs that ended before their task was done, and the work that was lost.
	wasteCounters struct {
		runs map[tasks.EndCause]metrics.Counter
		// lost counts core-milliseconds.
		lost map[tasks.EndCause]metrics.Counter
	}

	// earlyEnd is the end of a run whose task was not done.
	earlyEnd struct {
		cause tasks.EndCause
		// age is how long the run may have been running; see tasks.Run.Age.
		age time.Duration
		// lost is the work since the run's last checkpoint, in core-seconds.
		lost float64
		// loss is that of the run's runner, if it was lost.
		loss tasks.Loss
	}
)

func newWasteCounters(r metrics.Registry) wasteCounters {
	out := wasteCounters{runs: make(map[tasks.EndCause]metrics.Counter), lost: make(map[tasks.EndCause]metrics.Counter)}
	for _, cause := range []tasks.EndCause{
		tasks.EndedFailed, tasks.EndedGangBroken, tasks.EndedSlow, tasks.EndedStalled,
		tasks.EndedLeaseExpired, tasks.EndedRunnerLeft, tasks.EndedCancelled, tasks.EndedOther,
	} {
		out.runs[cause] = metrics.GetOrRegisterCounter("Owner.RunsEnded."+string(cause), r)
		out.lost[cause] = metrics.GetOrRegisterCounter("Owner.LostCoreMs."+string(cause), r)
	}
	return out
}

// countEarlyEnd counts a run that ended with an outcome other than Done, and returns the cause and the work that was lost. A
// run that was never confirmed has done no work and is not counted. The caller must hold o.mu.
func (o *Owner) countEarlyEnd(run *tasks.Run, outcome agent.Outcome) earlyEnd {
	end := earlyEnd{cause: causeOf(run, outcome), age: run.Age(o.config.Clock.Now())}
	if !run.Confirmed {
		return end
	}
	cores := float64(run.Resources.Cores) / float64(types.Core)
	end.lost = max(0, o.config.Clock.Since(run.LatestSave()).Seconds()) * cores
	o.waste.runs[end.cause].Inc(1)
	o.waste.lost[end.cause].Inc(int64(end.lost * float64(time.Second/time.Millisecond)))
	return end
}

// causeOf returns why a run ended with an outcome other than Done.
func causeOf(run *tasks.Run, outcome agent.Outcome) tasks.EndCause {
	r := run.Runner
	switch {
	case outcome == agent.Failed:
		return tasks.EndedFailed
	case run.StopCause != "":
		return run.StopCause
	case outcome == agent.GangBroken || outcome == agent.GangIncomplete:
		return tasks.EndedGangBroken
	case outcome == agent.LeaseExpired && (!r.Listed || r.Info.Draining):
		return tasks.EndedRunnerLeft
	case outcome == agent.LeaseExpired:
		return tasks.EndedLeaseExpired
	case run.Task != nil && run.Task.Step.Job.Ending:
		return tasks.EndedCancelled
	default:
		return tasks.EndedOther
	}
}
