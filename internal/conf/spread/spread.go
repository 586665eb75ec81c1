// Package spread distributes the accepted environment document to all daemons and holds the one that is in force on
// each.
//
// In the store's region, one daemon of each data centre, its leader, watches the store and pushes changes to the other
// daemons of its data centre. While there is no leader, the daemon with the lowest ID does so. A region without the
// store receives each change from one data centre of the store's region: one copy crosses the paid link and is
// forwarded within the region. Daemons also compare revisions at regular intervals, which makes up for lost pushes and
// for network partitions. A record is only ever replaced by a newer one, whatever its source.
package spread

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Timeouts and intervals of the distribution.
const (
	// pullInterval is the interval at which a daemon compares its revision with other daemons.
	pullInterval = 2 * time.Second
	// callTimeout limits one call to a peer.
	callTimeout = time.Second
	// watchTimeout limits one watch call. A restored store is noticed when the call returns, so within this time.
	watchTimeout = 3 * time.Second
	// storeTimeout limits one read of the store, or one reconciliation with a restored store.
	storeTimeout = 3 * time.Second
	// roleCheckInterval is the interval at which a daemon without a watch checks whether it has to start one.
	roleCheckInterval = 500 * time.Millisecond
	// storeBackoff is the delay between a failed call of the store and the next one.
	storeBackoff = time.Second
	// maxFreshAge is the time without confirmation by the store after which a daemon is stale and asks daemons that are
	// further away.
	maxFreshAge = 6 * time.Second
	// remoteMaxFreshAge is the same for daemons in a region without the store.
	remoteMaxFreshAge = 12 * time.Second
	// escalationInterval is the minimum interval between two attempts of a stale daemon to get a recent confirmation
	// across the paid link or from the store itself.
	escalationInterval = 10 * time.Second
	// crossRegionTurn is the number of pulls after which the gateway of a region without the store asks across the paid
	// link again.
	crossRegionTurn = 2
	// siblingTurn is the number of pulls after which a data centre that watches the store compares revisions with
	// another one of its region again.
	siblingTurn = 4
)

type (
	// Config holds the daemon's identity and location, and the services that it uses.
	Config struct {
		Self        peer.Target
		Environment envdoc.Name
		Clock       clockwork.Clock
		Store       store.Store
		// StoreRegion is the region of the store; empty means that every data centre watches the store.
		StoreRegion types.Region
		Peers       peer.Caller
		Registrar   peer.Registrar
		// Entries returns all known daemons of all data centres.
		Entries func() []peer.Target
		// Leading returns the epoch and whether this daemon is the leader of its data centre.
		Leading func() (types.Epoch, bool)
		// LeaderOf returns the leader of a data centre, or false when none is known.
		LeaderOf func(dc types.DataCentre) (peer.Target, types.Epoch, bool)
		Audit    audit.Recorder
		Log      zerolog.Logger
		Metrics  metrics.Registry
	}

	// Spread takes part in the distribution for one daemon and holds the document that is in force on it. It is safe
	// for concurrent use.
	Spread struct {
		config   Config
		holder   *holder
		topology topology

		mu sync.Mutex
		// peerStamps holds the stamp that each peer last reported.
		peerStamps map[types.VMID]Stamp
		// verifiedAt is when the store last confirmed the record in force, directly or through peers.
		verifiedAt time.Time
		// escalatedAt is when this daemon last asked across the paid link, or the store itself, because it was stale.
		escalatedAt time.Time
		pullCount   int

		// changed wakes forwardLoop after a new record came in force.
		changed chan struct{}
	}

	// Standing is the revision that one VM has in force.
	Standing struct {
		VM         types.VMID       `json:"VM"`
		DataCentre types.DataCentre `json:"DataCentre"`
		Reached    bool             `json:"Reached"`
		Revision   types.Revision   `json:"Revision"`
		Digest     types.Digest     `json:"Digest"`
		// Age is how long ago the store confirmed the revision, directly or through peers.
		Age time.Duration `json:"Age"`
	}
)

// New returns a Spread and registers its RPC service. It returns the error of the Registrar, if any.
func New(c Config) (*Spread, error) {
	if c.Audit == nil {
		c.Audit = audit.Discard{}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	s := &Spread{
		config:     c,
		holder:     newHolder(),
		topology:   topology{config: c},
		peerStamps: make(map[types.VMID]Stamp),
		changed:    make(chan struct{}, 1),
	}
	if err := c.Registrar.Register(serviceName, &service{spread: s}); err != nil {
		return nil, err
	}
	return s, nil
}

// Run takes part in the distribution until ctx ends, and then returns nil.
func (s *Spread) Run(ctx context.Context) error {
	s.pull(ctx)
	if !s.holder.hasRecord() {
		s.loadFromStore(ctx)
	}
	var group sync.WaitGroup
	for _, loop := range []func(context.Context){s.watchLoop, s.pullLoop, s.forwardLoop} {
		group.Add(1)
		go func() {
			defer group.Done()
			loop(ctx)
		}()
	}
	group.Wait()
	return nil
}

// Current returns the document in force and its revision, or nil and 0 if there is none yet.
func (s *Spread) Current() (*envdoc.Document, types.Revision) {
	return s.holder.document()
}

// InForce returns the record in force, or nil if there is none yet or the daemon runs another environment. The caller
// must not modify its body.
func (s *Spread) InForce(env envdoc.Name) *edit.Accepted {
	if env != s.config.Environment {
		return nil
	}
	return s.holder.record()
}

// Offer puts a record in force that was accepted through an editor on this daemon, without waiting for the watch.
func (s *Spread) Offer(record edit.Accepted) {
	if record.Environment == s.config.Environment {
		s.applyRecord(record, "accepted here")
	}
}

// Status returns the revision that each known VM has in force. VMs that do not answer have Reached false.
func (s *Spread) Status(ctx context.Context) []Standing {
	targets := s.topology.allDaemons()
	out := make([]Standing, len(targets))
	var group sync.WaitGroup
	for i, t := range targets {
		group.Add(1)
		go func() {
			defer group.Done()
			out[i] = s.queryStatus(ctx, t)
		}()
	}
	group.Wait()
	return out
}

// queryStatus returns the revision in force on one VM, which may be this one.
func (s *Spread) queryStatus(ctx context.Context, to peer.Target) Standing {
	out := Standing{VM: to.VM, DataCentre: to.Site.DataCentre}
	reply := StatusReply{Have: s.holder.stamp(), Age: s.age()}
	if to.VM != s.config.Self.VM {
		callCtx, cancel := clockwork.WithTimeout(ctx, s.config.Clock, callTimeout)
		defer cancel()
		reply = StatusReply{}
		args := &StatusArgs{Environment: s.config.Environment}
		if err := s.config.Peers.Call(callCtx, to, methodStatus, args, &reply); err != nil {
			return out
		}
	}
	out.Reached, out.Revision, out.Digest, out.Age = true, reply.Have.Revision, reply.Have.Digest, reply.Age
	return out
}

func (s *Spread) addToCounter(name string, n int64) {
	metrics.GetOrRegisterCounter("Spread."+name, s.config.Metrics).Inc(n)
}
