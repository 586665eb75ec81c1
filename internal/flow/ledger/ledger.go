// Package ledger stores accepted jobs, the changes of their tasks and their results durably in the platform's store.
//
// Each accepted job has a key of its own until it has ended. Changes are written as segments into a ring of keys, the
// slots. Every write is conditional on the epoch of its writer, so a write of a former leader fails however late it
// arrives, and on the former version of its slot, so it takes effect only once however often it is sent.
package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	// EpochKey holds the epoch of the latest leader. It is bound to no lease and so outlives them all.
	EpochKey store.Key = "Flow/Control/Epoch"

	dataPrefix store.Key = "Flow/Data/"
	jobPrefix  store.Key = dataPrefix + "Job/"
	logPrefix  store.Key = dataPrefix + "Log/"
	// SnapshotPrefix is the prefix of the keys of snapshots.
	SnapshotPrefix store.Key = dataPrefix + "Image/"
	resultsPrefix  store.Key = dataPrefix + "Ends/"

	// slotCount is the number of keys in the ring of segments.
	slotCount = 256
	// maxSegmentsSinceSnapshot is how many segments may follow a snapshot before a new one is due.
	maxSegmentsSinceSnapshot = slotCount / 2
	// maxBytesSinceSnapshot is how many bytes of segments may follow a snapshot before a new one is due.
	maxBytesSinceSnapshot = 512 << 10
	// snapshotSets is the number of key sets that successive snapshots alternate between, so that writing one leaves
	// the former whole.
	snapshotSets = 2
	// recordsPerPart is the largest number of records in one part of a snapshot, and maxValueBytes the largest size of a part or
	// of a list of results unless a single record is larger. The store refuses values of 1 MiB.
	recordsPerPart = 4000
	maxValueBytes  = 512 << 10
	// maxListBytes leaves room in a part for its fields beside the records.
	maxListBytes = maxValueBytes - 256
	// maxKeysPerBatch is how many keys one batch may write and delete besides its segment and its two conditions.
	maxKeysPerBatch = store.MaxBatch - 3
	// jobSlots is how many slots are kept free for the jobs of one entry, and recordSlots how many for more records than one segment
	// holds: after an outage one entry may have those of all attempts that have ended. A snapshot needs none.
	jobSlots      = maxKeysPerBatch
	recordSlots   = 16
	reservedSlots = jobSlots + recordSlots
	// MaxEntryJobs is the largest number of jobs of one entry: its segments must fit the reserved slots.
	MaxEntryJobs = jobSlots * maxKeysPerBatch
	// minSplitRecords is the number of records from which their size is checked before they are put into one segment.
	minSplitRecords = 500

	// A try of a write may take tryTimeoutFactor times as long as tries usually do, within minTryTimeout and maxTryTimeout,
	// before another is sent in parallel; at most maxExtraTries+1 are unanswered at a time.
	maxExtraTries    = 19
	tryTimeoutFactor = 4
	minTryTimeout    = 100 * time.Millisecond
	maxTryTimeout    = 2 * time.Second
	// latencyWeightDivisor gives one write the weight 1/latencyWeightDivisor in the moving average of the latency.
	latencyWeightDivisor = 4
	// initialLatency is the latency that is assumed before the first write.
	initialLatency = 60 * time.Millisecond
	// A try of a value of a snapshot, which may be large, may go unanswered for snapshotTryTimeout before another is sent beside it;
	// at most maxExtraSnapshotTries+1 are unanswered at a time.
	snapshotTryTimeout    = 500 * time.Millisecond
	maxExtraSnapshotTries = 2
	// retryBackoff is the pause between a failed try of a write and the next one.
	retryBackoff = 50 * time.Millisecond
)

