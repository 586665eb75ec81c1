// Package life holds the life cycles of a task and of a job as state machines.
//
// A cycle is configured once and serves any number of tasks or jobs of one goroutine: the current state is passed
// in and the next one is returned, so that no state machine is needed for each task or job.
package life

import (
	"context"

	"github.com/qmuntal/stateless"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// transition is one permitted transition of a machine.
type transition[S, T comparable] struct {
	trigger T
	to      S
}

// machine fires triggers on states that the caller stores.
type machine[S, T comparable] struct {
	name    string
	current S
	states  *stateless.StateMachine
}

func newMachine[S, T comparable](name string, allowed map[S][]transition[S, T]) *machine[S, T] {
	m := &machine[S, T]{name: name}
	m.states = stateless.NewStateMachineWithExternalStorage(m.load, m.save, stateless.FiringImmediate)
	for from, transitions := range allowed {
		row := m.states.Configure(from)
		for _, t := range transitions {
			if t.to == from {
				row.PermitReentry(t.trigger)
				continue
			}
			row.Permit(t.trigger, t.to)
		}
	}
	m.states.OnUnhandledTrigger(m.rejectTrigger)
	return m
}

func (m *machine[S, T]) load(context.Context) (stateless.State, error) {
	return m.current, nil
}

func (m *machine[S, T]) save(_ context.Context, state stateless.State) error {
	next, ok := state.(S)
	if !ok {
		return errs.New(errs.Internal, "%s got state %v of an unexpected type", m.name, state)
	}
	m.current = next
	return nil
}

func (m *machine[S, T]) rejectTrigger(_ context.Context, state stateless.State, trigger stateless.Trigger, _ []string) error {
	return errs.New(errs.Internal, "%s in state %v does not permit trigger %v", m.name, state, trigger)
}

// fire returns the state that follows from a trigger, or an error of kind Internal.
func (m *machine[S, T]) fire(from S, trigger T) (S, error) {
	m.current = from
	if err := m.states.Fire(trigger); err != nil {
		return from, err
	}
	return m.current, nil
}
