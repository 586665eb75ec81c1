package once

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// ledger holds the ids of one table by generation. An id of an open generation that has no record has never run.
	ledger struct {
		id      TableID
		epoch   types.Epoch
		current Generation
		low     Generation
		records map[Generation]map[types.RequestID]*record
	}

	// record is the state of one id at its home.
	record struct {
		content types.Digest
		token   Token
		entry   types.VMID
		// answer is nil while the id is granted to the entry and has no final answer.
		answer *types.Answer
		// done is closed when the answer is set, the leader's term ends, or the record is purged.
		done chan struct{}
	}
)

func newLedger(epoch types.Epoch) *ledger {
	return &ledger{id: newTableID(), epoch: epoch, records: make(map[Generation]map[types.RequestID]*record)}
}

// isOpen reports whether the generation of the mark is still kept.
func (g *ledger) isOpen(m Mark) bool {
	return m.Epoch == g.epoch && m.Generation >= g.low && m.Generation <= g.current
}

func (g *ledger) find(id types.RequestID, m Mark) (*record, bool) {
	r, ok := g.records[m.Generation][id]
	return r, ok
}

func (g *ledger) put(id types.RequestID, generation Generation, r *record) {
	ids, ok := g.records[generation]
	if !ok {
		ids = make(map[types.RequestID]*record)
		g.records[generation] = ids
	}
	ids[id] = r
}

// purgeLowest removes the oldest generation and returns its records. The raised low-water mark keeps its ids from
// running again.
func (g *ledger) purgeLowest() map[types.RequestID]*record {
	purged := g.records[g.low]
	delete(g.records, g.low)
	g.low++
	return purged
}

// isClosed reports whether no generation is open any more.
func (g *ledger) isClosed() bool {
	return g.low > g.current
}
