package ledger

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

type (
	// contents holds the decoded values of the ledger's keys. Of segments and parts, only the headers are decoded: the ring holds many
	// segments that the snapshot covers, and one of the two snapshots is outdated.
	contents struct {
		jobs     []*specs.Job
		segments []storedSegment
		parts    map[int][]storedPart
		results  map[store.Key][]tasks.JobResult
		handover handover
	}

	// storedSegment is an encoded segment with its header.
	storedSegment struct {
		Number uint64 `json:"Number"`
		Level  Level  `json:"Level"`
		key    store.Key
		value  json.RawMessage
	}

	// storedPart is an encoded part of a snapshot with its header.
	storedPart struct {
		partHeader
		key   store.Key
		value json.RawMessage
	}
)

// Open reads the whole durable state into the table and returns a ledger that goes on from it. The caller must
// already have raised the epoch to its own, so that no other writer can add to the ledger.
func Open(ctx context.Context, c Config, table *tasks.Table) (*Ledger, error) {
	page, err := c.Store.List(ctx, dataPrefix)
	if err != nil {
		return nil, err
	}
	l := &Ledger{
		config: c, versions: make(map[store.Key]store.Version), partVersions: make(map[store.Key]store.Version),
		resultKeys: make(map[store.Key]time.Time), nextSegment: 1, usualLatency: initialLatency,
		progress: newProgress(),
	}
	stored, err := l.decode(page)
	if err != nil {
		return nil, err
	}
	if err := l.fill(table, stored); err != nil {
		return nil, err
	}
	return l, nil
}

// fill builds the tables from the decoded values.
func (l *Ledger) fill(table *tasks.Table, stored contents) error {
	for _, j := range stored.jobs {
		table.AddJob(j)
	}
	l.handover = stored.handover
	for key, results := range stored.results {
		l.resultKeys[key] = latestResultTime(results)
		table.Restore(results)
	}
	base, err := l.restoreSnapshot(stored, table)
	if err != nil {
		return err
	}
	if err := l.replaySegments(stored, base, table); err != nil {
		return err
	}
	for _, j := range stored.jobs {
		if _, ended := table.EndedJobs[j.ID]; ended {
			l.jobsToDelete = append(l.jobsToDelete, j.ID)
		}
	}
	return nil
}

func (l *Ledger) decode(page store.Page) (contents, error) {
	out := contents{parts: make(map[int][]storedPart), results: make(map[store.Key][]tasks.JobResult)}
	for _, e := range page.Entries {
		l.versions[e.Key], l.partVersions[e.Key] = e.Version, e.Version
		err := out.addEntry(e)
		if err != nil && isDispensable(e.Key) {
			l.reportMalformed(e.Key, err)
			continue
		}
		if err != nil {
			return contents{}, malformed(e.Key, err)
		}
	}
	slices.SortFunc(out.segments, func(a, b storedSegment) int { return cmp.Compare(a.Number, b.Number) })
	return out, nil
}

// isDispensable reports whether the leader may go on without the value of a key that it cannot read: the other jobs go on without one, and
// without a handover the leader waits for the longest leases.
func isDispensable(key store.Key) bool {
	return key == HandoverKey || strings.HasPrefix(string(key), string(jobPrefix))
}

// malformed returns the error of a value without which the ledger cannot be read.
func malformed(key store.Key, err error) error {
	return errs.New(errs.Internal, "%s in the store is malformed: %v", key, err)
}

// reportMalformed reports a value that cannot be read, and without which the leader goes on. A malformed segment or snapshot is an
// error instead, since without its changes tasks that are done would run again.
func (l *Ledger) reportMalformed(key store.Key, err error) {
	if l.config.OnMalformed != nil {
		l.config.OnMalformed(key, err)
	}
}

