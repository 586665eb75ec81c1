package peer

import (
	"context"
	"sync"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// Partition makes calls between data centres fail on demand. It is safe for concurrent use.
	Partition struct {
		mu          sync.Mutex
		partitioned map[dataCentrePair]bool
	}

	partitionedCaller struct {
		caller    Caller
		self      types.DataCentre
		partition *Partition
	}
)

// NewPartition returns a partition that lets every call pass.
func NewPartition() *Partition {
	return &Partition{partitioned: make(map[dataCentrePair]bool)}
}

// SetPartitioned parts two data centres in both directions, or joins them again.
func (p *Partition) SetPartitioned(a, b types.DataCentre, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned[dataCentrePair{a, b}] = partitioned
	p.partitioned[dataCentrePair{b, a}] = partitioned
}

// Wrap returns a caller in the data centre whose calls over a cut are Unavailable.
func (p *Partition) Wrap(caller Caller, self types.DataCentre) Caller {
	return &partitionedCaller{caller: caller, self: self, partition: p}
}

// Call passes the call on unless the two data centres are parted.
func (p *partitionedCaller) Call(ctx context.Context, to Target, method Method, args, reply any) error {
	if p.partition.isPartitioned(p.self, to.Site.DataCentre) {
		return errs.New(errs.Unavailable, "%s is cut off from %s", to.Address, p.self)
	}
	err := p.caller.Call(ctx, to, method, args, reply)
	if err == nil && p.partition.isPartitioned(p.self, to.Site.DataCentre) {
		return errs.New(errs.Lost, "%s was cut off from %s before it answered", to.Address, p.self)
	}
	return err
}

func (p *Partition) isPartitioned(from, to types.DataCentre) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioned[dataCentrePair{from, to}]
}
