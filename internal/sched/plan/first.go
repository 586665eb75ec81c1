package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// FirstFit is a baseline: it takes tasks in order of arrival and the first worker with room.
type FirstFit struct{}

// Plan starts each waiting task that fits on some worker.
func (FirstFit) Plan(s *table.State, _ time.Time) []Action {
	return inOrder(s, "first worker with room", func(fitting []*table.Worker, _ []types.Resources) *table.Worker {
		return fitting[0]
	})
}

// choice picks one of the workers that have room. The free amounts are by the workers' Index.
type choice func(fitting []*table.Worker, free []types.Resources) *table.Worker

// baseline is what one tick of a baseline keeps.
type baseline struct {
	tables  *table.State
	reason  string
	pick    choice
	free    []types.Resources
	fitting []*table.Worker
	misses  []types.Resources
	teams   map[types.TeamID]types.Resources
	out     []Action
}

// inOrder starts waiting tasks in order of arrival within quotas. An all-at-once job starts whole or not at all.
func inOrder(s *table.State, reason string, pick choice) []Action {
	b := &baseline{
		tables: s,
		reason: reason,
		pick:   pick,
		free:   make([]types.Resources, len(s.Workers)),
		teams:  make(map[types.TeamID]types.Resources),
	}
	for i, w := range s.Ordered() {
		b.free[i] = w.Free()
	}
	for _, j := range jobsByArrival(s) {
		b.startJob(j)
	}
	return b.out
}

func (b *baseline) startJob(j *table.Job) {
	before := len(b.out)
	for _, k := range slices.Backward(j.Waiting()) {
		if b.start(k) {
			continue
		}
		if j.Spec.Gang != nil {
			b.undo(before, j)
		}
		return
	}
}

func (b *baseline) start(k *table.Task) bool {
	need := k.Need()
	team := b.tables.Team(k.Job.Spec.Team)
	if !team.Room(b.teams[team.ID].Add(need)) || b.isKnownMiss(need) {
		return false
	}
	b.fitting = b.fitting[:0]
	for i, w := range b.tables.Ordered() {
		if need.Fits(b.free[i]) && w.Placeable() {
			b.fitting = append(b.fitting, w)
		}
	}
	if len(b.fitting) == 0 {
		b.misses = append(b.misses, need)
		return false
	}
	w := b.pick(b.fitting, b.free)
	b.free[w.Index] = b.free[w.Index].Sub(need)
	b.teams[team.ID] = b.teams[team.ID].Add(need)
	b.out = append(b.out, StartAction{Task: k.ID, Worker: w.VM.ID, Reason: b.reason})
	return true
}

// isKnownMiss tells whether a need at most as large found no room.
func (b *baseline) isKnownMiss(need types.Resources) bool {
	return slices.ContainsFunc(b.misses, func(m types.Resources) bool { return m.Fits(need) })
}

// undo takes back the starts of an all-at-once job that did not fit as a whole.
func (b *baseline) undo(before int, j *table.Job) {
	need := j.Spec.Task.Resources
	for _, a := range b.out[before:] {
		if start, ok := a.(StartAction); ok {
			i := b.tables.Workers[start.Worker].Index
			b.free[i] = b.free[i].Add(need)
			b.teams[j.Spec.Team] = b.teams[j.Spec.Team].Sub(need)
		}
	}
	b.out = b.out[:before]
	b.misses = nil
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
