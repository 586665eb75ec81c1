package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// listDelay lets changes of the directory gather, so that one call brings many.
	listDelay = 250 * time.Millisecond
	// listTimeout limits one call to the directory. Runners write to it all the time, so a watch that brings nothing
	// for longer has gone silent.
	listTimeout = 1600 * time.Millisecond
)

// adoptPlacedTasks takes over the attempts that a former lead placed: each occupies its runner until that runner tells
// otherwise, or every lease that could have been asked for has ended.
func (o *Owner) adoptPlacedTasks() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.table.Jobs {
		for _, occurrence := range j.Occurrences {
			for _, s := range occurrence.Steps {
				o.adoptStep(s)
			}
		}
	}
}

func (o *Owner) adoptStep(s *tasks.Step) {
	for _, t := range s.Tasks {
		if t.State != tasks.Placed {
			continue
		}
		r := o.table.Runners[t.Runner]
		if r == nil {
			r = o.addRunner(agent.Runner{ID: t.Runner})
			r.Listed = false
		}
		run := r.PlaceTask(t, t.Attempt)
		run.Sent = true
	}
}

// addRunner adds a runner that has not answered this lead yet.
func (o *Owner) addRunner(info agent.Runner) *tasks.Runner {
	r := tasks.NewRunner(info, o.nextFence())
	r.ClockAt = o.config.Clock.Now()
	// A former lead that lives goes on for loneLead at most, and asks for leases up to the longest.
	r.Deadline = agent.Clock(storeContactTimeout + o.config.Bounds.MaxLeaseTTL)
	o.table.Runners[info.ID] = r
	return r
}

// directoryLoop follows the directory of runners.
func (o *Owner) directoryLoop() {
	var version uint64
	listed := false
	for o.ctx.Err() == nil {
		err := o.readDirectory(&version, &listed)
		if errs.Is(err, errs.Conflict) {
			o.config.Log.Info().Msg("the directory's history is gone; reading the list")
			listed = false
			continue
		}
		if err != nil && o.ctx.Err() == nil {
			// What changed meanwhile may not be told by the next watch.
			listed = false
			o.config.Log.Warn().Err(err).Msg("could not read the directory of runners")
		}
		o.sleep(listDelay)
	}
}

func (o *Owner) readDirectory(lastVersion *uint64, listed *bool) error {
	ctx, cancel := context.WithTimeout(o.ctx, listTimeout)
	defer cancel()
	if !*listed {
		runners, version, err := o.config.Directory.List(ctx)
		if err != nil {
			return err
		}
		*lastVersion, *listed = version, true
		o.applyList(runners)
		return nil
	}
	changes, version, err := o.config.Directory.Changes(ctx, *lastVersion)
	if err != nil {
		return err
	}
	*lastVersion = version
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range changes {
		if c.Gone {
			o.runnerRemoved(c.Runner.ID)
		} else {
			o.applyEntry(c.Runner)
		}
	}
	return nil
}

// applyList takes in the whole directory.
func (o *Owner) applyList(runners []agent.Runner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[specs.RunnerID]bool, len(runners))
	for _, r := range runners {
		present[r.ID] = true
		o.applyEntry(r)
	}
	for id := range o.table.Runners {
		if !present[id] {
			o.runnerRemoved(id)
		}
	}
}

// applyEntry takes in one entry of the directory.
func (o *Owner) applyEntry(info agent.Runner) {
	r := o.table.Runners[info.ID]
	switch {
	case r == nil:
		r = o.addRunner(info)
		o.config.Log.Info().Str("Runner", string(info.ID)).Bool("Draining", info.Draining).Msg("runner found")
	case r.Info.Boot != 0 && info.Boot < r.Info.Boot:
		return
	case r.Info.Boot != 0 && info.Boot != r.Info.Boot:
		r = o.replaceRunner(r, info)
	default:
		o.updateRunner(r, info)
	}
	o.startRenewLoop(r)
}

func (o *Owner) updateRunner(r *tasks.Runner, info agent.Runner) {
	if info.Draining && !r.Info.Draining {
		o.config.Log.Info().Str("Runner", string(info.ID)).Dur("Remaining", info.Remaining).Int("Runs", len(r.Runs)).Msg("runner drains")
	}
	if !r.Listed {
		o.config.Log.Info().Str("Runner", string(info.ID)).Msg("runner is back")
	}
	r.Info = info
	r.Listed = true
}

// runnerRemoved takes in that the directory lists a runner no longer. What runs there may run on.
func (o *Owner) runnerRemoved(id specs.RunnerID) {
	r := o.table.Runners[id]
	if r == nil || !r.Listed {
		return
	}
	r.Listed = false
	o.config.Log.Info().Str("Runner", string(id)).Int("Runs", len(r.Runs)).Msg("runner is gone from the directory")
}

// replaceRunner puts the next life of a runner into the tables. Nothing of the former life runs there any more; a
// higher fence keeps late orders from being carried out in the new one.
func (o *Owner) replaceRunner(r *tasks.Runner, info agent.Runner) *tasks.Runner {
	o.config.Log.Info().Str("Runner", string(info.ID)).Int("Runs", len(r.Runs)).Msg("runner started again")
	next := tasks.NewRunner(info, o.nextFence())
	next.ClockAt = o.config.Clock.Now()
	o.table.Runners[info.ID] = next
	for _, run := range r.Runs {
		o.runMissing(run, agent.LeaseExpired)
	}
	o.startRenewLoop(next)
	return next
}

// tickLoop looks at what only time changes.
func (o *Owner) tickLoop() {
	for o.ctx.Err() == nil {
		o.sleep(tickInterval)
		o.tick()
	}
}

func (o *Owner) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	o.applyCatalog()
	o.table.Advance(now)
	o.table.PurgeEnded(now.Add(-o.config.Bounds.StatusRetention))
	for id, r := range o.table.Runners {
		o.expireRuns(r, now)
		o.resendStops(r, now)
		if !r.Listed && len(r.Runs) == 0 {
			delete(o.table.Runners, id)
		}
	}
	o.updateGauges(now)
	wake(o.planWake)
}

// updateGauges shows how much waits, and how much room there is.
func (o *Owner) updateGauges(now time.Time) {
	var free, runs int64
	for _, r := range o.table.Runners {
		runs += int64(len(r.Runs))
		if r.Usable(now) {
			free += int64(r.Free().Cores / types.Core)
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
}

// expireRuns ends what ran on a silent runner once its leases have surely ended.
func (o *Owner) expireRuns(r *tasks.Runner, now time.Time) {
	unreachable := !r.Synced || !r.UnreachableSince.IsZero()
	if !unreachable || len(r.Runs) == 0 || !r.LeaseExpired(now) {
		return
	}
	o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Int("Runs", len(r.Runs)).Msg("leases on a silent runner have ended")
	for _, run := range r.Runs {
		if run.Sent {
			o.runMissing(run, agent.LeaseExpired)
		}
	}
}

// resendStops repeats stops that took no effect.
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

// applyCatalog takes the policies of the queues from a new catalog.
func (o *Owner) applyCatalog() {
	c := o.config.Catalog()
	if c == nil || c.Version == o.catalogVersion {
		return
	}
	o.catalogVersion = c.Version
	for _, j := range o.table.Jobs {
		if q, ok := c.Queue(j.Spec.Queue.Name); ok {
			j.Spec.Queue = q
		}
	}
}
