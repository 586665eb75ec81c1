// Package lend shares the slots of runners between entries. The lead of a data centre lends the slots of its
// runners; each entry uses only the slots that it holds, so no runner is given more requests than it has slots.
package lend

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

// Names of the remote service and its methods.
const (
	ServiceName = "Lend"

	methodTrade    peer.Method = "Lend.Trade"
	methodHoldings peer.Method = "Lend.Holdings"
	methodPoke     peer.Method = "Lend.Poke"
)

const (
	// TickEvery is how often the loops of this package run.
	TickEvery = 100 * time.Millisecond
	// TradeEvery is how often an entry calls a lead when it has nothing to ask or give back.
	TradeEvery = time.Second
	// IdleAfter is how long a slot above the floor stays unused before it is given back.
	IdleAfter = 10 * time.Second
	// FloorSlots is how many slots of a service an idle entry asks its own data centre for.
	FloorSlots = 4

	// headroomDivisor is the part of its need, one in headroomDivisor, that an entry asks its own data centre for in addition.
	headroomDivisor = 8

	// shortageInterval is the longest pause between calls of an entry whose requests wait for slots.
	shortageInterval = 250 * time.Millisecond
	// minNotifyInterval is the shortest time between two pokes of one entry.
	minNotifyInterval = 200 * time.Millisecond

	// closeTimeout is how long a draining entry tries to give its slots back.
	closeTimeout = 3 * time.Second

	callTimeout = time.Second
	// farDivisor is the part of a runner's slots, one in farDivisor, that entries of other regions may hold in sum.
	farDivisor = 4
	maxShares  = 100_000
	maxWants   = 10_000
)

type (
	// Lead is the daemon that lends the slots of a data centre, and its epoch.
	Lead struct {
		Target peer.Target
		Epoch  types.Epoch
	}

	// Life tells the processes of one VM apart; a later process has a larger one.
	Life int64

	// Share is a number of slots and connections of one runner.
	Share struct {
		Runner      types.RunnerID
		Slots       int
		Connections int
	}

	// Want is how many slots of a service an entry could use.
	Want struct {
		Service types.ServiceName
		Slots   int
	}

	// Grant is a runner with the slots and connections that were lent in addition.
	Grant struct {
		Upstream    runner.Upstream
		Slots       int
		Connections int
	}

	// TradeArgs is what an entry gives back and asks for.
	TradeArgs struct {
		From       peer.Target
		DataCentre types.DataCentre
		Epoch      types.Epoch
		Life       Life
		Sequence   uint64
		// Full tells that Shares is all that the entry holds; otherwise Shares is what it gives back.
		Full     bool
		Shares   []Share
		Wants    []Want
		Refusing []types.RunnerID
	}

	// TradeReply is what a lead lends and asks back.
	TradeReply struct {
		Epoch  types.Epoch
		Grants []Grant
		// Recall is how many slots of each service the entry shall give back.
		Recall []Want
		// Barred lists runners of which the entry shall use nothing any more.
		Barred []types.RunnerID
	}

	// HoldingsArgs asks an entry what it holds of a data centre's runners.
	HoldingsArgs struct {
		DataCentre types.DataCentre
		Epoch      types.Epoch
		Lead       types.VMID
	}

	// HoldingsReply is all that an entry holds of a data centre's runners.
	HoldingsReply struct {
		Life     Life
		Sequence uint64
		Shares   []Share
	}

	// PokeArgs asks an entry to call the lead now, because another one needs slots that it holds.
	PokeArgs struct {
		DataCentre types.DataCentre
		Epoch      types.Epoch
		Lead       types.VMID
	}

	// PokeReply is empty.
	PokeReply struct{}

	// Service answers the remote calls of this package.
	Service struct {
		lender *Lender
		holder *Holder
	}
)

// NewService returns the remote service of one daemon.
func NewService(lender *Lender, holder *Holder) *Service {
	return &Service{lender: lender, holder: holder}
}

// Trade takes back slots and lends others; the lead answers it.
func (s *Service) Trade(args *TradeArgs, reply *TradeReply) error {
	out, err := s.lender.trade(args)
	if err != nil {
		return peer.Wire(err)
	}
	*reply = *out
	return nil
}

// Holdings tells a new lead what this entry holds.
func (s *Service) Holdings(args *HoldingsArgs, reply *HoldingsReply) error {
	out, err := s.holder.holdings(args)
	if err != nil {
		return peer.Wire(err)
	}
	*reply = *out
	return nil
}

// Poke makes this entry call the lead soon.
func (s *Service) Poke(args *PokeArgs, _ *PokeReply) error {
	return peer.Wire(s.holder.makeCallDue(args))
}

// Check returns an error when a field of the call is missing or out of bounds.
func (a *TradeArgs) Check() error {
	if a.From.VM == "" || a.DataCentre == "" || a.Epoch == 0 || a.Sequence == 0 {
		return errs.New(errs.Invalid, "From, DataCentre, Epoch and Sequence must be set")
	}
	if len(a.Shares) > maxShares || len(a.Wants) > maxWants || len(a.Refusing) > maxShares {
		return errs.New(errs.TooLarge, "more than %d shares or %d wants", maxShares, maxWants)
	}
	for _, w := range a.Wants {
		if w.Slots < 0 || w.Slots > maxShares {
			return errs.New(errs.Invalid, "Wants of %s must be within 0 and %d", w.Service, maxShares)
		}
	}
	return checkShares(a.Shares)
}

// Check returns an error when a share is out of bounds.
func (r *HoldingsReply) Check() error {
	if len(r.Shares) > maxShares {
		return errs.New(errs.TooLarge, "more than %d shares", maxShares)
	}
	return checkShares(r.Shares)
}

func checkShares(shares []Share) error {
	for _, s := range shares {
		if s.Runner == "" || s.Slots < 0 || s.Connections < 0 || s.Slots > maxShares || s.Connections > maxShares {
			return errs.New(errs.Invalid, "share of runner %q must be within 0 and %d", s.Runner, maxShares)
		}
	}
	return nil
}
