// Package relay sends the leader's requests to runners through other daemons, the relays, in batches. In a large
// deployment one daemon has neither the processor nor the network link to talk to every runner itself.
//
// A relay carries out each request as it is and keeps no state of the runners. A request that is delayed at a relay is
// therefore like one that is delayed in the network: the fence, the lease deadline and the attempt number that it carries
// make a runner refuse it once it is outdated. A runner that has restarted has seen no fence and runs nothing, and would take
// it. So a batch also carries a reading of the relay's clock, by which the relay tells how long it was on its way.
package relay

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// ServiceName is the name of the RPC service of a relay.
	ServiceName = "Relay"

	methodDispatch peer.Method = ServiceName + ".Dispatch"
	methodCollect  peer.Method = ServiceName + ".Collect"

	// maxCollectWait is the longest time that a relay waits for an answer of a runner before it replies to Collect.
	maxCollectWait = time.Second
)

type (
	// SessionID identifies one leader's use of a relay.
	SessionID string

	// OrderID identifies an order within its session.
	OrderID uint64

	// Order is one request to a runner. Exactly one of Renew, Start and Stop is set.
	Order struct {
		ID     OrderID
		Runner specs.RunnerID
		// Boot is the runner's boot that the order is meant for, or 0 when that is not known. Leaders of former builds send none.
		Boot    specs.Boot
		Address types.Address
		// Timeout is how long the request to the runner may take, from when the relay receives it.
		Timeout time.Duration
		// deadline ends the request, on the leader's clock; Timeout is what is left of it when the order is sent.
		deadline time.Time
		Renew    *agent.RenewRequest
		// Start lacks its payload, which is Payload of the batch's payloads.
		Start   *agent.StartRequest
		Payload int
		Stop    *agent.StopRequest
	}

	// Answer is the outcome of an order. Report is set for a renewal that succeeded.
	Answer struct {
		ID     OrderID
		Report *agent.Report
		// Error is the encoded error, see errs.Encode; empty means that there is none.
		Error string
	}

	// DispatchArgs hands a batch of orders to a relay, which carries them out at once. The tasks of one step have the same
	// payload, so that each is sent only once in a batch.
	DispatchArgs struct {
		Session SessionID
		// SentAt is when the batch was sent, as the time since the session began on the leader's clock. Relays of former
		// builds go by it, which ignore Reading.
		SentAt time.Duration
		// Reading is a reading of the relay's clock that the leader received ReadingAge before it sent the batch. It shows
		// the relay whether the batch was held up on its way. Leaders of former builds send none.
		Reading    Reading
		ReadingAge time.Duration
		Payloads   []specs.Payload
		Orders     []Order
	}

	// DispatchReply holds a reading of the relay's clock. The answers to the orders are collected.
	DispatchReply struct{ Reading Reading }

	// Process identifies one process of a relay; never 0.
	Process int64

	// Reading is a reading of a relay's clock, as the time since its process began. It means nothing in another process.
	Reading struct {
		Process Process
		At      time.Duration
	}

	// CollectArgs asks a relay for the answers of a session, and to wait for the first one for at most Wait.
	CollectArgs struct {
		Session SessionID
		Wait    time.Duration
	}

	// CollectReply holds the answers since the last call.
	CollectReply struct{ Answers []Answer }
)

// Check returns an error of kind Invalid unless exactly one request is set and the payload is one of the given number.
func (o *Order) Check(payloads int) error {
	requests := 0
	for _, isSet := range []bool{o.Renew != nil, o.Start != nil, o.Stop != nil} {
		if isSet {
			requests++
		}
	}
	if requests != 1 {
		return errs.New(errs.Invalid, "order %d has %d requests, want exactly one", o.ID, requests)
	}
	if o.Start != nil && (o.Payload < 0 || o.Payload >= payloads) {
		return errs.New(errs.Invalid, "order %d has payload %d of %d", o.ID, o.Payload, payloads)
	}
	return nil
}

// carryOut sends the order's request to its runner and returns the outcome.
func (o *Order) carryOut(ctx context.Context, agents agent.Agent) Answer {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	to := agent.Runner{ID: o.Runner, Boot: o.Boot, Address: o.Address}
	out := Answer{ID: o.ID}
	var err error
	switch {
	case o.Renew != nil:
		var report agent.Report
		report, err = agents.RenewLeases(ctx, to, *o.Renew)
		if err == nil {
			out.Report = &report
		}
	case o.Start != nil:
		err = agents.Start(ctx, to, *o.Start)
	case o.Stop != nil:
		err = agents.Stop(ctx, to, *o.Stop)
	}
	if err != nil {
		out.Error = errs.Encode(err)
	}
	return out
}
