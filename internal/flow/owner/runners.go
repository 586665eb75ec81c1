package owner

import (
	"context"
	"maps"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// listDelay lets changes of the directory accumulate, so that one call returns many. After manyChanges or more, the
	// next call follows at once: a call may return only a part of the changes, and the tables must not fall behind.
	listDelay   = 250 * time.Millisecond
	manyChanges = 200
	// changesTimeout limits a call that waits for changes. Runners write to the directory all the time, so a watch that
	// returns nothing for longer has stopped delivering changes. listTimeout limits the reading of the whole directory, which
	// grows with the fleet; a store that does not answer is given up sooner by its client.
	changesTimeout = 1600 * time.Millisecond
	listTimeout    = 20 * time.Second
	// maxDirectoryAge is how old the tables' knowledge of the directory may be when a task starts. A leader that cannot
	// read the directory does not learn which runners are draining, though it may still reach them through relays.
	maxDirectoryAge = 2 * time.Second
)

// adoptPlacedTasks adopts the attempts that a former leader placed: each occupies its runner until that runner
// reports otherwise, or every lease that could have been asked for has expired.
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
	o.adoptRemainingRuns()
	for _, t := range o.table.SuspectedTasks() {
		t.NotBefore = o.config.Clock.Now()
	}
}

// adoptStep adds a run for each placed task of the step to its runner. The caller must hold o.mu.
func (o *Owner) adoptStep(s *tasks.Step) {
	for _, t := range s.Tasks {
		if t.State != tasks.Placed {
			continue
		}
		r := o.formerRunner(t.Runner)
		r.LastStartAt = o.config.Clock.Now()
		run := r.PlaceTask(t, t.Attempt)
		run.Sent = true
	}
}

// formerRunner returns a runner that the ledger names. If the tables lack it, it is added as not listed, and asked for its state
// at the address that the ledger has for it. The caller must hold o.mu.
func (o *Owner) formerRunner(id specs.RunnerID) *tasks.Runner {
	if r := o.table.Runners[id]; r != nil {
		return r
	}
	known, _ := o.table.Address(id)
	r := o.addRunner(agent.Runner{ID: id, Boot: known.Boot, Address: known.Address})
	r.Listed = false
	o.startRenewLoop(r)
	return r
}

// addRunner adds a runner that has not answered this leader yet. The caller must hold o.mu.
func (o *Owner) addRunner(info agent.Runner) *tasks.Runner {
	r := tasks.NewRunner(info, o.nextFence())
	r.ClockAt = o.config.Clock.Now()
	// A former leader that is still alive goes on for storeContactTimeout at most, and asks for leases up to the
	// maximum.
	r.Deadline = agent.Clock(storeContactTimeout + o.config.Bounds.MaxLeaseTTL)
	o.table.SetRunner(r)
	o.noteLeave(r)
	return r
}

// noteLeave notes when a draining runner leaves, by its latest entry in the directory. The caller must hold o.mu.
func (o *Owner) noteLeave(r *tasks.Runner) {
	r.LeavesAt = time.Time{}
	if r.Info.Draining && r.Info.Remaining > 0 {
		r.LeavesAt = o.config.Clock.Now().Add(r.Info.Remaining)
	}
}

// directoryList is the whole directory as it was at askedAt, or the error of its reading.
type directoryList struct {
	runners []agent.Runner
	version uint64
	askedAt time.Time
	err     error
}

// directoryLoop keeps the runners in the tables up to date with the directory.
func (o *Owner) directoryLoop() {
	var version uint64
	listed := false
	for o.ctx.Err() == nil {
		count, err := o.readDirectory(&version, &listed)
		if errs.Is(err, errs.Conflict) {
			o.config.Log.Info().Msg("directory history is no longer available; reading the whole list")
			listed = false
			continue
		}
		if err != nil && o.ctx.Err() == nil {
			// The next watch may not report what changed meanwhile.
			listed = false
			o.config.Log.Warn().Err(err).Msg("reading the directory of runners failed; reading the whole list next")
		}
		if count < manyChanges {
			o.sleep(listDelay)
		}
	}
}

