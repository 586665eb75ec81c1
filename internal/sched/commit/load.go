package commit

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// load reads all segments in one call and returns the committed state that results from them.
func (j *Journal) load(ctx context.Context) (*CommittedState, error) {
	page, err := j.config.Store.List(ctx, prefix+store.Key(j.config.Site)+"/")
	if err != nil {
		return nil, err
	}
	j.versions = make(map[store.Key]store.Version, len(page.Entries))
	segments := make([]Segment, 0, len(page.Entries))
	for _, entry := range page.Entries {
		j.versions[entry.Key] = entry.Version
		var s Segment
		if err := json.Unmarshal(entry.Value, &s); err != nil {
			return nil, errs.New(errs.Internal, "segment %s is malformed: %v", entry.Key, err)
		}
		segments = append(segments, s)
	}
	sort.Slice(segments, func(a, b int) bool { return segments[a].Sequence < segments[b].Sequence })
	return j.replay(segments)
}

// replay applies the segments since the latest complete snapshot to that snapshot. The segments must be
// ordered by sequence number.
func (j *Journal) replay(segments []Segment) (*CommittedState, error) {
	j.next, j.segmentsSinceSnapshot, j.bytesSinceSnapshot, j.snapshotBytes = 0, 0, 0, 0
	if len(segments) == 0 {
		return NewCommittedState(), nil
	}
	last := segments[len(segments)-1]
	if last.Epoch > j.config.Epoch {
		return nil, errs.New(errs.Conflict, "epoch %d has taken over the journal", last.Epoch)
	}
	j.next = last.Sequence + 1
	start, state, err := latestSnapshot(segments)
	if err != nil {
		return nil, err
	}
	if start == 0 && segments[0].Sequence != 0 {
		return nil, errs.New(errs.Internal, "journal of %s has neither a complete snapshot nor its first segment", j.config.Site)
	}
	for _, s := range segments[start:] {
		for _, r := range s.Records {
			state.Apply(r, s.At)
		}
		j.segmentsSinceSnapshot++
	}
	// The sizes of the segments that were read are not added up; the next snapshot is due a little early instead.
	j.bytesSinceSnapshot = minSnapshotBytes
	return state, nil
}

// latestSnapshot returns the index of the segment after the latest complete snapshot, and the snapshot. Without
// one it returns zero and an empty state.
func latestSnapshot(segments []Segment) (int, *CommittedState, error) {
	for i := len(segments) - 1; i >= 0; i-- {
		p := segments[i].Part
		if p == nil || p.Index != p.Total-1 {
			continue
		}
		encoded, complete := joinParts(segments, i)
		if !complete {
			continue
		}
		state := NewCommittedState()
		if err := json.Unmarshal(encoded, state); err != nil {
			return 0, nil, errs.New(errs.Internal, "snapshot is malformed: %v", err)
		}
		return i + 1, state, nil
	}
	return 0, NewCommittedState(), nil
}

// joinParts returns the encoded snapshot whose last part is at index last, and whether all parts are there.
func joinParts(segments []Segment, last int) ([]byte, bool) {
	total := segments[last].Part.Total
	first := last - total + 1
	if first < 0 {
		return nil, false
	}
	var out []byte
	for i := range total {
		s := segments[first+i]
		isNextPart := s.Part != nil && s.Part.Index == i && s.Part.Total == total && s.Writer == segments[last].Writer &&
			s.Epoch == segments[last].Epoch && s.Sequence == segments[first].Sequence+uint64(i)
		if !isNextPart {
			return nil, false
		}
		out = append(out, s.Part.Data...)
	}
	return out, true
}