func (c *contents) addEntry(e store.Entry) error {
	key := string(e.Key)
	switch {
	case e.Key == HandoverKey:
		h, err := decodeHandover(e.Value)
		if err != nil {
			return err
		}
		c.handover = h
	case strings.HasPrefix(key, string(jobPrefix)):
		j := &specs.Job{}
		if err := json.Unmarshal(e.Value, j); err != nil {
			return err
		}
		if err := j.CheckForm(); err != nil {
			return err
		}
		c.jobs = append(c.jobs, j)
	case strings.HasPrefix(key, string(logPrefix)):
		s := storedSegment{key: e.Key, value: e.Value}
		if err := json.Unmarshal(e.Value, &s); err != nil {
			return err
		}
		c.segments = append(c.segments, s)
	case strings.HasPrefix(key, string(resultsPrefix)):
		var results []tasks.JobResult
		if err := json.Unmarshal(e.Value, &results); err != nil {
			return err
		}
		c.results[e.Key] = results
	case strings.HasPrefix(key, string(SnapshotPrefix)):
		p := storedPart{key: e.Key, value: e.Value}
		if err := json.Unmarshal(e.Value, &p.partHeader); err != nil {
			return err
		}
		set, err := snapshotSetOf(e.Key)
		if err != nil {
			return err
		}
		c.parts[set] = append(c.parts[set], p)
	}
	return nil
}

// snapshotSetOf returns the key set of a snapshot's key, whose first character after the prefix names it.
func snapshotSetOf(key store.Key) (int, error) {
	name := strings.TrimPrefix(string(key), string(SnapshotPrefix))
	if name == "" || name[0] < '0' || int(name[0]-'0') >= snapshotSets {
		return 0, errs.New(errs.Invalid, "key %s has no digit of a snapshot key set after its prefix", key)
	}
	return int(name[0] - '0'), nil
}

// restoreSnapshot applies the newest complete snapshot and returns the number of the last segment that it covers, or
// 0 without one.
func (l *Ledger) restoreSnapshot(c contents, table *tasks.Table) (uint64, error) {
	var base uint64
	var newest []storedPart
	for set, parts := range c.parts {
		if complete := completeParts(parts); complete != nil && complete[0].Base >= base {
			base, newest = complete[0].Base, complete
			l.snapshotSet = set
		}
	}
	for _, stored := range newest {
		if err := checkLevel(stored.key, stored.Level); err != nil {
			return 0, err
		}
		var p part
		if err := json.Unmarshal(stored.value, &p); err != nil {
			return 0, malformed(stored.key, err)
		}
		if err := applyRecords(stored.key, p.Records, table); err != nil {
			return 0, err
		}
	}
	return base, nil
}

// applyRecords applies the records of one value, unless one is of an unknown kind.
func applyRecords(key store.Key, records []tasks.Record, table *tasks.Table) error {
	for _, r := range records {
		if err := checkKind(key, r); err != nil {
			return err
		}
		table.Apply(r)
	}
	return nil
}

// completeParts returns the parts of the newest snapshot in one key set, in order, or nil when a part is missing.
// Parts of an older, longer snapshot may follow them and are ignored.
func completeParts(parts []storedPart) []storedPart {
	if len(parts) == 0 {
		return nil
	}
	slices.SortFunc(parts, func(a, b storedPart) int { return cmp.Compare(a.Index, b.Index) })
	first := parts[0]
	if first.Index != 0 || first.Total < 1 || len(parts) < first.Total {
		return nil
	}
	for i, p := range parts[:first.Total] {
		if p.Index != i || p.Base != first.Base || p.Epoch != first.Epoch {
			return nil
		}
	}
	return parts[:first.Total]
}

// replaySegments applies the segments after the snapshot. A segment may be missing whose write was in flight when its
// leader's term ended: nothing had been done yet that relied on it or on the segments after it.
func (l *Ledger) replaySegments(c contents, base uint64, table *tasks.Table) error {
	l.nextSegment = base + 1
	for _, stored := range c.segments {
		if stored.Number <= base {
			continue
		}
		if err := checkLevel(stored.key, stored.Level); err != nil {
			return err
		}
		var s segment
		if err := json.Unmarshal(stored.value, &s); err != nil {
			return malformed(stored.key, err)
		}
		if err := applyRecords(stored.key, s.Records, table); err != nil {
			return err
		}
		l.nextSegment = s.Number + 1
		l.bytesSinceSnapshot += len(stored.value)
	}
	// A slot belongs to a number, so a missing segment uses one as well.
	l.segmentsSinceSnapshot = int(l.nextSegment - 1 - base)
	return nil
}
