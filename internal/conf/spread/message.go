package spread

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	serviceName = "Spread"

	methodPush   peer.Method = "Spread.Push"
	methodPull   peer.Method = "Spread.Pull"
	methodStatus peer.Method = "Spread.Status"
)

type (
	// Stamp identifies a record and ranks it. The zero stamp is older than any record.
	Stamp struct {
		Revision types.Revision
		At       time.Time
		Digest   types.Digest
	}

	// Update is a record whose body is written as a delta against a base, or whole when there is none.
	Update struct {
		Stamp Stamp
		By    string
		From  envdoc.Name
		// Base is the digest of the body that the delta starts from; 0 means the empty body.
		Base  types.Digest
		Delta []byte
	}

	// PushArgs hands a new record to a peer.
	PushArgs struct {
		Environment envdoc.Name
		Update      Update
		// Age is how long ago the store confirmed the record to the sender.
		Age time.Duration
	}

	// PushReply tells what the receiver has in force after the push.
	PushReply struct {
		Have Stamp
		// Rebase tells that the receiver lacks the delta's base.
		Rebase bool
	}

	// PullArgs tells what the sender has in force and asks for a newer record.
	PullArgs struct {
		Environment envdoc.Name
		Have        Stamp
	}

	// PullReply tells what the receiver has in force; Update is set when it is newer than the sender's record.
	PullReply struct {
		Have Stamp
		// Age is how long ago the store, directly or through peers, confirmed the record.
		Age    time.Duration
		Update *Update
	}

	// StatusArgs asks what a daemon has in force.
	StatusArgs struct {
		Environment envdoc.Name
	}

	// StatusReply is the answer to StatusArgs.
	StatusReply struct {
		Have Stamp
		Age  time.Duration
	}

	// service is what other daemons call.
	service struct {
		spread *Spread
	}
)

func stampOf(record *edit.Accepted) Stamp {
	if record == nil {
		return Stamp{}
	}
	return Stamp{Revision: record.Revision, At: record.At.UTC().Round(0), Digest: record.Digest}
}

// newer tells whether a record with the stamp replaces one with the other stamp.
func (s Stamp) newer(other Stamp) bool {
	a := edit.Accepted{Revision: s.Revision, At: s.At, Digest: s.Digest}
	return a.Newer(&edit.Accepted{Revision: other.Revision, At: other.At, Digest: other.Digest})
}

// Push takes a newer record from a peer.
func (v *service) Push(args *PushArgs, reply *PushReply) error {
	s := v.spread
	if args.Environment != s.config.Environment {
		return peer.Wire(errs.New(errs.Invalid, "this daemon runs environment %s", s.config.Environment))
	}
	err := s.applyUpdate(args.Update, args.Age)
	reply.Have = s.holder.stamp()
	reply.Rebase = errs.Is(err, errs.NotFound)
	if err != nil && !reply.Rebase {
		return peer.Wire(err)
	}
	return nil
}

// Pull returns the record in force when it is newer than the caller's.
func (v *service) Pull(args *PullArgs, reply *PullReply) error {
	s := v.spread
	if args.Environment != s.config.Environment {
		return peer.Wire(errs.New(errs.Invalid, "this daemon runs environment %s", s.config.Environment))
	}
	reply.Have = s.holder.stamp()
	reply.Age = s.age()
	if reply.Have.newer(args.Have) {
		update, err := s.holder.updateFrom(args.Have.Digest)
		if err != nil {
			return peer.Wire(err)
		}
		reply.Have, reply.Update = update.Stamp, &update
	}
	return nil
}

// Status returns what is in force.
func (v *service) Status(args *StatusArgs, reply *StatusReply) error {
	s := v.spread
	if args.Environment != s.config.Environment {
		return peer.Wire(errs.New(errs.Invalid, "this daemon runs environment %s", s.config.Environment))
	}
	reply.Have, reply.Age = s.holder.stamp(), s.age()
	return nil
}
