package member

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

type (
	// Beat is a heartbeat, and the answer to one: who sends it and which leaders the sender knows.
	Beat struct {
		From     peer.Target
		Draining bool
		// Known is the digest of all leaders that the sender knows.
		Known Digest
		// Leads lists the leaders. It is empty when the receiver's last heartbeat had the same digest.
		Leads []LeadOf
	}

	// Digest is an order-independent hash of a set of leaders.
	Digest uint64

	// LeadOf is the leader of one data centre.
	LeadOf struct {
		DataCentre types.DataCentre
		Lead       Leader
	}

	service struct {
		member *Member
	}
)

// Beat applies a heartbeat and answers with the heartbeat of this VM.
func (s *service) Beat(args, reply *Beat) error {
	if err := args.Check(); err != nil {
		return peer.Wire(err)
	}
	s.member.applyHeartbeat(*args)
	*reply = s.member.newHeartbeat(args.From.VM)
	return nil
}
