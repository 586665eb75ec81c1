package once

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// ledger is the ids of one table, by generation. An id of an open generation that has no record has never run.
	ledger struct {
		id      TableID
		epoch   types.Epoch
		current Generation
		low     Generation
		records map[Generation]map[types.RequestID]*record
	}

	// record is what the home knows of one id.
	record struct {
		content types.Digest
		token   Token
		entry   types.VMID
		// answer is nil as long as the id is given out.
		answer *types.Answer
		// done is closed once the answer is set, or the lead ends.
		done chan struct{}
	}
)

func newLedger(epoch types.Epoch) *ledger {
	return &ledger{id: newTableID(), epoch: epoch, records: make(map[Generation]map[types.RequestID]*record)}
}

// isOpen tells whether ids with the mark are still kept.
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

// purgeLowest forgets the ids of the oldest generation and returns their records. The low-water mark keeps the ids from
// running again.
func (g *ledger) purgeLowest() map[types.RequestID]*record {
	purged := g.records[g.low]
	delete(g.records, g.low)
	g.low++
	return purged
}

// isClosed tells whether no generation is open any more.
func (g *ledger) isClosed() bool {
	return g.low > g.current
}
