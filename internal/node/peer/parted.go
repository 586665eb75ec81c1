package peer

import (
	"context"
	"sync"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// Partition makes calls between chosen data centres fail. It is safe for concurrent use.
	Partition struct {
		mu          sync.Mutex
		partitioned map[dataCentrePair]bool
	}

	// partitionedCaller is a Caller of one data centre whose calls a Partition can make fail.
	partitionedCaller struct {
		caller    Caller
		self      types.DataCentre
		partition *Partition
	}
)

// NewPartition returns a Partition in which every data centre reaches every other.
func NewPartition() *Partition {
	return &Partition{partitioned: make(map[dataCentrePair]bool)}
}

// SetPartitioned partitions two data centres from each other in both directions, or restores the network between them.
func (p *Partition) SetPartitioned(a, b types.DataCentre, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned[dataCentrePair{a, b}] = partitioned
	p.partitioned[dataCentrePair{b, a}] = partitioned
}

// Wrap returns a Caller for a daemon in the data centre self. Its calls to a data centre that is partitioned from self
// fail with kind Unavailable.
func (p *Partition) Wrap(caller Caller, self types.DataCentre) Caller {
	return &partitionedCaller{caller: caller, self: self, partition: p}
}

// Call forwards the call unless the two data centres are partitioned. When they become partitioned during the call, it
// fails with kind Lost.
func (p *partitionedCaller) Call(ctx context.Context, to Target, method Method, args, reply any) error {
	if p.partition.isPartitioned(p.self, to.Site.DataCentre) {
		return errs.New(errs.Unavailable, "%s is partitioned from %s", to.Address, p.self)
	}
	err := p.caller.Call(ctx, to, method, args, reply)
	if err == nil && p.partition.isPartitioned(p.self, to.Site.DataCentre) {
		return errs.New(errs.Lost, "%s was partitioned from %s before its answer arrived", to.Address, p.self)
	}
	return err
}

func (p *Partition) isPartitioned(from, to types.DataCentre) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioned[dataCentrePair{from, to}]
}
