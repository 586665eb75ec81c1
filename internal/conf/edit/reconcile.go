package edit

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Values of ReconcileAction.
const (
	// ReconcileNothing means that this call did not change the current record: the store held the record in force or a
	// newer one, or another writer changed it at the same time. The record in force may have been added to the history.
	// With an error it means nothing.
	ReconcileNothing ReconcileAction = "Nothing"
	// ReconcileReinstated means that the record in force was written back to the store.
	ReconcileReinstated ReconcileAction = "Reinstated"
	// ReconcileReissued means that the store held a record that an operator put after the restoration, and that this
	// record was written again under the revision that follows the one in force.
	ReconcileReissued ReconcileAction = "Reissued"
)

type (
	// ReconcileAction is what ReconcileStore did to the store.
	ReconcileAction string
)

// ReconcileStore reconciles a store that was restored to an older state with the record that is in force.
//
// Times of acceptance grow with the revisions. So a record whose revision and time are both before those of the one
// in force was brought back by the restoration, and the record in force is written over it. A record with a later
// time was put after the restoration. It is the latest change by an operator, so it is kept and written again under a
// revision above the one in force. Several daemons may call ReconcileStore at once; compare-and-swap lets only one of
// them write.
func ReconcileStore(ctx context.Context, s store.Store, inForce Accepted) (ReconcileAction, error) {
	found, err := load(ctx, s, inForce.Environment)
	if err != nil {
		return ReconcileNothing, err
	}
	if !inForce.Newer(&found.record) {
		return ReconcileNothing, nil
	}
	next, action := inForce, ReconcileReinstated
	if found.record.Revision > 0 && found.record.At.After(inForce.At) {
		next, action = found.record, ReconcileReissued
		next.Revision = inForce.Revision + 1
	}
	if found.record.Digest == inForce.Digest && found.record.Revision == inForce.Revision {
		return ReconcileNothing, nil
	}
	// The restored history may lack the record in force, which the reissued one replaces. A reinstated record becomes the
	// current one, so it is not archived.
	if action == ReconcileReissued {
		if err := Archive(ctx, s, inForce); err != nil {
			return ReconcileNothing, err
		}
	}
	put := store.Put{Key: CurrentKey(inForce.Environment), Expect: found.version}
	_, err = store.Commit(ctx, s, put, next)
	if errs.Is(err, errs.Conflict) {
		return ReconcileNothing, nil
	}
	if err != nil {
		return ReconcileNothing, err
	}
	return action, nil
}