type (
	// Config holds the store and the identity of the ledger's writer.
	Config struct {
		Store store.Batcher
		Clock clockwork.Clock
		Epoch types.Epoch
		// EpochVersion is the version of EpochKey under which the writer became leader.
		EpochVersion store.Version
		// Level is the level of what is written; zero means 1.
		Level Level
		// Retention is how long the results of jobs are kept; 0 means forever.
		Retention time.Duration
		// OnFailure, if set, is called after each failed try of a write, with the number of failed tries of that
		// write, the time since its start, and the error.
		OnFailure func(tries int, after time.Duration, err error)
		// OnSnapshotFailure is OnFailure for the values of snapshots.
		OnSnapshotFailure func(tries int, after time.Duration, err error)
		// OnMalformed, if set, is called for each stored job, and for a handover, that cannot be read; the ledger goes on without it.
		OnMalformed func(key store.Key, err error)
	}

	// Ledger is the leader's log in the store. It has one writer. Only the Run methods of its writes and of one
	// snapshot may be called concurrently; everything else needs outside locking.
	Ledger struct {
		config   Config
		versions map[store.Key]store.Version
		// partVersions holds the versions of the snapshots' keys; only the running snapshot uses it.
		partVersions map[store.Key]store.Version
		// resultKeys holds the keys of stored results with the time of the latest result of each; only the running
		// snapshot uses it.
		resultKeys map[store.Key]time.Time
		// snapshotInFlight is set from BeginSnapshot to FinishSnapshot.
		snapshotInFlight      bool
		nextSegment           uint64
		snapshotSet           int
		segmentsSinceSnapshot int
		bytesSinceSnapshot    int
		// progress tells which writes may be tried again.
		progress *progress
		// jobsToDelete holds ended jobs whose keys are still to be deleted.
		jobsToDelete []specs.JobID
		// handover is the latest one in the store, of whichever epoch.
		handover handover

		mu sync.Mutex
		// usualLatency is the moving average of how long answered tries take, guarded by mu.
		usualLatency time.Duration
	}

	// Snapshot is a snapshot of the tables that is being written.
	Snapshot struct {
		ledger  *Ledger
		records []tasks.Record
		results []tasks.JobResult
		base    uint64
		set     int
		// segments and bytes are the part of the ledger's counts that the snapshot covers.
		segments int
		bytes    int
		// encoded is set once values holds what is still to be written, in this order.
		encoded bool
		values  []snapshotValue
	}

	// snapshotValue is one value of a snapshot: a list of results or a part.
	snapshotValue struct {
		key   store.Key
		value json.RawMessage
		// latest is the time of the latest result of a list of results; zero for a part.
		latest time.Time
		// removesExpired is set if stored results that are past their retention are deleted with this write.
		removesExpired bool
	}

	// encodedPart is a part whose records are encoded.
	encodedPart struct {
		partHeader
		Records json.RawMessage `json:"Records"`
	}

	// Write is the write of one segment.
	Write struct {
		ledger  *Ledger
		segment segment
		key     store.Key
		batch   store.Batch
		size    int
		version store.Version
	}

	// Entry holds the jobs and changes that one append makes durable.
	Entry struct {
		Jobs    []*specs.Job
		Records []tasks.Record
	}

	// segment is the value of a slot.
	segment struct {
		Number  uint64         `json:"Number"`
		Level   Level          `json:"Level,omitempty"`
		Epoch   types.Epoch    `json:"Epoch"`
		Records []tasks.Record `json:"Records,omitempty"`
	}

	// partHeader names one part of a snapshot.
	partHeader struct {
		// Base is the number of the last segment that the snapshot covers.
		Base  uint64      `json:"Base"`
		Epoch types.Epoch `json:"Epoch"`
		Index int         `json:"Index"`
		Total int         `json:"Total"`
		Level Level       `json:"Level,omitempty"`
	}

	// part is one part of a snapshot, the value of one key.
	part struct {
		partHeader
		Records []tasks.Record `json:"Records"`
	}
)

// SnapshotDue reports whether a snapshot should be begun.
func (l *Ledger) SnapshotDue() bool {
	return !l.snapshotInFlight && (l.segmentsSinceSnapshot >= maxSegmentsSinceSnapshot || l.bytesSinceSnapshot > maxBytesSinceSnapshot)
}

// Begin returns the writes that make the entry durable. They may be run concurrently or one after the other.
func (l *Ledger) Begin(e Entry) ([]*Write, error) {
	var out []*Write
	for {
		jobs := e.Jobs[:min(len(e.Jobs), maxKeysPerBatch)]
		e.Jobs = e.Jobs[len(jobs):]
		s := segment{Number: l.nextSegment, Epoch: l.config.Epoch, Level: l.config.Level.OrFirst()}
		if len(e.Jobs) == 0 {
			count, err := fittingRecords(e.Records)
			if err != nil {
				return nil, err
			}
			s.Records, e.Records = e.Records[:count], e.Records[count:]
		}
		w, err := l.beginWrite(s, jobs)
		if err != nil {
			return nil, err
		}
		out = append(out, w)
		if len(e.Jobs) == 0 && len(e.Records) == 0 {
			return out, nil
		}
	}
}

