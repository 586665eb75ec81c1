package edit

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Values of Settlement.
const (
	// SettledNothing means that the store was not changed: it held the record in force or a newer one, or another
	// writer changed it at the same time.
	SettledNothing Settlement = "Nothing"
	// SettledReinstated means that the record in force was written back to the store.
	SettledReinstated Settlement = "Reinstated"
	// SettledReissued means that the store held a record that an operator put after the restoration, and that this
	// record was written again under the revision that follows the one in force.
	SettledReissued Settlement = "Reissued"
)

type (
	// Settlement is what Settle did to the store.
	Settlement string
)

// Settle reconciles a store that was restored to an older state with the record that is in force.
//
// Times of acceptance grow with the revisions. So a record whose revision and time are both before those of the one
// in force was brought back by the restoration, and the record in force is written over it. A record with a later
// time was put after the restoration. It is the latest change by an operator, so it is kept and written again under a
// revision above the one in force. Several daemons may call Settle at once; compare-and-swap lets only one of them
// write.
func Settle(ctx context.Context, s store.Store, inForce Accepted) (Settlement, error) {
	found, err := load(ctx, s, inForce.Environment)
	if err != nil {
		return SettledNothing, err
	}
	if !inForce.Newer(&found.record) {
		return SettledNothing, nil
	}
	next, action := inForce, SettledReinstated
	if found.record.Revision > 0 && found.record.At.After(inForce.At) {
		next, action = found.record, SettledReissued
		next.Revision = inForce.Revision + 1
	}
	if found.record.Digest == inForce.Digest && found.record.Revision == inForce.Revision {
		return SettledNothing, nil
	}
	if action == SettledReissued {
		if err := Archive(ctx, s, inForce); err != nil {
			return SettledNothing, err
		}
	}
	put := store.Put{Key: CurrentKey(inForce.Environment), Expect: found.version}
	_, err = store.Commit(ctx, s, put, next)
	if errs.Is(err, errs.Conflict) {
		return SettledNothing, nil
	}
	if err != nil {
		return SettledNothing, err
	}
	return action, nil
}
