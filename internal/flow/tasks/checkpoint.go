package tasks

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// GangCheckpoint is a state that one member of a gang has saved. Every member can continue from it.
type GangCheckpoint struct {
	Value specs.Checkpoint
	// Attempt is the attempt that saved the state; 0 when it is not known.
	Attempt specs.Attempt
	// At is when this leader learned of the state; zero when it is from the ledger.
	At time.Time
}

// Observe replaces the state by one that the given attempt has saved, unless a later attempt saved the present one. Of two
// states of one attempt, the one that is observed last counts as the newer.
func (g *GangCheckpoint) Observe(value specs.Checkpoint, attempt specs.Attempt, at time.Time) {
	if value != "" && attempt >= g.Attempt && (value != g.Value || attempt != g.Attempt) {
		*g = GangCheckpoint{Value: value, Attempt: attempt, At: at}
	}
}

// WaitingChange returns the change that sets the task to Waiting. For a member of a gang it holds the newest checkpoint of any
// member, so that this is durable whatever the results of the others.
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

// LatestSave returns the time since which the run's work is not saved: when it, or for a gang any member of its attempt, last
// saved its state, or when the run was confirmed if none has.
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
