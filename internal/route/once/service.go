package once

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// Service implements the RPC methods of this package.
type Service struct {
	table *Table
}

// NewService returns the RPC service of one daemon's table.
func NewService(table *Table) *Service {
	return &Service{table: table}
}

// Register grants an id to one entry for one dispatch.
func (s *Service) Register(args *RegisterArgs, reply *RegisterReply) error {
	out, err := s.table.register(args)
	if err != nil {
		return peer.Wire(err)
	}
	*reply = *out
	return nil
}

// Settle records the final answer of an id.
func (s *Service) Settle(args *SettleArgs, _ *SettleReply) error {
	return peer.Wire(s.table.recordAnswer(args))
}

// Ask returns the answer to an id as far as it is known. It waits for that of an id that is under way, for askWait at most.
func (s *Service) Ask(args *AskArgs, reply *AskReply) error {
	answer, err := s.table.ask(args.ID)
	if err != nil {
		return peer.Wire(err)
	}
	reply.Answer = *answer
	return nil
}

// Mark returns what an entry needs to mint ids. It fails with Fenced when this daemon is not the leader.
func (s *Service) Mark(_ *MarkArgs, reply *Mark) error {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	if !s.table.active {
		return peer.Wire(errs.New(errs.Fenced, "%s is not the leader", s.table.config.Self.VM))
	}
	*reply = s.table.currentMark()
	return nil
}

// Yield transfers the ledgers of this daemon's terms as leader to a later leader, one page at a time.
func (s *Service) Yield(args *YieldArgs, reply *YieldReply) error {
	out, err := s.table.yield(args)
	if err != nil {
		return peer.Wire(err)
	}
	*reply = *out
	return nil
}

// Copy stores final answers for the home.
func (s *Service) Copy(args *CopyArgs, _ *CopyReply) error {
	return peer.Wire(s.table.acceptCopies(args))
}

// Copies returns one page of the final answers that this daemon keeps.
func (s *Service) Copies(args *CopiesArgs, reply *CopiesReply) error {
	out, err := s.table.readCopies(args)
	if err != nil {
		return peer.Wire(err)
	}
	*reply = *out
	return nil
}
