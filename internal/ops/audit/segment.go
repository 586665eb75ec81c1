package audit

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	keyPrefix  = "Audit/"
	hourFormat = "2006010215"
	// maxInflatedBytes bounds the decompressed size of a segment that is read.
	maxInflatedBytes = 16 << 20
)

// segment is a batch of records as stored. Records is JSON compressed with flate.
type segment struct {
	Records []byte `json:"Records"`
}

// hourKey returns the prefix of the store keys of one data centre's segments that were written in one hour (UTC).
func hourKey(at time.Time, dc types.DataCentre) store.Key {
	return store.Key(fmt.Sprintf("%s%s/%s/", keyPrefix, at.UTC().Format(hourFormat), dc))
}

// Flush writes waiting records to the store in one write. If that fails, the records of the write, those of requests
// too, return to the head of the queue of decision records. If the queue is then over its limit, the oldest records are
// dropped.
func (l *Log) Flush(ctx context.Context) {
	batch, number := l.takeBatch()
	if len(batch) == 0 {
		return
	}
	callCtx, cancel := clockwork.WithTimeout(ctx, l.config.Clock, storeTimeout)
	defer cancel()
	err := l.writeSegment(callCtx, batch, number)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.pending = l.dropOldest(append(batch, l.pending...), maxPending)
		l.count("FlushFailures", 1)
	} else {
		l.count("Written", int64(len(batch)))
	}
	if failing := err != nil; failing != l.failing {
		l.failing = failing
		l.config.Log.Warn().Bool("Failing", failing).AnErr("Error", err).Msg("audit writes to the store began or stopped failing; failed writes are retried")
	}
}

// takeBatch removes and returns the records of the next write, and the number of its segment.
func (l *Log) takeBatch() ([]Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.pending), maxSegmentRecords)
	batch := append([]Record(nil), l.pending[:n]...)
	l.pending = append([]Record(nil), l.pending[n:]...)
	batch = append(batch, l.pendingRequests...)
	l.pendingRequests = nil
	if len(batch) > 0 {
		l.segmentNumber++
	}
	return batch, l.segmentNumber
}

// writeSegment writes a batch under a new key. A batch whose earlier write is in doubt may be stored twice; queries
// return each record once.
func (l *Log) writeSegment(ctx context.Context, batch []Record, number uint64) error {
	packed, err := pack(batch)
	if err != nil {
		return err
	}
	hour := hourKey(l.config.Clock.Now(), l.config.Self.Site.DataCentre)
	key := store.Key(fmt.Sprintf("%s%s/%s-%08d", hour, l.config.Self.VM, l.runID, number))
	_, err = store.Commit(ctx, l.config.Store, store.Put{Key: key, Expect: store.Absent}, segment{Records: packed})
	return err
}

// purgeExpired deletes the segments of the data centre that are older than the retention. The leader does so for all
// VMs of the data centre. It looks only at the six hours that precede the retention, and stops at the first error.
func (l *Log) purgeExpired(ctx context.Context) {
	if l.config.Leading == nil {
		return
	}
	if _, leading := l.config.Leading(); !leading {
		return
	}
	oldest := l.config.Clock.Now().Add(-l.config.Retention)
	const lookBackHours = 6
	for back := 1; back <= lookBackHours; back++ {
		hour := oldest.Add(-time.Duration(back) * time.Hour)
		if !l.deleteHour(ctx, hourKey(hour, l.config.Self.Site.DataCentre)) {
			return
		}
	}
}

// deleteHour deletes the segments of one hour, and reports whether it got through all of them. A version conflict does
// not stop it.
func (l *Log) deleteHour(ctx context.Context, hour store.Key) bool {
	page, err := l.config.Store.List(ctx, hour)
	if err != nil {
		return false
	}
	for _, entry := range page.Entries {
		if err := l.config.Store.Delete(ctx, entry.Key, entry.Version); err != nil && !errs.Is(err, errs.Conflict) {
			return false
		}
		l.count("Deleted", 1)
		select {
		case <-l.config.Clock.After(purgeDelay):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// pack encodes records as compressed JSON.
func pack(records []Record) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errs.New(errs.Internal, "compressing records: %v", err)
	}
	if err := json.NewEncoder(w).Encode(records); err != nil {
		return nil, errs.New(errs.Internal, "encoding records: %v", err)
	}
	if err := w.Close(); err != nil {
		return nil, errs.New(errs.Internal, "compressing records: %v", err)
	}
	return out.Bytes(), nil
}

// unpack decodes records that pack has encoded.
func unpack(packed []byte) ([]Record, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(r, maxInflatedBytes))
	if err != nil {
		return nil, errs.New(errs.Internal, "decompressing a segment of records: %v", err)
	}
	var records []Record
	if err := json.Unmarshal(body, &records); err != nil {
		return nil, errs.New(errs.Internal, "decoding a segment of records: %v", err)
	}
	return records, nil
}
