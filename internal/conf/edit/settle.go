package edit

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Actions of Settle.
const (
	// SettledNothing means that the store held the record in force or a newer one.
	SettledNothing Settlement = "Nothing"
	// SettledReinstated means that the record in force was written back to the store.
	SettledReinstated Settlement = "Reinstated"
	// SettledReissued means that a record that an operator put after the restoration was given a revision
	// above the one in force.
	SettledReissued Settlement = "Reissued"
)

type (
	// Settlement tells what Settle did to the store.
	Settlement string
)

// Settle brings a store that was restored to an older state back in step with the record that is in force.
//
// Times of acceptance grow with the revisions, so a record that is older than the one in force by
// revision and by time is what the restoration brought back: the record in force is written over it. One that
// is later by time was put after the restoration: it is the operators' latest word and is issued again
// under a higher revision. Several daemons may settle at once; compare-and-swap lets one of them write.
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