// fittingRecords returns how many of the records, from the first on, are put into one segment: as many as stay below maxListBytes when
// their number is halved until they do, and the rest of a step's, whose tasks may change together.
func fittingRecords(records []tasks.Record) (int, error) {
	count := len(records)
	for count >= minSplitRecords {
		value, err := json.Marshal(records[:count])
		if err != nil {
			return 0, errs.New(errs.Internal, "encoding %d records: %v", count, err)
		}
		if len(value) <= maxListBytes {
			break
		}
		count /= 2
	}
	for count > 0 && count < len(records) && isSameStep(records[count-1], records[count]) {
		count++
	}
	return count, nil
}

// isSameStep reports whether two records are of tasks of one step.
func isSameStep(a, b tasks.Record) bool {
	return a.Task != nil && b.Task != nil && a.Task.Ref.StepRef == b.Task.Ref.StepRef
}

func (l *Ledger) beginWrite(s segment, jobs []*specs.Job) (*Write, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return nil, errs.New(errs.Internal, "encoding segment %d: %v", s.Number, err)
	}
	key := slotKey(s.Number)
	w := &Write{ledger: l, segment: s, key: key, size: len(value)}
	w.batch = store.Batch{
		Conditions: []store.Condition{l.epochCondition(), {Key: key, Expect: l.versions[key]}},
		Puts:       []store.Put{{Key: key, Value: value}},
	}
	for _, j := range jobs {
		body, err := json.Marshal(j)
		if err != nil {
			return nil, errs.New(errs.Internal, "encoding job %s: %v", j.ID, err)
		}
		w.batch.Puts = append(w.batch.Puts, store.Put{Key: jobKey(j.ID), Value: body})
	}
	deleted := min(len(l.jobsToDelete), maxKeysPerBatch-len(jobs))
	for _, id := range l.jobsToDelete[:deleted] {
		w.batch.Deletes = append(w.batch.Deletes, jobKey(id))
	}
	l.jobsToDelete = l.jobsToDelete[deleted:]
	l.nextSegment++
	l.segmentsSinceSnapshot++
	l.bytesSinceSnapshot += len(value)
	return w, nil
}

// Finish records a write that ran without an error. Writes must be finished in the order in which they were begun: a
// job's key may be deleted only once its result is durable.
func (l *Ledger) Finish(w *Write) {
	l.versions[w.key] = w.version
	for _, r := range w.segment.Records {
		if r.End != nil {
			l.jobsToDelete = append(l.jobsToDelete, r.End.Job)
		}
	}
}

// Append makes the entry durable before it returns.
func (l *Ledger) Append(ctx context.Context, e Entry) error {
	writes, err := l.Begin(e)
	if err != nil {
		return err
	}
	for _, w := range writes {
		if err := w.Run(ctx); err != nil {
			return err
		}
		l.Finish(w)
	}
	return nil
}

func (l *Ledger) epochCondition() store.Condition {
	return store.Condition{Key: EpochKey, Expect: l.config.EpochVersion}
}

func jobKey(id specs.JobID) store.Key {
	return jobPrefix + store.Key(id)
}

func slotKey(number uint64) store.Key {
	return logPrefix + store.Key(fmt.Sprintf("%04d", number%slotCount))
}

func partKey(set, index int) store.Key {
	return SnapshotPrefix + store.Key(fmt.Sprintf("%d/%03d", set, index))
}

// SnapshotRequired reports whether the ring is so full that no entry may follow before a snapshot was written. Until then there
// is room for one entry of up to MaxEntryJobs jobs.
func (l *Ledger) SnapshotRequired() bool {
	return l.segmentsSinceSnapshot >= slotCount-reservedSlots
}

// resultsKey returns the key of a list of results; index counts the lists of one snapshot.
func resultsKey(base uint64, index int) store.Key {
	key := resultsPrefix + store.Key(fmt.Sprintf("%012d", base))
	if index > 0 {
		key += store.Key(fmt.Sprintf("/%03d", index))
	}
	return key
}
