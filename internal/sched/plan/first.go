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
	return inOrder(s, "first worker with room", func(fitting []*table.Worker, _ map[types.VMID]types.Resources) *table.Worker {
		return fitting[0]
	})
}

// choice picks one of the workers that have room.
type choice func(fitting []*table.Worker, free map[types.VMID]types.Resources) *table.Worker

// inOrder starts waiting tasks in order of arrival within quotas. An all-at-once job starts whole or not at all.
func inOrder(s *table.State, reason string, pick choice) []Action {
	b := &baseline{
		tables: s,
		free:   make(map[types.VMID]types.Resources, len(s.Workers)),
		teams:  make(map[types.TeamID]types.Resources),
	}
	for _, w := range s.Ordered() {
		if w.Placeable() {
			b.workers = append(b.workers, w)
			b.free[w.VM.ID] = w.Free()
		}
	}
	for _, j := range jobsByArrival(s) {
		b.startJob(j, reason, pick)
	}
	return b.out
}

// baseline is what one tick of a baseline keeps.
type baseline struct {
	tables  *table.State
	workers []*table.Worker
	free    map[types.VMID]types.Resources
	teams   map[types.TeamID]types.Resources
	out     []Action
}

func (b *baseline) startJob(j *table.Job, reason string, pick choice) {
	before := len(b.out)
	need := j.Spec.Task.Resources
	for _, k := range slices.Backward(j.Waiting()) {
		if b.start(k, need, reason, pick) {
			continue
		}
		if j.Spec.Gang != nil {
			b.undo(before, j)
		}
		return
	}
}

func (b *baseline) start(k *table.Task, need types.Resources, reason string, pick choice) bool {
	team := b.tables.Team(k.Job.Spec.Team)
	if !team.Room(b.teams[team.ID].Add(need)) {
		return false
	}
	var fitting []*table.Worker
	for _, w := range b.workers {
		if need.Fits(b.free[w.VM.ID]) {
			fitting = append(fitting, w)
		}
	}
	if len(fitting) == 0 {
		return false
	}
	w := pick(fitting, b.free)
	b.free[w.VM.ID] = b.free[w.VM.ID].Sub(need)
	b.teams[team.ID] = b.teams[team.ID].Add(need)
	b.out = append(b.out, StartAction{Task: k.ID, Worker: w.VM.ID, Reason: reason})
	return true
}

// undo takes back the starts of an all-at-once job that did not fit as a whole.
func (b *baseline) undo(before int, j *table.Job) {
	need := j.Spec.Task.Resources
	for _, a := range b.out[before:] {
		if start, ok := a.(StartAction); ok {
			b.free[start.Worker] = b.free[start.Worker].Add(need)
			b.teams[j.Spec.Team] = b.teams[j.Spec.Team].Sub(need)
		}
	}
	b.out = b.out[:before]
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
