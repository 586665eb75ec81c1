// Package ledger keeps accepted jobs and what became of them in the platform's store.
//
// Each accepted job has a key of its own until it has ended. Changes go into segments in a ring of keys. Every
// write requires the epoch that its writer holds, so a write of a former lead fails, however late it arrives,
// and requires the former version of its slot, so that it takes effect once however often it is sent.
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
	// EpochKey holds the epoch of the latest lead. It outlives every lease.
	EpochKey store.Key = "Flow/Control/Epoch"

	dataPrefix     store.Key = "Flow/Data/"
	jobPrefix      store.Key = dataPrefix + "Job/"
	logPrefix      store.Key = dataPrefix + "Log/"
	snapshotPrefix store.Key = dataPrefix + "Image/"
	resultsPrefix  store.Key = dataPrefix + "Ends/"

	// slotCount is the number of keys that the segments go round.
	slotCount = 256
	// maxSegmentsSinceSnapshot is how many segments may follow an image.
	maxSegmentsSinceSnapshot = slotCount / 2
	// maxBytesSinceSnapshot is how many bytes of segments may follow an image before a new one is due.
	maxBytesSinceSnapshot = 512 << 10
	// snapshotSets is how many images take turns.
	snapshotSets = 2
	// recordsPerPart is how many records one part of an image holds.
	recordsPerPart = 4000
	// maxKeysPerBatch is how many jobs one batch may write and delete, besides its segment and conditions.
	maxKeysPerBatch = store.MaxBatch - 3

	// The first try of a write may take tryTimeoutFactor times as long as tries usually do, within minTryTimeout and
	// maxTryTimeout, before another is sent beside it; maxExtraTries limits how many are.
	maxExtraTries    = 3
	tryTimeoutFactor = 4
	minTryTimeout    = 100 * time.Millisecond
	maxTryTimeout    = 2 * time.Second
	// latencyWeightDivisor is the weight of one write in the usual time, as one in so many.
	latencyWeightDivisor = 4
	// initialLatency is expected before anything was written.
	initialLatency = 60 * time.Millisecond
	// retryBackoff is the pause after a try that the store refused.
	retryBackoff = 60 * time.Millisecond
)

type (
	// Config says who writes.
	Config struct {
		Store store.Batcher
		Clock clockwork.Clock
		Epoch types.Epoch
		// EpochVersion is the version of the epoch's key under which the writer became lead.
		EpochVersion store.Version
		// Retention is how long the ends of jobs are kept; 0 means for good.
		Retention time.Duration
		// OnFailure, when set, is told of each failed try of a write: how many there were, since when, and why.
		OnFailure func(tries int, after time.Duration, err error)
	}

	// Ledger has one writer. But for the running of writes it is used by one goroutine at a time.
	Ledger struct {
		config   Config
		versions map[store.Key]store.Version
		// partVersions holds the versions of the images' keys; only the image that runs uses it.
		partVersions map[store.Key]store.Version
		// resultKeys holds the keys of stored ends with the time of the last of them; only the image that runs uses it.
		resultKeys map[store.Key]time.Time
		// snapshotInFlight tells that an image is under way.
		snapshotInFlight      bool
		nextSegment           uint64
		snapshotSet           int
		segmentsSinceSnapshot int
		bytesSinceSnapshot    int
		// jobsToDelete holds ended jobs whose keys are to be deleted.
		jobsToDelete []specs.JobID

		mu sync.Mutex
		// usualLatency is how long writes take.
		usualLatency time.Duration
	}

	// Snapshot is an image on its way.
	Snapshot struct {
		ledger  *Ledger
		records []tasks.Record
		results []tasks.JobResult
		base    uint64
		set     int
		// segments and bytes are what of the ledger's the image stands for.
		segments int
		bytes    int
	}

	// Write is one segment on its way.
	Write struct {
		ledger  *Ledger
		segment segment
		key     store.Key
		batch   store.Batch
		size    int
		version store.Version
	}

	// Entry is what one append makes durable.
	Entry struct {
		Jobs    []*specs.Job
		Records []tasks.Record
	}

	// segment is the value of a slot.
	segment struct {
		Number  uint64         `json:"Number"`
		Epoch   types.Epoch    `json:"Epoch"`
		Records []tasks.Record `json:"Records,omitempty"`
	}

	// part is one part of an image.
	part struct {
		// Base is the last segment that the image covers.
		Base    uint64         `json:"Base"`
		Epoch   types.Epoch    `json:"Epoch"`
		Index   int            `json:"Index"`
		Total   int            `json:"Total"`
		Records []tasks.Record `json:"Records"`
	}
)

// SnapshotDue tells whether an image should be begun.
func (l *Ledger) SnapshotDue() bool {
	return !l.snapshotInFlight && (l.segmentsSinceSnapshot >= maxSegmentsSinceSnapshot || l.bytesSinceSnapshot > maxBytesSinceSnapshot)
}

// Begin returns the writes that make the entry durable, to be run at the same time or one after the other.
func (l *Ledger) Begin(e Entry) ([]*Write, error) {
	var out []*Write
	for {
		n := min(len(e.Jobs), maxKeysPerBatch)
		s := segment{Number: l.nextSegment, Epoch: l.config.Epoch}
		if n == len(e.Jobs) {
			s.Records = e.Records
		}
		w, err := l.beginWrite(s, e.Jobs[:n])
		if err != nil {
			return nil, err
		}
		out = append(out, w)
		e.Jobs = e.Jobs[n:]
		if len(e.Jobs) == 0 {
			return out, nil
		}
	}
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

// Finish notes a write that ran without an error. Writes are finished in the order in which they were begun: a
// job's key may be deleted only once its end is durable.
func (l *Ledger) Finish(w *Write) {
	l.versions[w.key] = w.version
	for _, r := range w.segment.Records {
		if r.End != nil {
			l.jobsToDelete = append(l.jobsToDelete, r.End.Job)
		}
	}
}

// Append makes the entry durable.
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
	return snapshotPrefix + store.Key(fmt.Sprintf("%d/%03d", set, index))
}

// SnapshotRequired tells that no segment may follow before an image was written.
func (l *Ledger) SnapshotRequired() bool {
	return l.segmentsSinceSnapshot >= slotCount-maxKeysPerBatch
}

func resultsKey(base uint64) store.Key {
	return resultsPrefix + store.Key(fmt.Sprintf("%012d", base))
}
