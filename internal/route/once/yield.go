package once

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

type (
	// LedgerHead describes a ledger that moves to a new lead.
	LedgerHead struct {
		ID      TableID
		Epoch   types.Epoch
		Current Generation
		Low     Generation
	}

	// Moved is one record that moves to a new lead.
	Moved struct {
		Table      TableID
		Generation Generation
		ID         types.RequestID
		Content    types.Digest
		Token      Token
		Entry      types.VMID
		Answer     *types.Answer
	}

	// YieldArgs is how a new lead asks a peer for the ledgers that it kept as an earlier lead.
	YieldArgs struct {
		DataCentre types.DataCentre
		Epoch      types.Epoch
		Lead       types.VMID
		From       int
	}

	// YieldReply is one page of the ledgers.
	YieldReply struct {
		Heads   []LedgerHead
		Records []Moved
		Next    int
		More    bool
	}

	// claimant is the one lead that took over this daemon's ledgers.
	claimant struct {
		lead  types.VMID
		epoch types.Epoch
	}
)

// yield stops this table for good and hands its ledgers to the lead of a later epoch. It gives them to one lead only,
// because that one may give out ids from then on.
func (t *Table) yield(args *YieldArgs) (*YieldReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if args.DataCentre != t.config.Self.Site.DataCentre || args.Epoch <= t.epoch {
		return nil, errs.New(errs.Fenced, "epoch %d of %s is not after epoch %d", args.Epoch, args.DataCentre, t.epoch)
	}
	to := claimant{lead: args.Lead, epoch: args.Epoch}
	if t.yieldedTo == (claimant{}) {
		t.freeze()
		t.yieldedTo = to
		t.moving = t.export()
	}
	if t.yieldedTo != to {
		return nil, errs.New(errs.Conflict, "the ledgers went to %s under epoch %d", t.yieldedTo.lead, t.yieldedTo.epoch)
	}
	reply := t.page(args.From)
	if !reply.More && t.moved != nil {
		close(t.moved)
		t.moved = nil
	}
	return reply, nil
}

// AwaitYield waits until a later lead has read the ledgers of this daemon, at most for the time. It returns at once when
// there are none to hand over. A process that ends calls it after it gave up the claim.
func (t *Table) AwaitYield(ctx context.Context, most time.Duration) bool {
	t.mu.Lock()
	moved := t.moved
	t.mu.Unlock()
	if moved == nil {
		return true
	}
	timer := t.config.Clock.NewTimer(most)
	defer timer.Stop()
	select {
	case <-moved:
		return true
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return false
}

// freeze ends this daemon's time as lead. Nothing is given out from its ledgers any more.
func (t *Table) freeze() {
	if !t.active {
		return
	}
	t.active = false
	t.frozenAt = t.config.Clock.Now()
	for _, g := range t.ledgers {
		for _, ids := range g.records {
			for _, r := range ids {
				t.freezeRecord(r)
			}
		}
	}
}

func (t *Table) freezeRecord(r *record) {
	if r.answer == nil {
		close(r.settled)
		return
	}
	if r.answer.Outcome == types.OutcomeDone {
		t.kept.put(Copied{Content: r.content, Answer: *r.answer})
	}
}

func (t *Table) export() []Moved {
	out := make([]Moved, 0, t.count)
	for _, g := range t.ledgers {
		for generation, ids := range g.records {
			for id, r := range ids {
				out = append(out, Moved{
					Table: g.id, Generation: generation, ID: id,
					Content: r.content, Token: r.token, Entry: r.entry, Answer: r.answer,
				})
			}
		}
	}
	return out
}

func (t *Table) page(from int) *YieldReply {
	reply := &YieldReply{}
	for _, g := range t.ledgers {
		reply.Heads = append(reply.Heads, LedgerHead{ID: g.id, Epoch: g.epoch, Current: g.current, Low: g.low})
	}
	size := 0
	i := min(max(0, from), len(t.moving))
	for ; i < len(t.moving) && len(reply.Records) < maxCopies && size < maxCopyBytes; i++ {
		reply.Records = append(reply.Records, t.moving[i])
		if a := t.moving[i].Answer; a != nil {
			size += len(a.Body)
		}
	}
	reply.Next, reply.More = i, i < len(t.moving)
	return reply
}

// thaw takes over the ledgers that this daemon kept from its own earlier time as lead, unless another lead has them.
func (t *Table) thaw() {
	t.freeze()
	if t.yieldedTo != (claimant{}) {
		t.dropLedgers()
	}
	for _, g := range t.ledgers {
		for _, ids := range g.records {
			for _, r := range ids {
				if r.answer == nil {
					r.settled = make(chan struct{})
				}
			}
		}
	}
}

func (t *Table) dropLedgers() {
	t.ledgers = make(map[TableID]*ledger)
	t.moving = nil
	t.count = 0
	t.yieldedTo = claimant{}
	t.bodies = bodies{limit: t.config.MaxBytes}
}

// expire drops ledgers that no later lead asked for in time.
func (t *Table) expire() {
	if t.active || len(t.ledgers) == 0 || t.starting {
		return
	}
	if t.config.Clock.Since(t.frozenAt) >= t.config.Policy().KeepAnswers {
		t.dropLedgers()
	}
}

// adoptFrom asks one peer for its ledgers and takes them over if all of them arrive.
func (t *Table) adoptFrom(ctx context.Context, from peer.Target, epoch types.Epoch) {
	args := YieldArgs{DataCentre: t.config.Self.Site.DataCentre, Epoch: epoch, Lead: t.config.Self.VM}
	var heads []LedgerHead
	var records []Moved
	for {
		var reply YieldReply
		if err := t.config.Peers.Call(ctx, from, methodYield, &args, &reply); err != nil {
			metrics.GetOrRegisterCounter("Once.YieldFailures", t.config.Metrics).Inc(1)
			return
		}
		heads = reply.Heads
		records = append(records, reply.Records...)
		if !reply.More || reply.Next <= args.From || len(records) > t.config.MaxIDs {
			break
		}
		args.From = reply.Next
	}
	t.adopt(heads, records, epoch)
}

func (t *Table) adopt(heads []LedgerHead, records []Moved, epoch types.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.epoch != epoch || !t.starting {
		return
	}
	for _, h := range heads {
		if _, ok := t.ledgers[h.ID]; !ok {
			t.ledgers[h.ID] = &ledger{
				id: h.ID, epoch: h.Epoch, current: h.Current, low: h.Low,
				records: make(map[Generation]map[types.RequestID]*record),
			}
		}
	}
	for _, m := range records {
		t.adoptRecord(m)
	}
}

func (t *Table) adoptRecord(m Moved) {
	g, ok := t.ledgers[m.Table]
	if !ok {
		return
	}
	r := &record{content: m.Content, token: m.Token, entry: m.Entry, answer: m.Answer, settled: make(chan struct{})}
	if r.answer != nil {
		close(r.settled)
		t.bodies.add(r)
	}
	g.put(m.ID, m.Generation, r)
	t.count++
}
