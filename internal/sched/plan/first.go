package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// FirstFit is a baseline for comparisons: it starts tasks in order of arrival, each on the first worker that has
// the capacity.
type FirstFit struct{}

// Plan starts each waiting task that fits on some worker.
func (FirstFit) Plan(s *table.State, _ time.Time) []Action {
	return planInArrivalOrder(s, "first worker with room", func(fitting []*table.Worker, _ []types.Resources) *table.Worker {
		return fitting[0]
	})
}

// pickFunc picks one of the workers on which a task fits. The free amounts are indexed by Worker.Index.
type pickFunc func(fitting []*table.Worker, free []types.Resources) *table.Worker

// baseline is the state of one tick of a baseline planner.
type baseline struct {
	tables        *table.State
	reason        string
	pick          pickFunc
	free          []types.Resources
	fitting       []*table.Worker
	failedFits    []types.Resources
	plannedByTeam map[types.TeamID]types.Resources
	actions       []Action
}

// planInArrivalOrder starts waiting tasks in order of arrival within quotas. An all-at-once job starts as a whole
// or not at all.
func planInArrivalOrder(s *table.State, reason string, pick pickFunc) []Action {
	b := &baseline{
		tables:        s,
		reason:        reason,
		pick:          pick,
		free:          make([]types.Resources, len(s.Workers)),
		plannedByTeam: make(map[types.TeamID]types.Resources),
	}
	for i, w := range s.Ordered() {
		b.free[i] = w.Free()
	}
	for _, j := range jobsByArrival(s) {
		b.startJob(j)
	}
	return b.actions
}

// startJob starts the job's waiting tasks until one does not fit.
func (b *baseline) startJob(j *table.Job) {
	before := len(b.actions)
	for _, k := range slices.Backward(j.Waiting()) {
		if b.startTask(k) {
			continue
		}
		if j.Spec.Gang != nil {
			b.undoGang(before, j)
		}
		return
	}
}

// startTask plans the start of one task and reports whether a worker and the team's quota have the capacity.
func (b *baseline) startTask(k *table.Task) bool {
	need := k.Need()
	team := b.tables.Team(k.Job.Spec.Team)
	if !team.HasQuotaFor(b.plannedByTeam[team.ID].Add(need)) || b.hasFailedFit(need) {
		return false
	}
	b.fitting = b.fitting[:0]
	for i, w := range b.tables.Ordered() {
		if need.Fits(b.free[i]) && w.Placeable() {
			b.fitting = append(b.fitting, w)
		}
	}
	if len(b.fitting) == 0 {
		b.failedFits = append(b.failedFits, need)
		return false
	}
	w := b.pick(b.fitting, b.free)
	b.free[w.Index] = b.free[w.Index].Sub(need)
	b.plannedByTeam[team.ID] = b.plannedByTeam[team.ID].Add(need)
	b.actions = append(b.actions, StartAction{Task: k.ID, Worker: w.VM.ID, Reason: b.reason})
	return true
}

// hasFailedFit reports whether a need at most as large fitted on no worker earlier in this tick.
func (b *baseline) hasFailedFit(need types.Resources) bool {
	return slices.ContainsFunc(b.failedFits, func(fit types.Resources) bool { return fit.Fits(need) })
}

// undoGang withdraws the planned starts of an all-at-once job that did not fit as a whole.
func (b *baseline) undoGang(before int, j *table.Job) {
	need := j.Spec.Task.Resources
	for _, a := range b.actions[before:] {
		if start, ok := a.(StartAction); ok {
			i := b.tables.Workers[start.Worker].Index
			b.free[i] = b.free[i].Add(need)
			b.plannedByTeam[j.Spec.Team] = b.plannedByTeam[j.Spec.Team].Sub(need)
		}
	}
	b.actions = b.actions[:before]
	b.failedFits = nil
}

func jobsByArrival(s *table.State) []*table.Job {
	var out []*table.Job
	for _, j := range s.Waiting() {
		if !j.Cancelled && allowedHere(j, s.DataCentre) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *table.Job) int {
		if c := a.Accepted.Compare(b.Accepted); c != 0 {
			return c
		}
		return strings.Compare(string(a.Spec.ID), string(b.Spec.ID))
	})
	return out
}
