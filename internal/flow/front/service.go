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

	// SubmitArgs carries a job to the leader. Caller is who submits it; nil means the zero Caller, in all arguments, so that
	// nothing is sent for a catalog without organisations.
	SubmitArgs struct {
		Job    specs.Job
		Caller *specs.Caller
	}

	// JobArgs names a job.
	JobArgs struct {
		Job    specs.JobID
		Caller *specs.Caller
	}

	// QueueArgs names a queue.
	QueueArgs struct {
		Queue  specs.QueueName
		Caller *specs.Caller
	}

	// StateReply is the state of a job.
	StateReply struct{ State tasks.JobState }

	// WaitingReply is the number of jobs of which no task has started.
	WaitingReply struct{ Waiting int }

	// AdviseArgs asks a daemon to call the advice service on behalf of the leader, which waits for at most Limit.
	// Validity is how long the tickets of the answer may be used.
	AdviseArgs struct {
		Step     specs.StepRef
		Lives    []tasks.Incarnation
		Validity time.Duration
		Limit    time.Duration
	}

	// AdviseReply holds the permits for those of the runners that may run the step.
	AdviseReply struct{ Permits []agent.Permit }

	// PeekReply is the leader that a daemon knows, with Epoch zero if it knows none, and the version of its catalog, zero if
	// it has none. Confirmed and ConfirmedAge are the confirmation of that catalog, as in feed.PollReply.
	PeekReply struct {
		Lead         elect.Leader
		Catalog      specs.CatalogVersion
		Confirmed    bool
		ConfirmedAge time.Duration
	}

	// RelieveArgs holds the epoch of a leader whose writes the store does not accept. It is also the argument of Probe,
	// which does not use it.
	RelieveArgs struct{ Epoch types.Epoch }

	// Service is the RPC service that other daemons call.
	Service struct{ front *Front }
)

// Register registers the daemon's RPC services.
func (f *Front) Register(r peer.Registrar) error {
	if err := f.relays.Register(r); err != nil {
		return err
	}
	if err := f.feed.Register(r); err != nil {
		return err
	}
	return r.Register(serviceName, &Service{front: f})
}

// Submit accepts a job, if this daemon leads; otherwise the error is of kind Fenced.
func (s *Service) Submit(args *SubmitArgs, reply *Empty) error {
	return s.serve(args, reply)
}

// Cancel cancels a job, if this daemon leads; otherwise the error is of kind Fenced.
func (s *Service) Cancel(args *JobArgs, reply *Empty) error {
	return s.serve(args, reply)
}

// State returns a job's state, if this daemon leads; otherwise the error is of kind Fenced.
func (s *Service) State(args *JobArgs, reply *StateReply) error {
	return s.serve(args, reply)
}

// Waiting counts the jobs of a queue of which no task has started, if this daemon leads; otherwise the error is of kind
// Fenced.
func (s *Service) Waiting(args *QueueArgs, reply *WaitingReply) error {
	return s.serve(args, reply)
}

// Advise calls the advice service from this daemon and caches the answer.
func (s *Service) Advise(args *AdviseArgs, reply *AdviseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Limit)
	defer cancel()
	return peer.Wire(s.front.rescuer.Call("call for advice", func() error {
		permits, err := s.front.adviseLocally(ctx, args.Step, args.Lives, args.Validity)
		reply.Permits = permits
		return err
	}))
}

// Peek returns the leader that this daemon knows, and the version of its catalog with its confirmation.
func (s *Service) Peek(_ *Empty, reply *PeekReply) error {
	reply.Lead, _ = s.front.elector.Leader()
	version, confirmation := s.front.feed.Confirmation()
	reply.Catalog, reply.Confirmed, reply.ConfirmedAge = version, confirmation.Known, confirmation.Age
	return nil
}

// Probe renews this daemon's lease in the store, and returns an error unless the store answers. It takes the arguments
// of Relieve because both are sent by the same broadcast, and does not use them.
func (s *Service) Probe(_ *RelieveArgs, _ *Empty) error {
	ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
	defer cancel()
	return peer.Wire(s.front.elector.CheckStore(ctx))
}

// Relieve marks the leader of the given epoch as suspected, so that this daemon claims leadership before the leader's
// lease expires.
func (s *Service) Relieve(args *RelieveArgs, _ *Empty) error {
	s.front.elector.SuspectLeader(args.Epoch, "takeover requested: the store does not accept the leader's writes")
	return nil
}

func (s *Service) serve(args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaderCallTimeout)
	defer cancel()
	return peer.Wire(s.front.serveLocally(ctx, args, reply))
}

// currentOwner returns the manager of the jobs while this daemon leads, or an error of kind Fenced if it does not lead.
func (f *Front) currentOwner() (*owner.Owner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owner == nil {
		return nil, errs.New(errs.Fenced, "%s is not the leader", f.config.Self.VM)
	}
	return f.owner, nil
}

// serveLocally serves a call as the leader. It returns an error of kind Fenced if this daemon does not lead, of kind
// Denied if its own catalog is newer than the one that held the caller's key and does not hold it any more, and of kind
// Internal, which leaves the call in doubt, after a panic: net/rpc would end the process.
func (f *Front) serveLocally(ctx context.Context, args, reply any) error {
	return f.rescuer.Call("call to the leader", func() error { return f.serveAsLeader(ctx, args, reply) })
}

func (f *Front) serveAsLeader(ctx context.Context, args, reply any) error {
	o, err := f.currentOwner()
	if err != nil {
		return err
	}
	switch a := args.(type) {
	case *SubmitArgs:
		return f.serveSubmit(ctx, o, a)
	case *QueueArgs:
		return f.serveWaiting(o, a, reply)
	case *JobArgs:
		return f.serveJob(ctx, o, a, reply)
	default:
		return errs.New(errs.Internal, "no call takes arguments of type %T", args)
	}
}

// serveJob serves a call about one job: State if the reply is a StateReply, otherwise Cancel.
func (f *Front) serveJob(ctx context.Context, o *owner.Owner, args *JobArgs, reply any) error {
	caller, err := f.recheck(args.Caller)
	if err != nil {
		return err
	}
	r, ok := reply.(*StateReply)
	if !ok {
		return o.Cancel(ctx, caller, args.Job)
	}
	state, err := o.State(ctx, caller, args.Job)
	r.State = state
	return err
}

// newReply returns an empty reply of the same type. Each call gets its own, since a late answer to a call that has
// timed out is still written to it.
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

// copyReply copies a reply to one of the same type; empty replies are left as they are.
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

// isConnectionRefused reports whether the connection was refused, that is, no process listens at the called address.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
