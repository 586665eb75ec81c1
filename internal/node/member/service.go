package member

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

type (
	// Beat is a heartbeat and its answer: who sends it and which leads the sender knows.
	Beat struct {
		From     peer.Target
		Draining bool
		// Known is the digest of all leads that the sender knows.
		Known Digest
		// Leads is left out when the receiver is known to have the same ones.
		Leads []LeadOf
	}

	// Digest stands for a set of leads.
	Digest uint64

	// LeadOf is the lead of one data centre.
	LeadOf struct {
		DataCentre types.DataCentre
		Lead       Leader
	}

	service struct {
		member *Member
	}
)

// Beat takes a heartbeat and answers with the receiver's own.
func (s *service) Beat(args, reply *Beat) error {
	if err := args.Check(); err != nil {
		return peer.Wire(err)
	}
	s.member.applyHeartbeat(*args)
	*reply = s.member.newHeartbeat(args.From.VM)
	return nil
}