// readDirectory reads the whole directory unless listed is set, else waits for the changes after lastVersion. It returns
// the number of changes.
func (o *Owner) readDirectory(lastVersion *uint64, listed *bool) (int, error) {
	if !*listed {
		return 0, o.listDirectory(lastVersion, listed)
	}
	ctx, cancel := context.WithTimeout(o.ctx, changesTimeout)
	defer cancel()
	changes, version, err := o.config.Directory.Changes(ctx, *lastVersion)
	if err != nil {
		return 0, err
	}
	*lastVersion = version
	o.applyChanges(changes)
	return len(changes), nil
}

// beginList begins to read the whole directory for the first read of directoryLoop. The directory does not depend on the ledger, so a
// new leader reads both at the same time.
func (o *Owner) beginList() {
	o.firstList = make(chan directoryList, 1)
	first := o.firstList
	o.loops.Go(o.guarded("directory of runners", func() { first <- o.readList() }))
}

// readList reads the whole directory.
func (o *Owner) readList() directoryList {
	ctx, cancel := context.WithTimeout(o.ctx, listTimeout)
	defer cancel()
	out := directoryList{askedAt: o.config.Clock.Now()}
	out.runners, out.version, out.err = o.config.Directory.List(ctx)
	return out
}

// nextList returns the list that beginList reads, if it was not taken yet, or reads one.
func (o *Owner) nextList() directoryList {
	if o.firstList == nil {
		return o.readList()
	}
	first := o.firstList
	o.firstList = nil
	select {
	case list := <-first:
		return list
	case <-o.ctx.Done():
		return directoryList{err: errs.New(errs.Unavailable, "the term has ended")}
	}
}

// listDirectory reads the whole directory, or takes the list that beginList has read, and applies it.
func (o *Owner) listDirectory(lastVersion *uint64, listed *bool) error {
	list := o.nextList()
	if list.err != nil {
		return list.err
	}
	*lastVersion, *listed = list.version, true
	o.applyList(list.runners, list.askedAt)
	return nil
}

// applyChanges applies changes of the directory, in order.
func (o *Owner) applyChanges(changes []agent.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(changes) < manyChanges {
		o.directoryAt = o.config.Clock.Now()
	}
	for _, c := range changes {
		if c.Gone {
			o.runnerRemoved(c.Runner.ID)
		} else {
			o.applyEntry(c.Runner)
		}
	}
}

