package front

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/access"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/owner"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// callerArg returns the Caller field of the arguments of a call to the leader: nil for the zero Caller.
func callerArg(caller specs.Caller) *specs.Caller {
	if caller == (specs.Caller{}) {
		return nil
	}
	return &caller
}

// recheck checks a caller, whose key another daemon has accepted, against the leader's own catalog.
func (f *Front) recheck(caller *specs.Caller) (specs.Caller, error) {
	if caller == nil {
		return specs.Caller{}, nil
	}
	return access.Recheck(f.Catalog(), *caller)
}

// serveSubmit serves a submission. The job becomes that of the organisation which the newest catalog gives for the key.
func (f *Front) serveSubmit(ctx context.Context, o *owner.Owner, args *SubmitArgs) error {
	caller, err := f.recheck(args.Caller)
	if err != nil {
		return err
	}
	job := args.Job
	if args.Caller != nil {
		job.Organisation = caller.Organisation
	}
	return o.Submit(ctx, caller, &job)
}

// serveWaiting serves a call that counts the waiting jobs of a queue.
func (f *Front) serveWaiting(o *owner.Owner, args *QueueArgs, reply any) error {
	if _, err := f.recheck(args.Caller); err != nil {
		return err
	}
	n, err := o.Waiting(args.Queue)
	copyReply(reply, &WaitingReply{Waiting: n})
	return err
}
