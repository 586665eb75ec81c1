package owner

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// tickShareDivisor limits the share of the time that ticks take, 1/tickShareDivisor, as long as they are no rarer than
	// maxTickInterval: their cost grows with the jobs and the runners, and a leader that is behind needs the time for its calls.
	tickShareDivisor = 16
	maxTickInterval  = 500 * time.Millisecond
	// summaryInterval is how often what changes slowly is updated: the gauges, the usual paces and speeds, and the ended jobs.
	summaryInterval = time.Second
)

// tickLoop applies what depends on time alone, once in each tickInterval, or as often as tickShareDivisor allows if that is rarer.
func (o *Owner) tickLoop() {
	var summarisedAt time.Time
	delay := tickInterval
	for o.ctx.Err() == nil {
		o.sleep(delay)
		took := o.tick()
		if now := o.config.Clock.Now(); now.Sub(summarisedAt) >= summaryInterval {
			summarisedAt = now
			took += o.summarise()
		}
		delay = o.noteTick(took)
	}
}

// tick applies timeouts and measures the backlog. It returns how long that took without the wait for the tables.
func (o *Owner) tick() time.Duration {
	defer o.turns.Begin(turnTick)()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	o.applyCatalog()
	o.checkUnansweredWrites()
	o.table.Advance(now)
	for id, r := range o.table.Runners {
		o.expireRuns(r, now)
		o.resendStops(r, now)
		o.stopRunsBeforeLeave(r, now)
		if !r.Listed && len(r.Runs) == 0 {
			o.table.RemoveRunner(id)
		}
	}
	o.backlog = order.MeasureBacklog(o.table, now)
	o.applyWeights()
	every.Wake(o.planWake)
	return o.config.Clock.Since(now)
}

// summarise updates what changes slowly, and removes the ended jobs whose state is not kept any longer. It returns how long that took
// without the wait for the tables.
func (o *Owner) summarise() time.Duration {
	defer o.turns.Begin(turnTick)()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	o.table.PurgeEnded(now.Add(-o.config.Bounds.StatusRetention))
	o.updateUsualPaces()
	o.updateUsualSpeeds()
	o.updateGauges(now)
	o.discards.updateLongest(now)
	o.summariseGangWaits(now)
	o.updateOrganisations(now)
	o.organisationCounters.updateWaiting(o.table.Jobs)
	return o.config.Clock.Since(now)
}

// updateGauges updates the gauges of the jobs, the runs, the free cores and the slow runners. The caller must hold o.mu.
func (o *Owner) updateGauges(now time.Time) {
	var free, runs, slow int64
	for _, r := range o.table.Runners {
		runs += int64(len(r.Runs))
		if r.Usable(now) {
			free += int64(max(0, r.Free().Cores) / types.Core)
		}
		if r.Health.Slow() {
			slow++
		}
	}
	waiting := 0
	for _, j := range o.table.Jobs {
		if !j.Ran {
			waiting++
		}
	}
	o.counters.jobs.Update(int64(len(o.table.Jobs)))
	o.counters.jobsWaiting.Update(int64(waiting))
	o.counters.runs.Update(runs)
	o.counters.coresFree.Update(free)
	o.counters.runnersSlow.Update(slow)
}

// expireRuns removes the runs on an unreachable runner once its leases have certainly expired. The caller must hold
// o.mu.
func (o *Owner) expireRuns(r *tasks.Runner, now time.Time) {
	o.expireRunsInDoubt(r, now)
	unreachable := !r.Synced || !r.UnreachableSince.IsZero()
	if !unreachable || len(r.Runs) == 0 || !r.LeaseExpired(now) {
		return
	}
	o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Int("Runs", len(r.Runs)).Msg("leases on an unreachable runner have expired; removing its runs")
	o.removeLostRuns(r, false)
}

// expireRunsInDoubt removes the runs in doubt that no boot of their runner can be running any more, whether or not it has answered. The
// caller must hold o.mu.
func (o *Owner) expireRunsInDoubt(r *tasks.Runner, now time.Time) {
	for _, run := range r.Runs {
		if run.InDoubt && now.After(run.DoubtEnds) {
			o.config.Log.Warn().Str("Task", run.Key.Ref.String()).Int("Attempt", int(run.Key.Attempt)).Str("Runner", string(r.Info.ID)).
				Msg("any lease of an attempt in doubt has expired; it is handled as lost with its runner")
			o.removeCrashedRun(run, run.LossIfAbsent)
		}
	}
}

// resendStops sends stops again that have taken no effect within stopRetryInterval. The caller must hold o.mu.
func (o *Owner) resendStops(r *tasks.Runner, now time.Time) {
	if !r.UnreachableSince.IsZero() {
		return
	}
	for _, run := range r.Runs {
		if run.Stopping && now.Sub(run.StopSent) >= stopRetryInterval {
			o.stopRun(run)
		}
	}
}

// applyCatalog gives the accepted jobs the queue policies of a new catalog, and the organisations its limits. The caller
// must hold o.mu.
func (o *Owner) applyCatalog() {
	c := o.config.Catalog()
	if c == nil || c.Version == o.catalogVersion {
		return
	}
	o.catalogVersion = c.Version
	o.table.SetLimits(c)
	for _, j := range o.table.Jobs {
		if q, ok := c.Queue(j.Spec.Queue.Name); ok {
			j.SetPolicy(q)
		}
	}
}
