// Package peer carries calls between daemons over net/rpc. Network is an in-memory implementation for tests.
package peer

import (
	"context"
	"errors"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

type (
	// Method names a remote procedure in the form of net/rpc, "Service.Method". Each service
	// registers methods of the form func(args *A, reply *R) error.
	Method string

	// Target is a daemon that can be called.
	Target struct {
		VM      types.VMID
		Site    types.Site
		Address types.Address
	}

	// Caller calls other daemons. An error of the remote method keeps its kind. A call that could not be sent
	// fails with kind Unavailable; a call that was sent and whose answer did not arrive fails with kind Lost. After
	// an error the reply must not be read, since a late answer may still be written to it, and the arguments must not be
	// changed, since they may still be sent. A call returns when ctx ends, whatever the other daemon does.
	Caller interface {
		Call(ctx context.Context, to Target, method Method, args, reply any) error
	}

	// Registrar makes the methods of services callable by other daemons, as net/rpc does.
	Registrar interface {
		Register(name string, service any) error
	}
)

// Kind returns the meter kind under which calls of the method are counted.
func (m Method) Kind() meter.Kind {
	return meter.Kind("Peer." + string(m))
}

// Wire encodes err so that its kind survives net/rpc, which transmits only the text of an error. The methods of a
// service must return their errors through it. A nil error stays nil.
func Wire(err error) error {
	if err == nil {
		return nil
	}
	return errors.New(errs.Encode(err))
}
