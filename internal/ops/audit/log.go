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

// Defaults and limits of a Log.
const (
	// DefaultCapacity is how many records a VM keeps in memory.
	DefaultCapacity = 8192
	// DefaultFlushInterval is the interval between writes to the store.
	DefaultFlushInterval = 5 * time.Second
	// DefaultRetention is the retention of records in the store.
	DefaultRetention = 24 * time.Hour
	// maxPending is how many records of decisions may wait to be written to the store. The oldest are dropped first.
	maxPending = 4096
	// maxPendingRequests is the same for records of single requests, which are frequent. The separate limit keeps them
	// from displacing records of decisions.
	maxPendingRequests = 512
	// maxSegmentRecords is how many records of decisions one write contains at most. All waiting records of requests
	// are written with them.
	maxSegmentRecords = 1024
	// purgeInterval is the interval between purges of old records.
	purgeInterval = 10 * time.Minute
	// purgeDelay is the delay between two deletes of one purge. It limits the load on the store.
	purgeDelay = 100 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 3 * time.Second
	// peerTimeout bounds one call to a peer.
	peerTimeout = time.Second
)

type (
	// Config configures a Log. Store, Peers, Registrar, Entries and Leading may be nil. Without a store, records are
	// kept in memory only. Without peers or entries, queries do not ask other VMs and read only the own data centre's
	// records in the store. Without a registrar, other VMs cannot query this one. Without Leading, the log does not
	// purge old records.
	Config struct {
		Self      peer.Target
		Clock     clockwork.Clock
		Store     store.Store
		Peers     peer.Caller
		Registrar peer.Registrar
		// Entries returns all known daemons.
		Entries func() []peer.Target
		// Leading reports whether this daemon leads its data centre. The leader purges the old records of it.
		Leading func() (types.Epoch, bool)
		Metrics metrics.Registry
		Log     zerolog.Logger
		// Capacity is how many records are kept in memory; 0 means DefaultCapacity.
		Capacity int
		// FlushInterval is the interval between writes to the store; 0 means DefaultFlushInterval.
		FlushInterval time.Duration
		// Retention is the retention of records in the store; 0 means DefaultRetention.
		Retention time.Duration
	}

	// Log keeps the latest records in memory and writes them to the store in batches. It is safe for
	// concurrent use.
	Log struct {
		config Config
		// runID is the start time of the process. It keeps the store keys of different runs apart.
		runID string

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

// NewLog returns a Log without records and registers its RPC service, if there is a registrar.
func NewLog(c Config) (*Log, error) {
	if c.Capacity == 0 {
		c.Capacity = DefaultCapacity
	}
	if c.FlushInterval == 0 {
		c.FlushInterval = DefaultFlushInterval
	}
	if c.Retention == 0 {
		c.Retention = DefaultRetention
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

// Record adds a record. It does not wait for the store: when writes are slow or fail, the oldest records that wait to
// be written are dropped and counted.
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

// addToRing adds a record to the ring of latest records and overwrites the oldest one if the ring is full. The caller
// must hold l.mu.
func (l *Log) addToRing(r Record) {
	if len(l.ring) < l.config.Capacity {
		l.ring = append(l.ring, r)
		return
	}
	l.ring[l.next] = r
	l.next = (l.next + 1) % l.config.Capacity
}

// dropOldest returns the newest maxRecords of the records and counts the dropped ones.
func (l *Log) dropOldest(records []Record, maxRecords int) []Record {
	over := len(records) - maxRecords
	if over <= 0 {
		return records
	}
	l.count("Dropped", int64(over))
	return records[over:]
}

// Run writes records to the store and purges old ones until ctx ends. It then writes once more and returns nil.
func (l *Log) Run(ctx context.Context) error {
	if l.config.Store == nil {
		<-ctx.Done()
		return nil
	}
	flush := l.config.Clock.NewTicker(l.config.FlushInterval)
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

// localRecords returns the records in this VM's memory that concern the subject, oldest first.
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
