package owner

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
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
	// A runner that is added from now on may have leases of this leader.
	o.formerLeases = nil
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
		o.noteSentByFormer(run)
	}
}

// noteSentByFormer notes that a former leader has sent the start of a run. It goes on sending for storeContactTimeout at most. The caller
// must hold o.mu.
func (o *Owner) noteSentByFormer(run *tasks.Run) {
	run.Sent, run.LastSentAt = true, o.config.Clock.Now().Add(storeContactTimeout)
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
	o.boundFormerLeases(r)
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
		r = o.replaceRunner(r, info, byEntry)
	default:
		o.updateRunner(r, info)
	}
	o.startRenewLoop(r)
}

// updateRunner applies a directory entry to a runner of the same incarnation. The caller must hold o.mu.
func (o *Owner) updateRunner(r *tasks.Runner, info agent.Runner) {
	if info.Draining && !r.Info.Draining {
		o.config.Log.Info().Str("Runner", string(info.ID)).Dur("Remaining", info.Remaining).Int("Runs", len(r.Runs)).Msg("runner is draining")
	}
	if !r.Listed {
		o.config.Log.Info().Str("Runner", string(info.ID)).Msg("runner is in the directory again")
	}
	if !slices.Equal(info.Labels, r.Info.Labels) && r.Listed && !r.EntryPending {
		o.config.Log.Info().Str("Runner", string(info.ID)).Int64("Boot", int64(info.Boot)).Any("Former", r.Info.Labels).Any("Labels", info.Labels).
			Msg("labels of a runner have changed")
	}
	if info.Capacity != r.Info.Capacity && r.Listed && !r.EntryPending {
		o.config.Log.Info().Str("Runner", string(info.ID)).Str("Former", r.Info.Capacity.String()).Str("Capacity", info.Capacity.String()).
			Str("Used", r.Used.String()).Msg("capacity of a runner has changed")
	}
	r.Info = info
	r.Listed, r.EntryPending = true, false
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
