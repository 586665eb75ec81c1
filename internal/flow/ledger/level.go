package ledger

import (
	"errors"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// MaxLevel is the newest form of the ledger's values that this build reads and can write. It is raised by each change that a build
// before it would misread: a new kind of record, or a new field without which a record means something else.
const MaxLevel Level = 1

// ErrNewerLevel is the cause of the error of Open when the ledger holds what only a newer build can read. A leader that went on without
// it would repeat work that is done, and lose fields of the records that it rewrites.
var ErrNewerLevel = errors.New("the ledger was written by a newer build")

// Level numbers the forms of the ledger's values. Zero stands for 1: builds before levels wrote none.
type Level int

// OrFirst returns the level, or 1 for zero.
func (v Level) OrFirst() Level {
	return max(v, 1)
}

// checkLevel returns an error unless this build reads the level of a value.
func checkLevel(key store.Key, level Level) error {
	if level <= MaxLevel {
		return nil
	}
	return errs.Wrap(errs.Internal, ErrNewerLevel, "%s has level %d, this build reads %d", key, level, MaxLevel)
}

// checkKind returns an error if a record is of a kind that this build does not know.
func checkKind(key store.Key, r tasks.Record) error {
	if r.IsKnown() {
		return nil
	}
	return errs.Wrap(errs.Internal, ErrNewerLevel, "%s has a record of an unknown kind", key)
}
