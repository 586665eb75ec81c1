package front

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/owner"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// Methods that daemons call on each other.
const (
	serviceName = "Flow"

	methodSubmit  peer.Method = serviceName + ".Submit"
	methodCancel  peer.Method = serviceName + ".Cancel"
	methodState   peer.Method = serviceName + ".State"
	methodWaiting peer.Method = serviceName + ".Waiting"
	methodAdvise  peer.Method = serviceName + ".Advise"
	methodPeek    peer.Method = serviceName + ".Peek"
	methodRecall  peer.Method = serviceName + ".Recall"
	methodProbe   peer.Method = serviceName + ".Probe"
	methodRelieve peer.Method = serviceName + ".Relieve"
)

type (
	// Empty is the reply of calls that return nothing but an error.
	Empty struct{}

	// SubmitArgs hands a job to the lead.
	SubmitArgs struct{ Job specs.Job }

	// JobArgs names a job.
	JobArgs struct{ Job specs.JobID }

	// QueueArgs names a queue.
	QueueArgs struct{ Queue specs.QueueName }

	// StateReply is the state of a job.
	StateReply struct{ State tasks.JobState }

	// WaitingReply counts the jobs that have not started.
	WaitingReply struct{ Waiting int }

	// AdviseArgs asks for advice on behalf of the lead, which waits for at most Limit.
	AdviseArgs struct {
		Step     specs.StepRef
		Lives    []tasks.Incarnation
		Validity time.Duration
		Limit    time.Duration
	}

	// AdviseReply holds the permits.
	AdviseReply struct{ Permits []agent.Permit }

	// PeekArgs tells which catalog the asking daemon has.
	PeekArgs struct{ Catalog specs.CatalogVersion }

	// PeekReply tells what a daemon knows; Catalog is nil unless it is newer.
	PeekReply struct {
		Lead    elect.Leader
		Catalog *specs.Catalog
	}

	// RelieveArgs names the term of a lead whose writes the store does not take.
	RelieveArgs struct{ Epoch types.Epoch }

	// Service is what other daemons may call.
	Service struct{ front *Front }
)

// Register makes the daemon callable by others.
func (f *Front) Register(r peer.Registrar) error {
	return r.Register(serviceName, &Service{front: f})
}

// Submit takes a job, if this daemon leads.
func (s *Service) Submit(args *SubmitArgs, reply *Empty) error {
	return s.serve(args, reply)
}

// Cancel cancels a job, if this daemon leads.
func (s *Service) Cancel(args *JobArgs, reply *Empty) error {
	return s.serve(args, reply)
}

// State returns a job's state, if this daemon leads.
func (s *Service) State(args *JobArgs, reply *StateReply) error {
	return s.serve(args, reply)
}

// Waiting counts the waiting jobs of a queue, if this daemon leads.
func (s *Service) Waiting(args *QueueArgs, reply *WaitingReply) error {
	return s.serve(args, reply)
}

// Advise asks the advice service.
func (s *Service) Advise(args *AdviseArgs, reply *AdviseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Limit)
	defer cancel()
	permits, err := s.front.adviseLocally(ctx, args.Step, args.Lives, args.Validity)
	reply.Permits = permits
	return peer.Wire(err)
}

// Peek tells what this daemon knows of the lead and the catalog.
func (s *Service) Peek(args *PeekArgs, reply *PeekReply) error {
	reply.Lead, _ = s.front.elector.Leader()
	if c := s.front.Catalog(); c != nil && c.Version > args.Catalog {
		reply.Catalog = c
	}
	return nil
}

// Probe returns an error unless the store answers this daemon.
func (s *Service) Probe(_ *RelieveArgs, _ *Empty) error {
	ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
	defer cancel()
	return peer.Wire(s.front.elector.CheckStore(ctx))
}

// Relieve has this daemon follow a lead that cannot go on.
func (s *Service) Relieve(args *RelieveArgs, _ *Empty) error {
	s.front.elector.SuspectLeader(args.Epoch, "the store does not take its writes")
	return nil
}

func (s *Service) serve(args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaderCallTimeout)
	defer cancel()
	return peer.Wire(s.front.serveLocally(ctx, args, reply))
}

// currentOwner returns this daemon's part as lead.
func (f *Front) currentOwner() (*owner.Owner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owner == nil {
		return nil, errs.New(errs.Unavailable, "%s does not lead", f.config.Self.VM)
	}
	return f.owner, nil
}

// serveLocally serves a call as the lead.
func (f *Front) serveLocally(ctx context.Context, args, reply any) error {
	o, err := f.currentOwner()
	if err != nil {
		return err
	}
	switch a := args.(type) {
	case *SubmitArgs:
		return o.Submit(ctx, &a.Job)
	case *QueueArgs:
		n, err := o.Waiting(a.Queue)
		copyReply(reply, &WaitingReply{Waiting: n})
		return err
	case *JobArgs:
		return f.serveJob(ctx, o, a.Job, reply)
	default:
		return errs.New(errs.Internal, "no such call: %T", args)
	}
}

func (f *Front) serveJob(ctx context.Context, o *owner.Owner, id specs.JobID, reply any) error {
	r, ok := reply.(*StateReply)
	if !ok {
		return o.Cancel(ctx, id)
	}
	state, err := o.State(ctx, id)
	r.State = state
	return err
}

// newReply returns an empty reply of the same type; a late answer to a call that was given up is written there.
func newReply(reply any) any {
	switch reply.(type) {
	case *StateReply:
		return &StateReply{}
	case *WaitingReply:
		return &WaitingReply{}
	default:
		return &Empty{}
	}
}

func copyReply(reply, from any) {
	switch r := reply.(type) {
	case *StateReply:
		if f, ok := from.(*StateReply); ok {
			*r = *f
		}
	case *WaitingReply:
		if f, ok := from.(*WaitingReply); ok {
			*r = *f
		}
	}
}

// isConnectionRefused tells whether the called process has ended: nothing listens at its address any more.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
