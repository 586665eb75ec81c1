// Package stall notices that a part of a process makes no progress although none of its calls has failed.
package stall

import "sync"

type (
	// Watch holds what the parts of a process are doing or waiting for. It is safe for concurrent use.
	Watch struct {
		mu     sync.Mutex
		turns  map[*turn]struct{}
		checks int
	}

	// turn is one piece of work, or one wait, that should end soon.
	turn struct {
		what string
		// begunAt is the number of checks before the turn began.
		begunAt int
	}
)

// New returns a Watch without turns.
func New() *Watch {
	return &Watch{turns: make(map[*turn]struct{})}
}

// Begin records that a turn has begun, and returns the function that ends it.
func (w *Watch) Begin(what string) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := &turn{what: what, begunAt: w.checks}
	w.turns[t] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.turns, t)
	}
}

// Check returns the oldest turn and the number of checks that it has outlasted, this one included. Ages are counted in checks
// and not in time, so that a pause of the whole process makes no turn look old.
func (w *Watch) Check() (what string, checks int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks++
	for t := range w.turns {
		if age := w.checks - t.begunAt; age > checks {
			what, checks = t.what, age
		}
	}
	return what, checks
}
