package table

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// usageSums holds what tasks occupy by worker, team and class, as computed from the tasks.
type usageSums struct {
	workers map[types.VMID]types.Resources
	teams   map[types.TeamID]types.Resources
	classes map[types.Class]types.Resources
}

// Verify returns an error of kind Internal that names the first violated invariant it finds: no worker is over its
// capacity, unconfirmed stops included; no task is on two workers; no quota is exceeded; and every count and index
// matches the tasks.
func Verify(s *State) error {
	found, err := verifyTasks(s)
	if err != nil {
		return err
	}
	if err := verifyWorkers(s, found); err != nil {
		return err
	}
	if err := verifyTeams(s, found); err != nil {
		return err
	}
	for _, c := range types.Classes() {
		if s.usedByClass[c] != found.classes[c] {
			return errs.New(errs.Internal, "class %s is counted with %s, its tasks occupy %s", c, s.usedByClass[c], found.classes[c])
		}
	}
	return verifyJobs(s)
}

func verifyTasks(s *State) (*usageSums, error) {
	found := &usageSums{
		workers: make(map[types.VMID]types.Resources),
		teams:   make(map[types.TeamID]types.Resources),
		classes: make(map[types.Class]types.Resources),
	}
	for id, t := range s.Tasks {
		if t.ID != id || s.Jobs[t.Job.Spec.ID] != t.Job {
			return nil, errs.New(errs.Internal, "task %s is stored under ID %s or its job is missing", t.ID, id)
		}
		if (t.queueIndex != notQueued) != (t.State == TaskWaiting) {
			return nil, errs.New(errs.Internal, "task %s in state %s: exactly the waiting tasks must be in a queue", id, t.State)
		}
		if !t.State.Occupies() {
			continue
		}
		w, ok := s.Workers[t.Worker]
		if !ok {
			return nil, errs.New(errs.Internal, "task %s occupies worker %s, which is missing", id, t.Worker)
		}
		if _, held := w.Attempts[id]; !held {
			return nil, errs.New(errs.Internal, "worker %s does not list task %s", t.Worker, id)
		}
		found.add(t)
	}
	return found, nil
}

func (f *usageSums) add(t *Task) {
	need := t.Need()
	f.workers[t.Worker] = f.workers[t.Worker].Add(need)
	f.teams[t.Job.Spec.Team] = f.teams[t.Job.Spec.Team].Add(need)
	f.classes[t.Job.Spec.Class] = f.classes[t.Job.Spec.Class].Add(need)
}

func verifyWorkers(s *State, found *usageSums) error {
	if len(s.ordered) != len(s.Workers) {
		return errs.New(errs.Internal, "the sorted list has %d workers, the table %d", len(s.ordered), len(s.Workers))
	}
	for id, w := range s.Workers {
		if s.ordered[w.Index] != w {
			return errs.New(errs.Internal, "worker %s is not at its index %d in the sorted list", id, w.Index)
		}
		for task := range w.Attempts {
			t, ok := s.Tasks[task]
			if !ok || t.Worker != id || !t.State.Occupies() {
				return errs.New(errs.Internal, "worker %s lists task %s, which does not occupy it", id, task)
			}
		}
		used := found.workers[id]
		for _, need := range w.Orphans {
			used = used.Add(need)
		}
		if used != w.Used {
			return errs.New(errs.Internal, "worker %s is counted with %s, its attempts occupy %s", id, w.Used, used)
		}
		if !used.Fits(w.VM.Capacity) {
			return errs.New(errs.Internal, "worker %s is over its capacity: %s of %s occupied", id, used, w.VM.Capacity)
		}
	}
	return nil
}

func verifyTeams(s *State, found *usageSums) error {
	for id, team := range s.Teams {
		if team.Used != found.teams[id] {
			return errs.New(errs.Internal, "team %s is counted with %s, its tasks occupy %s", id, team.Used, found.teams[id])
		}
		allowed := maxResources(team.Quota, team.Allowance)
		if !team.Quota.IsZero() && !team.Used.Fits(allowed) {
			return errs.New(errs.Internal, "team %s is over its quota: %s of %s occupied", id, team.Used, allowed)
		}
	}
	return nil
}

func verifyJobs(s *State) error {
	queued := 0
	for id, j := range s.Jobs {
		var c Counts
		for _, t := range j.Tasks {
			if s.Tasks[t.ID] != t {
				return errs.New(errs.Internal, "task %s of job %s is not in the table of tasks", t.ID, id)
			}
			c.add(t.State, 1)
		}
		if c != j.Counts || c.Waiting != len(j.waiting) {
			return errs.New(errs.Internal, "job %s is counted with %+v and %d queued, its tasks give %+v", id, j.Counts, len(j.waiting), c)
		}
		if state := j.derivedState(); state != j.State {
			return errs.New(errs.Internal, "job %s is in state %s, its tasks give %s", id, j.State, state)
		}
		if c.Waiting > 0 {
			queued++
		}
	}
	if queued != len(s.waiting) {
		return errs.New(errs.Internal, "%d jobs are queued, %d have waiting tasks", len(s.waiting), queued)
	}
	return nil
}

// maxResources returns the larger amount of each resource.
func maxResources(a, b types.Resources) types.Resources {
	return types.Resources{
		Cores:        max(a.Cores, b.Cores),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
