package lend

import (
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// trade applies what one entry returns or states, and lends or recalls slots.
func (l *Lender) trade(args *TradeArgs) (*TradeReply, error) {
	if err := args.Check(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active || args.Epoch != l.epoch || args.DataCentre != l.config.Self.Site.DataCentre {
		return nil, errs.New(errs.Fenced, "%s does not lend for %s under epoch %d", l.config.Self.VM, args.DataCentre, args.Epoch)
	}
	h := l.holderFor(args.From)
	if args.Full && h.incarnation != 0 && args.Life > h.incarnation {
		h = l.replaceIncarnation(h, args.From)
	}
	if err := l.applyTrade(h, args); err != nil {
		return nil, err
	}
	for _, w := range args.Wants {
		h.wants[w.Service] = w.Slots
	}
	l.recordRefusals(args.Refusing)
	return l.buildReply(h), nil
}

// replaceIncarnation keeps the shares of the earlier process of a VM under a key of their own, until the calls that it
// left behind have ended, and returns a new record for the entry. The caller must hold l.mu.
func (l *Lender) replaceIncarnation(h *holderState, target peer.Target) *holderState {
	h.superseded = true
	h.synced = true
	h.goneAt = l.config.Clock.Now()
	clear(h.wants)
	l.holders[types.VMID(fmt.Sprintf("%s@%d", target.VM, h.incarnation))] = h
	delete(l.holders, target.VM)
	return l.holderFor(target)
}

// applyTrade applies what an entry states or returns. It returns errs.Conflict when a later call was already applied,
// and when a call that does not state all holdings is not the next one after the last applied. The caller must hold
// l.mu.
func (l *Lender) applyTrade(h *holderState, args *TradeArgs) error {
	stale := args.Life < h.incarnation || (args.Life == h.incarnation && args.Sequence <= h.sequence)
	if stale {
		return errs.New(errs.Conflict, "this or a later call of %s was already applied", args.From.VM)
	}
	if !args.Full && (args.Life != h.incarnation || args.Sequence != h.sequence+1 || !h.synced) {
		return errs.New(errs.Conflict, "the call of %s does not follow the last applied one; it must state all that it holds", args.From.VM)
	}
	h.incarnation, h.sequence = args.Life, args.Sequence
	h.goneAt = time.Time{}
	if args.Full {
		l.replaceShares(h, args.Shares)
		return nil
	}
	for _, s := range args.Shares {
		l.applyReturn(h, s)
	}
	return nil
}

// applyReturn applies a return of slots and connections; it counts at most those that the entry is known to hold. The
// caller must hold l.mu.
func (l *Lender) applyReturn(h *holderState, back Share) {
	held := h.shares[back.Runner]
	slots := min(held.Slots, back.Slots)
	l.runnerFor(back.Runner).knownFree += slots
	l.setShare(h, Share{
		Runner:      back.Runner,
		Slots:       held.Slots - slots,
		Connections: held.Connections - min(held.Connections, back.Connections),
	})
}

// recordRefusals starts the quarantine of the runners that refused a call. The caller must hold l.mu.
func (l *Lender) recordRefusals(ids []types.RunnerID) {
	until := l.config.Clock.Now().Add(refusalQuarantine)
	for _, id := range ids {
		if r, ok := l.runners[id]; ok {
			r.refusedUntil = until
		}
	}
}
