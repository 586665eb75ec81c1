package once

import (
	"context"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// copyPeerCount is the number of peers that keep a copy of each final answer.
const copyPeerCount = 2

// sendCopies sends final answers to peers of the data centre. A lost copy can make an answer Unknown after a change of
// the leader; it never makes an id run again.
func (t *Table) sendCopies(ctx context.Context, batch []Copied) {
	if len(batch) == 0 {
		return
	}
	limited, cancel := clockwork.WithTimeout(ctx, t.config.Clock, copyTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, to := range t.copyTargets() {
		w.Go(func() {
			for chunk := range slices.Chunk(batch, maxPageRecords) {
				args := CopyArgs{DataCentre: t.config.Self.Site.DataCentre, Answers: chunk}
				if err := t.config.Peers.Call(limited, to, methodCopy, &args, &CopyReply{}); err != nil {
					metrics.GetOrRegisterCounter("Once.CopyFailures", t.config.Metrics).Inc(1)
				}
			}
		})
	}
	w.Wait()
}

// copyTargets returns the first copyPeerCount peers in order of VM, so that the same peers hold all copies.
func (t *Table) copyTargets() []peer.Target {
	peers := slices.DeleteFunc(slices.Clone(t.config.Copies()), func(p peer.Target) bool {
		return p.VM == t.config.Self.VM
	})
	slices.SortFunc(peers, func(a, b peer.Target) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return peers[:min(copyPeerCount, len(peers))]
}

// collectFromFormerLeaders adopts the ledgers of earlier leaders and reads the copies of all entries of the data centre
// that may have led it. It stops after copyTimeout.
func (t *Table) collectFromFormerLeaders(ctx context.Context, epoch types.Epoch) {
	limited, cancel := clockwork.WithTimeout(ctx, t.config.Clock, copyTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, from := range t.config.FormerLeaders() {
		if from.VM == t.config.Self.VM {
			continue
		}
		w.Go(func() {
			t.adoptLedgersFrom(limited, from, epoch)
			t.collectCopies(limited, from)
		})
	}
	w.Wait()
}

func (t *Table) collectCopies(ctx context.Context, from peer.Target) {
	args := CopiesArgs{DataCentre: t.config.Self.Site.DataCentre}
	for {
		var reply CopiesReply
		if err := t.config.Peers.Call(ctx, from, methodCopies, &args, &reply); err != nil {
			metrics.GetOrRegisterCounter("Once.CollectFailures", t.config.Metrics).Inc(1)
			return
		}
		t.storeCopies(reply.Answers)
		if !reply.More || reply.Next <= args.From {
			return
		}
		args.From = reply.Next
	}
}

func (t *Table) storeCopies(answers []Copied) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range answers {
		if c.Check() == nil {
			t.archive.put(c)
		}
	}
}

func (t *Table) acceptCopies(args *CopyArgs) error {
	if args.DataCentre != t.config.Self.Site.DataCentre {
		return errs.New(errs.Invalid, "%s keeps copies of answers for data centre %s only", t.config.Self.VM, t.config.Self.Site.DataCentre)
	}
	if len(args.Answers) > maxPageRecords {
		return errs.New(errs.TooLarge, "more than %d answers in one call", maxPageRecords)
	}
	t.storeCopies(args.Answers)
	return nil
}

func (t *Table) readCopies(args *CopiesArgs) (*CopiesReply, error) {
	if args.DataCentre != t.config.Self.Site.DataCentre {
		return nil, errs.New(errs.Invalid, "%s keeps copies of answers for data centre %s only", t.config.Self.VM, t.config.Self.Site.DataCentre)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	answers, next := t.archive.page(args.From)
	return &CopiesReply{Answers: answers, Next: next, More: next < len(t.archive.order)}, nil
}

// Answers returns the number of final answers in this daemon's archive: copies from other leaders and answers of its
// own earlier terms.
func (t *Table) Answers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.archive.order)
}

// Known reports whether an id has a record in an open generation of this table.
func (t *Table) Known(id types.RequestID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	minted, err := types.ParseID(string(id))
	if err != nil {
		return false
	}
	m := markOf(minted)
	g, ok := t.findOpenLedger(m)
	if !ok {
		return false
	}
	_, ok = g.find(id, m)
	return ok
}
