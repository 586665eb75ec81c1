// Package lend shares the slots of runners among entries. The leader of a data centre lends the slots of its
// runners; each entry uses only the slots that it holds, so no runner is sent more requests than it has slots.
package lend

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

// Names of the RPC service and its methods.
const (
	ServiceName = "Lend"

	methodTrade    peer.Method = "Lend.Trade"
	methodHoldings peer.Method = "Lend.Holdings"
	methodPoke     peer.Method = "Lend.Poke"
)

const (
	// TickInterval is the interval of the Holder's loop and its shortest pause between calls while slots are short.
	TickInterval = 100 * time.Millisecond
	// TradeInterval is how often an entry calls a leader when it has nothing to request or return. It is also the
	// interval of the Lender's loop.
	TradeInterval = time.Second
	// IdleTimeout is the time after which unused slots above the floor are returned. It counts from when all slots of
	// the runner were last in use.
	IdleTimeout = 10 * time.Second
	// FloorSlots is the minimum headroom, in slots of a service, that an entry requests of its own data centre. An
	// idle entry keeps that many.
	FloorSlots = 4

	// headroomDivisor sets the headroom that an entry requests of its own data centre: its need divided by
	// headroomDivisor, and at least FloorSlots.
	headroomDivisor = 8

	// shortageInterval is the longest pause between calls of an entry whose requests wait for slots.
	shortageInterval = 250 * time.Millisecond
	// minNotifyInterval is the minimum time between two notifications (Poke) of one entry.
	minNotifyInterval = 200 * time.Millisecond

	// closeTimeout is how long a draining entry tries to return its slots.
	closeTimeout = 3 * time.Second

	callTimeout = time.Second
	// farDivisor limits what entries of other regions may hold of a runner: in sum its slots divided by farDivisor.
	farDivisor = 4
	maxShares  = 100_000
	maxWants   = 10_000
)

type (
	// Leader is the leader of a data centre, which lends the slots of its runners, and the leader's epoch.
	Leader struct {
		Target peer.Target
		Epoch  types.Epoch
	}

	// Incarnation is the incarnation of an entry: the start time of its process in nanoseconds since the Unix epoch. A
	// later process of the same VM has a larger one.
	Incarnation int64

	// Share is how many slots and connections of one runner an entry holds or returns.
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

	// Grant is a runner with the slots and connections that are lent in addition to those already held.
	Grant struct {
		Upstream    runner.Upstream
		Slots       int
		Connections int
	}

	// TradeArgs is what an entry returns and requests.
	TradeArgs struct {
		From       peer.Target
		DataCentre types.DataCentre
		Epoch      types.Epoch
		Life       Incarnation
		Sequence   uint64
		// Full means that Shares is all that the entry holds; otherwise Shares is what it returns.
		Full   bool
		Shares []Share
		Wants  []Want
		// Refusing lists the runners that refused a call of the entry.
		Refusing []types.RunnerID
	}

	// TradeReply is what a leader lends and recalls.
	TradeReply struct {
		Epoch  types.Epoch
		Grants []Grant
		// Recall is how many slots of each service the entry must return.
		Recall []Want
		// Barred lists the runners that the entry must send no more requests to, although it holds slots of them.
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
		Life     Incarnation
		Sequence uint64
		Shares   []Share
	}

	// PokeArgs asks an entry to call the leader now, because another entry needs slots that it holds.
	PokeArgs struct {
		DataCentre types.DataCentre
		Epoch      types.Epoch
		Lead       types.VMID
	}

	// PokeReply is empty.
	PokeReply struct{}

	// Service implements the RPC methods of this package.
	Service struct {
		lender *Lender
		holder *Holder
	}
)

// NewService returns the RPC service of one daemon's Lender and Holder.
func NewService(lender *Lender, holder *Holder) *Service {
	return &Service{lender: lender, holder: holder}
}

// Trade takes the slots that an entry returns and lends it others. It returns errs.Fenced unless this daemon lends
// for the data centre under the epoch of the call, and errs.Conflict when the call does not follow the last one
// that was applied.
func (s *Service) Trade(args *TradeArgs, reply *TradeReply) error {
	out, err := s.lender.trade(args)
	if err != nil {
		return peer.Wire(err)
	}
	*reply = *out
	return nil
}

// Holdings reports to a new leader what this entry holds. It returns errs.Fenced when the entry follows another
// leader under the same or a later epoch.
func (s *Service) Holdings(args *HoldingsArgs, reply *HoldingsReply) error {
	out, err := s.holder.holdings(args)
	if err != nil {
		return peer.Wire(err)
	}
	*reply = *out
	return nil
}

// Poke makes this entry call the leader soon. It returns errs.Fenced as Holdings does.
func (s *Service) Poke(args *PokeArgs, _ *PokeReply) error {
	return peer.Wire(s.holder.makeCallDue(args))
}

// Check returns errs.Invalid when a field of the call is missing or out of bounds, and errs.TooLarge when a list is
// too long.
func (a *TradeArgs) Check() error {
	if a.From.VM == "" || a.DataCentre == "" || a.Epoch == 0 || a.Sequence == 0 {
		return errs.New(errs.Invalid, "From, DataCentre, Epoch and Sequence must be set")
	}
	if len(a.Shares) > maxShares || len(a.Wants) > maxWants || len(a.Refusing) > maxShares {
		return errs.New(errs.TooLarge, "list too long: at most %d shares or refusing runners and %d wants are allowed", maxShares, maxWants)
	}
	for _, w := range a.Wants {
		if w.Slots < 0 || w.Slots > maxShares {
			return errs.New(errs.Invalid, "slots wanted of service %s must be between 0 and %d", w.Service, maxShares)
		}
	}
	return checkShares(a.Shares)
}

// Check returns errs.TooLarge when there are too many shares, and errs.Invalid when a share is out of bounds.
func (r *HoldingsReply) Check() error {
	if len(r.Shares) > maxShares {
		return errs.New(errs.TooLarge, "too many shares: at most %d are allowed", maxShares)
	}
	return checkShares(r.Shares)
}

func checkShares(shares []Share) error {
	for _, s := range shares {
		if s.Runner == "" || s.Slots < 0 || s.Connections < 0 || s.Slots > maxShares || s.Connections > maxShares {
			return errs.New(errs.Invalid, "share of runner %q must name the runner and have slots and connections between 0 and %d", s.Runner, maxShares)
		}
	}
	return nil
}
