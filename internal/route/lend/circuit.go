package lend

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/qmuntal/stateless"
)

// States of the circuit to one runner.
const (
	// circuitClosed lets every request through.
	circuitClosed circuitState = "Closed"
	// circuitOpen lets no request through.
	circuitOpen circuitState = "Open"
	// circuitProbing lets one request through.
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

	// circuit keeps requests away from a runner that fails. It is guarded by its holder's lock.
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

// allows tells whether a request may be sent now.
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

// recordStart notes that a request is sent.
func (c *circuit) recordStart() {
	if c.state == circuitClosed {
		return
	}
	c.fire(triggerProbe)
	c.probeInFlight = true
}

// recordSuccess notes a whole answer.
func (c *circuit) recordSuccess() {
	c.failures = 0
	if c.state == circuitClosed {
		return
	}
	c.probeInFlight = false
	c.openBackoff.Reset()
	c.fire(triggerSucceed)
}

// recordFailure notes a call that was not answered whole.
func (c *circuit) recordFailure(now time.Time) {
	c.probeInFlight = false
	c.failures++
	if c.state == circuitClosed && c.failures < failuresToOpen {
		return
	}
	c.open(now.Add(c.openBackoff.NextBackOff()))
}

// recordRefusal notes that the runner said that it takes no more requests.
func (c *circuit) recordRefusal(now time.Time) {
	c.probeInFlight = false
	c.open(now.Add(refusalBackoff))
}

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
