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
	triggerCool    trigger = "Cool"

	failuresToOpen  = 5
	firstCooling    = time.Second
	longestCooling  = 30 * time.Second
	refusedCooling  = time.Minute
	coolingMultiple = 2
	coolingJitter   = 0.2
)

type (
	circuitState string
	trigger      string

	// circuit keeps requests away from a runner that fails. It is guarded by its holder's lock.
	circuit struct {
		machine  *stateless.StateMachine
		state    circuitState
		failures int
		openTill time.Time
		waits    *backoff.ExponentialBackOff
		probing  bool
	}
)

func newCircuit() *circuit {
	c := &circuit{state: circuitClosed, waits: &backoff.ExponentialBackOff{
		InitialInterval:     firstCooling,
		MaxInterval:         longestCooling,
		Multiplier:          coolingMultiple,
		RandomizationFactor: coolingJitter,
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
	m.Configure(circuitClosed).Permit(triggerFail, circuitOpen).Ignore(triggerSucceed).Ignore(triggerCool)
	m.Configure(circuitOpen).Permit(triggerCool, circuitProbing).Ignore(triggerFail).Ignore(triggerSucceed)
	m.Configure(circuitProbing).Permit(triggerFail, circuitOpen).Permit(triggerSucceed, circuitClosed).Ignore(triggerCool)
	c.machine = m
	return c
}

// allows tells whether a request may be sent now.
func (c *circuit) allows(now time.Time) bool {
	switch c.state {
	case circuitClosed:
		return true
	case circuitOpen:
		return !now.Before(c.openTill)
	default:
		return !c.probing
	}
}

// begin notes that a request is sent.
func (c *circuit) begin() {
	if c.state == circuitClosed {
		return
	}
	c.fire(triggerCool)
	c.probing = true
}

// succeed notes a whole answer.
func (c *circuit) succeed() {
	c.failures = 0
	if c.state == circuitClosed {
		return
	}
	c.probing = false
	c.waits.Reset()
	c.fire(triggerSucceed)
}

// fail notes a call that was not answered whole.
func (c *circuit) fail(now time.Time) {
	c.probing = false
	c.failures++
	if c.state == circuitClosed && c.failures < failuresToOpen {
		return
	}
	c.open(now.Add(c.waits.NextBackOff()))
}

// refuse notes that the runner said that it takes no more requests.
func (c *circuit) refuse(now time.Time) {
	c.probing = false
	c.open(now.Add(refusedCooling))
}

func (c *circuit) open(till time.Time) {
	if till.After(c.openTill) {
		c.openTill = till
	}
	c.fire(triggerFail)
}

func (c *circuit) fire(t trigger) {
	// Every trigger is permitted or ignored in every state.
	_ = c.machine.Fire(t)
}
