package tasks

import "github.com/magnoliawalk/magnoliawalk/internal/flow/specs"

// GangCheckpoint is a saved state of one member of a gang. It is valid for all members.
type GangCheckpoint struct {
	Value specs.Checkpoint
	// Attempt is the attempt that made the state; 0 when it is not known.
	Attempt specs.Attempt
}

// Observe replaces the state by one that an attempt has made, unless a later attempt made the present one. Of two states
// of one attempt, the one that is observed last counts as the newer.
func (g *GangCheckpoint) Observe(value specs.Checkpoint, attempt specs.Attempt) {
	if value != "" && attempt >= g.Attempt {
		g.Value, g.Attempt = value, attempt
	}
}

// WaitingChange returns the change by which the task waits again. A member of a gang then has the newest checkpoint of any
// member, so that it is durable however the others end.
func (t *Task) WaitingChange() *TaskChange {
	c := t.Change()
	c.State = Waiting
	c.setNewestCheckpoint(t)
	return c
}

// setNewestCheckpoint sets the checkpoint of a gang's member to that of its step.
func (c *TaskChange) setNewestCheckpoint(t *Task) {
	if t.Step.Spec.Gang {
		c.Saved, c.SavedIn = t.Step.Saved.Value, t.Step.Saved.Attempt
	}
}

// ObserveCheckpoint records a state that the run reports. Only a value that the run did not have before is new: until a
// member has saved its own state, it reports the one with which it was started, which may be older than that of another
// member.
func (r *Run) ObserveCheckpoint(value specs.Checkpoint) {
	if value == "" || value == r.Checkpoint {
		return
	}
	r.Checkpoint = value
	switch {
	case r.Task == nil:
	case r.Task.Step.Spec.Gang:
		r.Task.Step.Saved.Observe(value, r.Key.Attempt)
	case r.Task.Run == r:
		r.Task.Checkpoint = value
	}
}
