package ledger

import (
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

// Run writes the snapshot. A failure leaves the former snapshot and all segments as they are. The results come
// first: they have keys of their own, so that they are written once and not with each snapshot.
func (s *Snapshot) Run(ctx context.Context) error {
	if err := s.putResults(ctx); err != nil {
		return err
	}
	total := max(1, (len(s.records)+recordsPerPart-1)/recordsPerPart)
	for n := range total {
		end := min(len(s.records), (n+1)*recordsPerPart)
		p := part{
			Base: s.base, Epoch: s.ledger.config.Epoch, Index: n, Total: total, Records: s.records[n*recordsPerPart : end],
		}
		if err := s.put(ctx, partKey(s.set, p.Index), p, nil); err != nil {
			return err
		}
	}
	return nil
}

// putResults writes the job results and deletes stored ones that are past their retention.
func (s *Snapshot) putResults(ctx context.Context) error {
	if len(s.results) == 0 {
		return nil
	}
	expired := s.ledger.expiredResultKeys()
	key := resultsKey(s.base)
	if err := s.put(ctx, key, s.results, expired); err != nil {
		return err
	}
	s.ledger.resultKeys[key] = latestResultTime(s.results)
	for _, o := range expired {
		delete(s.ledger.resultKeys, o)
	}
	return nil
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

func (s *Snapshot) put(ctx context.Context, key store.Key, value any, deletes []store.Key) error {
	l := s.ledger
	encoded, err := json.Marshal(value)
	if err != nil {
		return errs.New(errs.Internal, "encoding a snapshot: %v", err)
	}
	callCtx, cancel := context.WithTimeout(ctx, maxTryTimeout)
	defer cancel()
	out, err := l.config.Store.Apply(callCtx, store.Batch{
		Conditions: []store.Condition{l.epochCondition(), {Key: key, Expect: l.partVersions[key]}},
		Puts:       []store.Put{{Key: key, Value: encoded}},
		Deletes:    deletes,
	})
	if err != nil {
		return err
	}
	if out.Applied {
		l.partVersions[key] = out.Version
		return nil
	}
	if out.Find(EpochKey).Version != l.config.EpochVersion {
		return errs.New(errs.Fenced, "epoch %d was superseded by that of another leader", l.config.Epoch)
	}
	// An earlier try took effect although its answer was lost; the next write of the key overwrites it.
	l.partVersions[key] = out.Find(key).Version
	return errs.New(errs.Conflict, "%s was already written by an earlier try", key)
}