// applyList applies the whole directory as it was at the given time: runners that it does not name are marked as removed.
func (o *Owner) applyList(runners []agent.Runner, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.directoryAt = at
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

// applyEntry applies one entry of the directory. An entry of an earlier boot is ignored. The caller must hold o.mu.
func (o *Owner) applyEntry(info agent.Runner) {
	o.noteIncarnation(info)
	r := o.table.Runners[info.ID]
	switch {
	case r == nil:
		r = o.addRunner(info)
		o.config.Log.Info().Str("Runner", string(info.ID)).Bool("Draining", info.Draining).Msg("runner added")
	case r.Info.Boot != 0 && info.Boot < r.Info.Boot:
		return
	case r.Info.Boot != 0 && info.Boot != r.Info.Boot:
		r = o.replaceRunner(r, info)
	default:
		o.updateRunner(r, info)
	}
	o.startRenewLoop(r)
}

// knowsDirectory reports whether the tables' knowledge of the directory is recent enough to start tasks. The caller must
// hold o.mu.
func (o *Owner) knowsDirectory() bool {
	return o.config.Clock.Since(o.directoryAt) <= maxDirectoryAge
}

// updateRunner applies a directory entry to a runner of the same incarnation. The caller must hold o.mu.
func (o *Owner) updateRunner(r *tasks.Runner, info agent.Runner) {
	if info.Draining && !r.Info.Draining {
		o.config.Log.Info().Str("Runner", string(info.ID)).Dur("Remaining", info.Remaining).Int("Runs", len(r.Runs)).Msg("runner is draining")
	}
	if !r.Listed {
		o.config.Log.Info().Str("Runner", string(info.ID)).Msg("runner is in the directory again")
	}
	if info.Capacity != r.Info.Capacity && r.Listed {
		o.config.Log.Info().Str("Runner", string(info.ID)).Str("Former", r.Info.Capacity.String()).Str("Capacity", info.Capacity.String()).
			Str("Used", r.Used.String()).Msg("capacity of a runner has changed")
	}
	r.Info = info
	r.Listed = true
	o.noteLeave(r)
}

// runnerRemoved marks a runner that the directory no longer lists. Its runs may go on. The caller must hold o.mu.
func (o *Owner) runnerRemoved(id specs.RunnerID) {
	r := o.table.Runners[id]
	if r == nil || !r.Listed {
		return
	}
	r.Listed = false
	o.config.Log.Info().Str("Runner", string(id)).Int("Runs", len(r.Runs)).Msg("runner was removed from the directory; it gets no new tasks")
}

// replaceRunner replaces a runner by its next incarnation. Nothing of the former incarnation runs any more; a higher
// fence keeps late requests from being executed in the new one. The caller must hold o.mu.
func (o *Owner) replaceRunner(r *tasks.Runner, info agent.Runner) *tasks.Runner {
	o.config.Log.Info().Str("Runner", string(info.ID)).Int("Runs", len(r.Runs)).Msg("runner has restarted; the tasks of its former runs are handled as after an expired lease")
	next := tasks.NewRunner(info, o.nextFence())
	next.ClockAt = o.config.Clock.Now()
	o.table.SetRunner(next)
	o.noteLeave(next)
	former := maps.Clone(r.Runs)
	o.confirmLoss(r.Info.Address)
	if r.UnreachableSince.IsZero() {
		o.noteUnreachable(r, false)
	}
	o.removeLostRuns(r, true)
	for _, run := range former {
		o.countLateStart(next, run)
	}
	o.startRenewLoop(next)
	return next
}

// tickLoop applies what depends on time alone, once in each tickInterval.
func (o *Owner) tickLoop() {
	for o.ctx.Err() == nil {
		o.sleep(tickInterval)
		o.tick()
	}
}

func (o *Owner) tick() {
	defer o.turns.Begin(turnTick)()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock.Now()
	o.applyCatalog()
	o.checkUnansweredWrites()
	o.table.Advance(now)
	o.table.PurgeEnded(now.Add(-o.config.Bounds.StatusRetention))
	for id, r := range o.table.Runners {
		o.expireRuns(r, now)
		o.resendStops(r, now)
		o.stopRunsBeforeLeave(r, now)
		if !r.Listed && len(r.Runs) == 0 {
			o.table.RemoveRunner(id)
		}
	}
	o.backlog = order.MeasureBacklog(o.table, now)
	o.updateUsualPaces()
	o.updateGauges(now)
	o.updateOrganisations(now)
	o.applyWeights()
	o.organisationCounters.updateWaiting(o.table.Jobs)
	every.Wake(o.planWake)
}

// updateGauges updates the gauges of the jobs, the runs and the free cores. The caller must hold o.mu.
func (o *Owner) updateGauges(now time.Time) {
	var free, runs int64
	for _, r := range o.table.Runners {
		runs += int64(len(r.Runs))
		if r.Usable(now) {
			free += int64(max(0, r.Free().Cores) / types.Core)
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

// expireRuns removes the runs on an unreachable runner once its leases have certainly expired. The caller must hold
// o.mu.
func (o *Owner) expireRuns(r *tasks.Runner, now time.Time) {
	unreachable := !r.Synced || !r.UnreachableSince.IsZero()
	if !unreachable || len(r.Runs) == 0 || !r.LeaseExpired(now) {
		return
	}
	o.config.Log.Warn().Str("Runner", string(r.Info.ID)).Int("Runs", len(r.Runs)).Msg("leases on an unreachable runner have expired; removing its runs")
	o.removeLostRuns(r, false)
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
			j.Spec.Queue = q
		}
	}
}
