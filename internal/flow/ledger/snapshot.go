package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// BeginSnapshot begins a snapshot that replaces all writes begun so far: the records restore the state of the jobs
// that have not ended, the results are those of jobs that ended since the last snapshot. The snapshot must be run
// only once those writes are finished; later writes may be in flight meanwhile.
func (l *Ledger) BeginSnapshot(records []tasks.Record, results []tasks.JobResult) *Snapshot {
	l.snapshotInFlight = true
	return &Snapshot{
		ledger: l, records: records, results: results, base: l.nextSegment - 1, set: (l.snapshotSet + 1) % snapshotSets,
		segments: l.segmentsSinceSnapshot, bytes: l.bytesSinceSnapshot,
	}
}

// FinishSnapshot records that a snapshot ran, and with which error. After an error, the segments since the former
// snapshot still count, so a new one remains due.
func (l *Ledger) FinishSnapshot(s *Snapshot, err error) {
	l.snapshotInFlight = false
	if err != nil {
		return
	}
	l.snapshotSet = s.set
	l.segmentsSinceSnapshot -= s.segments
	l.bytesSinceSnapshot -= s.bytes
}

// ResultCount returns the number of job results that the snapshot stores.
func (s *Snapshot) ResultCount() int {
	return len(s.results)
}

// Run writes the snapshot. A failure leaves the former snapshot and all segments as they are, and a further Run goes on where
// it occurred. The results come first: they have keys of their own, so that they are written once and not with each snapshot.
func (s *Snapshot) Run(ctx context.Context) error {
	if !s.encoded {
		values, err := s.encode()
		if err != nil {
			return err
		}
		s.values, s.encoded = values, true
	}
	for len(s.values) > 0 {
		if err := s.put(ctx, s.values[0]); err != nil {
			return err
		}
		s.values = s.values[1:]
	}
	return nil
}

// encode returns the values of the snapshot in the order in which they are written.
func (s *Snapshot) encode() ([]snapshotValue, error) {
	results, err := splitBySize(s.results)
	if err != nil {
		return nil, err
	}
	var out []snapshotValue
	latest := latestResultTime(s.results)
	for i, value := range results {
		out = append(out, snapshotValue{key: resultsKey(s.base, i), value: value, latest: latest, removesExpired: i == 0})
	}
	records, err := splitBySize(s.records)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 {
		records = []json.RawMessage{json.RawMessage("[]")}
	}
	for i, chunk := range records {
		header := partHeader{Base: s.base, Epoch: s.ledger.config.Epoch, Index: i, Total: len(records), Level: s.ledger.config.Level.OrFirst()}
		value, err := json.Marshal(encodedPart{partHeader: header, Records: chunk})
		if err != nil {
			return nil, errs.New(errs.Internal, "encoding a snapshot: %v", err)
		}
		out = append(out, snapshotValue{key: partKey(s.set, i), value: value})
	}
	return out, nil
}

// splitBySize encodes the items as lists of at most maxValueBytes and recordsPerPart items each. A single larger item has a list
// of its own.
func splitBySize[T any](items []T) ([]json.RawMessage, error) {
	if len(items) == 0 {
		return nil, nil
	}
	if len(items) <= recordsPerPart {
		value, err := json.Marshal(items)
		if err != nil {
			return nil, errs.New(errs.Internal, "encoding a snapshot: %v", err)
		}
		if len(value) <= maxListBytes || len(items) == 1 {
			return []json.RawMessage{value}, nil
		}
	}
	first, err := splitBySize(items[:len(items)/2])
	if err != nil {
		return nil, err
	}
	second, err := splitBySize(items[len(items)/2:])
	return append(first, second...), err
}

// expiredResultKeys returns keys whose results are all past their retention, at most maxKeysPerBatch of them.
func (l *Ledger) expiredResultKeys() []store.Key {
	if l.config.Retention <= 0 {
		return nil
	}
	before := l.config.Clock.Now().Add(-l.config.Retention)
	var out []store.Key
	for key, last := range l.resultKeys {
		if last.Before(before) && len(out) < maxKeysPerBatch {
			out = append(out, key)
		}
	}
	return out
}

func latestResultTime(results []tasks.JobResult) time.Time {
	var latest time.Time
	for _, r := range results {
		if r.At.After(latest) {
			latest = r.At
		}
	}
	return latest
}

// put writes one value until it is known to be stored. A part whose answer was lost is found in the store by the next try.
func (s *Snapshot) put(ctx context.Context, v snapshotValue) error {
	l := s.ledger
	var deletes []store.Key
	if v.removesExpired {
		deletes = l.expiredResultKeys()
	}
	expect := l.partVersions[v.key]
	version, err := l.retry(ctx, retryConfig{
		what:       string(v.key),
		apply:      func(ctx context.Context) (store.Version, error) { return l.applyPart(ctx, v, expect, deletes) },
		mayRetry:   func(time.Time) bool { return true },
		tryTimeout: func() time.Duration { return snapshotTryTimeout },
		maxExtra:   maxExtraSnapshotTries,
		onFailure:  l.config.OnSnapshotFailure,
	})
	if err == nil || errs.Is(err, errs.Conflict) {
		// After a conflict, a further Run overwrites what was found.
		l.partVersions[v.key] = version
	}
	if err != nil {
		return err
	}
	if !v.latest.IsZero() {
		l.resultKeys[v.key] = v.latest
	}
	for _, key := range deletes {
		delete(l.resultKeys, key)
	}
	return nil
}

// applyPart makes one try to write a value of a snapshot over the expected version of its key.
func (l *Ledger) applyPart(ctx context.Context, v snapshotValue, expect store.Version, deletes []store.Key) (store.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, maxTryTimeout)
	defer cancel()
	out, err := l.config.Store.Apply(callCtx, store.Batch{
		Conditions: []store.Condition{l.epochCondition(), {Key: v.key, Expect: expect}},
		Puts:       []store.Put{{Key: v.key, Value: v.value}},
		Deletes:    deletes,
	})
	if err != nil {
		return 0, err
	}
	if out.Applied {
		return out.Version, nil
	}
	if out.Find(EpochKey).Version != l.config.EpochVersion {
		return 0, errs.New(errs.Fenced, "epoch %d was superseded by that of another leader", l.config.Epoch)
	}
	found := out.Find(v.key)
	if bytes.Equal(found.Value, v.value) {
		return found.Version, nil
	}
	return found.Version, errs.New(errs.Conflict, "%s has another value than was written last", v.key)
}
