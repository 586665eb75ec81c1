package edit

import (
	"context"
	"fmt"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// KeepRevisions is the number of replaced revisions of an environment that the history in the store retains.
const KeepRevisions = 100

// Load returns the accepted record of an environment and its version in the store. A record with revision 0 means that
// there is none.
func Load(ctx context.Context, s store.Store, env envdoc.Name) (Accepted, store.Version, error) {
	found, err := load(ctx, s, env)
	return found.record, found.version, err
}

func load(ctx context.Context, s store.Store, env envdoc.Name) (storedRecord, error) {
	entry, err := s.Get(ctx, CurrentKey(env))
	if errs.Is(err, errs.NotFound) {
		return storedRecord{}, nil
	}
	if err != nil {
		return storedRecord{}, err
	}
	record, err := Decode(entry)
	if err != nil {
		return storedRecord{}, err
	}
	return storedRecord{record: record, version: entry.Version}, nil
}

// Decode decodes and checks the record in an entry of the store.
func Decode(entry store.Entry) (Accepted, error) {
	var record Accepted
	if err := store.DecodeRecord(entry.Value, &record); err != nil {
		return Accepted{}, err
	}
	if err := record.Check(); err != nil {
		return Accepted{}, err
	}
	return record, nil
}

// Archive copies an accepted record to the history and removes the revision that KeepRevisions no longer covers. A
// failed removal is ignored. When a store that was restored in between issued a revision twice, the history keeps both
// records. Archive does nothing for a record with revision 0, which means that there is none.
func Archive(ctx context.Context, s store.Store, record Accepted) error {
	if record.Revision == 0 {
		return nil
	}
	key := HistoryKey(record.Environment, record.Revision)
	entry, err := store.Commit(ctx, s, store.Put{Key: key, Expect: store.Absent}, record)
	if errs.Is(err, errs.Conflict) {
		return archiveDuplicate(ctx, s, entry.Key, key, record)
	}
	if err != nil {
		return err
	}
	prune(ctx, s, record)
	return nil
}

// archiveDuplicate archives a record whose revision is in the history already, under a key of its own, unless the
// history holds the same body under that revision.
func archiveDuplicate(ctx context.Context, s store.Store, conflicting, key store.Key, record Accepted) error {
	existing, err := s.Get(ctx, key)
	if errs.Is(err, errs.NotFound) && conflicting == "" {
		return errs.New(errs.Unavailable, "%s was not found after its write conflicted", key)
	}
	if err != nil {
		return err
	}
	archived, err := Decode(existing)
	if err == nil && archived.Digest == record.Digest {
		return nil
	}
	duplicateKey := store.Key(fmt.Sprintf("%s-%016x", key, uint64(record.Digest)))
	_, err = store.Commit(ctx, s, store.Put{Key: duplicateKey, Expect: store.Absent}, record)
	if errs.Is(err, errs.Conflict) {
		return nil
	}
	return err
}

// prune removes the records of the revision that the history no longer retains. If that fails, they stay in the store.
func prune(ctx context.Context, s store.Store, newest Accepted) {
	if newest.Revision <= KeepRevisions {
		return
	}
	page, err := s.List(ctx, HistoryKey(newest.Environment, newest.Revision-KeepRevisions))
	if err != nil {
		return
	}
	for _, entry := range page.Entries {
		// A record that stays after a failure only takes up space in the store.
		_ = s.Delete(ctx, entry.Key, entry.Version)
	}
}

// Revision returns the document that was accepted under a revision, whether or not it has been replaced. The error is
// of kind NotFound when the history does not hold the revision.
func (e *Editor) Revision(ctx context.Context, env envdoc.Name, revision types.Revision) (Accepted, error) {
	found, err := load(ctx, e.config.Store, env)
	if err != nil {
		return Accepted{}, readError(err)
	}
	if found.record.Revision == revision && revision > 0 {
		return found.record, nil
	}
	entry, err := e.config.Store.Get(ctx, HistoryKey(env, revision))
	if errs.Is(err, errs.NotFound) {
		return Accepted{}, errs.New(errs.NotFound, "%s has no revision %d; see its history", env, revision)
	}
	if err != nil {
		return Accepted{}, readError(err)
	}
	return Decode(entry)
}

// History returns at most limit accepted documents, newest first, starting with the present one.
func (e *Editor) History(ctx context.Context, env envdoc.Name, limit int) ([]Accepted, error) {
	found, err := load(ctx, e.config.Store, env)
	if err != nil {
		return nil, readError(err)
	}
	if found.record.Revision == 0 {
		return nil, nil
	}
	out := []Accepted{found.record}
	for age := types.Revision(1); age <= KeepRevisions && age < found.record.Revision; age++ {
		if len(out) >= limit {
			break
		}
		page, err := e.config.Store.List(ctx, HistoryKey(env, found.record.Revision-age))
		if err != nil {
			return nil, readError(err)
		}
		for _, entry := range page.Entries {
			record, err := Decode(entry)
			if err != nil {
				return nil, err
			}
			out = append(out, record)
		}
	}
	return out[:min(limit, len(out))], nil
}
