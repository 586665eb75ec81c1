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
	// listPause lets changes of the directory gather, so that one call brings many.
	listPause = 250 * time.Millisecond
	// listLimit limits one call to the directory. Runners write to it all the time, so a watch that brings nothing
	// for longer has gone silent.
	listLimit = 1600 * time.Millisecond
)

// adopt takes over the attempts that a former lead placed: each occupies its runner until that runner tells
// otherwise, or every lease that could have been asked for has ended.
func (o *Owner) adopt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.table.Jobs {
		for _, group := range j.Occurrences {
			for _, s := range group.Steps {
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
			r = o.unseen(agent.Runner{ID: t.Runner})
			r.Listed = false
		}
		run := r.PlaceTask(t, t.Attempt)
		run.Sent = true
	}
}

// unseen adds a runner that has not answered this lead yet.
func (o *Owner) unseen(info agent.Runner) *tasks.Runner {
	r := tasks.NewRunner(info, o.nextFence())
	r.ClockAt = o.config.Clock.Now()
	// A former lead that lives goes on for loneLead at most, and asks for leases up to the longest.
	r.Deadline = agent.Clock(loneLead + o.config.Bounds.MaxLeaseTTL)
	o.table.Runners[info.ID] = r
	return r
}

// listLoop follows the directory of runners.
func (o *Owner) listLoop() {
	var at uint64
	listed := false
	for o.ctx.Err() == nil {
		err := o.follow(&at, &listed)
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
		o.sleep(listPause)
	}
}

func (o *Owner) follow(at *uint64, listed *bool) error {
	ctx, cancel := context.WithTimeout(o.ctx, listLimit)
	defer cancel()
	if !*listed {
		runners, version, err := o.config.Directory.List(ctx)
		if err != nil {
			return err
		}
		*at, *listed = version, true
		o.list(runners)
		return nil
	}
	changes, version, err := o.config.Directory.Changes(ctx, *at)
	if err != nil {
		return err
	}
	*at = version
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range changes {
		if c.Gone {
			o.gone(c.Runner.ID)
		} else {
			o.seen(c.Runner)
		}
	}
	return nil
}

// list takes in the whole directory.
func (o *Owner) list(runners []agent.Runner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[specs.RunnerID]bool, len(runners))
	for _, r := range runners {
		present[r.ID] = true
		o.seen(r)
	}
	for id := range o.table.Runners {
		if !present[id] {
			o.gone(id)
		}
	}
}

// seen takes in one entry of the directory.
func (o *Owner) seen(info agent.Runner) {
	r := o.table.Runners[info.ID]
	switch {
	case r == nil:
		r = o.unseen(info)
		o.config.Log.Info().Str("Runner", string(info.ID)).Bool("Draining", info.Draining).Msg("runner found")
	case r.Info.Boot != 0 && info.Boot < r.Info.Boot:
		return
	case r.Info.Boot != 0 && info.Boot != r.Info.Boot:
		r = o.replace(r, info)
	default:
		o.refresh(r, info)
	}
	o.look(r)
}

func (o *Owner) refresh(r *tasks.Runner, info agent.Runner) {
	if info.Draining && !r.Info.Draining {
		o.config.Log.Info().Str("Runner", string(info.ID)).Dur("Remaining", info.Remaining).Int("Runs", len(r.Runs)).Msg("runner drains")
	}
	if !r.Listed {
		o.config.Log.Info().Str("Runner", string(info.ID)).Msg("runner is back")
	}
	r.Info = info
	r.Listed = true
}

// gone takes in that the directory lists a runner no longer. What runs there may run on.
func (o *Owner) gone(id specs.RunnerID) {
	r := o.table.Runners[id]
	if r == nil || !r.Listed {
		return
	}
	r.Listed = false
	o.config.Log.Info().Str("Runner", string(id)).Int("Runs", len(r.Runs)).Msg("runner is gone from the directory")
}

// replace puts the next life of a runner into the tables. Nothing of the former life runs there any more; a
// higher fence keeps late orders from being carried out in the new one.
func (o *Owner) replace(r *tasks.Runner, info agent.Runner) *tasks.Runner {
	o.config.Log.Info().Str("Runner", string(info.ID)).Int("Runs", len(r.Runs)).Msg("runner started again")
	next := tasks.NewRunner(info, o.nextFence())
	next.ClockAt = o.config.Clock.Now()
	o.table.Runners[info.ID] = next
	for _, run := range r.Runs {
		o.lost(run, agent.LeaseExpired)
	}
	o.look(next)
	return next
}

// tickLoop looks at what only time changes.
func (o *Owner) tickLoop() {
	for o.ctx.Err() == nil {
		o.sleep(tickPeriod)
		o.tick()
	}
}

func (o *Owner) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	o.reload()
	o.table.Advance(now)
	o.table.PurgeEnded(now.Add(-o.config.Bounds.StatusRetention))
	for id, r := range o.table.Runners {
		o.lapse(r, now)
		o.stopAgain(r, now)
		if !r.Listed && len(r.Runs) == 0 {
			delete(o.table.Runners, id)
		}
	}
	o.gauge(now)
	wake(o.planWake)
}

// gauge shows how much waits, and how much room there is.
func (o *Owner) gauge(now time.Time) {
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
	o.counters.waiting.Update(int64(waiting))
	o.counters.runs.Update(runs)
	o.counters.free.Update(free)
}

// lapse ends what ran on a silent runner once its leases have surely ended.
func (o *Owner) lapse(r *tasks.Runner, now time.Time) {
	silent := !r.Synced || !r.UnreachableSince.IsZero()
	if !silent || len(r.Runs) == 0 || !r.LeaseExpired(now) {
		return
	}
	o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Int("Runs", len(r.Runs)).Msg("leases on a silent runner have ended")
	for _, run := range r.Runs {
		if run.Sent {
			o.lost(run, agent.LeaseExpired)
		}
	}
}

// stopAgain repeats stops that took no effect.
func (o *Owner) stopAgain(r *tasks.Runner, now time.Time) {
	if !r.UnreachableSince.IsZero() {
		return
	}
	for _, run := range r.Runs {
		if run.Stopping && now.Sub(run.StopSent) >= stopAgain {
			o.stop(run)
		}
	}
}

// reload takes the policies of the queues from a new catalog.
func (o *Owner) reload() {
	c := o.config.Catalog()
	if c == nil || c.Version == o.catalog {
		return
	}
	o.catalog = c.Version
	for _, j := range o.table.Jobs {
		if q, ok := c.Queue(j.Spec.Queue.Name); ok {
			j.Spec.Queue = q
		}
	}
}
