package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// BeginSnapshot begins an image that covers all writes begun so far: records that stand for what goes on, and the
// ends since the last image. It must be run once those writes are finished; others may be under way meanwhile.
func (l *Ledger) BeginSnapshot(records []tasks.Record, results []tasks.JobResult) *Snapshot {
	l.snapshotInFlight = true
	return &Snapshot{
		ledger: l, records: records, results: results, base: l.nextSegment - 1, set: (l.snapshotSet + 1) % snapshotSets,
		segments: l.segmentsSinceSnapshot, bytes: l.bytesSinceSnapshot,
	}
}

// FinishSnapshot notes an image that ran, with the error that it ended with.
func (l *Ledger) FinishSnapshot(s *Snapshot, err error) {
	l.snapshotInFlight = false
	if err != nil {
		return
	}
	l.snapshotSet = s.set
	l.segmentsSinceSnapshot -= s.segments
	l.bytesSinceSnapshot -= s.bytes
}

// ResultCount returns how many ends the image stores.
func (s *Snapshot) ResultCount() int {
	return len(s.results)
}

// Run writes the image. A failure leaves the former image and all segments as they are. The ends come first: they
// are kept apart, so that they are written once and not with each image.
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

// putResults writes the ends, and deletes those that nobody asks for any more.
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

// expiredResultKeys returns keys of ends that are older than they need to be kept.
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
		return errs.New(errs.Internal, "encoding an image: %v", err)
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
		return errs.New(errs.Fenced, "epoch %d was followed by another lead", l.config.Epoch)
	}
	// An earlier try whose answer was lost took effect; the next image overwrites it.
	l.partVersions[key] = out.Find(key).Version
	return errs.New(errs.Conflict, "%s was written before", key)
}
