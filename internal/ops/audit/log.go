package audit

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Defaults and limits of a log.
const (
	// DefaultCapacity is how many records a VM keeps in memory.
	DefaultCapacity = 8192
	// DefaultFlush is the time between two writes to the store.
	DefaultFlush = 5 * time.Second
	// DefaultKeep is how long records stay in the store.
	DefaultKeep = 24 * time.Hour
	// maxPending is how many records of decisions wait for the store; the oldest are dropped first.
	maxPending = 4096
	// maxPendingRequests is the same for records of single requests, which are many.
	maxPendingRequests = 512
	// maxSegmentRecords is how many records one write holds.
	maxSegmentRecords = 1024
	// purgeInterval is the time between two deletions of old records.
	purgeInterval = 10 * time.Minute
	// purgeDelay is the time between two deletes of one sweep, to spare the store.
	purgeDelay = 100 * time.Millisecond
	// storeTimeout is how long one call of the store may take.
	storeTimeout = 3 * time.Second
	// peerTimeout is how long one call to a peer may take.
	peerTimeout = time.Second
)

type (
	// Config says where the VM stands and whom it may ask. Store, Peers, Registrar, Entries and Leading may be
	// nil; the log then does without them.
	Config struct {
		Self      peer.Target
		Clock     clockwork.Clock
		Store     store.Store
		Peers     peer.Caller
		Registrar peer.Registrar
		// Entries returns all daemons that are known.
		Entries func() []peer.Target
		// Leading tells whether this daemon deletes the old records of its data centre.
		Leading  func() (types.Epoch, bool)
		Metrics  metrics.Registry
		Log      zerolog.Logger
		Capacity int
		Flush    time.Duration
		Keep     time.Duration
	}

	// Log keeps the latest records in memory and writes them to the store in batches. It is safe for
	// concurrent use.
	Log struct {
		config Config
		runID  string

		mu              sync.Mutex
		ring            []Record
		next            int
		sequence        uint64
		pending         []Record
		pendingRequests []Record
		segmentNumber   uint64
		failing         bool
	}
)

// NewLog returns a log without records and registers its service.
func NewLog(c Config) (*Log, error) {
	if c.Capacity == 0 {
		c.Capacity = DefaultCapacity
	}
	if c.Flush == 0 {
		c.Flush = DefaultFlush
	}
	if c.Keep == 0 {
		c.Keep = DefaultKeep
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	l := &Log{config: c, runID: c.Clock.Now().UTC().Format("20060102T150405.000000000")}
	if c.Registrar == nil {
		return l, nil
	}
	return l, c.Registrar.Register(serviceName, &service{log: l})
}

// Record keeps a record. It does not block; when the store is slow, the oldest records that wait for it are
// dropped and counted.
func (l *Log) Record(r Record) {
	r.At = l.config.Clock.Now().UTC().Round(0)
	r.VM, r.Site = l.config.Self.VM, l.config.Self.Site.DataCentre
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	r.Seq = l.sequence
	l.addToRing(r)
	l.count("Records", 1)
	if l.config.Store == nil {
		return
	}
	if r.Verb == VerbDispatch || r.Verb == VerbAnswer {
		l.pendingRequests = l.dropOldest(append(l.pendingRequests, r), maxPendingRequests)
		return
	}
	l.pending = l.dropOldest(append(l.pending, r), maxPending)
}

// addToRing puts a record in the ring.
func (l *Log) addToRing(r Record) {
	if len(l.ring) < l.config.Capacity {
		l.ring = append(l.ring, r)
		return
	}
	l.ring[l.next] = r
	l.next = (l.next + 1) % l.config.Capacity
}

func (l *Log) dropOldest(records []Record, maxRecords int) []Record {
	over := len(records) - maxRecords
	if over <= 0 {
		return records
	}
	l.count("Dropped", int64(over))
	return records[over:]
}

// Run writes records to the store until ctx ends, and then once more.
func (l *Log) Run(ctx context.Context) error {
	if l.config.Store == nil {
		<-ctx.Done()
		return nil
	}
	flush := l.config.Clock.NewTicker(l.config.Flush)
	defer flush.Stop()
	purge := l.config.Clock.NewTicker(purgeInterval)
	defer purge.Stop()
	for {
		select {
		case <-flush.Chan():
			l.Flush(ctx)
		case <-purge.Chan():
			l.purgeExpired(ctx)
		case <-ctx.Done():
			l.Flush(context.WithoutCancel(ctx))
			return nil
		}
	}
}

// localRecords returns the records in memory that concern the subject, the oldest first.
func (l *Log) localRecords(subject string) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for i := range l.ring {
		r := l.ring[(l.next+i)%len(l.ring)]
		if r.Concerns(subject) {
			out = append(out, r)
		}
	}
	return out
}

func (l *Log) count(name string, n int64) {
	metrics.GetOrRegisterCounter("Audit."+name, l.config.Metrics).Inc(n)
}
