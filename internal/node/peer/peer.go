// Package peer carries calls between daemons over net/rpc.
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

	// Caller calls other daemons. An error keeps the kind that the remote method returned. A call that could
	// not be sent is Unavailable; one whose answer did not arrive is Lost. After an error the reply must not be
	// read, since a late answer may still be written to it.
	Caller interface {
		Call(ctx context.Context, to Target, method Method, args, reply any) error
	}

	// Registrar makes services callable by other daemons.
	Registrar interface {
		Register(name string, service any) error
	}
)

// Kind returns the kind under which calls of a method are counted.
func (m Method) Kind() meter.Kind {
	return meter.Kind("Peer." + string(m))
}

// Wire returns err in the form in which a service's method must return it, so that its kind arrives. A nil
// error stays nil.
func Wire(err error) error {
	if err == nil {
		return nil
	}
	return errors.New(errs.Encode(err))
}
