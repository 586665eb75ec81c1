package commit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	prefix store.Key = "Journal/"

	// slots is the number of keys in the ring that the segments are written to.
	slots = 1024
	// maxSegmentsSinceSnapshot is the number of segments after which a snapshot is due, whatever their size.
	maxSegmentsSinceSnapshot = slots / 2
	// minSnapshotBytes is how many bytes must at least be written before their size makes a snapshot due. It
	// keeps small journals from being snapshotted often.
	minSnapshotBytes = 256 << 10
	// partBytes is the size of one part of a snapshot before its segment is encoded.
	partBytes = 512 << 10
	// MaxBatchBytes is the size that the encoded records of one segment should not exceed.
	MaxBatchBytes = 512 << 10
)

type (
	// Config holds the data centre that the journal belongs to, its writer and the writer's epoch, and the store.
	Config struct {
		Site   types.DataCentre
		Writer types.VMID
		Epoch  types.Epoch
		Store  store.Store
	}

	// Journal is an append-only log with one writer. The segments are written round a fixed ring of keys, each by
	// compare-and-swap over the segment that it replaces, so all further writes of a writer that missed another
	// writer's segment fail. It must be used by one goroutine at a time.
	Journal struct {
		config   Config
		versions map[store.Key]store.Version
		next     uint64
		// pending is the segment that is being written or in doubt; nil when there is none.
		pending *store.Put
		nonce   store.Nonce

		segmentsSinceSnapshot int
		bytesSinceSnapshot    int
		snapshotBytes         int
	}
)

// Open seals the journal against all earlier writers and returns it with the committed state that results from
// its records. It tries again when another writer appends first. An error of kind Conflict means that a later
// leader has sealed the journal; Fenced that another writer appended first and ctx has ended.
func Open(ctx context.Context, c Config, at time.Time) (*Journal, *CommittedState, error) {
	j := &Journal{config: c}
	for {
		state, err := j.load(ctx)
		if err != nil {
			return nil, nil, err
		}
		err = j.Append(ctx, at, nil)
		if err == nil {
			return j, state, nil
		}
		if !errs.Is(err, errs.Fenced) || ctx.Err() != nil {
			return nil, nil, err
		}
		j.pending = nil
	}
}

// InDoubt reports whether it is not known if the latest segment was written. It stays true after an error of
// kind Fenced.
func (j *Journal) InDoubt() bool {
	return j.pending != nil
}

// SnapshotDue reports whether a snapshot should be written.
func (j *Journal) SnapshotDue() bool {
	return j.segmentsSinceSnapshot >= maxSegmentsSinceSnapshot || j.bytesSinceSnapshot > max(minSnapshotBytes, j.snapshotBytes)
}

// Append writes one segment with the records. An error of kind Unavailable, TooLarge or Invalid means that
// nothing was written; Lost that the segment is in doubt until ResolveInDoubt succeeds; Fenced that another
// writer has taken over the journal; Internal, among others, that an earlier segment is still in doubt.
func (j *Journal) Append(ctx context.Context, at time.Time, records []Record) error {
	return j.writeSegment(ctx, Segment{At: at, Records: records})
}

// ResolveInDoubt finds out whether the segment in doubt was written, and writes it if it was not. After an error
// the segment is still in doubt. Without such a segment it does nothing.
func (j *Journal) ResolveInDoubt(ctx context.Context) error {
	if j.pending == nil {
		return nil
	}
	return j.putPending(ctx)
}

// Snapshot writes the committed state, in as many segments as its size needs. An error leaves the journal as
// valid as before: an incomplete snapshot is ignored when the journal is loaded.
func (j *Journal) Snapshot(ctx context.Context, at time.Time, state *CommittedState) error {
	encoded, err := json.Marshal(state)
	if err != nil {
		return errs.New(errs.Internal, "encoding the snapshot: %v", err)
	}
	parts := splitSnapshot(encoded)
	for _, part := range parts {
		if err := j.writeSegment(ctx, Segment{At: at, Part: part}); err != nil {
			return err
		}
	}
	j.snapshotBytes = len(encoded)
	j.segmentsSinceSnapshot = 0
	j.bytesSinceSnapshot = 0
	return nil
}

func (j *Journal) writeSegment(ctx context.Context, s Segment) error {
	if j.pending != nil {
		return errs.New(errs.Internal, "segment %d is still in doubt; no other segment can be written before it", j.next)
	}
	s.Sequence = j.next
	s.Epoch = j.config.Epoch
	s.Writer = j.config.Writer
	s.Nonce = store.Nonce(uuid.NewString())
	value, err := json.Marshal(s)
	if err != nil {
		return errs.New(errs.Internal, "encoding segment %d: %v", j.next, err)
	}
	key := j.segmentKey(j.next)
	j.pending = &store.Put{Key: key, Value: value, Expect: j.versions[key]}
	j.nonce = s.Nonce
	err = j.putPending(ctx)
	if errs.Is(err, errs.Unavailable, errs.TooLarge, errs.Invalid) {
		j.pending = nil
	}
	return err
}

// putPending writes the pending segment. Writing the same segment over the same version again is harmless: at
// most one of the writes takes effect, and it does not matter which.
func (j *Journal) putPending(ctx context.Context) error {
	entry, err := j.config.Store.Put(ctx, *j.pending)
	switch {
	case err == nil:
		j.completePending(entry.Version)
		return nil
	case errs.Is(err, errs.Lost, errs.Conflict):
		return j.readBack(ctx)
	default:
		return err
	}
}

func (j *Journal) readBack(ctx context.Context) error {
	entry, err := j.config.Store.Get(ctx, j.pending.Key)
	if errs.Is(err, errs.NotFound) && j.pending.Expect == store.Absent {
		return errs.New(errs.Lost, "segment %d is in doubt: its key does not exist, but may still be written", j.next)
	}
	if err != nil {
		return errs.New(errs.Lost, "segment %d is in doubt: reading it back failed: %v", j.next, err)
	}
	if entry.Version == j.pending.Expect {
		return errs.New(errs.Lost, "segment %d is in doubt: its key is unchanged, but may still be written", j.next)
	}
	var found Segment
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return errs.New(errs.Internal, "segment %s is malformed: %v", j.pending.Key, err)
	}
	if found.Nonce != j.nonce {
		return errs.New(errs.Fenced, "epoch %d took the journal over at segment %d", found.Epoch, found.Sequence)
	}
	j.completePending(entry.Version)
	return nil
}

func (j *Journal) completePending(version store.Version) {
	j.versions[j.pending.Key] = version
	j.segmentsSinceSnapshot++
	j.bytesSinceSnapshot += len(j.pending.Value)
	j.next++
	j.pending = nil
}

func (j *Journal) segmentKey(sequence uint64) store.Key {
	return prefix + store.Key(fmt.Sprintf("%s/%04d", j.config.Site, sequence%slots))
}

func splitSnapshot(encoded []byte) []*Part {
	total := (len(encoded) + partBytes - 1) / partBytes
	var out []*Part
	for i := range total {
		end := min(len(encoded), (i+1)*partBytes)
		out = append(out, &Part{Index: i, Total: total, Data: encoded[i*partBytes : end]})
	}
	return out
}
