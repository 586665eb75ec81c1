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
	// Stamp identifies a record and orders it among others. The zero stamp is older than that of any record.
	Stamp struct {
		Revision types.Revision
		At       time.Time
		Digest   types.Digest
	}

	// Update is a record whose body is encoded as a delta against a base body, or against the empty body.
	Update struct {
		Stamp Stamp
		By    string
		From  envdoc.Name
		// Base is the digest of the body to which the delta applies; 0 means the empty body.
		Base  types.Digest
		Delta []byte
	}

	// PushArgs sends a new record to a peer.
	PushArgs struct {
		Environment envdoc.Name
		Update      Update
		// Age is how long ago the store confirmed the record to the sender.
		Age time.Duration
	}

	// PushReply reports which record the receiver has in force after the push.
	PushReply struct {
		Have Stamp
		// Rebase means that the receiver does not have the base of the delta.
		Rebase bool
	}

	// PullArgs reports which record the sender has in force and asks for a newer one.
	PullArgs struct {
		Environment envdoc.Name
		Have        Stamp
	}

	// PullReply reports which record the receiver has in force. Update is set when it is newer than the sender's.
	PullReply struct {
		Have Stamp
		// Age is how long ago the store confirmed the record, directly or through peers.
		Age    time.Duration
		Update *Update
	}

	// StatusArgs asks which record a daemon has in force.
	StatusArgs struct {
		Environment envdoc.Name
	}

	// StatusReply reports the record in force and how long ago the store confirmed it.
	StatusReply struct {
		Have Stamp
		Age  time.Duration
	}

	// service holds the RPC methods that other daemons call.
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

// newer reports whether a record with this stamp replaces one with the other stamp.
func (s Stamp) newer(other Stamp) bool {
	a := edit.Accepted{Revision: s.Revision, At: s.At, Digest: s.Digest}
	return a.Newer(&edit.Accepted{Revision: other.Revision, At: other.At, Digest: other.Digest})
}

// Push puts a peer's record in force if it is newer, and reports which record is in force afterwards.
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

// Pull reports which record is in force, and returns the record itself if it is newer than the caller's.
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

// Status reports which record is in force and its age.
func (v *service) Status(args *StatusArgs, reply *StatusReply) error {
	s := v.spread
	if args.Environment != s.config.Environment {
		return peer.Wire(errs.New(errs.Invalid, "this daemon runs environment %s", s.config.Environment))
	}
	reply.Have, reply.Age = s.holder.stamp(), s.age()
	return nil
}
