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
func (l *Ledger) BeginSnapshot(records []tasks.Record, ends []tasks.JobResult) *Snapshot {
	l.imaging = true
	return &Snapshot{
		ledger: l, records: records, ends: ends, base: l.next - 1, set: (l.set + 1) % imageSets,
		since: l.since, bytes: l.bytes,
	}
}

// FinishSnapshot notes an image that ran, with the error that it ended with.
func (l *Ledger) FinishSnapshot(i *Snapshot, err error) {
	l.imaging = false
	if err != nil {
		return
	}
	l.set = i.set
	l.since -= i.since
	l.bytes -= i.bytes
}

// ResultCount returns how many ends the image stores.
func (i *Snapshot) ResultCount() int {
	return len(i.ends)
}

// Run writes the image. A failure leaves the former image and all segments as they are. The ends come first: they
// are kept apart, so that they are written once and not with each image.
func (i *Snapshot) Run(ctx context.Context) error {
	if err := i.putEnds(ctx); err != nil {
		return err
	}
	total := max(1, (len(i.records)+partRecords-1)/partRecords)
	for n := range total {
		end := min(len(i.records), (n+1)*partRecords)
		p := part{
			Base: i.base, Epoch: i.ledger.config.Epoch, Index: n, Total: total, Records: i.records[n*partRecords : end],
		}
		if err := i.put(ctx, partKey(i.set, p.Index), p, nil); err != nil {
			return err
		}
	}
	return nil
}

// putEnds writes the ends, and deletes those that nobody asks for any more.
func (i *Snapshot) putEnds(ctx context.Context) error {
	if len(i.ends) == 0 {
		return nil
	}
	old := i.ledger.outdated()
	key := endsKey(i.base)
	if err := i.put(ctx, key, i.ends, old); err != nil {
		return err
	}
	i.ledger.ends[key] = lastEnd(i.ends)
	for _, o := range old {
		delete(i.ledger.ends, o)
	}
	return nil
}

// outdated returns keys of ends that are older than they need to be kept.
func (l *Ledger) outdated() []store.Key {
	if l.config.Retention <= 0 {
		return nil
	}
	before := l.config.Clock.Now().Add(-l.config.Retention)
	var out []store.Key
	for key, last := range l.ends {
		if last.Before(before) && len(out) < maxKeys {
			out = append(out, key)
		}
	}
	return out
}

func lastEnd(ends []tasks.JobResult) time.Time {
	var last time.Time
	for _, e := range ends {
		if e.At.After(last) {
			last = e.At
		}
	}
	return last
}

func (i *Snapshot) put(ctx context.Context, key store.Key, content any, deletes []store.Key) error {
	l := i.ledger
	value, err := json.Marshal(content)
	if err != nil {
		return errs.New(errs.Internal, "encoding an image: %v", err)
	}
	limited, cancel := context.WithTimeout(ctx, longestTry)
	defer cancel()
	out, err := l.config.Store.Apply(limited, store.Batch{
		Conditions: []store.Condition{l.epoch(), {Key: key, Expect: l.parts[key]}},
		Puts:       []store.Put{{Key: key, Value: value}},
		Deletes:    deletes,
	})
	if err != nil {
		return err
	}
	if out.Applied {
		l.parts[key] = out.Version
		return nil
	}
	if out.Find(EpochKey).Version != l.config.EpochVersion {
		return errs.New(errs.Fenced, "epoch %d was followed by another lead", l.config.Epoch)
	}
	// An earlier try whose answer was lost took effect; the next image overwrites it.
	l.parts[key] = out.Find(key).Version
	return errs.New(errs.Conflict, "%s was written before", key)
}
