// Package spread keeps the accepted environment document in force on every daemon.
//
// One daemon of each data centre in the store's region, its lead, watches the store and pushes a change to the
// other daemons of its data centre. A region without the store is fed by one data centre: one copy crosses the
// paid link and is passed on within the region. Daemons also compare revisions on a timer, which heals lost
// pushes and cuts. A record is only ever replaced by a newer one, whatever the source.
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

// Times of the distribution.
const (
	// pullInterval is how often a daemon compares its revision with another daemon's.
	pullInterval = 2 * time.Second
	// callTimeout is how long one call to a peer may take.
	callTimeout = time.Second
	// watchTimeout is how long one watch may wait; a restored store is noticed after it.
	watchTimeout = 3 * time.Second
	// storeTimeout is how long one read or write of the store may take.
	storeTimeout = 3 * time.Second
	// roleCheckInterval is how often a daemon that has no watch asks whether it should.
	roleCheckInterval = 500 * time.Millisecond
	// storeBackoff is the pause after a failed call of the store.
	storeBackoff = time.Second
	// maxFreshAge is the time without word from the store after which a daemon asks further away.
	maxFreshAge = 6 * time.Second
	// remoteMaxFreshAge is the same in a region without the store.
	remoteMaxFreshAge = 12 * time.Second
	// escalationInterval is how often a stale daemon asks across the paid link, or the store itself.
	escalationInterval = 10 * time.Second
	// crossRegionTurn is how often the first data centre of a fed region asks across the paid link, in pulls.
	crossRegionTurn = 2
	// siblingTurn is how often a watching data centre compares revisions with another one, in pulls.
	siblingTurn = 4
)

type (
	// Config says where the daemon stands and whom it may ask.
	Config struct {
		Self        peer.Target
		Environment envdoc.Name
		Clock       clockwork.Clock
		Store       store.Store
		// StoreRegion is the region in which the store stands; empty means that every data centre watches it.
		StoreRegion types.Region
		Peers       peer.Caller
		Registrar   peer.Registrar
		// Entries returns all daemons that are known, of every data centre.
		Entries func() []peer.Target
		// Leading tells whether this daemon is the lead of its data centre.
		Leading func() (types.Epoch, bool)
		// Leads returns the lead of a data centre.
		Leads   func(dc types.DataCentre) (peer.Target, types.Epoch, bool)
		Audit   audit.Recorder
		Log     zerolog.Logger
		Metrics metrics.Registry
	}

	// Spread holds the document that is in force on one daemon. It is safe for concurrent use.
	Spread struct {
		config   Config
		holder   *holder
		topology topology

		mu sync.Mutex
		// peerStamps is the newest stamp that each peer has told.
		peerStamps map[types.VMID]Stamp
		// verifiedAt is when the store, or a peer's word of it, last confirmed the record in force.
		verifiedAt time.Time
		// escalatedAt is when this daemon last asked across the paid link, or the store, because it was stale.
		escalatedAt time.Time
		pullCount   int

		// changed wakes the forwarder after a new record came in force.
		changed chan struct{}
	}

	// Standing is what one VM has in force.
	Standing struct {
		VM         types.VMID       `json:"VM"`
		DataCentre types.DataCentre `json:"DataCentre"`
		Reached    bool             `json:"Reached"`
		Revision   types.Revision   `json:"Revision"`
		Digest     types.Digest     `json:"Digest"`
		// Age is how long ago the store, directly or through peers, confirmed the revision.
		Age time.Duration `json:"Age"`
	}
)

// New returns a daemon's part of the distribution and registers its service.
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

// Run takes part in the distribution until ctx ends.
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

// Current returns the document in force and its revision, or nil and 0 before the first one.
func (s *Spread) Current() (*envdoc.Document, types.Revision) {
	return s.holder.document()
}

// InForce returns the record in force, or nil before the first one. Its body must not be changed.
func (s *Spread) InForce(env envdoc.Name) *edit.Accepted {
	if env != s.config.Environment {
		return nil
	}
	return s.holder.record()
}

// Offer takes a record that an editor on this daemon had accepted, ahead of the watch.
func (s *Spread) Offer(record edit.Accepted) {
	if record.Environment == s.config.Environment {
		s.applyRecord(record, "accepted here")
	}
}

// Status returns what each known VM has in force; VMs that do not answer are listed as not reached.
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

// sleep waits, and tells whether ctx has not ended.
func (s *Spread) sleep(ctx context.Context, wait time.Duration) bool {
	t := s.config.Clock.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Spread) addToCounter(name string, n int64) {
	metrics.GetOrRegisterCounter("Spread."+name, s.config.Metrics).Inc(n)
}
