package lend

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/qmuntal/stateless"
)

// States of the circuit breaker of one runner.
const (
	// circuitClosed allows every request.
	circuitClosed circuitState = "Closed"
	// circuitOpen allows no request until its time has passed.
	circuitOpen circuitState = "Open"
	// circuitProbing (half open) allows one request at a time.
	circuitProbing circuitState = "Probing"
)

const (
	triggerFail    trigger = "Fail"
	triggerSucceed trigger = "Succeed"
	triggerProbe   trigger = "Cool"

	failuresToOpen        = 5
	minOpenBackoff        = time.Second
	maxOpenBackoff        = 30 * time.Second
	refusalBackoff        = time.Minute
	openBackoffMultiplier = 2
	openBackoffJitter     = 0.2
)

type (
	circuitState string
	trigger      string

	// circuit is a circuit breaker: it keeps requests away from a runner that fails. It is guarded by the lock of its
	// Holder.
	circuit struct {
		machine       *stateless.StateMachine
		state         circuitState
		failures      int
		openUntil     time.Time
		openBackoff   *backoff.ExponentialBackOff
		probeInFlight bool
	}
)

func newCircuit() *circuit {
	c := &circuit{state: circuitClosed, openBackoff: &backoff.ExponentialBackOff{
		InitialInterval:     minOpenBackoff,
		MaxInterval:         maxOpenBackoff,
		Multiplier:          openBackoffMultiplier,
		RandomizationFactor: openBackoffJitter,
	}}
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return c.state, nil },
		func(_ context.Context, s stateless.State) error {
			state, ok := s.(circuitState)
			if ok {
				c.state = state
			}
			return nil
		}, stateless.FiringImmediate)
	m.Configure(circuitClosed).Permit(triggerFail, circuitOpen).Ignore(triggerSucceed).Ignore(triggerProbe)
	m.Configure(circuitOpen).Permit(triggerProbe, circuitProbing).Ignore(triggerFail).Ignore(triggerSucceed)
	m.Configure(circuitProbing).Permit(triggerFail, circuitOpen).Permit(triggerSucceed, circuitClosed).Ignore(triggerProbe)
	c.machine = m
	return c
}

// allows reports whether a request may be sent now.
func (c *circuit) allows(now time.Time) bool {
	switch c.state {
	case circuitClosed:
		return true
	case circuitOpen:
		return !now.Before(c.openUntil)
	default:
		return !c.probeInFlight
	}
}

// recordStart records that a request is sent. Unless the circuit is closed, the request is a probe.
func (c *circuit) recordStart() {
	if c.state == circuitClosed {
		return
	}
	c.fire(triggerProbe)
	c.probeInFlight = true
}

// recordSuccess records a complete answer and closes the circuit if it was probing.
func (c *circuit) recordSuccess() {
	c.failures = 0
	if c.state == circuitClosed {
		return
	}
	c.probeInFlight = false
	c.openBackoff.Reset()
	c.fire(triggerSucceed)
}

// recordFailure records a call without a complete answer. The circuit opens after failuresToOpen consecutive failures;
// while it is not closed, every failure opens it again, for a longer time up to maxOpenBackoff.
func (c *circuit) recordFailure(now time.Time) {
	c.probeInFlight = false
	c.failures++
	if c.state == circuitClosed && c.failures < failuresToOpen {
		return
	}
	c.open(now.Add(c.openBackoff.NextBackOff()))
}

// recordRefusal records that the runner refused a call because it takes no more requests, and opens the circuit.
func (c *circuit) recordRefusal(now time.Time) {
	c.probeInFlight = false
	c.open(now.Add(refusalBackoff))
}

// open opens the circuit until the given time; an earlier time than the current one has no effect.
func (c *circuit) open(until time.Time) {
	if until.After(c.openUntil) {
		c.openUntil = until
	}
	c.fire(triggerFail)
}

func (c *circuit) fire(t trigger) {
	// Every trigger is permitted or ignored in every state.
	_ = c.machine.Fire(t)
}
