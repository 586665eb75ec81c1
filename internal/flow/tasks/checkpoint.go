package tasks

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// GangCheckpoint is a saved state of one member of a gang. It is valid for all members.
type GangCheckpoint struct {
	Value specs.Checkpoint
	// Attempt is the attempt that made the state; 0 when it is not known.
	Attempt specs.Attempt
	// At is when this leader learned of the state; zero when it is from the ledger.
	At time.Time
}

// Observe replaces the state by one that an attempt has made, unless a later attempt made the present one. Of two states
// of one attempt, the one that is observed last counts as the newer.
func (g *GangCheckpoint) Observe(value specs.Checkpoint, attempt specs.Attempt, at time.Time) {
	if value != "" && attempt >= g.Attempt && (value != g.Value || attempt != g.Attempt) {
		*g = GangCheckpoint{Value: value, Attempt: attempt, At: at}
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

// LatestSave returns from when on the run's work would be lost: when it, or for a gang any member of its attempt, last saved
// its state, or when the runner began it.
func (r *Run) LatestSave() time.Time {
	saved := r.SavedAt
	if r.Task != nil && r.Task.Step.Spec.Gang && r.Task.Step.Saved.Attempt == r.Key.Attempt {
		saved = r.Task.Step.Saved.At
	}
	if saved.Before(r.ConfirmedAt) {
		return r.ConfirmedAt
	}
	return saved
}

// ObserveCheckpoint records a state that the run reports. Only a value that the run did not have before is new: until a
// member has saved its own state, it reports the one with which it was started, which may be older than that of another
// member.
func (r *Run) ObserveCheckpoint(value specs.Checkpoint, at time.Time) {
	if value == "" || value == r.Checkpoint {
		return
	}
	r.Checkpoint, r.SavedAt = value, at
	switch {
	case r.Task == nil:
	case r.Task.Step.Spec.Gang:
		r.Task.Step.Saved.Observe(value, r.Key.Attempt, at)
	case r.Task.Run == r:
		r.Task.Checkpoint = value
	}
}
